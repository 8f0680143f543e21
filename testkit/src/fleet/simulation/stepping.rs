//! Steps of the routing engine of a process: delivers the pending events and performs the engine's actions.

use std::cmp::Reverse;

use pipittack_core::api::{Action, AttemptId, Event, Outcome, PeerMessage, RequestId};

use super::super::fleet_model::duration_from_secs;
use super::super::rule_checker::FinalAnswer;
use super::super::workload::TryFailure;
use super::event_queue::SimulationEvent;
use super::Simulation;

/// Resolution in seconds of the times of events, which the event queue rounds up to microseconds.
const TIME_RESOLUTION_S: f64 = 1e-6;

impl Simulation {
    /// Adds an event to the pending events of a process and schedules a step. Does nothing if the process has
    /// exited.
    pub(super) fn enqueue_event(&mut self, process: usize, event: Event) {
        if self.processes[process].alive {
            self.processes[process].events.push(event);
            self.schedule_step(process);
        }
    }

    /// Sends a message to the peer processes of a process.
    pub(super) fn send_to_peers(&mut self, process: usize, message: &PeerMessage) {
        let proxy = self.processes[process].proxy;
        for other in self.live_processes[proxy].clone() {
            if other != process {
                self.enqueue_event(other, Event::PeerMessage(message.clone()));
            }
        }
    }

    fn min_step_interval(&self) -> f64 {
        self.fleet.plan.settings.min_step_interval.as_secs_f64()
    }

    /// Schedules the next step of a process at the earliest time that the minimum interval between steps and
    /// a pause of the process allow.
    pub(super) fn schedule_step(&mut self, process: usize) {
        let state = &self.processes[process];
        let earliest = self.now.max(state.last_step_at + self.min_step_interval()).max(state.paused_until);
        self.schedule_step_at(process, earliest);
    }

    /// Schedules a step of a process at a time, unless a step is already scheduled at that time or earlier.
    fn schedule_step_at(&mut self, process: usize, at: f64) {
        let state = &mut self.processes[process];
        if state.next_step_at.is_none_or(|scheduled| at < scheduled) {
            state.next_step_at = Some(at);
            self.schedule(at, SimulationEvent::Step { process });
        }
    }

    /// Steps a process if a step is due. Does nothing if its next step is scheduled later or has already run.
    /// If the process is paused, schedules the step for the end of the pause.
    pub(super) fn step_if_due(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if state.next_step_at.is_none_or(|at| at > self.now + TIME_RESOLUTION_S) {
            return;
        }
        if state.paused_until > self.now {
            state.next_step_at = None;
            return self.schedule_step(process);
        }
        self.step(process);
    }

    /// Passes the pending events of a process to its routing engine, and performs the returned actions.
    pub(super) fn step(&mut self, process: usize) {
        let now = duration_from_secs(self.now);
        let state = &mut self.processes[process];
        if !state.alive {
            return;
        }
        state.next_step_at = None;
        state.last_step_at = self.now;
        state.expire_timers(now);
        let events = std::mem::take(&mut state.events);
        let mut actions = Vec::new();
        state.engine.step(now, events, &mut actions);
        for action in actions {
            self.perform_action(process, action);
        }
        if let Some(Reverse((timer_at, _))) = self.processes[process].timers.peek() {
            let at = timer_at.as_secs_f64().max(self.now + self.min_step_interval());
            self.schedule_step_at(process, at);
        }
    }

    fn perform_action(&mut self, process: usize, action: Action) {
        match action {
            Action::Forward { request, server, timeout, .. } => {
                self.send_attempt(process, request, server.0 as usize, timeout);
            }
            Action::Reject { request, retry_after } => {
                let failure = TryFailure::Rejected { retry_after };
                self.end_request(process, request, FinalAnswer::Rejected, failure);
            }
            Action::Fail { request } => {
                self.end_request(process, request, FinalAnswer::Other, TryFailure::Failed);
            }
            Action::Cancel { request, attempt } => {
                let id = AttemptId { request, number: attempt };
                if self.processes[process].in_flight.contains_key(&id) {
                    self.attempt_ends(process, id, Outcome::Cancelled.into());
                }
            }
            Action::HealthCheck { server } => self.health_check(process, server.0 as usize),
            Action::Watch { on } => {
                self.processes[process].watching = false;
                if on {
                    self.poll(process);
                }
            }
            Action::Poll => self.poll(process),
            Action::CloseIdleConnections { server } => {
                let server = server.0 as usize;
                let idle = self.processes[process].idle_connections.remove(&server).unwrap_or_default();
                self.close_connections(server, idle.iter().map(|connection| connection.incarnation));
            }
            Action::SetTimer { after, id } => {
                let at = duration_from_secs(self.now) + after;
                self.processes[process].timers.push(Reverse((at, id.0)));
            }
            Action::Log(_) | Action::Gossip { .. } => {}
        }
    }

    /// Answers a request that is not served with a rejection or an error.
    fn end_request(&mut self, process: usize, id: RequestId, answer: FinalAnswer, failure: TryFailure) {
        let Some(open_request) = self.processes[process].open_requests.remove(&id) else { return };
        self.fleet.checker.request_answered(id.0, answer, self.now);
        match failure {
            TryFailure::Rejected { .. } => self.fleet.report.rejected += 1,
            TryFailure::Failed => self.fleet.report.failed += 1,
        }
        self.try_failed(open_request.client_request, failure);
    }
}
