//! The failover trial: changes of primary of every kind, under load, against a program; and the count of what
//! its clients were told and what the data servers ran.
//!
//! Owns the script and the load, both drawn from a seed. It must never judge by anything but the accounts of the
//! stand-ins and the answers that clients got.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::check::{check, Faults};
use crate::client::{Answer, Ask, Client, Outcome};
use crate::list::{ListServer, Target};
use crate::program::Program;
use crate::set::{Habits, Mode, ReplicatedSet, Role};

/// Members of each set.
const MEMBERS: usize = 3;
/// Writers and readers of each set, and how many requests a second they send together.
const WRITERS: usize = 40;
const READERS: usize = 20;
const WRITES_PER_S: f64 = 25.0;
const READS_PER_S: f64 = 60.0;
/// Of so many readers one reads what its session has written: nothing of late, so that any replica will do.
const OWN_EVERY: usize = 5;
/// Share of writes whose client leaves before the answer.
const LEAVES: f64 = 0.02;
/// Tries of a client after the first one.
const RETRIES: u32 = 2;
/// Figures of the platform, in milliseconds before they are scaled.
const WRITE: (f64, f64) = (600.0, 3000.0);
const READ: (f64, f64) = (500.0, 1200.0);
const OWN: (f64, f64) = (500.0, 1500.0);
const DETECT: (f64, f64) = (1000.0, 2400.0);
const ELECT: (f64, f64) = (1900.0, 3800.0);
const SWITCH: (f64, f64) = (320.0, 800.0);
const PAUSE: (f64, f64) = (120.0, 390.0);
const LIST_LATE: (f64, f64) = (1200.0, 4900.0);
const SETTLES: f64 = 800.0;
/// Rounds of a set between two that strike all sets at once.
const TOGETHER_EVERY: usize = 10;

/// What befalls a set in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The primary stands still, is deposed, and comes back as a replica.
    Hang,
    /// Its process dies.
    Death,
    /// It is cut off both ways.
    Cut,
    /// It hands over by order, with no word from the list.
    Switch,
    /// The list says that it drains, and it hands over.
    Drain,
    /// It drains, and stands still before it has handed over.
    HangInDrain,
    /// It stands still, is deposed, comes back and says for a while that it is the primary.
    FalsePrimary,
    /// The same at the very moment at which its successor is chosen: two claim at once.
    TwoClaims,
    /// Its successor dies while it takes over.
    SuccessorDies,
    /// It stands still for a moment and goes on: no change.
    Pause,
    /// It stands still while the list says nothing.
    ListSilent,
    /// It stands still, and the program is replaced meanwhile.
    Upgrade,
}

const KINDS: [Kind; 12] = [
    Kind::Hang,
    Kind::Death,
    Kind::Cut,
    Kind::Switch,
    Kind::Drain,
    Kind::HangInDrain,
    Kind::FalsePrimary,
    Kind::TwoClaims,
    Kind::SuccessorDies,
    Kind::Pause,
    Kind::ListSilent,
    Kind::Upgrade,
];

/// What to play.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The program.
    pub program: PathBuf,
    /// Where it may write.
    pub folder: PathBuf,
    /// Changes to play, over all sets.
    pub rounds: usize,
    /// Sets that are played at a time.
    pub sets: usize,
    /// Of everything drawn.
    pub seed: u64,
    /// All times are those of the platform times this.
    pub scale: f64,
    /// Time past a request's wait after which it has got no answer.
    pub slack: Duration,
    /// Only this kind.
    pub only: Option<Kind>,
    /// Say on standard error how each set stands after each round.
    pub tell: bool,
}

/// What came of writes sent during rounds of one kind.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Tally {
    /// Rounds.
    pub rounds: u64,
    /// Writes sent.
    pub writes: u64,
    /// Served.
    pub served: u64,
    /// Refused as harmless.
    pub refused: u64,
    /// Failed: may have run.
    pub failed: u64,
}

