//! Attempts and health checks of a proxy process: their connections, their sending and their results.

use std::time::Duration;

use pipittack_core::api::{
    AttemptEnded, AttemptId, AttemptNumber, Consistency, Event, Outcome, PeerMessage, RequestId, ServerId,
    ServerStatus, SessionTokens,
};
use rand::Rng;

use super::super::fleet_model::{duration_from_secs, START_S};
use super::super::link_faults::{LinkEnd, LinkState};
use super::super::rule_checker::FinalAnswer;
use super::super::server_model::ServerState;
use super::event_queue::{AttemptResult, SimulationEvent};
use super::process::{IdleConnection, InFlightAttempt};
use super::Simulation;

impl Simulation {
    pub(super) fn link_state(&self, process: usize, end: LinkEnd) -> LinkState {
        self.fleet.link_state(self.processes[process].proxy, end, self.now)
    }

    /// Returns the one-way delay in seconds between a process and a server.
    pub(super) fn one_way_delay(&self, process: usize, server: usize) -> f64 {
        self.fleet.one_way_delay(self.processes[process].proxy, server, self.now)
    }

    /// Closes connections to a server. `incarnations` has the server's incarnation for each connection; those
    /// of earlier incarnations are closed already.
    pub(super) fn close_connections(&mut self, server: usize, incarnations: impl IntoIterator<Item = u32>) {
        let model = &mut self.fleet.backends.servers[server].model;
        let current = model.incarnation;
        let closed = incarnations.into_iter().filter(|incarnation| *incarnation == current).count();
        model.connections = model.connections.saturating_sub(closed);
    }

    /// Takes an idle connection to a server, and closes those that have been idle for too long. Returns false
    /// if no idle connection is left.
    fn take_idle_connection(&mut self, process: usize, server: usize) -> bool {
        let Some(idle) = self.processes[process].idle_connections.get_mut(&server) else { return false };
        let incarnation = self.fleet.backends.servers[server].model.incarnation;
        let oldest = self.now - self.fleet.plan.idle_timeout_s;
        let is_stale = |c: &mut IdleConnection| c.incarnation != incarnation || c.idle_since < oldest;
        let stale: Vec<_> = idle.extract_if(.., is_stale).collect();
        let found = idle.pop().is_some();
        self.close_connections(server, stale.iter().map(|connection| connection.incarnation));
        found
    }

    /// Sends an attempt of a request to a server, on an idle connection or on a new one.
    pub(super) fn send_attempt(
        &mut self,
        process: usize,
        request: RequestId,
        server: usize,
        timeout: Duration,
    ) {
        let now = self.now;
        let Some(open_request) = self.processes[process].open_requests.get_mut(&request) else { return };
        let id = AttemptId { request, number: AttemptNumber(open_request.attempts) };
        open_request.attempts += 1;
        let class = open_request.client_request.class;
        let session = open_request.client_request.session;
        let work_s = open_request.client_request.work_s;
        let times_out_at = (now + timeout.as_secs_f64()).min(open_request.deadline);
        let consistency = self.fleet.plan.settings.classes[class.0].consistency;
        self.fleet.report.attempts += 1;
        self.fleet.checker.attempt_sent(request.0, server, now);
        if consistency != Consistency::Write && self.fleet.backends.is_primary(server) {
            self.fleet.report.reads_at_primaries += 1;
        }
        let reuses_connection = self.take_idle_connection(process, server);
        let observations = &self.processes[process].observations;
        let attempt = InFlightAttempt {
            server,
            incarnation: self.fleet.backends.servers[server].model.incarnation,
            class,
            session,
            sent_at: now,
            work_s,
            on_new_connection: !reuses_connection,
            written: false,
            fresh_until: match consistency {
                Consistency::BoundedStaleness(max_age) => {
                    let position = observations.positions.get(&server).copied().flatten();
                    position.map(|position| position + max_age.as_secs_f64())
                }
                _ => None,
            },
            may_read_stale: self.fleet.backends.servers[server].was_primary
                && !observations.not_primary.contains(&server),
        };
        self.processes[process].in_flight.insert(id, attempt);
        self.schedule(times_out_at, SimulationEvent::AttemptTimeout { process, id });
        if reuses_connection {
            let arrives_at = now + self.one_way_delay(process, server);
            self.schedule(arrives_at, SimulationEvent::StatementReceived { process, id });
        } else {
            self.connect(process, id, server);
        }
    }

