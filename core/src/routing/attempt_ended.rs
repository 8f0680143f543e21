//! Processes the end of an attempt.
//!
//! The end of an attempt updates the state of its server, class, group, session and request, in the order
//! that this module defines. The attempt is compared with the mean response time of its class as it was
//! before the attempt is counted.

use std::time::Duration;

use crate::api::{
    commit_position, Action, AttemptEnded, AttemptId, Consistency, LoadReport, Outcome, ServerStatus,
    COMMIT_ROUNDING,
};
use crate::primary_read_admission::PrimaryAttempt;
use crate::time::secs;

use super::attempt_completion::Completion;
use super::cluster::ServerResponse;
use super::fleet::is_large_fleet;
use super::gossip::{GossipKind, GossipMessage, Timeliness};
use super::in_flight::InFlightAttempt;
use super::open_request::OpenRequest;
use super::outlier_detection::CompletionContext;
use super::server::{Server, StatusReport};
use super::tenant_meter::ErrorSource;
use super::{RoutingEngine, ATTEMPT_EWMA};

/// Longest time in seconds for which an abandoned attempt occupies its server.
const MAX_RESERVATION_SECS: f64 = 2.0;
/// Share of the latency objective within which a response counts as throughput.
const THROUGHPUT_OBJECTIVE_SHARE: f64 = 0.5;
/// Lower bound of the mean response time in seconds, for computing a server's slowness.
const MIN_MEAN_SECS: f64 = 1e-4;
/// Lower bound of the mean response time in seconds, for computing the ratio in a gossip message.
const MIN_GOSSIP_MEAN_SECS: f64 = 1e-3;

impl RoutingEngine {
    /// Processes the end of an attempt. Ignores the result of an attempt that is not in flight.
    pub(super) fn attempt_ended(&mut self, ended: AttemptEnded, actions: &mut Vec<Action>) {
        let id = AttemptId { request: ended.request, number: ended.attempt };
        if let Some(attempt) = self.in_flight.remove(id) {
            let status = ended.status.unwrap_or(ServerStatus { position: None, primary: None });
            let completion = self.build_completion(&ended, &attempt, status);
            self.record_completion(&completion, &attempt, status, ended.load_report, actions);
        }
        if ended.request_complete {
            self.requests.remove(&ended.request);
        }
    }

    fn build_completion(
        &mut self,
        ended: &AttemptEnded,
        attempt: &InFlightAttempt,
        status: ServerStatus,
    ) -> Completion {
        let consistency = self.settings.classes[attempt.class.0].consistency;
        // A server that declines a write is not the primary, whatever role it reports.
        let declined_write = ended.outcome == Outcome::Misdirected && consistency == Consistency::Write;
        let is_primary = if declined_write { Some(false) } else { status.primary };
        // If the process was paused before this step, the pause is not part of the response time.
        let mean_secs = self.latencies.mean_secs(attempt.class);
        let elapsed_secs = self.now - attempt.sent_at;
        let duration_secs = (elapsed_secs - self.timer.pause_secs()).max(elapsed_secs.min(mean_secs));
        let tenant = self.requests.get(&ended.request).and_then(|open_request| open_request.request().tenant);
        Completion {
            request: ended.request,
            attempt: ended.attempt,
            server: ended.server,
            class: attempt.class,
            consistency,
            outcome: ended.outcome,
            sent_at: attempt.sent_at,
            duration_secs,
            mean_secs,
            error_source: self.tenants.attempt_ended(tenant, ended.outcome, self.now),
            is_primary,
        }
    }

    fn record_completion(
        &mut self,
        completion: &Completion,
        attempt: &InFlightAttempt,
        status: ServerStatus,
        load_report: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        self.update_server(completion, attempt.expected_secs, actions);
        self.record_primary_lateness(completion);
        self.record_throughput(completion);
        if completion.outcome.is_response() {
            self.record_response(completion, status);
        }
        self.cluster.record_load_report(completion.server, load_report, self.now);
        self.record_commit(completion, attempt, status);
        if completion.is_write() {
            self.write_ended(completion, actions);
        }
        self.record_timeliness(completion, actions);
        let Some(open_request) = self.requests.get_mut(&completion.request) else { return };
        open_request.attempt_ended(completion.attempt, completion.server, completion.outcome);
        if completion.error_source == ErrorSource::Tenant {
            self.finish(completion.request, None, actions);
        }
    }

    /// Records the load, response time, errors and outlier evidence of the server, and the response time of
    /// the class.
    fn update_server(&mut self, completion: &Completion, expected_secs: f64, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_steady_primary = self.cluster.is_steady_primary(completion.server);
        let is_large_fleet_primary = is_large_fleet(&self.settings)
            && self.cluster.group_with_primary_mut(completion.server).is_some();
        let primaries_late_share =
            is_large_fleet_primary.then(|| self.primary_reads.observed_late_share(now));
        let Some(server) = self.cluster.server_mut(completion.server) else { return };
        // The server often still executes an abandoned attempt, so the attempt is assumed to occupy the
        // server for as long again.
        let is_abandoned = matches!(completion.outcome, Outcome::Timeout | Outcome::Cancelled);
        let expires_at =
            if is_abandoned { now + completion.duration_secs.min(MAX_RESERVATION_SECS) } else { now };
        server.attempt_ended(now, expires_at, expected_secs);
        if completion.shows_response_time() {
            server.record_slowness(now, completion.duration_secs / completion.mean_secs.max(MIN_MEAN_SECS));
            if server.is_up() {
                self.latencies.record(completion.class, completion.duration_secs);
                let objective_secs = secs(self.settings.classes[completion.class.0].latency_objective);
                if completion.is_success()
                    && completion.duration_secs <= THROUGHPUT_OBJECTIVE_SHARE * objective_secs
                {
                    server.record_completion_in_time();
                } else {
                    server.record_late_completion();
                }
            }
        }
        if completion.counts_in_error_share() {
            match completion.outcome {
                Outcome::ServerError | Outcome::Rejected => server.record_error(now),
                _ => server.record_no_error(now),
            }
        }
        let context = CompletionContext {
            now,
            settings: &self.settings,
            deviation_secs: self.latencies.deviation_secs(completion.class),
            is_steady_primary,
            primaries_late_share,
        };
        self.outliers.attempt_ended(server, completion, &context, actions);
    }