/// What came of a trial.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Report {
    /// Rounds played.
    pub rounds: u64,
    /// Of the script.
    pub seed: u64,
    /// Writes sent, each try counted.
    pub writes: u64,
    /// Served.
    pub served: u64,
    /// Refused as harmless.
    pub refused: u64,
    /// Failed: may have run.
    pub failed: u64,
    /// Clients that left before their answer.
    pub left: u64,
    /// Writes that ran twice.
    pub doubles: u64,
    /// Served, but not in the log that survived.
    pub silent_losses: u64,
    /// Refused as harmless, but it ran.
    pub false_refusals: u64,
    /// Requests without a final answer in time, reads included.
    pub unanswered: u64,
    /// How long writes waited that came during a change and were served.
    pub held_p50_ms: f64,
    /// The same, for all but one in a hundred.
    pub held_p99_ms: f64,
    /// From a takeover to the moment at which the new primary begins its first write.
    pub first_write_after_takeover_p50_ms: f64,
    /// The same, for nine in ten.
    pub first_write_after_takeover_p90_ms: f64,
    /// Worth served over worth asked for, a client's tries counted as one.
    pub worth_kept: f64,
    /// The same, for writes alone.
    pub write_worth_kept: f64,
    /// Whether the program ran to the end.
    pub survived: bool,
    /// Writes by what befell their set.
    pub kinds: BTreeMap<String, Tally>,
    /// The same script against another build.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub beside: Option<Box<Report>>,
}

impl Report {
    /// Whether every rule was kept.
    pub fn is_clean(&self) -> bool {
        self.survived && self.doubles + self.silent_losses + self.false_refusals + self.unanswered == 0
    }
}

/// A round as it was played.
struct Round {
    kind: Kind,
    began: Instant,
    ended: Instant,
    /// When the set took writes again, and how long after that the first one ran.
    taken: Option<(Instant, Option<Duration>)>,
}

struct World {
    plan: Plan,
    sets: Vec<ReplicatedSet>,
    list: ListServer,
    program: Mutex<Program>,
    together: Barrier,
    stop: AtomicBool,
}

fn uid(set: usize, member: usize) -> String {
    format!("db-{set}-{member}")
}

impl Plan {
    fn ms(&self, platform_ms: f64) -> Duration {
        Duration::from_secs_f64(platform_ms * self.scale / 1e3)
    }

    fn draw(&self, rng: &mut Pcg64Mcg, (least, most): (f64, f64)) -> Duration {
        self.ms(rng.random_range(least..most))
    }

    fn config(&self, list: &ListServer) -> String {
        let ms = |n: f64| (n * self.scale).round();
        serde_json::json!({
            "name": "trial", "listen": "LISTEN", "discovery": list.address.to_string(),
            "seed": format!("{:x}", self.seed), "limits": {"memory_mb": 192, "sockets": 4096},
            "known": serde_json::from_str::<serde_json::Value>(&list.whole()).unwrap_or_default(),
            "settings": {
                "Classes": [
                    {"Name": "font-lookup", "Credit": 1, "OnTimeMs": ms(READ.0), "DeadlineMs": ms(READ.1), "Effect": "repeatable"},
                    {"Name": "own-changes", "Credit": 2, "OnTimeMs": ms(OWN.0), "DeadlineMs": ms(OWN.1), "LateValue": 0.2, "Effect": "repeatable"},
                    {"Name": "usage-write", "Credit": 4, "OnTimeMs": ms(WRITE.0), "DeadlineMs": ms(WRITE.1), "LateValue": 0.5, "Effect": "once"},
                ],
                "Contract": {"AnswerSlackMs": 20, "AskEveryMs": 10000, "ColdShare": 0.27, "OverloadFactor": 2,
                    "OverloadForMs": 1000, "StopSendingWithinMs": 2000, "WarmUpMs": ms(2000.0)},
                "Discovery": "subscribe",
                "Domain": {"MaxAgeMs": [3000, 0, 0], "NeedsByClass": ["lag_bound", "causal", "mutate"], "Positions": true,
                    "ServerChecks": "silent", "SessionMarks": "brought", "ShowsRole": "trailing"},
                "GroupSize": 1,
                "Limits": {"AttemptsCap": 6, "ConnIdleMs": 15000, "ConnectTimeoutMs": ms(250.0), "MaxRetryAfterMs": ms(1000.0),
                    "MayCancel": true, "Probes": false, "RetryAfter": true, "SecondCopies": true, "StreamsPerConn": 1},
                "Report": {"Columns": [], "How": "silent"}, "TickMs": 5, "Zone": "north", "Zones": ["north", "south"],
            },
        })
        .to_string()
    }
}

