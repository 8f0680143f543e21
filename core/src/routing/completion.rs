//! What the end of an attempt teaches.
//!
//! The end of an attempt concerns its server, its class, its group, its session and its request. This module
//! says in which order they learn of it. The usual response time that an attempt is compared with is the one
//! before the attempt itself is counted.

use crate::api::{Action, AttemptEnded, AttemptId, Consistency, LoadReport, Outcome, ServerStatus};
use crate::primary_read_admission::PrimaryAttempt;
use crate::time::secs;

use super::attempt_result::Completion;
use super::cluster::ServerResponse;
use super::fleet::is_large_fleet;
use super::gossip::{GossipKind, GossipMessage, Timeliness};
use super::in_flight::InFlightAttempt;
use super::open_request::OpenRequest;
use super::outlier_detection::CompletionContext;
use super::server::{Server, StatusReport};
use super::tenant_meter::FaultOwner;
use super::{RoutingEngine, ATTEMPT_EWMA};

/// Seconds by which a commit position may be rounded up.
const POSITION_ROUNDING_SECS: f64 = 0.001;
/// Longest time in seconds for which an abandoned attempt occupies its server.
const MAX_RESERVATION_SECS: f64 = 2.0;
/// Part of the latency objective within which a response counts as throughput.
const THROUGHPUT_OBJECTIVE_SHARE: f64 = 0.5;
/// Least mean response time in seconds that a server's slowness is computed with.
const MIN_USUAL_SECS: f64 = 1e-4;
/// Least mean response time in seconds that a gossip message is computed with.
const MIN_GOSSIP_USUAL_SECS: f64 = 1e-3;

impl RoutingEngine {
    /// An attempt ended.
    pub(super) fn attempt_ended(&mut self, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let id = AttemptId { request: ended.request, number: ended.attempt };
        if let Some(attempt) = self.in_flight.remove(id) {
            let status = ended.status.unwrap_or(ServerStatus { position: None, primary: None });
            let end = self.completion(&ended, &attempt, status);
            self.record_completion(&end, &attempt, status, ended.load_report, actions);
        }
        if ended.request_complete {
            self.requests.remove(&ended.request);
        }
    }

    fn completion(
        &mut self,
        ended: &AttemptEnded,
        attempt: &InFlightAttempt,
        status: ServerStatus,
    ) -> Completion {
        let consistency = self.settings.classes[attempt.class.0].consistency;
        // A server that declines a write is not the primary, whatever it says of its role.
        let declined_write = ended.outcome == Outcome::Misdirected && consistency == Consistency::Write;
        let is_primary = if declined_write { Some(false) } else { status.primary };
        // A response found after a process pause counts without the pause.
        let usual_secs = self.latencies.mean_secs(attempt.class);
        let elapsed_secs = self.now - attempt.sent_at;
        let took_secs = (elapsed_secs - self.timer.pause_secs()).max(elapsed_secs.min(usual_secs));
        let tenant = self.requests.get(&ended.request).and_then(|open| open.request().tenant);
        Completion {
            request: ended.request,
            attempt: ended.attempt,
            server: ended.server,
            class: attempt.class,
            consistency,
            outcome: ended.outcome,
            sent_at: attempt.sent_at,
            took_secs,
            usual_secs,
            fault_owner: self.tenants.attempt_ended(tenant, ended.outcome, self.now),
            is_primary,
        }
    }

    fn record_completion(
        &mut self,
        end: &Completion,
        attempt: &InFlightAttempt,
        status: ServerStatus,
        load_report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.record_at_server(end, attempt.expected_secs, actions);
        self.record_primary_lateness(end);
        self.record_throughput(end);
        if end.outcome.is_response() {
            self.record_response(end, status);
        }
        self.cluster.record_load_report(end.server, load_report, self.now);
        self.record_session_write(end, attempt, status);
        if end.is_write() {
            self.write_ended(end, actions);
        }
        self.record_timeliness(end, actions);
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        open.attempt_ended(end.attempt, end.server, end.outcome);
        if end.fault_owner == FaultOwner::Tenant {
            self.finish(end.request, None, actions);
        }
    }

    /// What the end says of its server and of the way there.
    fn record_at_server(&mut self, end: &Completion, expected_secs: f64, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_steady_primary = self.cluster.is_steady_primary(end.server);
        let is_watched_primary =
            is_large_fleet(&self.settings) && self.cluster.group_with_primary_mut(end.server).is_some();
        let primary_late_share = is_watched_primary.then(|| self.primary_reads.observed_late_share(now));
        let Some(server) = self.cluster.server_mut(end.server) else { return };
        // An abandoned attempt is often still executed, and occupies the server for as long again.
        let is_abandoned = matches!(end.outcome, Outcome::Timeout | Outcome::Cancelled);
        let expires_at = if is_abandoned { now + end.took_secs.min(MAX_RESERVATION_SECS) } else { now };
        server.attempt_ended(now, expires_at, expected_secs);
        if end.shows_response_time() {
            server.record_slowness(now, end.took_secs / end.usual_secs.max(MIN_USUAL_SECS));
            if server.is_up() {
                self.latencies.record(end.class, end.took_secs);
                let objective_secs = secs(self.settings.classes[end.class.0].latency_objective);
                if end.is_success() && end.took_secs <= THROUGHPUT_OBJECTIVE_SHARE * objective_secs {
                    server.record_completion_in_time();
                } else {
                    server.record_late_completion();
                }
            }
        }
        if end.counts_in_error_share() {
            match end.outcome {
                Outcome::ServerError | Outcome::Rejected => server.record_error(now),
                _ => server.record_no_error(now),
            }
        }
        let context = CompletionContext {
            now,
            settings: &self.settings,
            deviation_secs: self.latencies.deviation_secs(end.class),
            is_steady_primary,
            primary_late_share,
        };
        self.outliers.attempt_ended(server, end, &context, actions);
    }

