//! The models that the simulation and the trial with processes share.
//!
//! Owns the plan, the backends, the links, the workload, the rule checker and the report of one trial. Times
//! are in seconds, and the trial starts at [`START_S`]. The order of the random draws must not change: a seed
//! always gives the same simulation.

use std::time::Duration;

use pipittack_core::api::{ClassId, Consistency, SessionTokens, Settings, ZoneId};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::backends::Backends;
use super::link_faults::{LinkEnd, LinkFaults, LinkState};
use super::plan::Plan;
use super::report::{ProcessStart, Report};
use super::rule_checker::RuleChecker;
use super::workload::{ClientRequest, TryFailure, Workload};

/// Time in seconds at which a trial starts. It is large because times before the start must not be negative.
pub const START_S: f64 = 1000.0;

/// Time in seconds from the start of a proxy until its clients start to send requests.
pub const FIRST_REQUEST_DELAY_S: f64 = 0.05;
/// Time in seconds from the shutdown signal until a process that is still running is killed.
pub const SHUTDOWN_TIMEOUT_S: f64 = 3.7;
/// Time in seconds from a kill in a crash loop until the next start.
pub const CRASH_LOOP_DOWNTIME_S: f64 = 0.1;
/// Tolerance in seconds for comparing the start times of a server.
const START_TOLERANCE_S: f64 = 1e-6;

/// Converts seconds to a duration. A negative value becomes zero.
pub fn duration_from_secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

/// Temporary multiplication of the request rate by `factor`, until a time in seconds.
#[derive(Debug, Clone, Copy)]
struct Burst {
    factor: f64,
    until: f64,
}

/// Work of new connections at one server within one second of the trial's clock.
#[derive(Debug, Clone, Copy, Default)]
struct HandshakeWork {
    second: u64,
    work_s: f64,
}

/// Models, rule checker and report of one trial.
#[derive(Debug)]
pub struct FleetModel {
    /// Plan of the trial. It does not change while the trial runs.
    pub plan: Plan,
    /// Random number generator for everything except the workload.
    pub rng: Pcg64Mcg,
    /// Servers, replica sets and discovery service.
    pub backends: Backends,
    /// Active faults of the network links.
    pub links: LinkFaults,
    /// Generator of the clients' requests.
    pub workload: Workload,
    /// Checker of the service rules.
    pub checker: RuleChecker,
    /// Results of the trial so far.
    pub report: Report,
    /// Zone of each proxy.
    pub proxy_zones: Vec<usize>,
    /// Version of the endpoint list that each proxy has cached for its next start. `None` without a cached
    /// list.
    pub cached_versions: Vec<Option<usize>>,
    burst: Burst,
    handshake_work: Vec<HandshakeWork>,
}