/// Plays a trial to its end.
pub fn play(plan: Plan) -> io::Result<Report> {
    let habits = Habits { sync: true, cores: 5, work: plan.ms(86.0), ship: Duration::from_millis(5) };
    let sets =
        (0..plan.sets).map(|_| ReplicatedSet::start(MEMBERS, habits)).collect::<io::Result<Vec<_>>>()?;
    let target = |(set, member): (usize, usize)| Target {
        uid: uid(set, member),
        endpoint: sets[set].addresses()[member],
        group: set as u64,
        state: "Ready",
        primary: member == 0,
    };
    let all = (0..plan.sets).flat_map(|set| (0..MEMBERS).map(move |member| (set, member)));
    let list = ListServer::start(all.map(target).collect())?;
    let program = Mutex::new(Program::start(&plan.program, &plan.folder, &plan.config(&list))?);
    let address = program.lock().expect("nothing has run yet").address;
    let (together, stop) = (Barrier::new(plan.sets), AtomicBool::new(false));
    let world = Arc::new(World { plan, sets, list, program, together, stop });

    let mut load = Vec::new();
    for set in 0..world.plan.sets {
        for (write, many, rate) in [(true, WRITERS, WRITES_PER_S), (false, READERS, READS_PER_S)] {
            let every = Duration::from_secs_f64(many as f64 / rate);
            for n in 0..many {
                let (world, client) = (world.clone(), Client::new(address));
                let first = every.mul_f64(n as f64 / many as f64);
                load.push((set, thread::spawn(move || world.send(client, (set, n, write), first, every))));
            }
        }
    }
    let mut scripts = Vec::new();
    for set in 0..world.plan.sets {
        let world = world.clone();
        scripts.push(thread::spawn(move || world.script(set)));
    }
    let died = || io::Error::other("a thread of the trial died");
    let mut rounds = Vec::new();
    for script in scripts {
        rounds.push(script.join().map_err(|_| died())?);
    }
    // What was sent is answered, and what stood still has gone on, before accounts are read.
    world.stop.store(true, Ordering::Relaxed);
    let mut sent: Vec<Vec<Outcome>> = (0..world.plan.sets).map(|_| Vec::new()).collect();
    let mut worth = [(0.0, 0.0); 2];
    for (set, thread) in load {
        let (outcomes, kind, (asked, got)) = thread.join().map_err(|_| died())?;
        sent[set].extend(outcomes);
        worth[kind] = (worth[kind].0 + asked, worth[kind].1 + got);
    }
    thread::sleep(world.plan.ms(SETTLES));
    let survived = world.program.lock().map(|mut program| program.runs()).unwrap_or(false);
    Ok(report(&world, &sent, &rounds, worth, survived))
}

