//! The closed loop: carries the engine's actions out on the simulated cluster and feeds it what comes of them.

use std::collections::BTreeMap;
use std::time::Duration;

use pipittack_core::api::PeerMessage;
use pipittack_core::api::{
    Action, AttemptEnded, AttemptNumber, ClassId, Consistency, DiscoveryMode, EndpointUpdate, Event, GroupId,
    LoadReport, LoadReports, Outcome, Request, RequestId, ServerId, ServerStatus, Settings, TenantId,
    TimerId,
};
use pipittack_core::RoutingEngine;

use crate::cluster::{Attempted, Cluster, Process};
use crate::counters::Counters;
use crate::hash::Hash;
use crate::random::Random;
use crate::settings::Case;

/// When the script begins on the engine's clock.
const START: Duration = Duration::from_secs(100);
/// Sessions that requests belong to.
const SESSIONS: u64 = 40;
/// Mean time between two disturbances.
const DISTURBANCE_MS: u64 = 600;

/// Something that is due at some time.
#[derive(Debug, Clone)]
pub enum Task {
    Arrival,
    Disturbance,
    EndOfBurst,
    AttemptEnd(AttemptKey, Outcome),
    StreamStart(AttemptKey),
    Probed(u32),
    Timer { id: u64, generation: u32 },
    Leave(RequestId),
    WholeList,
    ListRefused,
    Changed(Vec<u32>),
    Gossip(Vec<u8>),
    Promote(u64),
    Restart(u32),
    Wake(u32),
    Online(u32),
}

/// One attempt of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    pub request: RequestId,
    pub number: u32,
}

/// An attempt that was sent and has not ended.
#[derive(Debug, Clone, Copy)]
struct InFlight {
    server: u32,
    sent: Duration,
}

/// A request without its final answer.
#[derive(Debug, Clone)]
struct OpenRequest {
    group: u64,
    write: bool,
    stream: bool,
    attempts: u32,
    /// How often its replica set had changed its primary, if there was none when the request arrived.
    without_primary: Option<u32>,
}

/// The run of one case.
pub struct Script {
    pub(crate) case: Case,
    pub(crate) settings: Settings,
    pub(crate) engine: RoutingEngine,
    pub(crate) cluster: Cluster,
    pub(crate) random: Random,
    pub(crate) now: Duration,
    /// What the engine's clock is ahead of the script's; changes with each process.
    pub(crate) clock_offset: Duration,
    pub(crate) generation: u32,
    pub(crate) pause: Option<Duration>,
    /// A new process takes over after this step.
    pub(crate) restart_due: bool,
    pub(crate) requests_per_s: u64,
    pub(crate) watching: bool,
    pub(crate) counters: Counters,
    tasks: BTreeMap<(Duration, u64), Task>,
    next_task: u64,
    next_request: u64,
    open: BTreeMap<RequestId, OpenRequest>,
    in_flight: BTreeMap<AttemptKey, InFlight>,
    hash: Hash,
}

/// What a case came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcomes {
    pub hash: u64,
    pub counters: Counters,
}

/// Runs a case from its start to its end.
pub fn run(case: &Case) -> Outcomes {
    let mut script = Script::new(case);
    let end = Duration::from_secs(case.simulated_s);
    while script.now < end {
        script.advance();
    }
    script.hash.snapshot(&script.engine.snapshot());
    Outcomes { hash: script.hash.value(), counters: script.counters }
}

