//! Many gateways in one process on virtual time, against modelled servers and a modelled list.
//!
//! Owns the clock, the queue of what happens next, and for each proxy the books that the program's exchange keeps: open
//! requests, numbered attempts, timers, connections, and what passes between a process and its successor. It is
//! deterministic from its seed. It must never let a gateway see what only the models know.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use pipittack_core::heritage::Word;
use pipittack_core::interface::*;
use pipittack_core::Gateway;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::check::{Checker, Rule};
use super::copies::{self, Copies};
use super::directory::{Call, Directory, Service};
use super::load::{self, Load, Wish};
use super::machine::{Arrival, Machine, State, Traits};

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// What proxies are told at their start, but for their number and zone.
    pub settings: Settings,
    /// Proxies.
    pub proxies: usize,
    /// Zones.
    pub zones: usize,
    /// Sets, and members of each.
    pub sets: usize,
    /// See `sets`.
    pub members: usize,
    /// The servers.
    pub machine: Traits,
    /// How copies follow.
    pub copies: copies::Habits,
    /// The list service.
    pub service: Service,
    /// The clients.
    pub load: load::Habits,
    /// Requests a second, over all proxies.
    pub rate: f64,
    /// One way between two zones, and within one, in s.
    pub far_s: f64,
    /// See `far_s`.
    pub near_s: f64,
    /// Round trips of a new connection, and the time in s after which an idle one is closed.
    pub handshake_rtts: f64,
    /// See `handshake_rtts`.
    pub idle_s: f64,
    /// Work in s of a probe.
    pub probe_s: f64,
    /// Age in s of what a load report says.
    pub report_s: f64,
    /// Age in s of the copy that a new server starts from.
    pub seed_s: f64,
    /// What goes wrong, and when.
    pub troubles: Vec<(f64, Trouble)>,
    /// How long clients ask, in s.
    pub length_s: f64,
    /// Time in s over which proxies start.
    pub start_s: f64,
    /// Proxies have a list of this kind at their start.
    pub remembered: bool,
    /// For all that is drawn.
    pub seed: u64,
}

/// Something that goes wrong, or is done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// A server does this for so many s, and starts anew then.
    Strike(usize, State, f64),
    /// A server is so many times slower for so many s.
    Slow(usize, f64, f64),
    /// Replicas of a set apply so many times slower for so many s.
    Lag(usize, f64, f64),
    /// The list service is out of reach for so many s.
    ListDown(f64),
    /// A server drains; it goes after so many s, and a new one takes its place.
    Replace(usize, f64),
    /// The operators take a server out at every proxy, and call it back after so many s.
    ByHand(usize, f64),
    /// A proxy's process is replaced while it runs.
    Upgrade(usize),
    /// A proxy's process is killed, and starts anew after so many s.
    Kill(usize, f64),
    /// Nothing passes between the proxies of a zone and the servers of another one for so many s.
    Cut(usize, usize, f64),
    /// So many times the usual requests for so many s.
    Burst(f64, f64),
}

/// What came of it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Worth asked for, and served within the classes' aims.
    pub offered: f64,
    /// See `offered`.
    pub served: f64,
    /// The same by class.
    pub classes: Vec<(f64, f64)>,
    /// The same by second.
    pub seconds: Vec<(f64, f64)>,
    /// Tries of clients, those that were refused, those that failed, and those whose proxy was not there.
    pub tries: usize,
    /// See `tries`.
    pub refused: usize,
    /// See `tries`.
    pub failed: usize,
    /// See `tries`.
    pub unheard: usize,
    /// Attempts, those at primaries for reads, handshakes, probes.
    pub attempts: usize,
    /// See `attempts`.
    pub reads_at_primaries: usize,
    /// See `attempts`.
    pub handshakes: usize,
    /// See `attempts`.
    pub probes: usize,
    /// How attempts ended.
    pub outcomes: BTreeMap<String, usize>,
    /// Calls for the list, those that failed, and the longest wait.
    pub calls: usize,
    /// See `calls`.
    pub calls_failed: usize,
    /// See `calls`.
    pub call_longest_s: f64,
    /// When the last proxy had news of the list for the first time since its start, in s after that.
    pub last_told_s: f64,
    /// The most handshakes at one server in a second.
    pub handshakes_most: usize,
    /// The most that a cold server was sent, as a part of what pushes it over.
    pub cold_most: f64,
    /// Cold servers that fell over.
    pub fell: usize,
    /// Broken rules.
    pub broken: Vec<String>,
}

impl Report {
    /// The share of the worth that was served.
    pub fn share(&self) -> f64 {
        self.served / self.offered.max(1e-9)
    }

    /// The share between two seconds.
    pub fn share_between(&self, from: usize, to: usize) -> f64 {
        let part = self.seconds.get(from..to.min(self.seconds.len())).unwrap_or_default();
        let (offered, served) = part.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.0, sum.1 + s.1));
        served / f64::max(offered, 1e-9)
    }
}

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
    Heard(usize, Key, Outcome, Option<Note>),
    TimeOut(usize, Key),
    Probed(usize, usize, bool, Option<Report_>),
    Called(usize, bool),
    News(usize, usize),
    Gone(u64),
    Trouble(usize),
    Restore(usize, Trouble),
    Elect(usize),
    Start(usize),
    Takes(usize),
    Ends(usize),
}