    fn record_primary_lateness(&mut self, end: &Completion) {
        let Some(group) = self.cluster.group_with_primary_mut(end.server) else { return };
        let class = &self.settings.classes[end.class.0];
        let attempt = PrimaryAttempt { class, elapsed_secs: end.took_secs, outcome: end.outcome };
        self.primary_reads.record(group.late_at_primary_mut(), self.now, &attempt, &ATTEMPT_EWMA);
    }

    /// Counts a response of a server that has warmed up.
    fn record_throughput(&mut self, end: &Completion) {
        let is_warm = |server: &&Server| server.is_warm(self.now, &self.settings.rules);
        let server = self.cluster.server(end.server).filter(|_| end.is_success()).filter(is_warm);
        let Some(group) = server.map(Server::group) else { return };
        let primary = self.cluster.primary_if_all_members_up(group);
        self.throughput.record_response(primary == Some(end.server));
        self.costs.record_response(end.class.0, self.latencies.mean_secs(end.class), self.now);
    }

    fn record_response(&mut self, end: &Completion, status: ServerStatus) {
        let response = ServerResponse {
            server: end.server,
            outcome: end.outcome,
            sent_at: end.sent_at,
            took_secs: end.took_secs,
        };
        self.cluster.response_received(response, self.now);
        // A commit position is rounded up, and its server may not have got so far.
        let rounding_secs = if end.is_success() && end.is_write() { POSITION_ROUNDING_SECS } else { 0.0 };
        let report = StatusReport {
            valid_at: self.now,
            sent_at: Some(end.sent_at),
            position: status.position.map(|position| secs(position) - rounding_secs),
            is_primary: end.is_primary,
        };
        self.cluster.record_status(end.server, report, self.now);
    }

    fn record_session_write(&mut self, end: &Completion, attempt: &InFlightAttempt, status: ServerStatus) {
        let session = attempt.session.as_ref().filter(|_| end.is_success());
        if let Some((session, commit)) = session.zip(status.position) {
            self.sessions.record_write(session.clone(), secs(commit));
        }
    }

    /// A write ended. If it is the first one served after a failover, the writes in flight at the former
    /// primary get no response any more. Their clients are notified at once, since those writes may have been
    /// executed.
    fn write_ended(&mut self, end: &Completion, actions: &mut Vec<Action>) {
        let Some(group) = self.cluster.group_of(end.server) else { return };
        let set = self.cluster.groups_mut().get_or_create(group).replica_set_mut();
        if !end.is_success() {
            set.write_failed(end.sent_at);
            return;
        }
        let Some(former_primary) = set.write_served(end.server, end.sent_at) else { return };
        let view = self.view();
        let is_lost = |open: &&OpenRequest| view.is_write(open) && open.is_in_flight_at(former_primary);
        let lost: Vec<_> = self.requests.values().filter(is_lost).map(|open| open.request().id).collect();
        for request in lost {
            self.cancel_attempts(request, actions);
            self.finish(request, None, actions);
        }
    }

    /// Moves load shedding by whether the attempt was in time, and tells other instances.
    fn record_timeliness(&mut self, end: &Completion, actions: &mut Vec<Action>) {
        if !matches!(end.outcome, Outcome::Success | Outcome::Timeout | Outcome::Rejected) {
            return;
        }
        let objective_secs = secs(self.settings.classes[end.class.0].latency_objective);
        let is_in_time = end.is_success() && end.took_secs <= objective_secs;
        let message = GossipMessage {
            server: end.server,
            slowness_ratio: end.took_secs / end.usual_secs.max(MIN_GOSSIP_USUAL_SECS),
            kind: if end.is_write() { GossipKind::Write } else { GossipKind::Read },
            timeliness: if is_in_time { Timeliness::InTime } else { Timeliness::Late },
        };
        self.adjust_read_admission(&message);
        if end.outcome != Outcome::Rejected {
            message.broadcast(&self.settings, &mut self.rng, actions);
        }
    }

    /// Another instance reported an attempt: it counts like an own one, except that it settles no role, no
    /// position and no down state.
    pub(super) fn gossip_received(&mut self, bytes: &[u8]) {
        let Some(message) = GossipMessage::decode(bytes) else { return };
        let Some(server) = self.cluster.server_mut(message.server) else { return };
        server.record_slowness(self.now, message.slowness_ratio);
        self.adjust_read_admission(&message);
    }

    fn adjust_read_admission(&mut self, message: &GossipMessage) {
        let Some(group) = self.cluster.group_of(message.server) else { return };
        if message.kind == GossipKind::Write {
            return;
        }
        let groups = self.cluster.groups_mut();
        match message.timeliness {
            Timeliness::InTime => self.read_admission.read_in_time(group, groups, &self.settings, self.now),
            Timeliness::Late => self.read_admission.read_late(group, groups, &self.settings, self.now),
        }
    }
}