impl FleetModel {
    /// Creates the models of a plan.
    pub fn new(plan: Plan) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
        let workload_rng = Pcg64Mcg::seed_from_u64(rng.random());
        let workload = Workload::new(
            plan.workload.clone(),
            plan.requests_per_s,
            plan.proxy_count,
            plan.replica_set_count,
            workload_rng,
        );
        let backends = Backends::new(&plan, START_S);
        let cached_versions = vec![backends.initial_list_version(START_S); plan.proxy_count];
        let mut fleet = Self {
            rng,
            backends,
            links: LinkFaults::default(),
            workload,
            checker: RuleChecker::new(plan.settings.clone()),
            report: Report::new(plan.settings.classes.len()),
            proxy_zones: (0..plan.proxy_count).map(|proxy| proxy % plan.zone_count).collect(),
            cached_versions,
            burst: Burst { factor: 1.0, until: 0.0 },
            handshake_work: Vec::new(),
            plan,
        };
        fleet.register_new_servers();
        fleet
    }

    /// Registers the servers that the backends have added since the last call.
    pub fn register_new_servers(&mut self) {
        let zones = self.backends.zones();
        for (server, zone) in zones.into_iter().enumerate().skip(self.handshake_work.len()) {
            self.checker.set_server_zone(server, zone);
            self.handshake_work.push(HandshakeWork::default());
        }
    }

    /// Returns the settings of one proxy: those of the plan, with the proxy's index and zone.
    pub fn proxy_settings(&self, proxy: usize) -> Settings {
        Settings {
            instance_index: proxy as u32,
            instance_count: self.plan.proxy_count as u32,
            zone: ZoneId(self.proxy_zones[proxy]),
            ..self.plan.settings.clone()
        }
    }

    /// Multiplies the request rate by `factor` until the time `until`.
    pub fn start_burst(&mut self, factor: f64, until: f64) {
        self.burst = Burst { factor, until };
    }

    /// Returns the factor of the request rate at a time. Returns 1 outside a burst.
    pub fn burst_factor(&self, now: f64) -> f64 {
        if now < self.burst.until {
            self.burst.factor
        } else {
            1.0
        }
    }

    /// Returns the state of the link between a proxy and a server or the discovery service.
    pub fn link_state(&self, proxy: usize, end: LinkEnd, now: f64) -> LinkState {
        self.links.state(proxy, end, now)
    }

    /// Returns the one-way delay in seconds between a proxy and a server, with the delay of active link
    /// faults.
    pub fn one_way_delay(&self, proxy: usize, server: usize, now: f64) -> f64 {
        let same_zone = self.proxy_zones[proxy] == self.backends.servers[server].zone;
        let delay = if same_zone { self.plan.intra_zone_delay_s } else { self.plan.cross_zone_delay_s };
        delay + self.link_state(proxy, LinkEnd::Server(server), now).delay_s
    }

    /// Opens a connection to a server and adds the work of its handshake. Returns false if the server's
    /// connection limit is reached.
    pub fn open_connection(&mut self, server: usize, now: f64) -> bool {
        self.report.handshakes += 1;
        let model = &mut self.backends.servers[server].model;
        let handshake_work = &mut self.handshake_work[server];
        let second = now as u64;
        if handshake_work.second != second {
            *handshake_work = HandshakeWork { second, work_s: 0.0 };
        }
        handshake_work.work_s += self.plan.server.handshake_work_s;
        let share = handshake_work.work_s / model.capacity(now);
        self.report.handshake_share = self.report.handshake_share.max(share);
        model.connect(now)
    }

    /// Returns whether the requests of a class are writes.
    pub fn is_write(&self, class: ClassId) -> bool {
        self.plan.settings.classes[class.0].consistency == Consistency::Write
    }

    /// Returns whether `known_start`, the start time of a server that a proxy has received, is that of the
    /// server's last start. Returns true if the server has not started during the trial.
    pub fn is_informed_of_start(&self, server: usize, known_start: Option<f64>) -> bool {
        let Some(started_at) = self.backends.servers[server].model.started_at else { return true };
        known_start.unwrap_or(0.0) + START_TOLERANCE_S > started_at
    }

    /// Draws a new request of a proxy's clients, and records it in the report.
    pub fn create_request(&mut self, proxy: usize, now: f64) -> ClientRequest {
        let settings = &self.plan.settings;
        let request = self.workload.draw_request(proxy, now, settings);
        let class = &settings.classes[request.class.0];
        self.report.request_offered(&request, class, request.created_at - START_S);
        request
    }

    /// Returns the commit time in the session token of a request. Returns `None` if the client sends no
    /// token.
    pub fn token_commit(&self, request: &ClientRequest) -> Option<f64> {
        let settings = &self.plan.settings;
        let clients_send_tokens = settings.session_tokens == SessionTokens::FromClient;
        let causal = settings.classes[request.class.0].consistency == Consistency::Causal;
        request.session_commit.filter(|_| clients_send_tokens && causal)
    }

    /// Returns the time at which a client retries a request after a failed try. Returns `None` if the client
    /// does not retry.
    pub fn retry_at(&self, request: &ClientRequest, failure: TryFailure, now: f64) -> Option<f64> {
        let class = &self.plan.settings.classes[request.class.0];
        self.workload.retry_at(request, class, failure, now)
    }

    /// Records in the report that a request was served.
    pub fn request_served(&mut self, request: &ClientRequest, now: f64) {
        let class = &self.plan.settings.classes[request.class.0];
        self.report.request_served(request, class, now, request.created_at - START_S);
    }

    /// Records the start of a process, and returns the index of its entry in the report.
    pub fn record_start(&mut self, now: f64) -> usize {
        self.report.starts.push(ProcessStart { started_at: now - START_S, ..ProcessStart::default() });
        self.report.starts.len() - 1
    }

    /// Ends the trial: checks for requests without an answer, and returns the completed report. Violations
    /// that the trial has added to the report come before those of the checker.
    pub fn finish(&mut self, end: f64) -> Report {
        self.checker.finish(end);
        let mut report = std::mem::take(&mut self.report);
        report.polls = self.backends.discovery.polls;
        report.failed_polls = self.backends.discovery.failed_polls;
        report.longest_poll_s = self.backends.discovery.longest_wait_s;
        report.max_overload_ratio = self.backends.max_overload_ratio();
        report.overload_crashes = self.backends.overload_crashes;
        report.violations.extend(self.checker.descriptions(START_S));
        report
    }
}

#[cfg(test)]
mod tests;
