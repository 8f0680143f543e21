//! Many gateways in one process on virtual time, against a modelled site and its list.
//!
//! Owns the clock, the queue of what happens next, and for each proxy the books that the program's exchange keeps: open
//! requests, numbered attempts, timers, connections, and what passes between a process and its successor. It is
//! deterministic from its seed. It must never let a gateway see what only the models know.

mod troubles;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use pipittack_core::api::PeerMessage;
use pipittack_core::api::*;
use pipittack_core::RoutingEngine;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::check::{Checker, Rule, TOLD_SHARE};
use super::directory::Call;
use super::links::{Far, Links, Way};
use super::load::{Load, Wish};
use super::machine::State;
use super::plan::{Plan, Remembered, Trouble};
use super::report::{Report, Start};
use super::site::{Done, Effect, Site, Taken};

/// An attempt, by its request and number.
type Key = (u64, u32);

#[derive(Debug)]
enum Happens {
    Asked(usize),
    Again(Wish),
    Step(usize),
    Reached(usize, Key),
    Begins(Job),
    Done(Job),
    Heard(usize, Key, Outcome, Option<ServerStatus>),
    TimeOut(usize, Key),
    Probed(usize, usize, bool, Option<Load_>),
    Called(usize, bool),
    Silent(usize),
    ReplicaSetSnapshot(usize, usize),
    Gone(usize, u64),
    Trouble(usize),
    Over(Trouble, Vec<usize>),
    Elect(usize),
    Start(usize),
    Takes(usize),
    Leaves(usize),
    Ends(usize, f64),
    Loops(usize, f64, f64),
}

type Load_ = pipittack_core::api::LoadReport;

/// What a server works on, whether its proxy still waits for it or not.
#[derive(Debug, Clone, Copy)]
struct Job {
    process: usize,
    key: Key,
    server: usize,
    life: u32,
    class: ClassId,
    sent: f64,
    work_s: f64,
    excused: bool,
}

struct Open {
    wish: Wish,
    deadline: f64,
    attempts: u32,
}

struct Out {
    server: usize,
    class: ClassId,
    sent: f64,
    session: u64,
    /// The connection was new, and is its server's of this life.
    new: bool,
    life: u32,
    written: bool,
    work_s: f64,
    fresh_until: Option<f64>,
    /// Its server had been primary, and had told this process nothing else when it was sent.
    excused: bool,
}

/// A process of a proxy.
struct Process {
    proxy: usize,
    gateway: RoutingEngine,
    alive: bool,
    /// It takes requests.
    serves: bool,
    /// It stands still up to this time.
    stands_until: f64,
    /// Its place among the starts of the report.
    start: usize,
    events: Vec<Event>,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    last_step: f64,
    step_at: Option<f64>,
    open: BTreeMap<u64, Open>,
    out: BTreeMap<Key, Out>,
    /// Idle connections by server: of which life, and since when.
    idle: HashMap<usize, Vec<(u32, f64)>>,
    /// Where replicas are known to stand.
    positions: HashMap<usize, Option<f64>>,
    /// The version of the list that it has, if it has one.
    version: Option<usize>,
    watches: bool,
    /// Servers that told that they are no primaries.
    denied: HashSet<usize>,
    /// The starts of servers that the list has told.
    starts: HashMap<usize, f64>,
}

/// The stepper.
pub struct Stepper {
    plan: Plan,
    rng: Pcg64Mcg,
    now: f64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    happens: Vec<Option<Happens>>,
    free: Vec<usize>,
    order: u64,
    processes: Vec<Process>,
    /// The processes of each proxy: at most two serve.
    proxies: Vec<Vec<usize>>,
    /// The zone of each proxy.
    zones: Vec<usize>,
    /// The version of the list that each proxy had last.
    memory: Vec<Option<usize>>,
    site: Site,
    links: Links,
    /// Work of new connections at each server in the present second.
    handshakes: Vec<(u64, f64)>,
    /// Servers that the operators have out.
    by_hand: Vec<usize>,
    load: Load,
    burst: (f64, f64),
    requests: u64,
    checker: Checker,
    report: Report,
}

fn time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// Time at which a play begins: nothing may lie before zero.
const START: f64 = 1000.0;
/// Time in s without a word on a watch after which a proxy takes it for broken, and that in which a call must be up.
const SILENT_S: f64 = 3.5;
const CALL_UP_S: f64 = 1.0;
/// Time in s for which a process that was told to end goes on taking requests, and after which it is killed.
const KEPT_S: f64 = 1.8;
const KILLED_S: f64 = 3.7;

