//! Execution of attempts by the server models, and the responses to the attempts.

use pipittack_core::api::{AttemptId, Outcome, ServerStatus};

use super::super::backends::{Completion, IncomingRequest, RequestAdmission};
use super::super::link_faults::LinkEnd;
use super::super::rule_checker::ReplicaRead;
use super::super::server_model::ServerState;
use super::event_queue::{AttemptResult, Execution, SimulationEvent};
use super::Simulation;

impl Simulation {
    /// Handles the arrival of an attempt's statement at its server.
    pub(super) fn statement_received(&mut self, process: usize, id: AttemptId) {
        let now = self.now;
        let Some(attempt) = self.processes[process].in_flight.get(&id) else { return };
        let server = attempt.server;
        let delay = self.one_way_delay(process, server);
        // The connection took so long that the data of the server may now be older than the bound of the
        // read: the proxy does not send the statement.
        if attempt.fresh_until.is_some_and(|until| now - delay > until) {
            return self.attempt_ends(process, id, Outcome::NotSent.into());
        }
        if self.link_state(process, LinkEnd::Server(server)).requests_dropped {
            return;
        }
        let model = &self.fleet.backends.servers[server].model;
        if model.incarnation != attempt.incarnation || model.state == ServerState::Dead {
            let outcome = if attempt.on_new_connection { Outcome::ConnectFailed } else { Outcome::Reset };
            let result = outcome.into();
            return self.schedule(now + delay, SimulationEvent::AttemptEnds { process, id, result });
        }
        let execution = Execution {
            process,
            id,
            server,
            incarnation: attempt.incarnation,
            class: attempt.class,
            sent_at: attempt.sent_at,
            work_s: attempt.work_s,
            may_read_stale: attempt.may_read_stale,
        };
        if let Some(attempt) = self.processes[process].in_flight.get_mut(&id) {
            attempt.written = true;
        }
        self.fleet.checker.statement_written(id.request.0, server, now - delay);
        self.admit(execution);
    }

    /// Passes an attempt to the model of its server, which executes or rejects it, does not respond, or
    /// crashes.
    fn admit(&mut self, execution: Execution) {
        let Execution { process, server, id, .. } = execution;
        let known_start = self.processes[process].observations.known_starts.get(&server).copied();
        let request = IncomingRequest {
            class: execution.class,
            work_s: execution.work_s,
            sender_informed: self.fleet.is_informed_of_start(server, known_start),
        };
        match self.fleet.backends.admit(server, request, self.now) {
            RequestAdmission::NoResponse => {}
            RequestAdmission::NotPrimary => self.respond(process, server, id, Outcome::Misdirected, None),
            RequestAdmission::Rejected => self.respond(process, server, id, Outcome::Rejected, None),
            RequestAdmission::Crashed { informed_share } => {
                self.fleet.checker.server_crashed(server, informed_share, self.now);
                let mut effects = Vec::new();
                self.fleet.backends.crash(server, self.now, &mut effects);
                self.handle_effects(effects);
            }
            RequestAdmission::Executing { starts_at, ends_at } => {
                self.schedule(starts_at, SimulationEvent::ExecutionStarts(execution));
                self.schedule(ends_at, SimulationEvent::ExecutionEnds(execution));
            }
        }
    }

    /// Sends the response of a server to an attempt, unless the link drops responses. Without a `status`, the
    /// response has the current status of the server.
    fn respond(
        &mut self,
        process: usize,
        server: usize,
        id: AttemptId,
        outcome: Outcome,
        status: Option<ServerStatus>,
    ) {
        let arrives_at = self.now + self.one_way_delay(process, server);
        let status = status.unwrap_or_else(|| self.fleet.backends.status(server, self.now));
        if !self.link_state(process, LinkEnd::Server(server)).responses_dropped {
            let result = AttemptResult { outcome, status: Some(status) };
            self.schedule(arrives_at, SimulationEvent::AttemptEnds { process, id, result });
        }
    }

    /// Returns whether the server is up in the incarnation that started the execution.
    fn is_executing(&self, execution: &Execution) -> bool {
        let model = &self.fleet.backends.servers[execution.server].model;
        model.incarnation == execution.incarnation && model.state == ServerState::Up
    }

    /// Starts an execution: a replica reads its data, at its current position.
    pub(super) fn execution_starts(&mut self, execution: Execution) {
        if !self.is_executing(&execution) {
            return;
        }
        let Execution { process, server, id, class, work_s, .. } = execution;
        let position = self.fleet.backends.start_execution(server, class, work_s, self.now);
        let Some(position) = position else { return };
        if self.processes[process].in_flight.contains_key(&id) {
            let read = ReplicaRead {
                request: id.request.0,
                sent_at: execution.sent_at,
                position,
                may_read_stale: execution.may_read_stale,
            };
            self.fleet.checker.read_executed(read, self.now);
        }
    }

    /// Ends an execution: the server commits a write, and responds.
    pub(super) fn execution_ends(&mut self, execution: Execution) {
        if !self.is_executing(&execution) {
            return;
        }
        let Execution { process, server, id, class, .. } = execution;
        let Completion { outcome, status } = self.fleet.backends.finish_execution(server, class, self.now);
        if self.fleet.is_write(class) && outcome == Outcome::Success {
            self.fleet.checker.write_executed(id.request.0, class, self.now);
        }
        self.respond(process, server, id, outcome, Some(status));
    }

    /// Handles the exit of an incarnation of a server: resets the connections of attempts in flight, except
    /// on links that drop data to the proxy and thus also the resets.
    pub(super) fn server_exited(&mut self, server: usize, incarnation: u32) {
        for process in 0..self.processes.len() {
            let in_flight = self.processes[process].in_flight.iter();
            let affected: Vec<_> = in_flight
                .filter(|(_, attempt)| attempt.server == server && attempt.incarnation == incarnation)
                .map(|(id, attempt)| (*id, attempt.written))
                .collect();
            if affected.is_empty() || self.link_state(process, LinkEnd::Server(server)).responses_dropped {
                continue;
            }
            let at = self.now + self.one_way_delay(process, server);
            for (id, written) in affected {
                self.schedule_reset(process, id, written, at);
            }
        }
    }

    /// Schedules the end of an attempt whose connection is reset at a time.
    pub(super) fn schedule_reset(&mut self, process: usize, id: AttemptId, written: bool, at: f64) {
        let outcome = if written { Outcome::Reset } else { Outcome::ConnectFailed };
        self.schedule(at, SimulationEvent::AttemptEnds { process, id, result: outcome.into() });
    }
}
