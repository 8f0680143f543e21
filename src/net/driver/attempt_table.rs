//! Table of the attempts in flight on the server side.
//!
//! An attempt is removed when it ends or is cancelled. A result for an attempt that is not in the table is
//! therefore late, and the driver drops it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::api::{AttemptEnded, AttemptId, ClassId, Outcome, ServerId};

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) server: ServerId,
    pub(super) class: ClassId,
    /// Time at which the driver commanded the attempt, on the proxy's clock.
    pub(super) sent_at: Duration,
    /// Session of the write; `None` for a read, or if session tokens are not tracked.
    pub(super) writing_session: Option<Rc<str>>,
    /// Whether the attempt is a read that needs fresh data, at a server that was not known to be a replica when
    /// the engine chose it. As a replica, the server may be too far behind.
    pub(super) assumes_primary: bool,
    /// Id under which the attempt may be executed. `None` until its write begins, and for requests that may be
    /// executed more than once.
    pub(super) executed_id: Option<String>,
}

impl InFlightAttempt {
    /// Logs the end of the attempt.
    pub(super) fn log_end(&self, id: AttemptId, now: Duration, outcome: Outcome) {
        let took_ms = now.saturating_sub(self.sent_at).as_millis();
        log::trace!(
            "attempt ended: number {}, request number {}, class {}, server {}, {outcome:?}, {took_ms} ms",
            id.number.0,
            id.request.0,
            self.class.0,
            self.server.0
        );
    }

    /// Returns the report of the attempt's end to the routing engine, with `request_complete` false and
    /// without a status or a load report.
    pub(super) fn end_report(&self, id: AttemptId, now: Duration, outcome: Outcome) -> AttemptEnded {
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

/// All attempts in flight, by id.
#[derive(Default)]
pub(super) struct AttemptTable(HashMap<AttemptId, InFlightAttempt>);

impl AttemptTable {
    pub(super) fn insert(&mut self, id: AttemptId, attempt: InFlightAttempt) {
        self.0.insert(id, attempt);
    }

    pub(super) fn get(&self, id: AttemptId) -> Option<&InFlightAttempt> {
        self.0.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: AttemptId) -> Option<&mut InFlightAttempt> {
        self.0.get_mut(&id)
    }

    pub(super) fn remove(&mut self, id: AttemptId) -> Option<InFlightAttempt> {
        self.0.remove(&id)
    }

    /// Returns the class of each attempt.
    pub(super) fn classes(&self) -> impl Iterator<Item = ClassId> + '_ {
        self.0.values().map(|attempt| attempt.class)
    }
}
