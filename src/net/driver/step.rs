//! Steps the routing engine and carries out its actions.

use std::time::Duration;

use tokio::time::Instant;

use super::attempt_table::InFlightAttempt;
use super::commands::{AttemptCommand, DiscoveryCommand, ServerCommand};
use super::request::Response;
use super::state::State;
use super::Driver;
use crate::api::{
    Action, AttemptEnded, AttemptId, AttemptNumber, Event, Outcome, PeerMessage, RequestId, ServerId,
};

/// The longest time between two steps.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(250);
/// The time between two steps from which on the process counts as paused. It is less than the time for which
/// a successor waits for this process.
const MIN_PROCESS_PAUSE: Duration = Duration::from_millis(800);
/// How long a process may take after a pause to notice that a successor was started.
const PAUSE_GRACE_PERIOD: Duration = Duration::from_millis(500);

impl<Q, A> Driver<Q, A> {
    /// Steps the engine whenever an event is queued or a timer comes due, at most once in the settings'
    /// `min_step_interval`. Never returns. A step each millisecond would shorten a request's wait by 2 ms, and
    /// no more requests would be served: `docs/design.md` has the figures.
    pub async fn run(&self) {
        loop {
            let timer_due = self.0.state.borrow().timers.next_due();
            let next_step = match timer_due {
                Some(due) => self.0.clock.to_instant(due),
                None => Instant::now() + MAX_STEP_INTERVAL,
            };
            tokio::select! {
                () = self.0.event_queued.notified() => {}
                () = tokio::time::sleep_until(next_step) => {}
            }
            self.step();
            tokio::time::sleep(self.0.min_step_interval).await;
        }
    }

    /// Steps the engine once and carries out its actions.
    pub fn step(&self) {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        // The peer may have sent its messages before a request came here, so the engine is fed them first.
        // The same holds for messages that a pause of this process may have kept from it.
        let mut messages = self.0.peer.receive();
        if now.saturating_sub(state.last_step) > MIN_PROCESS_PAUSE {
            messages.push(PeerMessage::ProcessPaused(PAUSE_GRACE_PERIOD));
        }
        state.last_step = now;
        state.events.splice(0..0, messages.into_iter().map(Event::PeerMessage));
        while let Some(timer) = state.timers.pop_due(now) {
            state.events.push(Event::Timer(timer));
        }
        let mut actions = std::mem::take(&mut state.actions);
        state.engine.step(now, state.events.drain(..), &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, state);
        }
        state.actions = actions;
    }

    fn carry_out(&self, now: Duration, action: Action, state: &mut State<Q, A>) {
        match action {
            Action::Forward { request, server, timeout } => {
                self.forward(now, Forward { request, server, timeout }, state);
            }
            Action::Reject { request, retry_after } => {
                Self::complete(now, request, Response::Rejected(retry_after), state);
            }
            Action::Fail { request } => Self::complete(now, request, Response::Failed, state),
            Action::Cancel { request, attempt } => {
                self.cancel(now, AttemptId { request, number: attempt }, state);
            }
            Action::HealthCheck { server } => self.command(ServerCommand::HealthCheck(server)),
            Action::CloseIdleConnections { server } => self.command(ServerCommand::CloseIdle(server)),
            Action::Watch { on } => self.command_discovery(DiscoveryCommand::Watch(on)),
            Action::Poll => self.command_discovery(DiscoveryCommand::Poll),
            Action::SetTimer { after, id } => state.timers.schedule(now + after, id),
            Action::Log(text) => log::info!("routing engine: {text}"),
            // Proxy instances are not connected with each other, so there is nobody to send it to.
            Action::Gossip { .. } => {}
        }
    }

    fn command_discovery(&self, command: DiscoveryCommand) {
        // The channel is closed only while the proxy ends.
        let _ = self.0.discovery_commands.send(command);
    }

    /// Gives a request the final response that the engine has decided on.
    fn complete(now: Duration, id: RequestId, response: Response<A>, state: &mut State<Q, A>) {
        let Some(request) = state.requests.remove(id) else { return };
        let result = if matches!(response, Response::Failed) { "failed" } else { "rejected" };
        let waited_ms = now.saturating_sub(request.submitted_at).as_millis();
        let limit_ms = request.deadline.saturating_sub(request.submitted_at).as_millis();
        log::debug!(
            "{result} request {} (number {}) of class {} after {waited_ms} of {limit_ms} ms and {} attempts",
            request.client_request_id,
            id.0,
            request.class.0,
            request.attempts
        );
        request.respond(response);
    }

    fn cancel(&self, now: Duration, id: AttemptId, state: &mut State<Q, A>) {
        let Some(attempt) = state.attempts.remove(id) else { return };
        attempt.log_end(id, now, Outcome::Cancelled);
        let request_complete = !state.requests.contains(id.request);
        state.events.push(Event::AttemptEnded(AttemptEnded {
            request_complete,
            ..attempt.ended(id, now, Outcome::Cancelled)
        }));
        self.0.event_queued.notify_one();
        self.command(ServerCommand::Cancel(id));
    }

    /// Starts the next attempt of a request, if its deadline and its attempt limit still admit one.
    fn forward(&self, now: Duration, forward: Forward, state: &mut State<Q, A>) {
        let Forward { request, server, timeout } = forward;
        let Some(open) = state.requests.get_mut(request) else { return };
        let number = open.next_attempt();
        let deadline = (now + timeout).min(open.deadline);
        if !open.allows_attempt(number) || deadline <= now {
            state.events.push(not_sent(request, number, server));
            self.0.event_queued.notify_one();
            return;
        }
        let id = AttemptId { request, number };
        let position = state.endpoints.position(server);
        let fresh_until = position.zip(open.staleness_bound).map(|(position, bound)| position + bound);
        let command = AttemptCommand {
            id,
            server,
            query: open.query.clone(),
            give_up_at: self.0.clock.to_instant(deadline),
            fresh_until: fresh_until.map(|until| self.0.clock.to_instant(until)),
        };
        let attempt = InFlightAttempt {
            server,
            class: open.class,
            sent_at: now,
            writing_session: open.writing_session.clone(),
        };
        state.attempts.insert(id, attempt);
        self.command(ServerCommand::Attempt(command));
    }
}

/// The engine's decision to forward a request.
struct Forward {
    request: RequestId,
    server: ServerId,
    timeout: Duration,
}

/// The report of an attempt that was numbered and not sent.
fn not_sent(request: RequestId, attempt: AttemptNumber, server: ServerId) -> Event {
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
