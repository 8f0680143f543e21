//! The attempts in flight at all servers.
//!
//! Owns the table of attempts. An attempt stays in it until its end is known, even where its request has its
//! final answer.

use std::collections::BTreeMap;

use crate::api::{AttemptId, AttemptNumber, ClassId, RequestId, ServerId};

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    /// Its server.
    pub server: ServerId,
    /// Its request's class.
    pub class: ClassId,
    /// The session of a write, where this proxy tracks session tokens.
    pub session: Option<String>,
    /// When it was sent, in seconds on the engine's clock.
    pub sent_at: f64,
    /// Seconds that it was expected to take.
    pub expected_secs: f64,
}

/// What a server owes responses to.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct UnansweredAttempts {
    /// Their number.
    pub count: usize,
    /// When the oldest was sent, in seconds on the engine's clock.
    pub oldest_sent_at: Option<f64>,
}

/// All attempts in flight.
#[derive(Default)]
pub(super) struct InFlightTable {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
}

impl InFlightTable {
    /// Adds an attempt that is sent.
    pub fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.attempts.insert(id, attempt);
    }

    /// Takes an attempt out that has ended.
    pub fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.attempts.remove(&id)
    }

    /// All attempts, by request and number.
    pub fn iter(&self) -> impl Iterator<Item = &InFlightAttempt> {
        self.attempts.values()
    }

    /// The attempts of a request.
    pub fn of_request(&self, request: RequestId) -> impl Iterator<Item = AttemptId> + '_ {
        let first = AttemptId { request, number: AttemptNumber(0) };
        let last = AttemptId { request, number: AttemptNumber(u32::MAX) };
        self.attempts.range(first..=last).map(|(id, _)| *id)
    }

    /// The attempts at a server that `counts` accepts by the time at which they were sent.
    pub fn unanswered_at(&self, server: ServerId, counts: impl Fn(f64) -> bool) -> UnansweredAttempts {
        let mut unanswered = UnansweredAttempts::default();
        for attempt in self.iter().filter(|attempt| attempt.server == server && counts(attempt.sent_at)) {
            unanswered.count += 1;
            let oldest =
                unanswered.oldest_sent_at.map_or(attempt.sent_at, |first| first.min(attempt.sent_at));
            unanswered.oldest_sent_at = Some(oldest);
        }
        unanswered
    }
}
