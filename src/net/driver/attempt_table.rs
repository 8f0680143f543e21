//! The attempts that the server side executes at present.
//!
//! An attempt leaves the table when it ends or is cancelled. A result for an attempt that is not in the table
//! is therefore known to be late.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::api::{AttemptEnded, AttemptId, ClassId, Outcome, ServerId};

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) server: ServerId,
    pub(super) class: ClassId,
    /// When it was forwarded, on the proxy's clock.
    pub(super) sent_at: Duration,
    /// The session whose write it is, if sessions are tracked.
    pub(super) writing_session: Option<Rc<str>>,
}

impl InFlightAttempt {
    /// Writes its end to the log.
    pub(super) fn log_end(&self, id: AttemptId, now: Duration, outcome: Outcome) {
        let took_ms = now.saturating_sub(self.sent_at).as_millis();
        log::trace!(
            "attempt {} of request number {} of class {} at server {}: {outcome:?} after {took_ms} ms",
            id.number.0,
            id.request.0,
            self.class.0,
            self.server.0
        );
    }

    /// The report of its end to the routing engine: without a response, and with its request not complete.
    pub(super) fn ended(&self, id: AttemptId, now: Duration, outcome: Outcome) -> AttemptEnded {
        AttemptEnded {
            request: id.request,
            attempt: id.number,
            server: self.server,
            outcome,
            round_trip: now.saturating_sub(self.sent_at),
            request_complete: false,
            status: None,
            load_report: None,
        }
    }
}

/// All attempts in flight.
#[derive(Default)]
pub(super) struct AttemptTable(HashMap<AttemptId, InFlightAttempt>);

impl AttemptTable {
    pub(super) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.0.insert(id, attempt);
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.0.remove(&id)
    }

    /// The class of each attempt.
    pub(super) fn classes(&self) -> impl Iterator<Item = ClassId> + '_ {
        self.0.values().map(|attempt| attempt.class)
    }
}
