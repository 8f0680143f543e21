//! Events of a soak, drawn by its seed.

use std::time::Duration;

use crate::support::Flood;

/// Number of events of a soak.
const EVENTS: usize = 10;
/// Largest pause before an event, in milliseconds.
const MAX_PAUSE_MS: u64 = 700;
/// Constants of the linear congruential generator (Knuth's MMIX).
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// Random numbers of a seed.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        let mut random = Self(seed.wrapping_mul(MULTIPLIER) ^ INCREMENT);
        random.below(2);
        random
    }

    /// Returns a number from 0 to `bound` - 1.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.0 >> 33) % bound
    }
}

/// What happens to the proxy instance.
#[derive(Debug, Clone)]
pub enum EventKind {
    /// A successor starts, and the running process is terminated this much later.
    Upgrade { terminate_after: Duration },
    /// A successor starts and is killed at once.
    KilledSuccessor,
    /// The running process is killed, and another one starts.
    Kill,
    /// The running process reloads its configuration so many times without a pause.
    Reloads(usize),
    /// The running process is stopped for a while.
    Pause(Duration),
    /// Clients send as fast as the proxy reads.
    Flood { name: &'static str, clients: usize },
    /// Clients connect and send nothing.
    Crowd(usize),
    /// Clients of every slow kind connect and stay until the end.
    SlowCrowd(usize),
    /// Clients send requests ahead and leave.
    Leave { bytes_ahead: usize },
    /// Writes come again under their ids after their clients have left.
    Repeat,
    /// Clients stop in the middle of a statement.
    Stall(usize),
    /// Servers answer nothing for a while.
    Hang(Duration),
    /// Servers answer with notices without end for a while.
    EndlessAnswers(Duration),
    /// Servers close all connections.
    CloseServerConnections,
    /// Each `every`-th of these system calls fails for a while.
    SystemFault { call: &'static str, errno: i64, every: u32 },
    /// The wall clock steps.
    ClockStep(i64),
}

/// An event and the pause before it.
#[derive(Debug)]
pub struct Event {
    pub pause: Duration,
    pub kind: EventKind,
}

/// Events of a soak, in order.
pub struct Schedule {
    pub events: Vec<Event>,
}

impl Schedule {
    /// Draws the events of a seed. Each third seed begins with a crowd of idle clients, each fifth with one of slow
    /// clients.
    pub fn draw(seed: u64) -> Self {
        let mut random = Random::new(seed);
        let mut events = Vec::new();
        if seed.is_multiple_of(3) {
            events.push(Event { pause: Duration::ZERO, kind: EventKind::Crowd(200) });
        }
        if seed % 5 == 2 {
            events.push(Event { pause: Duration::ZERO, kind: EventKind::SlowCrowd(200) });
        }
        for _ in 0..EVENTS {
            let pause = Duration::from_millis(random.below(MAX_PAUSE_MS));
            events.push(Event { pause, kind: draw_kind(&mut random) });
        }
        Self { events }
    }
}

fn draw_kind(random: &mut Random) -> EventKind {
    const FLOODS: [&str; 5] = ["tls", "sync", "empty", "classes", "connections"];
    const FAULTS: [(&str, i64, u32); 7] = [
        ("recv", 4, 3),
        ("recv", 0, 2),
        ("writev", 4, 3),
        ("writev", 0, 2),
        ("accept", 103, 2),
        ("accept", 23, 2),
        ("connect", 99, 3),
    ];
    const STEPS_MS: [i64; 4] = [5_000, -5_000, 3_600_000, -3_600_000];
    let pick = |random: &mut Random, count: usize| random.below(count as u64) as usize;
    match random.below(16) {
        0..=2 => EventKind::Upgrade { terminate_after: Duration::from_millis(random.below(400)) },
        3 => EventKind::KilledSuccessor,
        4 => EventKind::Kill,
        5 => EventKind::Reloads(1 + pick(random, 4)),
        6 => EventKind::Pause(Duration::from_millis(20 + random.below(130))),
        7 | 8 => EventKind::Flood { name: FLOODS[pick(random, FLOODS.len())], clients: 1 + pick(random, 24) },
        9 => EventKind::Leave { bytes_ahead: 1 << (10 + pick(random, 11)) },
        10 => EventKind::Repeat,
        11 => EventKind::Stall(1 + pick(random, 60)),
        12 => EventKind::Hang(Duration::from_millis(100 + random.below(600))),
        13 => EventKind::EndlessAnswers(Duration::from_millis(100 + random.below(400))),
        14 => match random.below(2) {
            0 => EventKind::CloseServerConnections,
            _ => EventKind::ClockStep(STEPS_MS[pick(random, STEPS_MS.len())]),
        },
        _ => {
            let (call, errno, every) = FAULTS[pick(random, FAULTS.len())];
            EventKind::SystemFault { call, errno, every }
        }
    }
}

/// Returns the flood with this name.
pub fn flood(name: &str) -> Flood {
    use pipittack_testkit::wire::{message, query, startup};
    match name {
        "tls" => Flood::of_startup_packets(&[8u32.to_be_bytes(), 80_877_103u32.to_be_bytes()].concat()),
        "sync" => Flood::of_messages(&message(b'S', b"")),
        "empty" => Flood::of_messages(&query("")),
        "classes" => Flood::of_statements(|number| {
            format!("SELECT body FROM objects WHERE oid = 'k' /* id=f{number},c=x{number},d=400,cluster=1 */")
        }),
        "connections" => Flood::of_connections(&startup()),
        _ => panic!("unknown flood {name}"),
    }
}
