//! The attempts in flight at all servers.
//!
//! Owns the table of attempts. An attempt stays in the table until it ends, even if its request already has
//! its final answer.

use std::collections::BTreeMap;

use crate::api::{AttemptId, AttemptNumber, ClassId, RequestId, ServerId};

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// Class of the request.
    pub class: ClassId,
    /// Session of a write, if this proxy tracks session tokens; otherwise `None`.
    pub session: Option<String>,
    /// Time at which the attempt was sent, in seconds on the engine's clock.
    pub sent_at: f64,
    /// Expected response time in seconds.
    pub expected_secs: f64,
}

/// The unanswered attempts at one server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UnansweredAttempts {
    /// Number of attempts.
    pub count: usize,
    /// Time at which the oldest attempt was sent, in seconds on the engine's clock; `None` without attempts.
    pub oldest_sent_at: Option<f64>,
}

/// The attempts in flight at all servers.
#[derive(Default)]
pub(super) struct InFlightTable {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
}

impl InFlightTable {
    /// Adds an attempt.
    pub fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt that has ended. Returns `None` if it is not in the table.
    pub fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    /// Returns all attempts, ordered by request and number.
    pub fn iter(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.attempts.values()
    }

    /// Returns the ids of a request's attempts in flight.
    pub fn of_request(&self, request: RequestId) -> impl Iterator<Item = AttemptId> + '_ {
        let first = AttemptId { request, number: AttemptNumber(0) };
        let last = AttemptId { request, number: AttemptNumber(u32::MAX) };
        self.attempts.range(first..=last).map(|(id, _)| *id)
    }

    /// Returns the unanswered attempts at a server. Only attempts are counted whose send time `is_counted`
    /// accepts.
    pub fn unanswered_at(&self, server: ServerId, is_counted: impl Fn(f64) -> bool) -> UnansweredAttempts {
        let mut unanswered = UnansweredAttempts::default();
        for attempt in self.iter().filter(|attempt| attempt.server == server && is_counted(attempt.sent_at)) {
            unanswered.count += 1;
            let oldest =
                unanswered.oldest_sent_at.map_or(attempt.sent_at, |first| first.min(attempt.sent_at));
            unanswered.oldest_sent_at = Some(oldest);
        }
        unanswered
    }
}