type Report_ = pipittack_core::interface::Report;

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
    gateway: Gateway,
    started: f64,
    alive: bool,
    /// It takes requests.
    serves: bool,
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
    version: usize,
    watches: bool,
    told: Option<f64>,
    /// Servers that told that they are no primaries.
    denied: HashSet<usize>,
    /// The starts of servers that the list has told.
    starts: HashMap<usize, f64>,
}

struct Server {
    machine: Machine,
    set: usize,
    place: usize,
    zone: usize,
    drains: bool,
    gone: bool,
    was_primary: bool,
    handshakes: (u64, usize),
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
    servers: Vec<Server>,
    copies: Vec<Copies>,
    directory: Directory,
    /// What changed in each version.
    changes: Vec<Vec<usize>>,
    /// Servers that the operators have out.
    by_hand: Vec<usize>,
    cuts: Vec<(usize, usize, f64)>,
    load: Load,
    burst: (f64, f64),
    requests: u64,
    checker: Checker,
    report: Report,
}

fn time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// Of what pushed a cold server over, the part from proxies that knew of its start, over which they are to blame.
const TOLD_SHARE: f64 = 2.0 / 3.0;
/// Time at which a play begins: nothing may lie before zero.
const START: f64 = 1000.0;

impl Stepper {
    /// Sets a plan up.
    pub fn new(plan: Plan) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let load_rng = Pcg64Mcg::seed_from_u64(rng.random());
        let load = Load::new(plan.load.clone(), plan.rate, plan.proxies, plan.sets, load_rng);
        let mut checker = Checker::new(plan.settings.clone());
        let mut servers = Vec::new();
        for set in 0..plan.sets {
            for place in 0..plan.members {
                let zone = (set + place) % plan.zones;
                checker.stands(servers.len(), zone);
                let machine = Machine::new(plan.machine);
                let was_primary = place == 0;
                let (drains, gone, handshakes) = (false, false, (0, 0));
                servers.push(Server { machine, set, place, zone, drains, gone, was_primary, handshakes });
            }
        }
        let copies = (0..plan.sets).map(|_| Copies::new(plan.members, plan.copies, START)).collect();
        let report = Report { classes: vec![(0.0, 0.0); plan.settings.classes.len()], ..Report::default() };
        let mut stepper = Self {
            rng,
            now: START,
            queue: BinaryHeap::new(),
            happens: Vec::new(),
            free: Vec::new(),
            order: 0,
            processes: Vec::new(),
            proxies: vec![Vec::new(); plan.proxies],
            servers,
            copies,
            directory: Directory::new(plan.service),
            changes: vec![Vec::new()],
            by_hand: Vec::new(),
            cuts: Vec::new(),
            load,
            burst: (1.0, 0.0),
            requests: 0,
            checker,
            report,
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
                forget_at = self.now + 20.0;
            }
            let what = self.happens[place].take().expect("each happens once");
            self.free.push(place);
            self.happen(what);
        }
        self.checker.end(end);
        let mut report = self.report;
        (report.calls, report.calls_failed) = (self.directory.calls, self.directory.failed);
        report.call_longest_s = self.directory.longest_s;
        let pushed = self.servers.iter().map(|s| s.machine.pushed).fold(0.0, f64::max);
        report.cold_most = report.cold_most.max(pushed);
        report.broken = self
            .checker
            .broken
            .iter()
            .map(|b| format!("{:?} at {:.3} s: {}", b.rule, b.at - START, b.what))
            .collect();
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
                self.tell(process, Event::Probed { server, ok, report });
            }
            Happens::Called(process, well) => self.called(process, well),
            Happens::News(process, version) => self.news(process, version),
            Happens::Gone(id) => self.gone(id),
            Happens::Trouble(at) => self.trouble(self.plan.troubles[at].1),
            Happens::Restore(server, trouble) => self.restore(server, trouble),
            Happens::Elect(set) => self.elect(set),
            Happens::Start(proxy) => self.start(proxy),
            Happens::Takes(process) => self.takes(process),
            Happens::Ends(process) => self.ends(process),
        }
    }

    // Proxies

    fn settings(&self, proxy: usize) -> Settings {
        let zone = ZoneId(proxy % self.plan.zones);
        let gateways = self.plan.proxies as u32;
        Settings { index: proxy as u32, gateways, zone, ..self.plan.settings.clone() }
    }

    /// A new process of a proxy, which knows a list.
    fn spawn(&mut self, proxy: usize, remembered: Option<usize>) -> usize {
        let seed = self.rng.random();
        let gateway = Gateway::new(self.settings(proxy), seed).expect("the plan's settings are valid");
        let process = Process {
            proxy,
            gateway,
            started: self.now,
            alive: true,
            serves: false,
            events: Vec::new(),
            timers: BinaryHeap::new(),
            last_step: 0.0,
            step_at: None,
            open: BTreeMap::new(),
            out: BTreeMap::new(),
            idle: HashMap::new(),
            positions: HashMap::new(),
            version: remembered.unwrap_or(0),
            watches: false,
            told: None,
            denied: HashSet::new(),
            starts: HashMap::new(),
        };
        self.processes.push(process);
        let place = self.processes.len() - 1;
        self.proxies[proxy].push(place);
        let outs: Vec<_> = self.by_hand.iter().map(|s| Event::Offline(ServerId(*s as u32))).collect();
        for event in outs {
            self.tell(place, event);
        }
        if let Some(version) = remembered {
            let entries = self.entries(version, None);
            self.knows_starts(place, &entries);
            self.tell(place, Event::View(View::Remembered(entries)));
        } else {
            self.schedule(place);
        }
        place
    }

    fn start(&mut self, proxy: usize) {
        let known = self.plan.remembered.then(|| self.directory.version(self.now));
        let process = self.spawn(proxy, known);
        self.processes[process].serves = true;
    }

    /// A successor starts beside the process that serves, and takes over a little later.
    fn upgrade(&mut self, proxy: usize) {
        let Some(old) = self.server_of(proxy) else { return };
        if self.proxies[proxy].iter().filter(|p| self.processes[**p].alive).count() > 1 {
            return;
        }
        self.step_now(old);
        let heritage = self.processes[old].gateway.heritage();
        let new = self.spawn(proxy, Some(self.processes[old].version));
        self.tell(new, Event::Inherited(Box::new(heritage)));
        let positions = self.processes[old].positions.clone();
        self.processes[new].positions = positions;
        self.processes[new].denied = self.processes[old].denied.clone();
        self.processes[new].starts = self.processes[old].starts.clone();
        let at = self.now + self.rng.random_range(0.02..0.4);
        self.at(at, Happens::Takes(new));
    }

    /// A successor takes requests from now on, beside the old process, which is told to end.
    fn takes(&mut self, new: usize) {
        self.processes[new].serves = true;
        let proxy = self.processes[new].proxy;
        let before: Vec<_> = self.proxies[proxy].iter().copied().filter(|p| *p != new).collect();
        for old in before {
            self.at(self.now + 0.45, Happens::Ends(old));
        }
    }

    /// A process takes nothing more; it ends once it owes nothing.
    fn ends(&mut self, process: usize) {
        let p = &mut self.processes[process];
        p.serves = false;
        if !p.alive {
            return;
        }
        if p.open.is_empty() {
            p.alive = false;
        } else {
            self.at(self.now + 0.05, Happens::Ends(process));
        }
    }

    fn kill(&mut self, proxy: usize, for_s: f64) {
        for process in self.proxies[proxy].clone() {
            let p = &mut self.processes[process];
            if !std::mem::replace(&mut p.alive, false) {
                continue;
            }
            p.serves = false;
            let open: Vec<_> = std::mem::take(&mut p.open).into_iter().collect();
            p.out.clear();
            let idle = std::mem::take(&mut p.idle);
            for (server, kept) in idle {
                let machine = &mut self.servers[server].machine;
                let own = kept.iter().filter(|(life, _)| *life == machine.life).count();
                machine.connections = machine.connections.saturating_sub(own);
            }
            for (id, open) in open {
                self.checker.left(id);
                self.unheard(open.wish);
            }
        }
        self.proxies[proxy].clear();
        self.at(self.now + for_s, Happens::Start(proxy));
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
    fn say(&mut self, process: usize, word: &Word) {
        let proxy = self.processes[process].proxy;
        for other in self.proxies[proxy].clone() {
            if other != process {
                self.tell(other, Event::Told(word.clone()));
            }
        }
    }

    fn schedule(&mut self, process: usize) {
        let tick = self.plan.settings.tick.as_secs_f64();
        self.step_by(process, self.now.max(self.processes[process].last_step + tick));
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
        if self.processes[process].step_at.is_some_and(|at| at <= self.now + 1e-6) {
            self.step_now(process);
        }
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
            let at = at.as_secs_f64().max(self.now + self.plan.settings.tick.as_secs_f64());
            self.step_by(process, at);
        }
    }

    fn carry_out(&mut self, process: usize, action: Action) {
        match action {
            Action::Send { request, server, timeout } => {
                self.send(process, request.0, server.0 as usize, timeout)
            }
            Action::Refuse { request, retry_after } => {
                if let Some(open) = self.processes[process].open.remove(&request.0) {
                    self.checker.answered(request.0, true, self.now);
                    self.report.refused += 1;
                    self.ended(open.wish, Some(retry_after));
                }
            }
            Action::Fail { request } => {
                if let Some(open) = self.processes[process].open.remove(&request.0) {
                    self.checker.answered(request.0, false, self.now);
                    self.report.failed += 1;
                    self.ended(open.wish, None);
                }
            }
            Action::Cancel { request, attempt } => {
                let key = (request.0, attempt.0);
                if self.processes[process].out.contains_key(&key) {
                    self.heard(process, key, Outcome::Cancelled, None);
                }
            }
            Action::Probe { server } => self.probe(process, server.0 as usize),
            Action::Watch { on } => {
                self.processes[process].watches = false;
                if on {
                    self.call(process);
                }
            }
            Action::Fetch => self.call(process),
            Action::Close { server } => {
                let server = server.0 as usize;
                let kept = self.processes[process].idle.remove(&server).unwrap_or_default();
                self.close(server, &kept);
            }
            Action::Timer { after, id } => {
                let at = time(self.now) + after;
                self.processes[process].timers.push(Reverse((at, id.0)));
            }
            Action::Log(_) | Action::Tell { .. } => {}
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
        let worth = self.plan.settings.classes[wish.class.0].credit;
        self.report.offered += worth;
        self.report.classes[wish.class.0].0 += worth;
        let second = (wish.asked - START) as usize;
        if self.report.seconds.len() <= second {
            self.report.seconds.resize(second + 1, (0.0, 0.0));
        }
        self.report.seconds[second].0 += worth;
        self.ask(wish);
    }

    fn ask(&mut self, mut wish: Wish) {
        wish.tries += 1;
        self.report.tries += 1;
        let Some(process) = self.server_of(wish.proxy) else { return self.unheard(wish) };
        self.requests += 1;
        let (id, now) = (self.requests, self.now);
        let class = &self.plan.settings.classes[wish.class.0];
        let brought = self.plan.settings.session_marks == SessionMarks::Brought;
        let mark = wish.mark.filter(|_| brought && class.need == Need::Causal);
        let left = wish.until - now;
        let request = Request {
            id: RequestId(id),
            class: wish.class,
            group: GroupId(wish.set as u64),
            tenant: None,
            time_left: time(left),
            retry: wish.tries > 1,
            bytes: 100,
            cost: None,
            session: matches!(class.need, Need::Causal | Need::Write).then(|| wish.session.to_string()),
            wrote_ago: mark.map(|mark| time(now - mark)),
        };
        self.checker.took(id, wish.proxy, wish.class.0, wish.session, mark, (now, wish.until));
        let deadline = wish.until;
        // Some clients don't wait for as long as they said.
        let leaves = self.rng.random::<f64>() < 0.02;
        if leaves {
            let at = now + left * self.rng.random::<f64>();
            self.at(at, Happens::Gone(id));
        }
        self.processes[process].open.insert(id, Open { wish, deadline, attempts: 0 });
        self.tell(process, Event::Request(request));
    }

    /// Nobody was there to hear it.
    fn unheard(&mut self, wish: Wish) {
        self.report.unheard += 1;
        self.ended(wish, None);
    }

    fn gone(&mut self, id: u64) {
        for process in 0..self.processes.len() {
            if self.processes[process].alive && self.processes[process].open.remove(&id).is_some() {
                self.checker.left(id);
                self.tell(process, Event::Left(RequestId(id)));
                return;
            }
        }
    }

    /// A try ended without being served.
    fn ended(&mut self, wish: Wish, refused: Option<Option<Duration>>) {
        let class = &self.plan.settings.classes[wish.class.0];
        if let Some(at) = self.load.again(&wish, class, refused, self.now) {
            self.at(at, Happens::Again(wish));
        }
    }

    fn served(&mut self, wish: &Wish) {
        let class = &self.plan.settings.classes[wish.class.0];
        let in_time = self.now <= wish.asked + class.aim.as_secs_f64();
        let worth = class.credit * if in_time { 1.0 } else { class.late_value };
        self.report.served += worth;
        self.report.classes[wish.class.0].1 += worth;
        self.report.seconds[(wish.asked - START) as usize].1 += worth;
    }

    // Attempts

    fn is_cut(&mut self, process: usize, server: usize) -> bool {
        let now = self.now;
        self.cuts.retain(|cut| cut.2 > now);
        let (from, to) = (self.processes[process].proxy % self.plan.zones, self.servers[server].zone);
        self.cuts.iter().any(|cut| (cut.0, cut.1) == (from, to))
    }

    fn one_way(&self, process: usize, server: usize) -> f64 {
        let near = self.processes[process].proxy % self.plan.zones == self.servers[server].zone;
        if near {
            self.plan.near_s
        } else {
            self.plan.far_s
        }
    }

    fn close(&mut self, server: usize, kept: &[(u32, f64)]) {
        let machine = &mut self.servers[server].machine;
        let own = kept.iter().filter(|(life, _)| *life == machine.life).count();
        machine.connections = machine.connections.saturating_sub(own);
    }

    /// An idle connection, if there is one that is still open.
    fn pooled(&mut self, process: usize, server: usize) -> bool {
        let Some(kept) = self.processes[process].idle.get_mut(&server) else { return false };
        let (life, oldest) = (self.servers[server].machine.life, self.now - self.plan.idle_s);
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
        let bound = match self.plan.settings.classes[class.0].need {
            Need::Bounded(age) => Some(age.as_secs_f64()),
            _ => None,
        };
        let known = self.processes[process].positions.get(&server).copied().flatten();
        let fresh_until = known.zip(bound).map(|(known, bound)| known + bound);
        self.report.attempts += 1;
        self.checker.sent(id, server, now);
        let is_read = self.plan.settings.classes[class.0].need != Need::Write;
        let s = &self.servers[server];
        self.report.reads_at_primaries +=
            usize::from(is_read && self.copies[s.set].primary() == Some(s.place));
        let new = !self.pooled(process, server);
        let (life, was_primary) = (self.servers[server].machine.life, self.servers[server].was_primary);
        let excused = was_primary && !self.processes[process].denied.contains(&server);
        let (sent, written) = (now, false);
        let out = Out { server, class, sent, session, new, life, written, work_s, fresh_until, excused };
        self.processes[process].out.insert(key, out);
        self.at(until, Happens::TimeOut(process, key));
        let way = self.one_way(process, server);
        if !new {
            return self.at(now + way, Happens::Reached(process, key));
        }
        let patience = self.plan.settings.limits.connect_timeout.as_secs_f64();
        if self.is_cut(process, server) || self.servers[server].machine.state == State::Silent {
            return self.at(now + patience, Happens::Heard(process, key, Outcome::ConnectFailed, None));
        }
        if self.servers[server].machine.state == State::Dead || self.servers[server].gone {
            return self.at(now + 2.0 * way, Happens::Heard(process, key, Outcome::ConnectFailed, None));
        }
        self.report.handshakes += 1;
        let s = &mut self.servers[server];
        let second = now as u64;
        s.handshakes = if s.handshakes.0 == second { (second, s.handshakes.1 + 1) } else { (second, 1) };
        self.report.handshakes_most = self.report.handshakes_most.max(s.handshakes.1);
        if s.machine.connect(now) {
            let up = now + 2.0 * way * self.plan.handshake_rtts;
            self.at(up + way, Happens::Reached(process, key));
        } else {
            self.at(now + 2.0 * way, Happens::Heard(process, key, Outcome::Full, None));
        }
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
            return self.heard(process, key, Outcome::Moot, None);
        }
        if self.is_cut(process, server) {
            return;
        }
        let s = &self.servers[server];
        if s.machine.life != life || s.machine.state == State::Dead {
            let outcome = if new { Outcome::ConnectFailed } else { Outcome::Reset };
            return self.at(now + way, Happens::Heard(process, key, outcome, None));
        }
        if let Some(out) = self.processes[process].out.get_mut(&key) {
            out.written = true;
        }
        self.checker.written(key.0, server, now - way);
        if self.servers[server].machine.state != State::Up {
            return; // it takes everything and says nothing
        }
        let (set, place, drains) = {
            let s = &self.servers[server];
            (s.set, s.place, s.drains)
        };
        let primary = self.copies[set].primary() == Some(place);
        let write = self.plan.settings.classes[class.0].need == Need::Write;
        if drains || (write && !primary) {
            let note = self.note(server, now);
            let outcome = if write && !primary && !drains { Outcome::Miss } else { Outcome::Full };
            return self.at(now + way, Happens::Heard(process, key, outcome, Some(note)));
        }
        let started = self.servers[server].machine.started;
        let known = self.processes[process].starts.get(&server).copied().unwrap_or(0.0);
        let told = started.is_none_or(|started| known + 1e-6 > started);
        match self.servers[server].machine.arrive(now, work_s, told) {
            Arrival::Full => {
                let note = self.note(server, now);
                self.at(now + way, Happens::Heard(process, key, Outcome::Full, Some(note)));
            }
            Arrival::Fell(told) => {
                self.report.fell += 1;
                if told > TOLD_SHARE {
                    let what = format!("server {server} was cold and fell over, {told:.2} by those who knew");
                    self.checker.breaks(now, Rule::Fell, what);
                }
                self.dies(server);
            }
            Arrival::Runs(begins, ends) => {
                let job = Job { process, key, server, life, class, sent, work_s, excused };
                self.at(begins, Happens::Begins(job));
                self.at(ends, Happens::Done(job));
            }
        }
    }

    /// What a server says of itself.
    fn note(&mut self, server: usize, now: f64) -> Note {
        let s = &self.servers[server];
        let (set, place) = (s.set, s.place);
        let primary = self.copies[set].primary() == Some(place);
        let position = self.plan.settings.positions.then(|| time(self.copies[set].told(place, now)));
        Note { position, primary: Some(primary) }
    }

    /// A server begins to work on it.
    fn begins(&mut self, job: Job) {
        let Job { process, key, server, life, class, sent, work_s, excused } = job;
        let now = self.now;
        let s = &self.servers[server];
        if s.machine.life != life || s.machine.state != State::Up {
            return;
        }
        let (set, place) = (s.set, s.place);
        let primary = self.copies[set].primary() == Some(place);
        if !primary {
            let position = self.copies[set].position(place, now);
            if self.processes[process].out.contains_key(&key) {
                self.checker.read(key.0, sent, position, excused, now);
            }
            if self.plan.load.kinds[class.0].blocks {
                let took = work_s / (self.plan.machine.speed * self.servers[server].machine.share(now));
                self.copies[set].block(place, now, now + took);
            }
        }
    }

    /// A server has done it.
    fn done(&mut self, job: Job) {
        let Job { process, key, server, life, class, .. } = job;
        let now = self.now;
        let s = &self.servers[server];
        if s.machine.life != life || s.machine.state != State::Up {
            return;
        }
        let (set, place, way) = (s.set, s.place, self.one_way(process, server));
        let write = self.plan.settings.classes[class.0].need == Need::Write;
        let primary = self.copies[set].primary() == Some(place);
        let mut note = self.note(server, now);
        let outcome = if write && !primary {
            Outcome::Error
        } else if write {
            self.copies[set].commit(now);
            self.checker.ran(key.0, class.0, now);
            let commit = (now * 1e3).ceil() / 1e3;
            note.position = Some(time(commit));
            Outcome::Ok
        } else {
            Outcome::Ok
        };
        if !self.is_cut(process, server) {
            self.at(now + way, Happens::Heard(process, key, outcome, Some(note)));
        }
    }

    fn timed_out(&mut self, process: usize, key: Key) {
        let Some(out) = self.processes[process].out.get(&key) else { return };
        let outcome = if out.written { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.heard(process, key, outcome, None);
    }

    /// An attempt ends for its process.
    fn heard(&mut self, process: usize, key: Key, outcome: Outcome, note: Option<Note>) {
        let now = self.now;
        if !self.processes[process].alive {
            return;
        }
        let Some(out) = self.processes[process].out.remove(&key) else { return };
        let server = out.server;
        *self.report.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
        self.checker.attempt_ended(key.0, key.1, outcome, out.sent);
        let machine = &mut self.servers[server].machine;
        let kept = matches!(outcome, Outcome::Ok | Outcome::Miss | Outcome::Error)
            || (outcome == Outcome::Full && out.written)
            || (outcome == Outcome::Moot);
        if kept && machine.life == out.life {
            self.processes[process].idle.entry(server).or_default().push((out.life, now));
        } else if machine.life == out.life && (!out.new || out.written) {
            machine.connections = machine.connections.saturating_sub(1);
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
        let write = self.plan.settings.classes[out.class.0].need == Need::Write;
        let mut complete = !self.processes[process].open.contains_key(&key.0);
        if outcome == Outcome::Ok {
            let commit = note.and_then(|note| note.position).map(|at| at.as_secs_f64());
            if let Some(commit) = commit.filter(|_| write) {
                let proxy = self.processes[process].proxy;
                self.checker.acknowledged(proxy, out.session, commit);
                if self.plan.settings.session_marks == SessionMarks::Kept {
                    let session = out.session.to_string();
                    self.say(process, &Word::Wrote { session, commit });
                }
            }
            if let Some(open) = self.processes[process].open.remove(&key.0) {
                self.checker.answered(key.0, false, now);
                if let Some(commit) = commit.filter(|_| write) {
                    self.load.acknowledged(&open.wish, commit, now);
                }
                self.served(&open.wish);
                complete = true;
            }
        }
        let ended = Ended {
            request: RequestId(key.0),
            attempt: Attempt(key.1),
            server: ServerId(server as u32),
            outcome,
            rtt: time(now - out.sent),
            complete,
            note,
            report: None,
        };
        self.tell(process, Event::Ended(ended));
    }

    fn probe(&mut self, process: usize, server: usize) {
        self.report.probes += 1;
        let (now, way) = (self.now, self.one_way(process, server));
        let patience = self.plan.settings.limits.connect_timeout.as_secs_f64();
        let cut = self.is_cut(process, server);
        let s = &mut self.servers[server];
        if cut || matches!(s.machine.state, State::Silent | State::Hung) {
            return self.at(now + patience, Happens::Probed(process, server, false, None));
        }
        if s.machine.state == State::Dead || s.gone {
            return self.at(now + 2.0 * way, Happens::Probed(process, server, false, None));
        }
        let done = s.machine.work(now, self.plan.probe_s);
        let (set, place) = (s.set, s.place);
        let told = self.plan.settings.reports != Reports::Silent;
        let report = told.then(|| {
            let at = now - self.plan.report_s * self.rng.random::<f64>();
            let primary = self.copies[set].primary() == Some(place);
            // What a replica had some time ago is a little less than what it has now.
            let position = self.copies[set].told(place, now) - (now - at);
            Report_ { position: Some(time(position)), primary: Some(primary), ..Report_::default() }
        });
        self.at(done + 2.0 * way, Happens::Probed(process, server, true, report));
    }

    // The list

    /// The entries of a version, or only those that changed after another one.
    fn entries(&self, version: usize, after: Option<usize>) -> Vec<Entry> {
        let named: Vec<usize> = match after {
            Some(after) => {
                let changed = self.changes.get(after + 1..=version).unwrap_or_default();
                let mut changed: Vec<usize> = changed.iter().flatten().copied().collect();
                changed.sort_unstable();
                changed.dedup();
                changed
            }
            None => (0..self.servers.len()).filter(|s| !self.servers[*s].gone).collect(),
        };
        named.into_iter().map(|server| self.entry(server)).collect()
    }

    fn entry(&self, server: usize) -> Entry {
        let s = &self.servers[server];
        let head = match self.plan.settings.role_column {
            RoleColumn::Static => s.place == 0,
            RoleColumn::Trailing => self.copies[s.set].primary() == Some(s.place),
            RoleColumn::Silent => false,
        };
        let health = match (s.gone, s.drains) {
            (true, _) => Health::Gone,
            (_, true) => Health::Draining,
            _ => Health::Healthy,
        };
        Entry {
            server: ServerId(server as u32),
            zone: ZoneId(s.zone),
            kind: KindId(0),
            group: GroupId(s.set as u64),
            head,
            health,
            rating: 1.0,
            started: s.machine.started.map(time),
        }
    }

    fn call(&mut self, process: usize) {
        match self.directory.call(self.now) {
            Call::Answered(at, _) => self.at(at, Happens::Called(process, true)),
            Call::Failed(at) => self.at(at, Happens::Called(process, false)),
        }
    }

    fn called(&mut self, process: usize, well: bool) {
        if !self.processes[process].alive {
            return;
        }
        if !well || self.directory.is_down(self.now) {
            return self.tell(process, Event::View(View::Refused));
        }
        self.processes[process].watches = true;
        let version = self.directory.version(self.now);
        self.news(process, version);
    }

    /// A process that watches is told all up to a version.
    fn news(&mut self, process: usize, version: usize) {
        let now = self.now;
        let p = &mut self.processes[process];
        if !p.alive || !p.watches {
            return;
        }
        let first = p.told.is_none();
        p.told.get_or_insert(now);
        let after = p.version;
        p.version = version.max(after);
        let (started, proxy) = (p.started, p.proxy);
        if first {
            self.report.last_told_s = self.report.last_told_s.max(now - started);
        }
        // Whoever was there before hears of changes; whoever knows nothing, of all.
        let whole = first && !self.plan.remembered;
        let entries = self.entries(version, (!whole).then_some(after));
        for entry in &entries {
            let (server, healthy) = (entry.server, entry.health == Health::Healthy);
            self.checker.listed(proxy, server.0 as usize, healthy, now);
            if !healthy {
                self.say(process, &Word::Withdrawn(server));
            }
        }
        self.knows_starts(process, &entries);
        let view = if whole { View::All(entries) } else { View::Changes(entries) };
        self.tell(process, Event::View(view));
    }

    fn knows_starts(&mut self, process: usize, entries: &[Entry]) {
        for entry in entries {
            if let Some(started) = entry.started {
                self.processes[process].starts.insert(entry.server.0 as usize, started.as_secs_f64());
            }
        }
    }

    /// Something changed about a server that the list will tell.
    fn changed(&mut self, server: usize) {
        let (version, heard) = self.directory.changed(self.now);
        self.changes.push(vec![server]);
        let spread = self.directory.service().spread_s;
        for process in 0..self.processes.len() {
            if self.processes[process].alive {
                let at = heard + spread * self.rng.random::<f64>();
                self.at(at, Happens::News(process, version));
            }
        }
    }

    // Troubles

    fn trouble(&mut self, trouble: Trouble) {
        let now = self.now;
        match trouble {
            Trouble::Strike(server, state, for_s) => {
                let server = server % self.servers.len();
                if self.servers[server].machine.state != State::Up || self.servers[server].gone {
                    return;
                }
                match state {
                    State::Dead => self.dies(server),
                    other => {
                        self.servers[server].machine.state = other;
                        self.loses(server);
                    }
                }
                self.at(now + for_s, Happens::Restore(server, trouble));
            }
            Trouble::Slow(server, times, for_s) => {
                let server = server % self.servers.len();
                self.servers[server].machine.slow = times;
                self.at(now + for_s, Happens::Restore(server, trouble));
            }
            Trouble::Lag(set, times, for_s) => {
                let set = set % self.copies.len();
                self.copies[set].slow = times;
                self.at(now + for_s, Happens::Restore(set, trouble));
            }
            Trouble::ListDown(for_s) => {
                self.directory.fail(now, for_s);
                for process in 0..self.processes.len() {
                    if std::mem::replace(&mut self.processes[process].watches, false) {
                        self.tell(process, Event::View(View::Refused));
                    }
                }
            }
            Trouble::Replace(server, for_s) => {
                let server = server % self.servers.len();
                if self.servers[server].drains || self.servers[server].gone {
                    return;
                }
                self.servers[server].drains = true;
                self.changed(server);
                let s = &self.servers[server];
                if self.copies[s.set].primary() == Some(s.place) {
                    let (set, at) = (s.set, now + self.plan.copies.switch_s);
                    self.copies[set].lose_primary(now);
                    self.at(at, Happens::Elect(set));
                }
                self.at(now + for_s, Happens::Restore(server, trouble));
            }
            Trouble::ByHand(server, for_s) => {
                let server = server % self.servers.len();
                self.by_hand.push(server);
                for process in 0..self.processes.len() {
                    self.tell(process, Event::Offline(ServerId(server as u32)));
                }
                for proxy in 0..self.plan.proxies {
                    self.checker.listed(proxy, server, false, now);
                }
                self.at(now + for_s, Happens::Restore(server, trouble));
            }
            Trouble::Upgrade(proxy) => self.upgrade(proxy % self.plan.proxies),
            Trouble::Kill(proxy, for_s) => {
                let proxy = proxy % self.plan.proxies;
                if !self.proxies[proxy].is_empty() {
                    self.kill(proxy, for_s);
                }
            }
            Trouble::Cut(from, to, for_s) => {
                let zones = self.plan.zones;
                self.cuts.push((from % zones, to % zones, now + for_s));
            }
            Trouble::Burst(times, for_s) => self.burst = (times, now + for_s),
        }
    }

    fn restore(&mut self, at: usize, trouble: Trouble) {
        let now = self.now;
        match trouble {
            Trouble::Strike(..) if self.servers[at].gone => {}
            Trouble::Strike(..) => {
                self.servers[at].machine.start(now);
                self.changed(at);
            }
            Trouble::Slow(..) => self.servers[at].machine.slow = 1.0,
            Trouble::Lag(..) => self.copies[at].slow = 1.0,
            Trouble::Replace(..) => {
                self.servers[at].gone = true;
                self.dies(at);
                self.changed(at);
                self.joins(self.servers[at].set, self.servers[at].zone);
            }
            Trouble::ByHand(..) => {
                // It was restarted meanwhile.
                self.servers[at].machine.start(now);
                self.loses(at);
                self.by_hand.retain(|server| *server != at);
                for process in 0..self.processes.len() {
                    self.tell(process, Event::Online(ServerId(at as u32)));
                }
                for proxy in 0..self.plan.proxies {
                    self.checker.listed(proxy, at, true, now);
                }
            }
            _ => {}
        }
    }

    /// A new server joins a set, cold and behind.
    fn joins(&mut self, set: usize, zone: usize) {
        let now = self.now;
        let place = self.servers.iter().filter(|s| s.set == set).count();
        let mut machine = Machine::new(self.plan.machine);
        machine.start(now);
        self.copies[set].renew(place, now, self.plan.seed_s);
        let (drains, gone, was_primary, handshakes) = (false, false, false, (0, 0));
        self.servers.push(Server { machine, set, place, zone, drains, gone, was_primary, handshakes });
        let server = self.servers.len() - 1;
        self.checker.stands(server, zone);
        self.changed(server);
    }

    /// A server's process ends: who waits for it is told at once.
    fn dies(&mut self, server: usize) {
        let (life, pushed) = (self.servers[server].machine.life, self.servers[server].machine.pushed);
        self.report.cold_most = self.report.cold_most.max(pushed);
        self.servers[server].machine.die();
        for process in 0..self.processes.len() {
            let own = |out: &Out| out.server == server && out.life == life;
            let keys: Vec<_> =
                self.processes[process].out.iter().filter(|(_, out)| own(out)).map(|(key, _)| *key).collect();
            let way = self.one_way(process, server);
            for key in keys {
                let written = self.processes[process].out[&key].written;
                let outcome = if written { Outcome::Reset } else { Outcome::ConnectFailed };
                self.at(self.now + way, Happens::Heard(process, key, outcome, None));
            }
        }
        self.loses(server);
    }

    /// If it was the primary of its set, another one takes over after a while.
    fn loses(&mut self, server: usize) {
        let s = &self.servers[server];
        let (set, place) = (s.set, s.place);
        if self.copies[set].primary() == Some(place) {
            self.copies[set].lose_primary(self.now);
            let at = self.now + self.plan.copies.detect_s + self.plan.copies.elect_s;
            self.at(at, Happens::Elect(set));
        }
    }

    fn elect(&mut self, set: usize) {
        if self.copies[set].primary().is_some() {
            return;
        }
        let able = |s: &Server| s.machine.state == State::Up && !s.gone && !s.drains;
        let places: Vec<usize> =
            self.servers.iter().filter(|s| s.set == set && able(s)).map(|s| s.place).collect();
        match self.copies[set].elect(self.now, |place| places.contains(&place)) {
            Some(place) => {
                let server = self.servers.iter().position(|s| s.set == set && s.place == place);
                let server = server.expect("it was found among them");
                self.servers[server].was_primary = true;
                if self.plan.settings.role_column == RoleColumn::Trailing {
                    self.changed(server);
                }
            }
            None => self.at(self.now + 0.5, Happens::Elect(set)),
        }
    }
}
