//! Test harness of the routing engine with a small cluster: one group, whose primary is server 1 and whose
//! replicas are servers 2 and 3.
#![allow(dead_code, unused_imports)] // no test crate uses all of this module

use std::collections::BTreeMap;
use std::time::Duration;

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

/// Reads with a staleness bound of 1 s.
pub const BOUNDED_READ: ClassId = ClassId(0);
/// Reads that must see the writes of their session.
pub const SESSION_READ: ClassId = ClassId(1);
/// Writes with an idempotency key, which may be retried.
pub const KEYED_WRITE: ClassId = ClassId(2);
/// Writes that must not be executed twice.
pub const UNIQUE_WRITE: ClassId = ClassId(3);
/// Reads that any member may serve.
pub const EVENTUAL_READ: ClassId = ClassId(4);

// Other names of the classes above and of functions below. No test uses these aliases.
pub const LOOK: ClassId = BOUNDED_READ;
pub const OWN: ClassId = SESSION_READ;
pub const POST: ClassId = KEYED_WRITE;
pub const ONCE: ClassId = UNIQUE_WRITE;
pub const ANY: ClassId = EVENTUAL_READ;
pub use endpoint as entry;
pub use failure_count as failures;
pub use forwarded_to as targets;
pub use rejection_count as refusals;

/// Primary at the start of a test.
pub const PRIMARY: ServerId = ServerId(1);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the settings of a fleet with one proxy instance.
pub fn settings() -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: ZoneId(0),
        min_step_interval: ms(5),
        classes: classes(),
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        stale_read_policy: StaleReadPolicy::AnswerStale,
        responses_carry_position: true,
        session_tokens: SessionTokens::FromClient,
        listed_role: ListedRole::Delayed,
        load_reports: LoadReports::Never,
        health_checks_tell_role: false,
        discovery: DiscoveryMode::Push,
        limits: limits(),
        rules: service_rules(),
        prices: Prices {
            cross_zone: 0.0,
            health_check: 0.0,
            gossip: 0.0,
            wasted_work: 0.0,
            late_failure: 0.0,
        },
        failover: Default::default(),
    }
}

/// Returns the settings of one instance of a large fleet.
pub fn large_fleet_settings() -> Settings {
    Settings { instance_count: 100, ..settings() }
}

fn classes() -> Vec<Class> {
    let class = |idempotency, consistency| Class {
        priority_weight: 1.0,
        latency_objective: ms(500),
        latency_objective_work_factor: 0.0,
        deadline: ms(2000),
        late_weight: 0.0,
        idempotency,
        consistency,
        streaming: false,
    };
    let with_key = Idempotency::WithKey { scope: KeyScope::Group, window: ms(1500) };
    vec![
        class(Idempotency::Idempotent, Consistency::BoundedStaleness(ms(1000))),
        class(Idempotency::Idempotent, Consistency::Causal),
        Class { late_weight: 0.5, ..class(with_key, Consistency::Write) },
        Class { late_weight: 0.5, ..class(Idempotency::NonIdempotent, Consistency::Write) },
        class(Idempotency::Idempotent, Consistency::Eventual),
    ]
}

fn limits() -> Limits {
    Limits {
        max_attempts: 6,
        allow_cancel: true,
        allow_gossip: false,
        allow_health_checks: false,
        allow_hedging: false,
        send_retry_after: true,
        max_retry_after: ms(1000),
        connect_timeout: ms(250),
        max_streams_per_connection: 8,
    }
}

fn service_rules() -> ServiceRules {
    ServiceRules {
        answer_grace_period: ms(20),
        poll_interval: ms(10_000),
        initial_capacity_share: 0.2,
        warm_up: ms(15_000),
        overload_factor: 2.5,
        overload_duration: ms(1500),
        drain_grace_period: ms(250),
        removed_may_serve: false,
    }
}

/// Returns an endpoint of group 1.
pub fn endpoint(server: u32, listed_primary: bool) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId(0),
        machine_kind: MachineKindId(0),
        group: GroupId(1),
        listed_primary,
        state: EndpointState::Healthy,
        relative_capacity: 1.0,
        started_at: None,
    }
}

/// Returns the endpoint list of the cluster.
pub fn endpoint_list() -> Vec<Endpoint> {
    vec![endpoint(1, true), endpoint(2, false), endpoint(3, false)]
}

/// Attempt that the engine has forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentAttempt {
    pub request: RequestId,
    pub number: u32,
    pub server: ServerId,
}

/// Engine under test, with its clock and its attempts in flight.
pub struct Harness {
    pub engine: RoutingEngine,
    pub now: Duration,
    /// Attempts in flight, oldest first.
    pub in_flight: Vec<SentAttempt>,
    /// Class of each request.
    pub classes: BTreeMap<RequestId, ClassId>,
    last_request: u64,
    attempt_counts: BTreeMap<RequestId, u32>,
}