impl World {
    /// Sends requests at even times until the end. Gives what came of each try, the kind of request, and the worth
    /// that was asked for and got.
    fn send(
        &self,
        mut client: Client,
        (set, number, write): (usize, usize, bool),
        first: Duration,
        every: Duration,
    ) -> (Vec<Outcome>, usize, (f64, f64)) {
        let seed = self.plan.seed ^ ((set * 1000 + number) as u64) << 20 ^ u64::from(write) << 50;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut outcomes, mut worth, mut n) = (Vec::new(), (0.0, 0.0), 0);
        let (class, credit, late, (aim, most)) = match (write, number % OWN_EVERY) {
            (true, _) => ("usage-write", 4.0, 0.5, WRITE),
            (false, 0) => ("own-changes", 2.0, 0.2, OWN),
            (false, _) => ("font-lookup", 1.0, 0.0, READ),
        };
        let (aim, most) = (self.plan.ms(aim), self.plan.ms(most));
        let mut due = Instant::now() + first;
        loop {
            while Instant::now() < due && !self.stop.load(Ordering::Relaxed) {
                thread::sleep(due.saturating_duration_since(Instant::now()).min(Duration::from_millis(100)));
            }
            if self.stop.load(Ordering::Relaxed) {
                return (outcomes, usize::from(write), worth);
            }
            while due <= Instant::now() {
                due += every;
            }
            let began = Instant::now();
            let leaves = write && rng.random_bool(LEAVES);
            let leave = leaves.then(|| self.plan.draw(&mut rng, (20.0, 600.0)));
            worth.0 += if leaves { 0.0 } else { credit };
            for _ in 0..=RETRIES {
                let wait = most.saturating_sub(began.elapsed());
                if wait < Duration::from_millis(20) {
                    break;
                }
                let id = format!("{}{set}-{number}-{n}", if write { 'w' } else { 'r' });
                n += 1;
                let slack = self.plan.slack;
                let ask = Ask { id: &id, class, write, group: set as u64, wait, slack };
                let outcome = client.ask(&ask, leave);
                let answer = outcome.answer.clone();
                outcomes.push(outcome);
                match answer {
                    Answer::Served if !leaves => {
                        worth.1 += credit * if began.elapsed() <= aim { 1.0 } else { late };
                    }
                    Answer::Refused(hint) if leave.is_none() => {
                        thread::sleep(hint.unwrap_or(Duration::from_millis(50)));
                        continue;
                    }
                    _ => {}
                }
                break;
            }
        }
    }

    fn script(&self, set: usize) -> Vec<Round> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.plan.seed ^ (set as u64) << 40);
        let mut kinds: Vec<Kind> = match self.plan.only {
            Some(kind) => vec![kind],
            None => KINDS.into_iter().filter(|kind| *kind != Kind::Upgrade || set == 0).collect(),
        };
        kinds.shuffle(&mut rng);
        // What is left over goes to the first sets; those that strike together must be as many for each.
        let rounds = self.plan.rounds / self.plan.sets;
        let mine = rounds + usize::from(set < self.plan.rounds % self.plan.sets);
        let mut played = Vec::new();
        thread::sleep(self.plan.ms(SETTLES));
        for n in 0..mine {
            let mut kind = kinds[n % kinds.len()];
            if n % TOGETHER_EVERY == TOGETHER_EVERY - 1 && n < rounds {
                self.together.wait();
                kind = self.plan.only.unwrap_or(Kind::Hang);
            }
            played.push(self.round(set, kind, &mut rng));
            if self.plan.tell {
                eprintln!("set {set} after {kind:?}: {}", self.sets[set].describe());
            }
        }
        played
    }

    fn round(&self, set: usize, kind: Kind, rng: &mut Pcg64Mcg) -> Round {
        let plan = &self.plan;
        let s = &self.sets[set];
        let began = Instant::now();
        let old = s.primary().expect("each round ends with a primary");
        let pause = |range, rng: &mut Pcg64Mcg| thread::sleep(plan.draw(rng, range));
        let late = plan.draw(rng, LIST_LATE);
        let mut taken = None;
        let mut take_over = |before: usize| {
            let new = s.promote();
            taken = new.map(|new| (Instant::now(), new));
            for (member, primary) in [(Some(before), false), (new, true)] {
                let Some(member) = member else { continue };
                self.list.update(&uid(set, member), late, |t| t.primary = primary);
            }
            new
        };
        match kind {
            Kind::Pause => {
                s.strike(old, Mode::Hung);
                pause(PAUSE, rng);
                s.revive(old, Role::Primary);
            }
            Kind::Switch | Kind::Drain => {
                let drains = kind == Kind::Drain;
                if drains {
                    let told = plan.draw(rng, (50.0, 300.0));
                    self.list.update(&uid(set, old), told, |t| t.state = "Terminating");
                }
                s.yield_primary(old, drains);
                pause(SWITCH, rng);
                while !s.is_copied(old) {
                    thread::sleep(Duration::from_millis(1));
                }
                take_over(old);
                if drains {
                    pause((1000.0, 1500.0), rng);
                    s.strike(old, Mode::Dead);
                    pause((300.0, 600.0), rng);
                }
                s.revive(old, Role::Replica);
                if drains {
                    self.list.update(&uid(set, old), Duration::ZERO, |t| t.state = "Ready");
                }
            }
            Kind::Hang | Kind::Death | Kind::Cut | Kind::ListSilent | Kind::Upgrade => {
                let mode = match kind {
                    Kind::Death => Mode::Dead,
                    Kind::Cut => Mode::CutOff,
                    _ => Mode::Hung,
                };
                if kind == Kind::ListSilent {
                    self.list.silence(true);
                }
                s.strike(old, mode);
                pause(DETECT, rng);
                if kind == Kind::Upgrade {
                    let upgraded = self.program.lock().expect("no script panics").upgrade();
                    upgraded.expect("the program can be replaced");
                }
                pause(ELECT, rng);
                take_over(old);
                pause((600.0, 1500.0), rng);
                s.revive(old, Role::Replica);
                if kind == Kind::ListSilent {
                    self.list.silence(false);
                }
            }
            Kind::HangInDrain => {
                self.list.update(&uid(set, old), plan.draw(rng, (50.0, 300.0)), |t| t.state = "Terminating");
                s.yield_primary(old, true);
                pause((50.0, 250.0), rng);
                s.strike(old, Mode::Hung);
                pause(DETECT, rng);
                pause(ELECT, rng);
                take_over(old);
                pause((600.0, 1500.0), rng);
                s.revive(old, Role::Replica);
                self.list.update(&uid(set, old), Duration::ZERO, |t| t.state = "Ready");
            }
            Kind::FalsePrimary | Kind::TwoClaims => {
                s.strike(old, if rng.random_bool(0.5) { Mode::Hung } else { Mode::CutOff });
                pause(DETECT, rng);
                pause(ELECT, rng);
                take_over(old);
                if kind == Kind::FalsePrimary {
                    pause((300.0, 900.0), rng);
                }
                s.revive(old, Role::FalsePrimary);
                pause((300.0, 900.0), rng);
                s.demote(old);
            }
            Kind::SuccessorDies => {
                s.strike(old, Mode::Hung);
                pause(DETECT, rng);
                pause(ELECT, rng);
                let first = take_over(old).expect("two replicas are up");
                pause((5.0, 200.0), rng);
                s.strike(first, Mode::Dead);
                pause(DETECT, rng);
                s.revive(old, Role::Replica); // the one that is left needs a follower
                pause(ELECT, rng);
                take_over(first);
                pause((300.0, 600.0), rng);
                s.revive(first, Role::Replica);
            }
        }
        thread::sleep(plan.ms(SETTLES));
        let taken = taken.map(|(at, new)| (at, s.first_write_after(new)));
        Round { kind, began, ended: Instant::now(), taken }
    }
}