impl Script {
    fn new(case: &Case) -> Self {
        let mut random = Random::new(case.seed);
        let settings = case.settings();
        let mut script = Self {
            case: *case,
            engine: RoutingEngine::new(settings.clone(), case.seed).expect("valid settings"),
            settings,
            cluster: Cluster::new(case, &mut random),
            random,
            now: Duration::ZERO,
            clock_offset: START,
            generation: 0,
            pause: None,
            restart_due: false,
            requests_per_s: case.requests_per_s,
            watching: case.discovery == DiscoveryMode::Push,
            counters: Counters::default(),
            tasks: BTreeMap::new(),
            next_task: 0,
            next_request: 0,
            open: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            hash: Hash::new(),
        };
        let entries = script.cluster.entries(script.clock_offset);
        let remembered = case.seed.is_multiple_of(2) || case.discovery == DiscoveryMode::Subscribe;
        let view = if remembered { EndpointUpdate::Cached(entries) } else { EndpointUpdate::Full(entries) };
        script.step(vec![Event::Endpoints(view)]);
        script.after(Duration::ZERO, Task::Arrival);
        script.after(Duration::from_secs(2), Task::Disturbance);
        script
    }

    /// Puts a task on the schedule.
    pub(crate) fn after(&mut self, delay: Duration, task: Task) {
        self.next_task += 1;
        self.tasks.insert((self.now + delay, self.next_task), task);
    }

    /// The script's time on the engine's clock.
    pub(crate) fn engine_time(&self) -> Duration {
        self.now + self.clock_offset
    }

    /// Goes to the next task, does all that are due then, and steps the engine once.
    fn advance(&mut self) {
        let (due, _) = *self.tasks.keys().next().expect("arrivals never end");
        self.now = self.now.max(due);
        if let Some(pause) = self.pause.take() {
            self.now += pause;
        } else if self.random.happens(300) {
            self.now += self.random.duration_ms(0, 3);
        }
        let mut events = Vec::new();
        while let Some(next) = self.tasks.first_entry().filter(|next| next.key().0 <= self.now) {
            let task = next.remove();
            self.perform(task, &mut events);
        }
        self.step(events);
        if std::mem::take(&mut self.restart_due) {
            self.hot_restart();
        }
    }

    /// Steps the engine and carries out what it answers.
    pub(crate) fn step(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.engine.step(self.engine_time(), events, &mut actions);
        self.counters.steps += 1;
        self.hash.step(self.engine_time(), &actions);
        for action in actions {
            self.counters.action(&action);
            self.carry_out(action);
        }
    }

