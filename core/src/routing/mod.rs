//! The routing engine: admission, routing, retries and outlier detection for a cluster of database servers.
//!
//! Each server has a concurrency limit, which is set periodically from a parabola fitted to throughput over
//! concurrency. Requests beyond the limits are queued, and are rejected when the queue is full. A read goes
//! to the better of two random replicas that are fresh enough, and a write goes to the primary.
//! `docs/design.md` describes the rules for the other cases, such as a replica set without a primary.
//!
//! [`RoutingEngine`] owns all state and calls its components in a fixed order. Each component owns one part
//! of the state: [`cluster`] owns the servers and replica sets, [`open_request`] and [`in_flight`] own the
//! requests and their attempts, [`read_admission`] owns load shedding, and [`outlier_detection`] owns the
//! shares of lost attempts and refused connections. The functions of [`read_routing`], [`write_routing`] and
//! [`queue`] compute routing decisions from a read-only [`view`]; the engine then applies them. Times are
//! `f64` seconds on the engine's clock.

mod arrival;
mod attempt_completion;
mod attempt_ended;
mod cluster;
mod dispatch;
mod eligibility;
mod final_answer;
mod fleet;
mod gossip;
mod group;
mod in_flight;
mod latency_estimates;
mod open_request;
mod outlier_detection;
mod position_probe;
mod queue;
mod read_admission;
mod read_routing;
mod retry_budget;
mod role_probe;
mod server;
mod snapshot;
mod tenant_meter;
mod timer;
mod view;
mod write_routing;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::api::{
    Action, Class, Consistency, DiscoveryMode, EndpointUpdate, Event, LoadReport, PeerMessage, RequestId,
    ServerId, ServerStatus, Settings, SettingsError, StateSnapshot,
};
use crate::discovery_schedule::DiscoverySchedule;
use crate::ewma::EwmaConfig;
use crate::primary_read_admission::PrimaryReadAdmission;
use crate::request_cost::RequestCosts;
use crate::server_throughput::ServerThroughput;
use crate::session_tokens::SessionTokenStore;
use crate::time::secs;
use cluster::{Cluster, UpdateScope};
use fleet::is_large_fleet;
use in_flight::InFlightTable;
use latency_estimates::LatencyEstimates;
use open_request::OpenRequest;
use outlier_detection::OutlierDetector;
use read_admission::ReadAdmission;
use retry_budget::RetryBudget;
use server::StatusReport;
use tenant_meter::TenantMeters;
use timer::{Activity, MaintenanceSchedule, StepTimer};
use view::RoutingView;

/// Weights of the moving averages over attempts: at most 10 attempts count, with a time constant of 10 s, and
/// the prior weighs as much as 2 attempts. The response counts of [`ServerThroughput`] decay with the same
/// time constant.
const ATTEMPT_EWMA: EwmaConfig = EwmaConfig { max_weight: 10.0, decay_secs: 10.0, prior_weight: 2.0 };

/// The routing engine of one proxy instance. It takes events as input and returns actions.
pub struct RoutingEngine {
    settings: Settings,
    now: f64,
    rng: Pcg64Mcg,
    timer: StepTimer,
    maintenance: MaintenanceSchedule,
    discovery: DiscoverySchedule,
    cluster: Cluster,
    requests: BTreeMap<RequestId, OpenRequest>,
    in_flight: InFlightTable,
    sessions: SessionTokenStore,
    tenants: TenantMeters,
    retry_budget: RetryBudget,
    latencies: LatencyEstimates,
    costs: RequestCosts,
    throughput: ServerThroughput,
    read_admission: ReadAdmission,
    primary_reads: PrimaryReadAdmission,
    outliers: OutlierDetector,
}

fn primary_read_admission(settings: &Settings) -> PrimaryReadAdmission {
    if is_large_fleet(settings) {
        PrimaryReadAdmission::for_large_fleet()
    } else {
        PrimaryReadAdmission::default()
    }
}

