//! Keeps requests that must not be repeated from being executed under the same id twice, here or in the peer
//! process.

use std::time::Duration;

use pipittack_core::deduplication::{stored_id, RepeatPermission, RequestKey};

use super::request::Response;
use super::state::DriverState;
use super::Driver;
use crate::api::{AttemptId, ClassId, Event, GroupId, Idempotency, RequestId};

/// Whether a new request may be executed under its id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    /// The request may be executed.
    Allowed,
    /// The request may be executed if it takes no longer than this. Servers then forget its idempotency key.
    AllowedFor(Duration),
    /// A request with the id may have been executed and must not run again.
    Denied,
}

impl<Q, R> Driver<Q, R> {
    /// Returns whether a new request of this class and group may be executed under its id.
    pub fn repeat_permission(&self, client_request_id: &str, class: ClassId, group: GroupId) -> Repeat {
        let now = self.0.clock.now();
        let state = self.0.state.borrow();
        let idempotency = state.rules.idempotency(class);
        match state.executed_ids.permission(RequestKey { client_request_id, group, idempotency }, now) {
            RepeatPermission::Allowed => Repeat::Allowed,
            RepeatPermission::AllowedUntil(until) => Repeat::AllowedFor(until.saturating_sub(now)),
            RepeatPermission::Denied => Repeat::Denied,
        }
    }

    /// Records that an attempt is about to be written, here and in the peer process. Returns false if the
    /// attempt must not be written, because another request with its id may have been executed. The request
    /// then fails.
    pub(super) fn begin_execution(&self, attempt: AttemptId) -> bool {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        let Some(open) = state.requests.get(attempt.request) else { return false };
        let has_id = !open.client_request_id.is_empty();
        if !has_id || state.rules.idempotency(open.class) == Idempotency::Idempotent {
            return true;
        }
        let client_request_id = open.client_request_id.clone();
        let may_execute = self.record_execution(attempt.request, now, state);
        if may_execute {
            if let Some(attempt) = state.attempts.get_mut(attempt) {
                attempt.executed_id = Some(client_request_id);
            }
        } else {
            log::debug!("request not executed: another request with id {client_request_id} may have been");
            Self::complete_request(now, attempt.request, Response::Failed, state);
        }
        may_execute
    }

    /// Records that an attempt, whose write had begun under this id, was not executed.
    pub(super) fn record_not_executed(&self, request: RequestId, client_request_id: &str) {
        self.0.state.borrow_mut().executed_ids.attempt_not_executed(request, client_request_id);
    }

    fn record_execution(&self, request: RequestId, now: Duration, state: &mut DriverState<Q, R>) -> bool {
        let Some(open) = state.requests.get(request) else { return false };
        if let Some(peer) = self.0.peer.link() {
            peer.send_executed_id(&stored_id(&open.client_request_id));
        }
        // The peer also sends before it receives. If both are about to execute requests with the same id, at
        // least one of them therefore learns of the other here.
        let messages = self.receive_from_peer(now, state);
        if !messages.is_empty() {
            state.events.extend(messages.into_iter().map(Event::PeerMessage));
            self.0.event_queued.notify_one();
        }
        let Some(open) = state.requests.get(request) else { return false };
        let idempotency = state.rules.idempotency(open.class);
        let key = RequestKey { client_request_id: &open.client_request_id, group: open.group, idempotency };
        state.executed_ids.begin_attempt(request, key, now)
    }
}