    /// Opens a connection for an attempt, and schedules the arrival of the statement or the failure of the
    /// attempt.
    fn connect(&mut self, process: usize, id: AttemptId, server: usize) {
        let now = self.now;
        let link = self.link_state(process, LinkEnd::Server(server));
        let delay = self.one_way_delay(process, server);
        let timeout = self.fleet.plan.settings.limits.connect_timeout.as_secs_f64();
        let failed = SimulationEvent::AttemptEnds { process, id, result: Outcome::ConnectFailed.into() };
        let state = self.fleet.backends.servers[server].model.state;
        if link.down || state == ServerState::Dead || self.fleet.backends.servers[server].removed {
            return self.schedule(now + 2.0 * delay, failed);
        }
        if link.requests_dropped || state == ServerState::Unresponsive {
            return self.schedule(now + timeout, failed);
        }
        if !self.fleet.open_connection(server, now) {
            let result = Outcome::Rejected.into();
            return self.schedule(now + 2.0 * delay, SimulationEvent::AttemptEnds { process, id, result });
        }
        let handshake_s = 2.0 * delay * self.fleet.plan.handshake_rtts;
        if link.responses_dropped || handshake_s > timeout {
            return self.schedule(now + timeout, failed);
        }
        self.schedule(now + handshake_s + delay, SimulationEvent::StatementReceived { process, id });
    }