    /// Forgets what the process that ends had open.
    pub(crate) fn drop_open_requests(&mut self) {
        self.open.clear();
        self.in_flight.clear();
        self.generation += 1;
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Forward { request, server, timeout } => self.send(request, server.0, timeout),
            Action::Reject { request, .. } => {
                let open = self.open.remove(&request);
                self.counters.rejected_writes += u64::from(open.is_some_and(|open| open.write));
            }
            Action::Fail { request } => {
                self.open.remove(&request);
            }
            Action::Cancel { request, attempt } => {
                let key = AttemptKey { request, number: attempt.0 };
                self.after(Duration::from_micros(500), Task::AttemptEnd(key, Outcome::Cancelled));
            }
            Action::HealthCheck { server } => {
                let delay = self.random.duration_ms(1, 15);
                self.after(delay, Task::Probed(server.0));
            }
            Action::Watch { on } => self.subscribe(on),
            Action::Poll => self.after(Duration::from_millis(50), Task::WholeList),
            Action::Gossip { bytes, .. } => {
                if self.random.happens(300) {
                    let delay = self.random.duration_ms(1, 30);
                    self.after(delay, Task::Gossip(bytes));
                }
            }
            Action::SetTimer { after, id } => {
                let late = self.random.duration_ms(0, 2);
                self.after(after + late, Task::Timer { id: id.0, generation: self.generation });
            }
            Action::CloseIdleConnections { .. } | Action::Log(_) => {}
        }
    }

    fn subscribe(&mut self, on: bool) {
        self.watching = false;
        if !on {
            return;
        }
        let delay = *self.random.pick(&[20, 60, 400, 2000]);
        let refused = self.random.happens(250);
        let task = if refused { Task::ListRefused } else { Task::WholeList };
        self.after(Duration::from_millis(delay), task);
    }

    fn send(&mut self, request: RequestId, server: u32, timeout: Duration) {
        let Some(open) = self.open.get_mut(&request) else {
            panic!("sent a request that is not open: {request:?}");
        };
        let key = AttemptKey { request, number: open.attempts };
        open.attempts += 1;
        let (write, stream) = (open.write, open.stream);
        self.counters.retries += u64::from(key.number > 0);
        self.in_flight.insert(key, InFlight { server, sent: self.now });
        let attempted = Attempted { server, write, timeout };
        let result = self.cluster.attempt(attempted, self.now, &mut self.random);
        if stream && result.outcome == Outcome::Success {
            self.after(result.after / 2, Task::StreamStart(key));
        }
        self.after(result.after, Task::AttemptEnd(key, result.outcome));
    }

    fn perform(&mut self, task: Task, events: &mut Vec<Event>) {
        match task {
            Task::Arrival => self.arrive(events),
            Task::Disturbance => {
                let delay = self.random.duration_ms(DISTURBANCE_MS / 2, DISTURBANCE_MS * 3 / 2);
                self.after(delay, Task::Disturbance);
                self.disturb(events);
            }
            Task::EndOfBurst => self.requests_per_s = self.case.requests_per_s,
            Task::AttemptEnd(key, outcome) => self.end_attempt(key, outcome, events),
            Task::StreamStart(key) => {
                if self.in_flight.contains_key(&key) {
                    self.counters.streams += 1;
                    events.push(Event::StreamStarted {
                        request: key.request,
                        attempt: AttemptNumber(key.number),
                    });
                }
            }
            Task::Probed(server) => events.push(self.probed(server)),
            Task::Timer { id, generation } => {
                if generation == self.generation {
                    events.push(Event::Timer(TimerId(id)));
                }
            }
            Task::Leave(request) => {
                if self.open.remove(&request).is_some() {
                    events.push(Event::ClientDisconnected(request));
                }
            }
            Task::WholeList => {
                self.watching = true;
                events.push(Event::Endpoints(EndpointUpdate::Full(self.cluster.entries(self.clock_offset))));
            }
            Task::ListRefused => events.push(Event::Endpoints(EndpointUpdate::Failed)),
            Task::Changed(servers) => self.announce(&servers, events),
            Task::Gossip(bytes) => {
                let from = self.random.below(u64::from(self.case.gateways)) as u32;
                events.push(Event::Gossip { from, bytes });
            }
            Task::Promote(group) => self.promote(group),
            Task::Restart(server) => self.restart(server),
            Task::Wake(server) => self.wake(server),
            Task::Online(server) => events.push(Event::ReturnedToService(ServerId(server))),
        }
    }

    fn announce(&mut self, servers: &[u32], events: &mut Vec<Event>) {
        if self.watching {
            let entry = |server: &u32| self.cluster.entry(*server, self.clock_offset);
            events.push(Event::Endpoints(EndpointUpdate::Changes(servers.iter().map(entry).collect())));
        }
    }

    fn probed(&mut self, server: u32) -> Event {
        let ok = self.cluster.server(server).process == Process::Running;
        let reports = self.settings.load_reports != LoadReports::Never;
        let report = (ok && reports).then(|| self.report(server));
        Event::HealthChecked { server: ServerId(server), ok, load_report: report }
    }

    fn report(&mut self, server: u32) -> LoadReport {
        let report = self.cluster.report(server, self.now, &mut self.random);
        LoadReport { position: report.position.map(|position| position + self.clock_offset), ..report }
    }

    fn arrive(&mut self, events: &mut Vec<Event>) {
        let gap_us = 1_000_000 / self.requests_per_s;
        let gap = Duration::from_micros(gap_us / 4 + self.random.below(gap_us * 3 / 2));
        self.after(gap, Task::Arrival);
        self.next_request += 1;
        let id = RequestId(self.next_request);
        let request = self.draw_request(id);
        let class = &self.settings.classes[request.class.0];
        let group = request.group.0;
        let waits = !self.cluster.takes_writes(group);
        let open = OpenRequest {
            group,
            write: class.consistency == Consistency::Write,
            stream: class.streaming,
            attempts: 0,
            without_primary: waits.then(|| self.cluster.sets[&group].promotions),
        };
        self.open.insert(id, open);
        if self.random.happens(15) {
            let delay = self.random.duration_ms(1, 400);
            self.after(delay, Task::Leave(id));
        }
        events.push(Event::Request(request));
    }

    fn draw_request(&mut self, id: RequestId) -> Request {
        let random = &mut self.random;
        let class = random.below(self.settings.classes.len() as u64) as usize;
        let tenants = self.settings.tenants.len() as u64;
        let deadline = self.settings.classes[class].deadline;
        let hurried = random.happens(100);
        Request {
            id,
            class: ClassId(class),
            group: GroupId(1 + random.below(self.case.groups)),
            tenant: (tenants > 0).then(|| TenantId(random.below(tenants.max(1)) as usize)),
            time_left: if hurried { deadline / 4 } else { deadline },
            is_retry: random.happens(50),
            statement_bytes: 50 + random.below(2000),
            expected_work: random.happens(300).then(|| random.duration_ms(1, 50)),
            session: random.happens(800).then(|| format!("session-{}", random.below(SESSIONS))),
            last_write_age: random.happens(500).then(|| random.duration_ms(0, 3000)),
        }
    }

    /// Ends an attempt, unless it has ended; what its server has become by now may change the outcome.
    fn end_attempt(&mut self, key: AttemptKey, planned: Outcome, events: &mut Vec<Event>) {
        let Some(flight) = self.in_flight.remove(&key) else { return };
        let process = self.cluster.server(flight.server).process;
        let outcome = match (planned, process) {
            (Outcome::Success, Process::Dead) => Outcome::Reset,
            (Outcome::Success, Process::Hung) => Outcome::Timeout,
            (planned, _) => planned,
        };
        let note = self.cluster.note(flight.server, outcome, self.now, &mut self.random);
        let note = note.map(|note| ServerStatus {
            position: note.position.map(|position| position + self.clock_offset),
            ..note
        });
        let piggyback = self.settings.load_reports == LoadReports::Piggyback && outcome.is_response();
        let report = piggyback.then(|| self.report(flight.server));
        if outcome == Outcome::Success {
            self.count_served(key.request);
        }
        events.push(Event::AttemptEnded(AttemptEnded {
            request: key.request,
            attempt: AttemptNumber(key.number),
            server: ServerId(flight.server),
            outcome,
            round_trip: self.now - flight.sent,
            request_complete: !self.open.contains_key(&key.request),
            status: note,
            load_report: report,
        }));
    }

    fn count_served(&mut self, request: RequestId) {
        let Some(open) = self.open.remove(&request) else { return };
        self.counters.served += 1;
        let promotions = self.cluster.sets[&open.group].promotions;
        let held = open.without_primary.is_some_and(|before| before < promotions);
        self.counters.writes_held += u64::from(held && open.write);
    }

    /// Two processes' words to each other, each kind now and then.
    pub(crate) fn draw_word(&mut self) -> PeerMessage {
        let server = self.draw_server();
        match self.random.below(4) {
            0 => PeerMessage::SessionWrite {
                session: format!("session-{}", self.random.below(SESSIONS)),
                commit: (self.engine_time() - self.random.duration_ms(0, 500)).as_secs_f64(),
            },
            1 => PeerMessage::ServerWithdrawn(ServerId(server)),
            2 => PeerMessage::PeerUnreachable(self.random.happens(400)),
            _ => PeerMessage::ProcessPaused(self.random.duration_ms(50, 2000)),
        }
    }

    pub(crate) fn draw_server(&mut self) -> u32 {
        let servers: Vec<u32> = self.cluster.servers.keys().copied().collect();
        *self.random.pick(&servers)
    }
}
