//! Steps the routing engine and executes its actions.

use std::time::Duration;

use tokio::time::Instant;

use super::attempt_table::InFlightAttempt;
use super::commands::{AttemptCommand, DiscoveryCommand, ServerCommand};
use super::request::Response;
use super::state::DriverState;
use super::Driver;
use crate::api::{
    Action, AttemptEnded, AttemptId, AttemptNumber, Event, Outcome, PeerMessage, RequestId, ServerId,
};

/// Time from one step to the next if no event is queued and no timer is pending.
const IDLE_STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two steps above which the process counts as paused. It is less than the time for which a
/// successor waits for this process, so a pause that lets a successor start without a handover is detected.
const MIN_PROCESS_PAUSE: Duration = Duration::from_millis(800);
/// Shortest delay of a step by other tasks that is logged at debug level.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(20);
/// Shortest delay of a step by other tasks that is logged as a warning: responses are late by as much.
const MIN_WARNED_DELAY: Duration = Duration::from_millis(100);
/// Time after a pause within which this process learns of a successor that was started during the pause.
const PAUSE_GRACE_PERIOD: Duration = Duration::from_millis(500);

impl<Q, R> Driver<Q, R> {
    /// Steps the engine whenever an event is queued or a timer is due, at most once per `min_step_interval`
    /// of the settings. Never returns. A step every millisecond would shorten the wait of a request by 2 ms
    /// but would not increase the number of requests served; `docs/design.md` has the figures.
    pub async fn run(&self) {
        loop {
            let timer_due = self.0.state.borrow().timers.next_due();
            let next_step = match timer_due {
                Some(due) => self.0.clock.to_instant(due),
                None => Instant::now() + IDLE_STEP_INTERVAL,
            };
            tokio::select! {
                () = self.0.event_queued.notified() => {}
                () = tokio::time::sleep_until(next_step) => {}
            }
            self.step();
            let stepped_at = Instant::now();
            tokio::time::sleep(self.0.min_step_interval).await;
            self.log_delay(stepped_at.elapsed().saturating_sub(self.0.min_step_interval));
        }
    }

    /// Steps the engine once and executes its actions.
    pub fn step(&self) {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        // The peer may have sent its messages before the queued requests arrived, so the engine gets the
        // messages first. The report of a process pause also goes first, since the peer may have sent
        // messages during the pause that this process did not receive.
        let mut messages = self.receive_from_peer(now, state);
        if now.saturating_sub(state.last_step) > MIN_PROCESS_PAUSE {
            messages.push(PeerMessage::ProcessPaused(PAUSE_GRACE_PERIOD));
        }
        state.last_step = now;
        state.events.splice(0..0, messages.into_iter().map(Event::PeerMessage));
        state.executed_ids.expire(now);
        while let Some(timer) = state.timers.pop_due(now) {
            state.events.push(Event::Timer(timer));
        }
        let mut actions = std::mem::take(&mut state.actions);
        state.engine.step(now, state.events.drain(..), &mut actions);
        for action in actions.drain(..) {
            self.execute_action(now, action, state);
        }
        state.actions = actions;
    }