impl Harness {
    pub fn new(settings: Settings) -> Self {
        Self::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let engine = RoutingEngine::new(settings, seed).expect("valid settings");
        let mut harness = Self {
            engine,
            now: ms(100_000),
            in_flight: Vec::new(),
            classes: BTreeMap::new(),
            last_request: 0,
            attempt_counts: BTreeMap::new(),
        };
        harness.step(vec![Event::Endpoints(EndpointUpdate::Cached(endpoint_list()))]);
        harness
    }

    pub fn step(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.engine.step(self.now, events, &mut actions);
        for action in &actions {
            if let Action::Forward { request, server, .. } = action {
                let count = self.attempt_counts.entry(*request).or_default();
                self.in_flight.push(SentAttempt { request: *request, number: *count, server: *server });
                *count += 1;
            }
        }
        actions
    }

    /// Advances the clock by `time`, then steps the engine without an event.
    pub fn advance(&mut self, time: Duration) -> Vec<Action> {
        self.now += time;
        self.step(Vec::new())
    }

    /// Returns a new request of a class.
    pub fn new_request(&mut self, class: ClassId) -> Request {
        self.last_request += 1;
        self.classes.insert(RequestId(self.last_request), class);
        Request {
            id: RequestId(self.last_request),
            class,
            group: GroupId(1),
            tenant: None,
            time_left: ms(2000),
            is_retry: false,
            statement_bytes: 100,
            expected_work: None,
            session: Some("s".into()),
            last_write_age: None,
        }
    }

    /// Submits a new request of a class to the engine.
    pub fn submit(&mut self, class: ClassId) -> Vec<Action> {
        let request = self.new_request(class);
        self.step(vec![Event::Request(request)])
    }

    /// Ends the oldest attempt in flight; see [`Self::end_attempt`].
    pub fn end_oldest(&mut self, outcome: Outcome, is_primary: Option<bool>, lag: Duration) -> Vec<Action> {
        let attempt = self.in_flight.remove(0);
        self.end_attempt(attempt, outcome, is_primary, lag)
    }

    /// Ends an attempt. `is_primary` is the role that the response reports, or `None` if the response reports
    /// no status. `lag` is the replication lag of the reported position.
    pub fn end_attempt(
        &mut self,
        attempt: SentAttempt,
        outcome: Outcome,
        is_primary: Option<bool>,
        lag: Duration,
    ) -> Vec<Action> {
        let status =
            is_primary.map(|primary| ServerStatus { position: Some(self.now - lag), primary: Some(primary) });
        self.step(vec![Event::AttemptEnded(AttemptEnded {
            request: attempt.request,
            attempt: AttemptNumber(attempt.number),
            server: attempt.server,
            outcome,
            round_trip: ms(10),
            request_complete: outcome == Outcome::Success,
            status,
            load_report: None,
        })])
    }

    /// Alias of [`Self::report_all`], which no test uses.
    pub fn hear_all(&mut self, lag: Duration) {
        self.report_all(lag);
    }

    /// Makes every member report its position, the replicas with this lag.
    pub fn report_all(&mut self, lag: Duration) {
        for _ in 0..60 {
            self.submit(EVENTUAL_READ);
            self.now += ms(10);
            while let Some(attempt) = self.in_flight.first().copied() {
                let is_primary = attempt.server == PRIMARY;
                self.end_oldest(Outcome::Success, Some(is_primary), if is_primary { ms(0) } else { lag });
            }
        }
        for server in [2, 3] {
            let report =
                LoadReport { position: Some(self.now - lag), primary: Some(false), ..LoadReport::default() };
            let checked =
                Event::HealthChecked { server: ServerId(server), ok: true, load_report: Some(report) };
            self.step(vec![checked]);
        }
    }
}

/// Returns the servers that requests are forwarded to.
pub fn forwarded_to(actions: &[Action]) -> Vec<u32> {
    let server = |action: &Action| match action {
        Action::Forward { server, .. } => Some(server.0),
        _ => None,
    };
    actions.iter().filter_map(server).collect()
}

pub fn rejection_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count()
}

pub fn failure_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Fail { .. })).count()
}

/// Returns the timeout of the first attempt that is forwarded, or `None` if none is.
pub fn first_timeout(actions: &[Action]) -> Option<Duration> {
    actions.iter().find_map(|action| match action {
        Action::Forward { timeout, .. } => Some(*timeout),
        _ => None,
    })
}

/// Returns whether a log line says that a server stopped responding.
pub fn is_reported_down(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Log(text) if text.contains("stopped responding")))
}