    fn record_primary_lateness(&mut self, completion: &Completion) {
        let Some(group) = self.cluster.group_with_primary_mut(completion.server) else { return };
        let class = &self.settings.classes[completion.class.0];
        let attempt =
            PrimaryAttempt { class, elapsed_secs: completion.duration_secs, outcome: completion.outcome };
        self.primary_reads.record(group.primary_late_share_mut(), self.now, &attempt, &ATTEMPT_EWMA);
    }

    /// Counts a response of a server that has warmed up as throughput.
    fn record_throughput(&mut self, completion: &Completion) {
        let is_warm = |server: &&Server| server.is_warm(self.now, &self.settings.rules);
        let server =
            self.cluster.server(completion.server).filter(|_| completion.is_success()).filter(is_warm);
        let Some(group) = server.map(Server::group) else { return };
        let primary = self.cluster.primary_if_all_members_up(group);
        self.throughput.record_response(primary == Some(completion.server));
        self.costs.record_response(completion.class.0, self.latencies.mean_secs(completion.class), self.now);
    }

    fn record_response(&mut self, completion: &Completion, status: ServerStatus) {
        let response = ServerResponse {
            server: completion.server,
            outcome: completion.outcome,
            sent_at: completion.sent_at,
            response_secs: completion.duration_secs,
        };
        self.cluster.response_received(response, self.now);
        // The commit position of a write is rounded up, and the server may not have reached the rounded
        // position.
        let rounding_secs =
            if completion.is_success() && completion.is_write() { secs(COMMIT_ROUNDING) } else { 0.0 };
        let report = StatusReport {
            valid_at: self.now,
            sent_at: Some(completion.sent_at),
            position: status.position.map(|position| secs(position) - rounding_secs),
            is_primary: completion.is_primary,
        };
        self.cluster.record_status(completion.server, report, self.now);
    }

    /// Records the session token of a write.
    fn record_commit(&mut self, completion: &Completion, attempt: &InFlightAttempt, status: ServerStatus) {
        if let Some(session) = attempt.session.as_ref().filter(|_| completion.is_success()) {
            let now = Duration::from_secs_f64(self.now);
            self.sessions.record_write(session.clone(), secs(commit_position(status.position, now)));
        }
    }

    /// Records the end of a write. If the write is the first one served after a failover from a lost primary,
    /// the writes in flight at the former primary will get no response. They may have been executed, so they
    /// are ended and their clients are notified at once.
    fn write_ended(&mut self, completion: &Completion, actions: &mut Vec<Action>) {
        let Some(group) = self.cluster.group_of(completion.server) else { return };
        let set = self.cluster.groups_mut().get_or_create(group).replica_set_mut();
        if !completion.is_success() {
            set.write_failed(completion.sent_at);
            return;
        }
        let Some(former_primary) = set.write_served(completion.server, completion.sent_at) else { return };
        let view = self.view();
        let is_lost =
            |request: &&OpenRequest| view.is_write(request) && request.is_in_flight_at(former_primary);
        let lost: Vec<_> =
            self.requests.values().filter(is_lost).map(|request| request.request().id).collect();
        for request in lost {
            self.cancel_attempts(request, actions);
            self.finish(request, None, actions);
        }
    }

    /// Adjusts load shedding by whether the attempt ended in time, and sends the result to other instances.
    fn record_timeliness(&mut self, completion: &Completion, actions: &mut Vec<Action>) {
        if !matches!(completion.outcome, Outcome::Success | Outcome::Timeout | Outcome::Rejected) {
            return;
        }
        let objective_secs = secs(self.settings.classes[completion.class.0].latency_objective);
        let is_in_time = completion.is_success() && completion.duration_secs <= objective_secs;
        let message = GossipMessage {
            server: completion.server,
            slowness_ratio: completion.duration_secs / completion.mean_secs.max(MIN_GOSSIP_MEAN_SECS),
            kind: if completion.is_write() { GossipKind::Write } else { GossipKind::Read },
            timeliness: if is_in_time { Timeliness::InTime } else { Timeliness::Late },
        };
        self.adjust_read_admission(&message);
        if completion.outcome != Outcome::Rejected {
            message.broadcast(&self.settings, &mut self.rng, actions);
        }
    }

    /// Processes a gossip message about an attempt of another instance. The message counts like an attempt of
    /// this instance, but changes no role, replication position or down state.
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
            Timeliness::InTime => self.read_admission.record_in_time(group, groups, &self.settings, self.now),
            Timeliness::Late => self.read_admission.record_late(group, groups, &self.settings, self.now),
        }
    }
}