    /// Ends an attempt whose timeout has expired. Does nothing if it has ended before.
    pub(super) fn attempt_times_out(&mut self, process: usize, id: AttemptId) {
        let Some(attempt) = self.processes[process].in_flight.get(&id) else { return };
        let outcome = if attempt.written { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.attempt_ends(process, id, outcome.into());
    }

    /// Ends an attempt and notifies the routing engine. If the process is paused, this is delayed until it
    /// resumes.
    pub(super) fn attempt_ends(&mut self, process: usize, id: AttemptId, result: AttemptResult) {
        let state = &mut self.processes[process];
        if !state.alive {
            return;
        }
        if state.paused_until > self.now {
            let resumes_at = state.paused_until;
            return self.schedule(resumes_at, SimulationEvent::AttemptEnds { process, id, result });
        }
        let Some(attempt) = state.in_flight.remove(&id) else { return };
        let AttemptResult { outcome, status } = result;
        self.fleet.report.attempt_ended(outcome);
        self.fleet.checker.attempt_ended(id.request.0, id.number.0, outcome, attempt.sent_at);
        self.release_connection(process, &attempt, outcome);
        if let Some(status) = status {
            self.record_server_status(process, attempt.server, status);
        }
        let commit = status.and_then(|status| status.position).map(|position| position.as_secs_f64());
        let served =
            outcome == Outcome::Success && self.request_served(process, id.request, &attempt, commit);
        let ended = AttemptEnded {
            request: id.request,
            attempt: id.number,
            server: ServerId(attempt.server as u32),
            outcome,
            round_trip: duration_from_secs(self.now - attempt.sent_at),
            request_complete: served || !self.processes[process].open_requests.contains_key(&id.request),
            status,
            load_report: None,
        };
        self.enqueue_event(process, Event::AttemptEnded(ended));
    }

    /// Adds the connection of an ended attempt to the idle connections if it is reusable, and closes it
    /// otherwise.
    fn release_connection(&mut self, process: usize, attempt: &InFlightAttempt, outcome: Outcome) {
        let reusable = match outcome {
            Outcome::Success | Outcome::Misdirected | Outcome::ServerError | Outcome::NotSent => true,
            Outcome::Rejected => attempt.written,
            _ => false,
        };
        let incarnation = attempt.incarnation;
        if reusable && self.fleet.backends.servers[attempt.server].model.incarnation == incarnation {
            let connection = IdleConnection { incarnation, idle_since: self.now };
            self.processes[process].idle_connections.entry(attempt.server).or_default().push(connection);
        } else if !attempt.on_new_connection || attempt.written {
            self.close_connections(attempt.server, [incarnation]);
        }
    }

    /// Records the role and the position from a server's status in the observations of a process.
    fn record_server_status(&mut self, process: usize, server: usize, status: ServerStatus) {
        let observations = &mut self.processes[process].observations;
        let is_replica = status.primary == Some(false);
        if is_replica {
            observations.not_primary.insert(server);
        } else if status.primary == Some(true) {
            observations.not_primary.remove(&server);
        }
        let reported = status.position.map(|position| position.as_secs_f64());
        let last = observations.positions.get(&server).copied().flatten();
        let newest = if last > reported { last } else { reported };
        observations.positions.insert(server, newest.filter(|_| is_replica));
    }

    /// Handles the success of an attempt: records an acknowledged write and serves the request. Returns false
    /// if the request has already ended.
    fn request_served(
        &mut self,
        process: usize,
        request: RequestId,
        attempt: &InFlightAttempt,
        commit: Option<f64>,
    ) -> bool {
        let now = self.now;
        let commit = commit.filter(|_| self.fleet.is_write(attempt.class));
        if let Some(commit) = commit {
            let proxy = self.processes[process].proxy;
            self.fleet.checker.write_acknowledged(proxy, attempt.session, commit);
            if self.fleet.plan.settings.session_tokens == SessionTokens::Tracked {
                let session = attempt.session.to_string();
                self.send_to_peers(process, &PeerMessage::SessionWrite { session, commit });
            }
        }
        let Some(open_request) = self.processes[process].open_requests.remove(&request) else { return false };
        let fleet = &mut self.fleet;
        fleet.checker.request_answered(request.0, FinalAnswer::Other, now);
        if let Some(commit) = commit {
            fleet.workload.write_acknowledged(&open_request.client_request, commit, now);
        }
        fleet.request_served(&open_request.client_request, now);
        let start = &mut fleet.report.starts[self.processes[process].start_index];
        start.first_served.get_or_insert(now - START_S - start.started_at);
        true
    }

    /// Sends a health check to a server, and schedules its result.
    pub(super) fn health_check(&mut self, process: usize, server: usize) {
        self.fleet.report.health_checks += 1;
        let now = self.now;
        let delay = self.one_way_delay(process, server);
        let timeout = self.fleet.plan.settings.limits.connect_timeout.as_secs_f64();
        let link = self.link_state(process, LinkEnd::Server(server));
        let failed = SimulationEvent::HealthChecked { process, server, ok: false, load_report: None };
        let target = &mut self.fleet.backends.servers[server];
        if link.down || target.model.state == ServerState::Dead || target.removed {
            return self.schedule(now + 2.0 * delay, failed);
        }
        if !link.is_open() || matches!(target.model.state, ServerState::Unresponsive | ServerState::Hung) {
            return self.schedule(now + timeout, failed);
        }
        let done_at = target.model.add_work(now, self.fleet.plan.health_check_work_s);
        let age_s = self.fleet.plan.load_report_age_s * self.fleet.rng.random::<f64>();
        let load_report = self.fleet.backends.load_report(server, age_s, now);
        let ok = SimulationEvent::HealthChecked { process, server, ok: true, load_report };
        self.schedule(done_at + 2.0 * delay, ok);
    }
}