impl RoutingEngine {
    /// Creates an engine without servers or requests. `seed` initializes its random number generator.
    ///
    /// # Errors
    ///
    /// Fails if a value in the settings is out of range.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            now: 0.0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            timer: StepTimer::default(),
            maintenance: MaintenanceSchedule::default(),
            discovery: DiscoverySchedule::default(),
            cluster: Cluster::default(),
            requests: BTreeMap::new(),
            in_flight: InFlightTable::default(),
            sessions: SessionTokenStore::default(),
            tenants: TenantMeters::new(settings.tenants.len()),
            retry_budget: RetryBudget::new(settings.instance_count),
            latencies: LatencyEstimates::new(&settings.classes),
            costs: RequestCosts::new(&settings.classes),
            throughput: ServerThroughput::new(settings.instance_count),
            read_admission: ReadAdmission::new(settings.classes.len()),
            primary_reads: primary_read_admission(&settings),
            outliers: OutlierDetector::default(),
            settings,
        })
    }

    /// Limits the size of the session tokens, in bytes.
    pub fn limit_session_tokens(&mut self, max_bytes: usize) {
        self.sessions.limit_bytes(max_bytes);
    }

    /// Processes a batch of events, makes all decisions that are due, and appends the resulting actions to
    /// `out`. `now` is the time of the events and of the decisions on the caller's clock.
    pub fn step(&mut self, now: Duration, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        self.timer.step_started(secs(now));
        self.now = self.now.max(secs(now));
        self.sessions.start(self.now);
        events.into_iter().for_each(|event| self.handle_event(event, out));
        self.open_watch_if_due(out);
        self.count_queued_requests();
        self.run_maintenance(out);
        self.observe_primaries(out);
        self.dispatch(out);
        self.timer.schedule(self.now, self.activity(), &self.settings, out);
    }

    /// Returns the state for the successor process of this proxy instance.
    pub fn snapshot(&self) -> StateSnapshot {
        snapshot::take(&self.cluster, &self.sessions, self.now)
    }

    fn view(&self) -> RoutingView<'_> {
        RoutingView {
            now: self.now,
            settings: &self.settings,
            cluster: &self.cluster,
            latencies: &self.latencies,
            costs: &self.costs,
            retry_budget: &self.retry_budget,
            primary_reads: &self.primary_reads,
            session_floor: self.sessions.floor(),
        }
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(update) => self.endpoints_updated(update),
            Event::Settings(settings) => self.apply_settings(*settings),
            Event::TakenOutOfService(server) => self.cluster.take_out_of_service(server, self.now),
            Event::ReturnedToService(server) => {
                self.cluster.return_to_service(server, self.now, &self.settings);
            }
            Event::Request(request) => self.request_arrived(request, actions),
            Event::AttemptEnded(ended) => self.attempt_ended(ended, actions),
            Event::WriteCommitted { session, commit } => self.sessions.record_write(session, secs(commit)),
            Event::StreamStarted { request, .. } => {
                if let Some(open_request) = self.requests.get_mut(&request) {
                    open_request.stream_started();
                }
            }
            Event::StatusReported { server, status, sent_at } => {
                self.status_reported(server, status, sent_at)
            }
            Event::HealthChecked { server, ok, load_report } => self.health_checked(server, ok, load_report),
            Event::SnapshotReceived(snapshot) => {
                let (cluster, sessions) = (&mut self.cluster, &mut self.sessions);
                snapshot::restore(*snapshot, cluster, sessions, &self.settings, self.now);
            }
            Event::PeerMessage(message) => self.peer_message_received(message),
            Event::Timer(id) => self.timer.fired(id),
            Event::ClientDisconnected(request) => {
                self.requests.remove(&request);
                self.cancel_attempts(request, actions);
            }
            Event::Gossip { bytes, .. } => self.gossip_received(&bytes),
        }
    }

    /// Applies new settings. The estimates of unchanged classes are kept.
    fn apply_settings(&mut self, settings: Settings) {
        for (index, class) in settings.classes.iter().enumerate() {
            if self.settings.classes.get(index) != Some(class) {
                self.reset_class(index, class);
            }
        }
        self.tenants.resize(settings.tenants.len());
        self.settings = settings;
    }

    fn reset_class(&mut self, index: usize, class: &Class) {
        self.costs.reset_class(index, class);
        self.latencies.reset_class(index, class);
        self.read_admission.reset_class(index);
    }

    fn endpoints_updated(&mut self, update: EndpointUpdate) {
        match &update {
            EndpointUpdate::Changes(_) | EndpointUpdate::Full(_) => self.discovery.update_received(self.now),
            EndpointUpdate::Cached(_) => self.discovery.list_cached(),
            EndpointUpdate::Failed => {
                self.discovery.call_failed(self.now, &self.settings, || self.rng.random());
            }
        }
        let (entries, scope) = match &update {
            EndpointUpdate::Failed => return,
            EndpointUpdate::Changes(entries) => (entries, UpdateScope::Changes),
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => {
                (entries, UpdateScope::Complete)
            }
        };
        self.cluster.apply_endpoints(entries, scope, self.now, &self.settings, || self.rng.random());
    }

    fn peer_message_received(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::SessionWrite { session, commit } => self.sessions.record_write(session, commit),
            PeerMessage::PeerUnreachable(unreachable) => {
                self.sessions.set_peer_unreachable(unreachable, self.now);
            }
            PeerMessage::ProcessPaused(grace) => self.sessions.raise_floor_to(self.now + secs(grace)),
            PeerMessage::ServerWithdrawn(server) => self.cluster.withdraw(server, self.now),
            PeerMessage::RoleReported { server, is_primary } => {
                let is_primary = Some(is_primary);
                let report = StatusReport { valid_at: self.now, sent_at: None, position: None, is_primary };
                self.cluster.record_status(server, report, self.now);
            }
        }
    }

    /// Records the status in the response to a health check, or at the end of a response whose attempt had
    /// already ended.
    fn status_reported(&mut self, id: ServerId, status: ServerStatus, sent_at: Duration) {
        let Some(server) = self.cluster.server_mut(id) else { return };
        server.health_check_succeeded();
        let report = StatusReport {
            valid_at: self.now,
            sent_at: Some(secs(sent_at)),
            position: status.position.map(secs),
            is_primary: status.primary,
        };
        self.cluster.record_status(id, report, self.now);
    }

    fn health_checked(&mut self, id: ServerId, ok: bool, load_report: Option<LoadReport>) {
        let Some(server) = self.cluster.server_mut(id) else { return };
        if ok {
            server.health_check_succeeded();
        } else {
            server.health_check_failed(self.now);
        }
        self.cluster.record_load_report(id, load_report, self.now);
    }

    /// Opens a watch on the endpoint list if one is due.
    fn open_watch_if_due(&mut self, actions: &mut Vec<Action>) {
        let subscribes = self.settings.discovery == DiscoveryMode::Subscribe;
        if subscribes && self.discovery.is_call_due(self.now, &self.settings, || self.rng.random()) {
            actions.push(Action::Watch { on: true });
        }
    }

    /// Counts the queued requests of each group.
    fn count_queued_requests(&mut self) {
        self.cluster.groups_mut().values_mut().for_each(|group| group.reset_queued_counts());
        for open_request in self.requests.values().filter(|open_request| open_request.is_queued()) {
            let group = self.cluster.groups_mut().get_or_create(open_request.request().group);
            match self.settings.classes[open_request.request().class.0].consistency {
                Consistency::Write => group.count_queued_write(),
                _ => group.count_queued_read(),
            }
        }
    }

    /// Runs the periodic maintenance if it is due.
    fn run_maintenance(&mut self, actions: &mut Vec<Action>) {
        let Some(elapsed_secs) = self.maintenance.start_if_due(self.now) else { return };
        // A token that all servers have passed no longer restricts any read.
        self.sessions.evict_up_to(self.cluster.lowest_position());
        self.cluster.refresh_load(self.now, &self.in_flight);
        let warm_capacity = self.cluster.warm_capacity(self.now, &self.settings);
        self.throughput.advance(elapsed_secs, warm_capacity, &ATTEMPT_EWMA);
        let warm_requests_per_s = self.throughput.per_server();
        self.cluster.maintain_servers(self.now, elapsed_secs, warm_requests_per_s, &self.settings, actions);
    }

    fn observe_primaries(&mut self, actions: &mut Vec<Action>) {
        let Some(slowest_mean_secs) = self.latencies.slowest_mean_secs() else { return };
        let (settings, in_flight) = (&self.settings, &self.in_flight);
        self.cluster.observe_primaries(self.now, settings, in_flight, slowest_mean_secs, actions);
    }

    fn activity(&self) -> Activity {
        if self.requests.is_empty() {
            Activity::Idle
        } else if self.requests.values().any(OpenRequest::is_queued) {
            Activity::Queued
        } else {
            Activity::InFlight
        }
    }
}
