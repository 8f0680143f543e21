//! Telling an overloaded primary from a dead one, in a fleet of which each instance sends a primary little.

use std::time::Duration;

use pipittack_core::api::*;

use crate::common::*;

/// Groups beside group 1, each with a primary of its own.
const OTHER_GROUPS: u32 = 5;
/// The time that clients wait: shorter than the silence after which a primary counts as lost.
const SHORT_DEADLINE: Duration = Duration::from_millis(900);
/// A response later than half of the latency objective counts as late.
const LATE_RESPONSE: Duration = Duration::from_millis(300);
const STEP: Duration = Duration::from_millis(10);

/// An engine that knows the primaries of all groups, and how long these take to respond.
struct Fleet {
    bench: Bench,
    /// Attempts with the time of their end and their outcome.
    due: Vec<(Duration, SentAttempt, Outcome)>,
    /// How long the primaries of the other groups take to respond.
    others_take: Duration,
    /// How the primary of group 1 responds.
    observed: Behavior,
    logs: Vec<String>,
}

#[derive(Clone, Copy)]
enum Behavior {
    RespondsAfter(Duration),
    /// It answers nothing until the client's time is over.
    Silent,
}

impl Fleet {
    fn new(others_take: Duration) -> Self {
        let mut bench = Bench::new(large_fleet_settings());
        let others = (1..=OTHER_GROUPS).flat_map(|n| {
            let group = GroupId(u64::from(n) + 1);
            let member = move |server, primary| Endpoint { group, ..endpoint(server, primary) };
            [member(10 * n, true), member(10 * n + 1, false)]
        });
        let list = endpoint_list().into_iter().chain(others).collect();
        bench.step(vec![Event::Endpoints(EndpointUpdate::Full(list))]);
        let observed = Behavior::RespondsAfter(others_take);
        Self { bench, due: Vec::new(), others_take, observed, logs: Vec::new() }
    }

    fn write(&mut self, group: u64) -> Vec<Action> {
        let request = self.bench.request(UNIQUE_WRITE);
        let request = Request { group: GroupId(group), time_left: SHORT_DEADLINE, ..request };
        let actions = self.bench.step(vec![Event::Request(request)]);
        self.take(&actions);
        actions
    }

    /// Notes when the attempts that were sent will end.
    fn take(&mut self, actions: &[Action]) {
        let texts = actions.iter().filter_map(|action| match action {
            Action::Log(text) => Some(text.clone()),
            _ => None,
        });
        self.logs.extend(texts);
        for attempt in std::mem::take(&mut self.bench.sent) {
            let now = self.bench.now;
            let is_replica = [2, 3].contains(&attempt.server.0) || attempt.server.0 % 10 == 1;
            let end = match self.observed {
                _ if is_replica && attempt.server != PRIMARY => (now + STEP, attempt, Outcome::Misdirected),
                _ if attempt.server != PRIMARY => (now + self.others_take, attempt, Outcome::Success),
                Behavior::RespondsAfter(time) => (now + time, attempt, Outcome::Success),
                Behavior::Silent => (now + SHORT_DEADLINE, attempt, Outcome::Timeout),
            };
            self.due.push(end);
        }
    }

    /// Lets time pass, and attempts end.
    fn pass(&mut self, time: Duration) {
        let until = self.bench.now + time;
        while self.bench.now < until {
            let actions = self.bench.pass(STEP);
            self.take(&actions);
            let now = self.bench.now;
            let (ended, open) = std::mem::take(&mut self.due).into_iter().partition(|(at, ..)| *at <= now);
            self.due = open;
            for (_, attempt, outcome) in ended {
                let role = match outcome {
                    Outcome::Success => Some(true),
                    Outcome::Misdirected => Some(false),
                    _ => None,
                };
                let actions = self.bench.end_attempt(attempt, outcome, role, ms(0));
                self.take(&actions);
            }
        }
    }

    /// One write to each group in turn, `interval` apart.
    fn write_to_all(&mut self, interval: Duration) {
        for group in 1..=u64::from(OTHER_GROUPS) + 1 {
            self.write(group);
            self.pass(interval);
        }
    }

    /// Whether group 1 counts as having no primary.
    fn has_lost_primary(&self) -> bool {
        self.logs.iter().any(|text| text.starts_with("group 1 entered phase without a primary"))
    }

    /// The time from when the primary of group 1 falls silent until it counts as lost.
    fn detection_time(&mut self, interval: Duration) -> Duration {
        self.observed = Behavior::Silent;
        let silent_since = self.bench.now;
        while !self.has_lost_primary() {
            assert!(self.bench.now < silent_since + ms(60_000), "it is never noticed");
            self.write(1);
            self.pass(interval);
        }
        self.bench.now - silent_since
    }
}

/// Guards against an overloaded primary that is taken for dead: its writes were rejected for seconds.
#[test]
fn a_primary_is_not_lost_by_one_timeout_while_all_primaries_respond_late() {
    let mut fleet = Fleet::new(LATE_RESPONSE);
    for _ in 0..4 {
        fleet.write_to_all(ms(100));
    }
    fleet.pass(ms(1000));
    assert!(!fleet.has_lost_primary(), "{:?}", fleet.logs);
    fleet.observed = Behavior::Silent;
    fleet.write(1);
    fleet.pass(ms(50)); // a replica declines it first
    fleet.observed = Behavior::RespondsAfter(LATE_RESPONSE);
    fleet.pass(SHORT_DEADLINE + ms(100));
    assert!(fleet.logs.iter().any(|text| text.contains("suspected")), "the write timed out at the primary");
    assert!(!fleet.has_lost_primary(), "{:?}", fleet.logs);
    fleet.pass(ms(500));
    let actions = fleet.write(1);
    assert_eq!((forwarded_to(&actions).len(), rejection_count(&actions)), (1, 0), "{:?}", fleet.logs);
}

/// Guards against a slower detection: the times are those of the detector that judged a timeout by itself.
#[test]
fn a_dead_primary_is_lost_as_soon_as_before_while_others_respond_in_time() {
    let mut times = Vec::new();
    for offset_ms in [0, 70, 140, 210] {
        for interval_ms in [100, 300, 1000, 3000] {
            let mut fleet = Fleet::new(ms(20));
            for _ in 0..4 {
                fleet.write_to_all(ms(100));
            }
            fleet.pass(ms(offset_ms));
            times.push(fleet.detection_time(ms(interval_ms)));
        }
    }
    times.sort();
    assert_eq!((times[times.len() / 2], times[times.len() - 1]), (ms(1000), ms(3000)));
}