impl Stepper {
    /// Sets a plan up.
    pub fn new(plan: Plan) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let load_rng = Pcg64Mcg::seed_from_u64(rng.random());
        let load = Load::new(plan.load.clone(), plan.rate, plan.proxies, plan.sets, load_rng);
        let site = Site::new(&plan, START);
        let mut checker = Checker::new(plan.settings.clone());
        site.zones().into_iter().enumerate().for_each(|(server, zone)| checker.stands(server, zone));
        let memory = vec![site.remembered(START); plan.proxies];
        let mut stepper = Self {
            rng,
            now: START,
            queue: BinaryHeap::new(),
            happens: Vec::new(),
            free: Vec::new(),
            order: 0,
            processes: Vec::new(),
            proxies: vec![Vec::new(); plan.proxies],
            zones: (0..plan.proxies).map(|proxy| proxy % plan.zones).collect(),
            memory,
            handshakes: vec![(0, 0.0); site.servers.len()],
            site,
            links: Links::default(),
            by_hand: Vec::new(),
            load,
            burst: (1.0, 0.0),
            requests: 0,
            checker,
            report: Report::of(plan.settings.classes.len()),
            plan,
        };
        for proxy in 0..stepper.plan.proxies {
            let at = START + stepper.plan.start_s * stepper.rng.random::<f64>();
            stepper.at(at, Happens::Start(proxy));
            let first = at + 0.05 + stepper.load.pause(proxy, 1.0);
            stepper.at(first, Happens::Asked(proxy));
        }
        for trouble in 0..stepper.plan.troubles.len() {
            stepper.at(START + stepper.plan.troubles[trouble].0, Happens::Trouble(trouble));
        }
        stepper
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Report {
        let end = START + self.plan.length_s + 10.0;
        let mut forget_at = START + 20.0;
        while let Some(Reverse((at, _, place))) = self.queue.pop() {
            let at = at as f64 / 1e6;
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if self.now > forget_at {
                self.checker.forget(self.now - 20.0);
                self.links.forget(self.now);
                forget_at = self.now + 20.0;
            }
            let what = self.happens[place].take().expect("each happens once");
            self.free.push(place);
            self.happen(what);
        }
        self.checker.end(end);
        let mut report = self.report;
        (report.calls, report.calls_failed) = (self.site.list.calls, self.site.list.failed);
        report.call_longest_s = self.site.list.longest_s;
        (report.cold_most, report.fell) = (self.site.pushed_most(), self.site.fell);
        report.broken = self.checker.told(START);
        report
    }