fn report(
    world: &World,
    sent: &[Vec<Outcome>],
    rounds: &[Vec<Round>],
    worth: [(f64, f64); 2],
    survived: bool,
) -> Report {
    let mut report = Report { seed: world.plan.seed, survived, ..Report::default() };
    let mut faults = Faults::default();
    let histogram = || Histogram::<u64>::new(3).expect("three digits are within its range");
    let (mut held, mut first) = (histogram(), histogram());
    for ((outcomes, rounds), set) in sent.iter().zip(rounds).zip(&world.sets) {
        faults.extend(check(outcomes, &set.account()));
        for round in rounds {
            report.rounds += 1;
            report.kinds.entry(name(round.kind)).or_default().rounds += 1;
            if let Some((_, Some(after))) = round.taken {
                let _ = first.record(after.as_micros() as u64);
            }
        }
        for outcome in outcomes.iter().filter(|o| o.write) {
            let round = rounds.iter().rev().find(|r| r.began <= outcome.sent && outcome.sent < r.ended);
            let mut none = Tally::default();
            let tally = match round {
                Some(round) => report.kinds.entry(name(round.kind)).or_default(),
                None => &mut none,
            };
            report.writes += 1;
            tally.writes += 1;
            match outcome.answer {
                Answer::Served => {
                    (report.served, tally.served) = (report.served + 1, tally.served + 1);
                    let taken = round.and_then(|r| r.taken).map(|(at, _)| at);
                    if taken.is_some_and(|at| outcome.sent < at) {
                        let _ = held.record(outcome.took.as_micros() as u64);
                    }
                }
                Answer::Refused(_) => {
                    (report.refused, tally.refused) = (report.refused + 1, tally.refused + 1);
                }
                Answer::Failed(_) => (report.failed, tally.failed) = (report.failed + 1, tally.failed + 1),
                Answer::Left => report.left += 1,
                Answer::Unanswered => {}
            }
        }
    }
    let ms = |histogram: &Histogram<u64>, part: f64| histogram.value_at_quantile(part) as f64 / 1e3;
    (report.held_p50_ms, report.held_p99_ms) = (ms(&held, 0.5), ms(&held, 0.99));
    report.first_write_after_takeover_p50_ms = ms(&first, 0.5);
    report.first_write_after_takeover_p90_ms = ms(&first, 0.9);
    report.worth_kept = (worth[0].1 + worth[1].1) / (worth[0].0 + worth[1].0).max(1e-9);
    report.write_worth_kept = worth[1].1 / worth[1].0.max(1e-9);
    for (ids, what) in [
        (&faults.doubles, "ran twice"),
        (&faults.silent_losses, "served and lost"),
        (&faults.false_refusals, "refused and ran"),
        (&faults.unanswered, "unanswered"),
    ] {
        for id in ids.iter().take(20) {
            let outcome = sent.iter().flatten().find(|o| o.id == *id);
            let round = outcome.and_then(|o| {
                let rounds = rounds.iter().flatten();
                rounds.filter(|r| r.began <= o.sent && o.sent < r.ended).map(|r| r.kind).next()
            });
            eprintln!("{what}: {id} {:?} in a round of {round:?}", outcome.map(|o| (&o.answer, o.took)));
        }
    }
    report.doubles = faults.doubles.len() as u64;
    report.silent_losses = faults.silent_losses.len() as u64;
    report.false_refusals = faults.false_refusals.len() as u64;
    report.unanswered = faults.unanswered.len() as u64;
    report
}

fn name(kind: Kind) -> String {
    serde_json::to_value(kind).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}