    /// Logs the time by which other tasks have delayed the next step, if it is long.
    fn log_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis();
        if delay >= MIN_LOGGED_DELAY {
            log::debug!("step delayed by other tasks: {delay_ms} ms");
        }
        if delay >= MIN_WARNED_DELAY {
            if let Some(count) = self.0.delayed_steps.record() {
                let in_flight = self.requests_in_flight();
                log::warn!(
                    "steps delayed by other tasks: {count}, the last by {delay_ms} ms, {in_flight} requests \
                     in flight"
                );
            }
        }
    }

    /// Records the ids that the peer may have executed. Returns its messages for the routing engine.
    pub(super) fn receive_from_peer(&self, now: Duration, state: &mut DriverState<Q, R>) -> Vec<PeerMessage> {
        let received = self.0.peer.receive();
        for id in &received.executed_ids {
            state.executed_ids.record_peer(id, now);
        }
        received.messages.iter().for_each(|message| state.record_peer_message(message));
        received.messages
    }

    fn execute_action(&self, now: Duration, action: Action, state: &mut DriverState<Q, R>) {
        match action {
            Action::Forward { request, server, timeout, send_by } => {
                self.forward(now, ForwardAction { request, server, timeout, send_by }, state);
            }
            Action::Reject { request, retry_after } => {
                Self::complete_request(now, request, Response::Rejected(retry_after), state);
            }
            Action::Fail { request } => Self::complete_request(now, request, Response::Failed, state),
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(now, AttemptId { request, number: attempt }, state);
            }
            Action::HealthCheck { server } => self.send_command(ServerCommand::HealthCheck(server)),
            Action::CloseIdleConnections { server } => {
                self.send_command(ServerCommand::CloseIdleConnections(server))
            }
            Action::Watch { on } => self.send_discovery_command(DiscoveryCommand::Watch(on)),
            Action::Poll => self.send_discovery_command(DiscoveryCommand::Poll),
            Action::SetTimer { after, id } => state.timers.schedule(now + after, id),
            Action::Log(text) => log::info!("routing engine: {text}"),
            // This proxy has no connections to other proxy instances, so gossip messages are dropped.
            Action::Gossip { .. } => {}
        }
    }

    fn send_discovery_command(&self, command: DiscoveryCommand) {
        // The send fails only during process shutdown, when the receiver is dropped.
        let _ = self.0.discovery_commands.send(command);
    }

    /// Completes a request with a final response that the engine has decided on.
    pub(super) fn complete_request(
        now: Duration,
        id: RequestId,
        response: Response<R>,
        state: &mut DriverState<Q, R>,
    ) {
        let Some(request) = state.requests.remove(id) else { return };
        let result = if matches!(response, Response::Failed) { "failed" } else { "rejected" };
        let waited_ms = now.saturating_sub(request.submitted_at).as_millis();
        let limit_ms = request.deadline.saturating_sub(request.submitted_at).as_millis();
        log::debug!(
            "request {result}: id {}, number {}, class {}, after {waited_ms} of {limit_ms} ms, {} attempts",
            request.client_request_id,
            id.0,
            request.class.0,
            request.attempts
        );
        request.respond(response);
    }

    fn cancel_attempt(&self, now: Duration, id: AttemptId, state: &mut DriverState<Q, R>) {
        let Some(attempt) = state.attempts.remove(id) else { return };
        attempt.log_end(id, now, Outcome::Cancelled);
        let request_complete = !state.requests.contains(id.request);
        state.events.push(Event::AttemptEnded(AttemptEnded {
            request_complete,
            ..attempt.end_report(id, now, Outcome::Cancelled)
        }));
        self.0.event_queued.notify_one();
        self.send_command(ServerCommand::CancelAttempt(id));
    }

    /// Starts the next attempt of a request, if the deadline and the attempt limit of the request admit it.
    fn forward(&self, now: Duration, forward: ForwardAction, state: &mut DriverState<Q, R>) {
        let ForwardAction { request, server, timeout, send_by } = forward;
        let Some(open) = state.requests.get_mut(request) else { return };
        let number = open.next_attempt();
        let deadline = (now + timeout).min(open.deadline);
        if !open.allows_attempt(number) || deadline <= now {
            state.events.push(not_sent_event(request, number, server));
            self.0.event_queued.notify_one();
            return;
        }
        let id = AttemptId { request, number };
        let position = state.endpoints.position(server);
        let staleness_deadline = position.zip(open.staleness_bound).map(|(position, bound)| position + bound);
        let send_deadline = staleness_deadline.into_iter().chain(send_by).min();
        let command = AttemptCommand {
            id,
            server,
            query: open.query.clone(),
            sent_at: now,
            deadline: self.0.clock.to_instant(deadline),
            result_deadline: self.0.clock.to_instant(open.deadline),
            send_deadline: send_deadline.map(|until| self.0.clock.to_instant(until)),
            writing_session: open.writing_session.clone(),
        };
        let is_replica = state.endpoints.is_replica(server);
        let attempt = InFlightAttempt {
            server,
            class: open.class,
            sent_at: now,
            writing_session: open.writing_session.clone(),
            assumes_primary: !is_replica && state.rules.needs_fresh_data(open.class),
            executed_id: None,
        };
        state.attempts.insert(id, attempt);
        self.send_command(ServerCommand::StartAttempt(command));
    }
}

/// Fields of [`Action::Forward`].
struct ForwardAction {
    request: RequestId,
    server: ServerId,
    timeout: Duration,
    send_by: Option<Duration>,
}

/// Returns the event that reports an attempt that was numbered but not sent.
fn not_sent_event(request: RequestId, attempt: AttemptNumber, server: ServerId) -> Event {
    Event::AttemptEnded(AttemptEnded {
        request,
        attempt,
        server,
        outcome: Outcome::NotSent,
        round_trip: Duration::ZERO,
        request_complete: false,
        status: None,
        load_report: None,
    })
}