    fn at(&mut self, at: f64, what: Happens) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.happens.push(None);
            self.happens.len() - 1
        });
        self.happens[place] = Some(what);
        self.order += 1;
        self.queue.push(Reverse(((at.max(self.now) * 1e6).ceil() as u64, self.order, place)));
    }

    fn happen(&mut self, what: Happens) {
        match what {
            Happens::Asked(proxy) => self.asked(proxy),
            Happens::Again(wish) => self.ask(wish),
            Happens::Step(process) => self.step(process),
            Happens::Reached(process, key) => self.reached(process, key),
            Happens::Begins(job) => self.begins(job),
            Happens::Done(job) => self.done(job),
            Happens::Heard(process, key, outcome, note) => self.heard(process, key, outcome, note),
            Happens::TimeOut(process, key) => self.timed_out(process, key),
            Happens::Probed(process, server, ok, report) => {
                let server = ServerId(server as u32);
                self.tell(process, Event::HealthChecked { server, ok, load_report: report });
            }
            Happens::Called(process, well) => self.called(process, well),
            Happens::Silent(process) => self.silent(process),
            Happens::ReplicaSetSnapshot(process, version) => self.news(process, version),
            Happens::Gone(process, id) => self.gone(process, id),
            Happens::Trouble(at) => self.trouble(self.plan.troubles[at].1),
            Happens::Over(trouble, whom) => self.over(trouble, &whom),
            Happens::Elect(set) => {
                let mut effects = Vec::new();
                self.site.elect(set, self.now, &mut effects);
                self.follow(effects);
            }
            Happens::Start(proxy) => self.start(proxy),
            Happens::Takes(process) => self.takes(process),
            Happens::Leaves(process) => self.processes[process].serves = false,
            Happens::Ends(process, by) => self.ends(process, by),
            Happens::Loops(proxy, every, until) => self.loops(proxy, every, until),
        }
    }

    /// Sees to what follows from something that befell the site.
    fn follow(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Listed(version, heard) => self.listed(version, heard),
                Effect::Died(server, life) => self.died(server, life),
                Effect::Elects(set, at) => self.at(at, Happens::Elect(set)),
            }
        }
        let zones = self.site.zones();
        for (server, zone) in zones.into_iter().enumerate().skip(self.handshakes.len()) {
            self.checker.stands(server, zone);
            self.handshakes.push((0, 0.0));
        }
    }

    // Proxies

    fn settings(&self, proxy: usize) -> Settings {
        let zone = ZoneId(self.zones[proxy]);
        let gateways = self.plan.proxies as u32;
        Settings {
            instance_index: proxy as u32,
            instance_count: gateways,
            zone,
            ..self.plan.settings.clone()
        }
    }

    /// A new process of a proxy, which knows a list or none.
    fn spawn(&mut self, proxy: usize, version: Option<usize>) -> usize {
        let seed = self.rng.random();
        let gateway = RoutingEngine::new(self.settings(proxy), seed).expect("the plan's settings are valid");
        self.report.starts.push(Start { at: self.now - START, ..Start::default() });
        self.processes.push(Process {
            proxy,
            gateway,
            alive: true,
            serves: false,
            stands_until: 0.0,
            start: self.report.starts.len() - 1,
            events: Vec::new(),
            timers: BinaryHeap::new(),
            last_step: 0.0,
            step_at: None,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            idle: HashMap::new(),
            positions: HashMap::new(),
            version,
            watches: false,
            denied: HashSet::new(),
            starts: HashMap::new(),
        });
        let process = self.processes.len() - 1;
        self.proxies[proxy].push(process);
        let outs: Vec<_> =
            self.by_hand.iter().map(|s| Event::TakenOutOfService(ServerId(*s as u32))).collect();
        for event in outs {
            self.tell(process, event);
        }
        if let Some(version) = version {
            let entries = self.site.list.whole(version);
            self.knows_starts(process, &entries);
            self.tell(process, Event::Endpoints(EndpointUpdate::Cached(entries)));
        }
        self.schedule(process);
        process
    }

    fn start(&mut self, proxy: usize) {
        let process = self.spawn(proxy, self.memory[proxy]);
        self.processes[process].serves = true;
    }

    /// A successor starts beside the process that serves, and takes over a little later.
    fn upgrade(&mut self, proxy: usize) {
        let Some(old) = self.server_of(proxy) else { return };
        let still = self.processes[old].stands_until > self.now;
        if still || self.proxies[proxy].iter().filter(|p| self.processes[**p].alive).count() > 1 {
            return;
        }
        self.step_now(old);
        let heritage = self.processes[old].gateway.snapshot();
        let new = self.spawn(proxy, self.processes[old].version);
        self.tell(new, Event::SnapshotReceived(Box::new(heritage)));
        let old = &self.processes[old];
        let kept = (old.positions.clone(), old.denied.clone(), old.starts.clone());
        let p = &mut self.processes[new];
        (p.positions, p.denied, p.starts) = kept;
        let at = self.now + self.rng.random_range(0.02..0.4);
        self.at(at, Happens::Takes(new));
    }

    /// A successor takes requests from now on, and the old process, which is told to end, finishes what it has.
    fn takes(&mut self, new: usize) {
        self.processes[new].serves = true;
        let proxy = self.processes[new].proxy;
        let before: Vec<_> = self.proxies[proxy].iter().copied().filter(|p| *p != new).collect();
        for old in before {
            self.at(self.now + 0.45, Happens::Leaves(old));
            self.at(self.now + 0.45, Happens::Ends(old, self.now + KILLED_S));
        }
    }

    /// A process that takes nothing more ends once it owes nothing, or is killed.
    fn ends(&mut self, process: usize, by: f64) {
        let p = &self.processes[process];
        if !p.alive {
            return;
        }
        if p.open.is_empty() || self.now >= by {
            return self.fell_away(process);
        }
        self.at(self.now + 0.05, Happens::Ends(process, by));
    }

    /// A process is gone, and with it all that it held.
    fn fell_away(&mut self, process: usize) {
        let p = &mut self.processes[process];
        if !std::mem::replace(&mut p.alive, false) {
            return;
        }
        p.serves = false;
        let proxy = p.proxy;
        self.memory[proxy] =
            if self.plan.remembered == Remembered::Nothing { None } else { p.version.or(self.memory[proxy]) };
        let p = &mut self.processes[process];
        let open: Vec<_> = std::mem::take(&mut p.open).into_iter().collect();
        let out: Vec<_> = std::mem::take(&mut p.out).into_values().collect();
        let idle = std::mem::take(&mut p.idle);
        p.events.clear();
        for (server, kept) in idle {
            self.close(server, &kept);
        }
        for out in out {
            self.close(out.server, &[(out.life, 0.0)]);
        }
        for (id, open) in open {
            self.checker.left(id);
            self.unheard(open.wish);
        }
        self.proxies[proxy].retain(|p| *p != process);
    }

    fn kill(&mut self, proxy: usize, for_s: f64) {
        if self.proxies[proxy].is_empty() {
            return;
        }
        for process in self.proxies[proxy].clone() {
            self.fell_away(process);
        }
        self.at(self.now + for_s, Happens::Start(proxy));
    }

    /// Killed again and again, each so many s after its start.
    fn loops(&mut self, proxy: usize, every: f64, until: f64) {
        self.kill(proxy, 0.1);
        if self.now < until {
            self.at(self.now + every, Happens::Loops(proxy, every, until));
        }
    }

    /// The process that takes a proxy's requests; one of both while there are two.
    fn server_of(&mut self, proxy: usize) -> Option<usize> {
        let serving: Vec<_> =
            self.proxies[proxy].iter().copied().filter(|p| self.processes[*p].serves).collect();
        (!serving.is_empty()).then(|| serving[self.rng.random_range(0..serving.len())])
    }

    fn tell(&mut self, process: usize, event: Event) {
        if self.processes[process].alive {
            self.processes[process].events.push(event);
            self.schedule(process);
        }
    }

    /// The other process of the same proxy hears a word before anything that it is told later.
    fn say(&mut self, process: usize, word: &PeerMessage) {
        let proxy = self.processes[process].proxy;
        for other in self.proxies[proxy].clone() {
            if other != process {
                self.tell(other, Event::PeerMessage(word.clone()));
            }
        }
    }

    fn schedule(&mut self, process: usize) {
        let tick = self.plan.settings.min_step_interval.as_secs_f64();
        let p = &self.processes[process];
        self.step_by(process, self.now.max(p.last_step + tick).max(p.stands_until));
    }

    /// Has a process stepped at this time, or before.
    fn step_by(&mut self, process: usize, at: f64) {
        let p = &mut self.processes[process];
        if p.step_at.is_none_or(|known| at < known) {
            p.step_at = Some(at);
            self.at(at, Happens::Step(process));
        }
    }

    fn step(&mut self, process: usize) {
        // One that was put forward has happened already.
        let p = &mut self.processes[process];
        if p.step_at.is_none_or(|at| at > self.now + 1e-6) {
            return;
        }
        if p.stands_until > self.now {
            p.step_at = None;
            return self.schedule(process);
        }
        self.step_now(process);
    }

    fn step_now(&mut self, process: usize) {
        let now = time(self.now);
        let p = &mut self.processes[process];
        if !p.alive {
            return;
        }
        (p.step_at, p.last_step) = (None, self.now);
        while let Some(Reverse((_, id))) = p.timers.peek().copied().filter(|t| t.0 .0 <= now) {
            p.timers.pop();
            p.events.push(Event::Timer(TimerId(id)));
        }
        let mut actions = Vec::new();
        let events = std::mem::take(&mut p.events);
        p.gateway.step(now, events, &mut actions);
        for action in actions {
            self.carry_out(process, action);
        }
        if let Some(Reverse((at, _))) = self.processes[process].timers.peek() {
            let at = at.as_secs_f64().max(self.now + self.plan.settings.min_step_interval.as_secs_f64());
            self.step_by(process, at);
        }
    }

    fn carry_out(&mut self, process: usize, action: Action) {
        match action {
            Action::Forward { request, server, timeout } => {
                self.send(process, request.0, server.0 as usize, timeout)
            }
            Action::Reject { request, retry_after } => {
                if let Some(open) = self.processes[process].open.remove(&request.0) {
                    self.checker.answered(request.0, true, self.now);
                    self.report.refused += 1;
                    self.unserved(open.wish, Some(retry_after));
                }
            }
            Action::Fail { request } => {
                if let Some(open) = self.processes[process].open.remove(&request.0) {
                    self.checker.answered(request.0, false, self.now);
                    self.report.failed += 1;
                    self.unserved(open.wish, None);
                }
            }
            Action::Cancel { request, attempt } => {
                let key = (request.0, attempt.0);
                if self.processes[process].out.contains_key(&key) {
                    self.heard(process, key, Outcome::Cancelled, None);
                }
            }
            Action::HealthCheck { server } => self.probe(process, server.0 as usize),
            Action::Watch { on } => {
                self.processes[process].watches = false;
                if on {
                    self.call(process);
                }
            }
            Action::Poll => self.call(process),
            Action::CloseIdle { server } => {
                let server = server.0 as usize;
                let kept = self.processes[process].idle.remove(&server).unwrap_or_default();
                self.close(server, &kept);
            }
            Action::SetTimer { after, id } => {
                let at = time(self.now) + after;
                self.processes[process].timers.push(Reverse((at, id.0)));
            }
            Action::Log(_) | Action::Gossip { .. } => {}
        }
    }

    // Clients

    fn asked(&mut self, proxy: usize) {
        let times = if self.now < self.burst.1 { self.burst.0 } else { 1.0 };
        if self.now > START + self.plan.length_s {
            return;
        }
        let next = self.now + self.load.pause(proxy, times);
        self.at(next, Happens::Asked(proxy));
        let wish = self.load.draw(proxy, self.now, &self.plan.settings);
        self.report.asked(&wish, &self.plan.settings.classes[wish.class.0], wish.asked - START);
        self.ask(wish);
    }

    fn ask(&mut self, mut wish: Wish) {
        wish.tries += 1;
        self.report.tries += 1;
        let Some(process) = self.server_of(wish.proxy) else { return self.unheard(wish) };
        self.requests += 1;
        let (id, now) = (self.requests, self.now);
        let start = &mut self.report.starts[self.processes[process].start];
        start.asked.get_or_insert(now - START - start.at);
        let class = &self.plan.settings.classes[wish.class.0];
        let brought = self.plan.settings.session_tokens == SessionTokens::FromClient;
        let mark = wish.mark.filter(|_| brought && class.consistency == Consistency::Causal);
        let left = wish.until - now;
        let request = Request {
            id: RequestId(id),
            class: wish.class,
            group: GroupId(wish.set as u64),
            tenant: None,
            time_left: time(left),
            is_retry: wish.tries > 1,
            statement_bytes: 100,
            expected_work: None,
            session: matches!(class.consistency, Consistency::Causal | Consistency::Write)
                .then(|| wish.session.to_string()),
            last_write_age: mark.map(|mark| time(now - mark)),
        };
        self.checker.took(id, wish.proxy, wish.class.0, wish.session, mark, (now, wish.until));
        let deadline = wish.until;
        // Some clients don't wait for as long as they said.
        let leaves = self.rng.random::<f64>() < 0.02;
        if leaves {
            let at = now + left * self.rng.random::<f64>();
            self.at(at, Happens::Gone(process, id));
        }
        self.processes[process].open.insert(id, Open { wish, deadline, attempts: 0 });
        self.tell(process, Event::Request(request));
    }

    /// Nobody was there to hear it.
    fn unheard(&mut self, wish: Wish) {
        self.report.unheard += 1;
        self.unserved(wish, None);
    }

    fn gone(&mut self, process: usize, id: u64) {
        if self.processes[process].open.remove(&id).is_some() {
            self.checker.left(id);
            self.tell(process, Event::ClientGone(RequestId(id)));
        }
    }

    /// A try ended without being served.
    fn unserved(&mut self, wish: Wish, refused: Option<Option<Duration>>) {
        let class = &self.plan.settings.classes[wish.class.0];
        if let Some(at) = self.load.again(&wish, class, refused, self.now) {
            self.at(at, Happens::Again(wish));
        }
    }

    // Attempts

    fn way(&self, process: usize, end: Far) -> Way {
        self.links.way(self.processes[process].proxy, end, self.now)
    }

    fn one_way(&self, process: usize, server: usize) -> f64 {
        let near = self.zones[self.processes[process].proxy] == self.site.servers[server].zone;
        let way = if near { self.plan.near_s } else { self.plan.far_s };
        way + self.way(process, Far::Server(server)).slow_s
    }

    fn close(&mut self, server: usize, kept: &[(u32, f64)]) {
        let machine = &mut self.site.servers[server].machine;
        let own = kept.iter().filter(|(life, _)| *life == machine.life).count();
        machine.connections = machine.connections.saturating_sub(own);
    }

    /// An idle connection, if there is one that is still open.
    fn pooled(&mut self, process: usize, server: usize) -> bool {
        let Some(kept) = self.processes[process].idle.get_mut(&server) else { return false };
        let (life, oldest) = (self.site.servers[server].machine.life, self.now - self.plan.idle_s);
        let stale: Vec<_> = kept.extract_if(.., |c| c.0 != life || c.1 < oldest).collect();
        let found = kept.pop().is_some();
        self.close(server, &stale);
        found
    }

    fn send(&mut self, process: usize, id: u64, server: usize, timeout: Duration) {
        let now = self.now;
        let Some(open) = self.processes[process].open.get_mut(&id) else { return };
        let key = (id, open.attempts);
        open.attempts += 1;
        let (class, session, work_s) = (open.wish.class, open.wish.session, open.wish.work_s);
        let until = (now + timeout.as_secs_f64()).min(open.deadline);
        let need = self.plan.settings.classes[class.0].consistency;
        let bound = match need {
            Consistency::BoundedStaleness(age) => Some(age.as_secs_f64()),
            _ => None,
        };
        let known = self.processes[process].positions.get(&server).copied().flatten();
        let fresh_until = known.zip(bound).map(|(known, bound)| known + bound);
        self.report.attempts += 1;
        self.checker.sent(id, server, now);
        let reads_there = need != Consistency::Write && self.site.is_primary(server);
        self.report.reads_at_primaries += usize::from(reads_there);
        let new = !self.pooled(process, server);
        let (life, was_primary) =
            (self.site.servers[server].machine.life, self.site.servers[server].was_primary);
        let excused = was_primary && !self.processes[process].denied.contains(&server);
        let (sent, written) = (now, false);
        let out = Out { server, class, sent, session, new, life, written, work_s, fresh_until, excused };
        self.processes[process].out.insert(key, out);
        self.at(until, Happens::TimeOut(process, key));
        let (far, way) = (self.way(process, Far::Server(server)), self.one_way(process, server));
        if !new {
            return self.at(now + way, Happens::Reached(process, key));
        }
        let patience = self.plan.settings.limits.connect_timeout.as_secs_f64();
        let failed = Happens::Heard(process, key, Outcome::ConnectFailed, None);
        let state = self.site.servers[server].machine.state;
        if far.cut || state == State::Dead || self.site.servers[server].gone {
            return self.at(now + 2.0 * way, failed);
        }
        if far.out_lost || state == State::Silent {
            return self.at(now + patience, failed);
        }
        if self.connects(server) {
            let up = 2.0 * way * self.plan.handshake_rtts;
            if far.back_lost || up > patience {
                return self.at(now + patience, failed);
            }
            self.at(now + up + way, Happens::Reached(process, key));
        } else {
            self.at(now + 2.0 * way, Happens::Heard(process, key, Outcome::Rejected, None));
        }
    }

    /// A new connection at a server; false where it has no room for one.
    fn connects(&mut self, server: usize) -> bool {
        let (now, cost) = (self.now, self.plan.machine.handshake_s);
        self.report.handshakes += 1;
        let machine = &mut self.site.servers[server].machine;
        let spent = &mut self.handshakes[server];
        let second = now as u64;
        *spent = if spent.0 == second { (second, spent.1 + cost) } else { (second, cost) };
        self.report.handshake_share = self.report.handshake_share.max(spent.1 / machine.capacity(now));
        machine.connect(now)
    }

    /// A query's last byte is at the server.
    fn reached(&mut self, process: usize, key: Key) {
        let now = self.now;
        let Some(out) = self.processes[process].out.get(&key) else { return };
        let (server, class, life, work_s) = (out.server, out.class, out.life, out.work_s);
        let (new, sent, excused) = (out.new, out.sent, out.excused);
        let way = self.one_way(process, server);
        // Its connection took so long that the data may have grown too old: it goes back unsent.
        if out.fresh_until.is_some_and(|until| now - way > until) {
            return self.heard(process, key, Outcome::NotSent, None);
        }
        if self.way(process, Far::Server(server)).out_lost {
            return;
        }
        let s = &self.site.servers[server];
        if s.machine.life != life || s.machine.state == State::Dead {
            let outcome = if new { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.at(now + way, Happens::Heard(process, key, outcome, None));
        }
        if let Some(out) = self.processes[process].out.get_mut(&key) {
            out.written = true;
        }
        self.checker.written(key.0, server, now - way);
        let started = self.site.servers[server].machine.started;
        let known = self.processes[process].starts.get(&server).copied().unwrap_or(0.0);
        let told = started.is_none_or(|started| known + 1e-6 > started);
        match self.site.take(server, class, work_s, told, now) {
            Taken::Nothing => {}
            Taken::Miss => self.answers(process, server, key, Outcome::Misdirected, None),
            Taken::Full => self.answers(process, server, key, Outcome::Rejected, None),
            Taken::Fell(told) => {
                if told > TOLD_SHARE {
                    let what = format!("server {server} was cold and fell over, {told:.2} by those who knew");
                    self.checker.breaks(now, Rule::Fell, what);
                }
                let mut effects = Vec::new();
                self.site.falls(server, now, &mut effects);
                self.follow(effects);
            }
            Taken::Runs(begins, ends) => {
                let job = Job { process, key, server, life, class, sent, work_s, excused };
                self.at(begins, Happens::Begins(job));
                self.at(ends, Happens::Done(job));
            }
        }
    }

    /// A server's answer is on its way, unless it is lost there.
    fn answers(
        &mut self,
        process: usize,
        server: usize,
        key: Key,
        outcome: Outcome,
        note: Option<ServerStatus>,
    ) {
        let (now, way) = (self.now, self.one_way(process, server));
        let note = note.unwrap_or_else(|| self.site.note(server, now));
        if !self.way(process, Far::Server(server)).back_lost {
            self.at(now + way, Happens::Heard(process, key, outcome, Some(note)));
        }
    }

    fn at_work(&self, job: &Job) -> bool {
        let machine = &self.site.servers[job.server].machine;
        machine.life == job.life && machine.state == State::Up
    }

    /// A server begins to work on it.
    fn begins(&mut self, job: Job) {
        if !self.at_work(&job) {
            return;
        }
        let position = self.site.begin(job.server, job.class, job.work_s, self.now);
        if let Some(position) = position.filter(|_| self.processes[job.process].out.contains_key(&job.key)) {
            self.checker.read(job.key.0, job.sent, position, job.excused, self.now);
        }
    }

    /// A server has done it.
    fn done(&mut self, job: Job) {
        if !self.at_work(&job) {
            return;
        }
        let Done { outcome, note } = self.site.finish(job.server, job.class, self.now);
        let write = self.plan.settings.classes[job.class.0].consistency == Consistency::Write;
        if write && outcome == Outcome::Success {
            self.checker.ran(job.key.0, job.class.0, self.now);
        }
        self.answers(job.process, job.server, job.key, outcome, Some(note));
    }

    fn timed_out(&mut self, process: usize, key: Key) {
        let Some(out) = self.processes[process].out.get(&key) else { return };
        let outcome = if out.written { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.heard(process, key, outcome, None);
    }

    /// An attempt ends for its process, once that does not stand still.
    fn heard(&mut self, process: usize, key: Key, outcome: Outcome, note: Option<ServerStatus>) {
        let now = self.now;
        let p = &mut self.processes[process];
        if !p.alive {
            return;
        }
        if p.stands_until > now {
            let at = p.stands_until;
            return self.at(at, Happens::Heard(process, key, outcome, note));
        }
        let Some(out) = p.out.remove(&key) else { return };
        let server = out.server;
        self.report.ended(outcome);
        self.checker.attempt_ended(key.0, key.1, outcome, out.sent);
        let kept = matches!(
            outcome,
            Outcome::Success | Outcome::Misdirected | Outcome::ServerError | Outcome::NotSent
        ) || (outcome == Outcome::Rejected && out.written);
        if kept && self.site.servers[server].machine.life == out.life {
            p.idle.entry(server).or_default().push((out.life, now));
        } else if !out.new || out.written {
            self.close(server, &[(out.life, now)]);
        }
        if let Some(note) = note {
            let p = &mut self.processes[process];
            let replica = note.primary == Some(false);
            if replica {
                p.denied.insert(server);
            } else if note.primary == Some(true) {
                p.denied.remove(&server);
            }
            let position = note.position.map(|at| at.as_secs_f64());
            let known = p.positions.get(&server).copied().flatten();
            let best = if known > position { known } else { position };
            p.positions.insert(server, best.filter(|_| replica));
        }
        let write = self.plan.settings.classes[out.class.0].consistency == Consistency::Write;
        let mut complete = !self.processes[process].open.contains_key(&key.0);
        if outcome == Outcome::Success {
            let commit = note.and_then(|note| note.position).map(|at| at.as_secs_f64());
            if let Some(commit) = commit.filter(|_| write) {
                let proxy = self.processes[process].proxy;
                self.checker.acknowledged(proxy, out.session, commit);
                if self.plan.settings.session_tokens == SessionTokens::Tracked {
                    let session = out.session.to_string();
                    self.say(process, &PeerMessage::SessionWrite { session, commit });
                }
            }
            if let Some(open) = self.processes[process].open.remove(&key.0) {
                self.checker.answered(key.0, false, now);
                if let Some(commit) = commit.filter(|_| write) {
                    self.load.acknowledged(&open.wish, commit, now);
                }
                let class = &self.plan.settings.classes[out.class.0];
                self.report.served(&open.wish, class, now, open.wish.asked - START);
                let start = &mut self.report.starts[self.processes[process].start];
                start.served.get_or_insert(now - START - start.at);
                complete = true;
            }
        }
        let ended = AttemptEnded {
            request: RequestId(key.0),
            attempt: AttemptNumber(key.1),
            server: ServerId(server as u32),
            outcome,
            round_trip: time(now - out.sent),
            request_complete: complete,
            status: note,
            load_report: None,
        };
        self.tell(process, Event::AttemptEnded(ended));
    }

    fn probe(&mut self, process: usize, server: usize) {
        self.report.probes += 1;
        let (now, way) = (self.now, self.one_way(process, server));
        let patience = self.plan.settings.limits.connect_timeout.as_secs_f64();
        let far = self.way(process, Far::Server(server));
        let s = &mut self.site.servers[server];
        if far.cut || s.machine.state == State::Dead || s.gone {
            return self.at(now + 2.0 * way, Happens::Probed(process, server, false, None));
        }
        if !far.is_open() || matches!(s.machine.state, State::Silent | State::Hung) {
            return self.at(now + patience, Happens::Probed(process, server, false, None));
        }
        let done = s.machine.work(now, self.plan.probe_s);
        let age = self.plan.report_s * self.rng.random::<f64>();
        let report = self.site.report(server, age, now);
        self.at(done + 2.0 * way, Happens::Probed(process, server, true, report));
    }

    // The list

    fn call(&mut self, process: usize) {
        if !self.way(process, Far::List).is_open() {
            return self.at(self.now + CALL_UP_S, Happens::Called(process, false));
        }
        match self.site.list.call(self.now) {
            Call::Answered(at, _) => self.at(at, Happens::Called(process, true)),
            Call::Failed(at) => self.at(at, Happens::Called(process, false)),
        }
    }

    fn called(&mut self, process: usize, well: bool) {
        if !self.processes[process].alive {
            return;
        }
        if !well || self.site.list.is_down(self.now) || !self.way(process, Far::List).is_open() {
            return self.tell(process, Event::Endpoints(EndpointUpdate::Failed));
        }
        self.processes[process].watches = true;
        let start = &mut self.report.starts[self.processes[process].start];
        start.told.get_or_insert(self.now - START - start.at);
        self.news(process, self.site.list.version(self.now));
    }

    /// Nothing was heard on a watch for so long that it counts as broken.
    fn silent(&mut self, process: usize) {
        let p = &mut self.processes[process];
        if !std::mem::replace(&mut p.watches, false) {
            self.tell(process, Event::Endpoints(EndpointUpdate::Failed));
        }
    }

    /// A process that watches is told all up to a version.
    fn news(&mut self, process: usize, version: usize) {
        let now = self.now;
        let p = &mut self.processes[process];
        if !p.alive || !p.watches {
            return;
        }
        let (after, proxy) = (p.version, p.proxy);
        // A service that knows less than its caller tells all.
        let known = after.filter(|after| *after <= version);
        p.version = Some(version);
        let entries = match known {
            Some(after) => self.site.list.since(after, version),
            None => self.site.list.whole(version),
        };
        for entry in &entries {
            let (server, healthy) = (entry.server, entry.state == EndpointState::Healthy);
            self.checker.listed(proxy, server.0 as usize, healthy, now);
            if !healthy {
                self.say(process, &PeerMessage::ServerWithdrawn(server));
            }
        }
        self.knows_starts(process, &entries);
        let view =
            if known.is_none() { EndpointUpdate::Full(entries) } else { EndpointUpdate::Changes(entries) };
        self.tell(process, Event::Endpoints(view));
    }

    fn knows_starts(&mut self, process: usize, entries: &[Endpoint]) {
        for entry in entries {
            if let Some(started) = entry.started_at {
                self.processes[process].starts.insert(entry.server.0 as usize, started.as_secs_f64());
            }
        }
    }

    /// The list service hears of a version, and tells it to all that watch.
    fn listed(&mut self, version: usize, heard: f64) {
        let spread = self.site.list.service().spread_s;
        for process in 0..self.processes.len() {
            if self.processes[process].alive {
                let at = heard + spread * self.rng.random::<f64>();
                self.at(at, Happens::ReplicaSetSnapshot(process, version));
            }
        }
    }
}
