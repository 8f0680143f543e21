//! The ledger of one request's attempts: what has become of each, what proves it, and so what its client may
//! be told.
//!
//! Owns the rule that "never ran" is said only where it was proved: an attempt that is out may run, and one
//! that ended without such a proof may have run. It must never forget an attempt.

use crate::api::{AttemptNumber, Idempotency, KeyScope, Outcome, ServerId};

/// What an attempt's end proves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEvidence {
    /// None yet: it is out, and may run.
    InFlight,
    /// It ran: this is its answer.
    Executed,
    /// It never ran: it was turned away untouched, or its last byte was not written.
    RuledOut,
    /// Nothing: it may have run, and may yet.
    Unknown,
}

/// What a client may be told when its request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// Nothing ran, or it may run again: asking again is harmless.
    Safe,
    /// It may have run, and must not run again.
    Unknown,
}

/// One attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LoggedAttempt {
    attempt: u32,
    server: ServerId,
    sent: f64,
    proof: ExecutionEvidence,
}

/// What has become of a request's attempts.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AttemptLog {
    legs: Vec<LoggedAttempt>,
}

impl ExecutionEvidence {
    /// What an outcome proves.
    pub fn from_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::Executed,
            _ if outcome.rules_out_execution() => Self::RuledOut,
            _ => Self::Unknown,
        }
    }
}

impl AttemptLog {
    /// An attempt goes out.
    pub fn record_sent(&mut self, attempt: u32, server: ServerId, now: f64) {
        self.legs.push(LoggedAttempt { attempt, server, sent: now, proof: ExecutionEvidence::InFlight });
    }

    /// An attempt ended. One that is not known, or has ended before, changes nothing.
    pub fn record_ended(&mut self, attempt: AttemptNumber, outcome: Outcome) {
        let leg = self
            .legs
            .iter_mut()
            .find(|leg| leg.attempt == attempt.0 && leg.proof == ExecutionEvidence::InFlight);
        if let Some(leg) = leg {
            leg.proof = ExecutionEvidence::from_outcome(outcome);
        }
    }

    /// The first attempt that has ended and may have run: when it was sent, and where.
    pub fn first_possible_execution(&self) -> Option<(f64, ServerId)> {
        let ran = |leg: &&LoggedAttempt| {
            matches!(leg.proof, ExecutionEvidence::Executed | ExecutionEvidence::Unknown)
        };
        self.legs.iter().find(ran).map(|leg| (leg.sent, leg.server))
    }

    /// Whether an attempt is out at a server.
    pub fn is_in_flight_at(&self, server: ServerId) -> bool {
        self.legs.iter().any(|leg| leg.server == server && leg.proof == ExecutionEvidence::InFlight)
    }

    /// Whether some server has taken it up, so far as is known.
    pub fn may_have_executed(&self) -> bool {
        self.legs.iter().any(|leg| leg.proof != ExecutionEvidence::RuledOut)
    }

    /// What its client may be told now.
    pub fn retry_safety(&self, effect: Idempotency) -> RetrySafety {
        match effect {
            Idempotency::Idempotent | Idempotency::WithKey { scope: KeyScope::All, .. } => RetrySafety::Safe,
            _ if self.may_have_executed() => RetrySafety::Unknown,
            _ => RetrySafety::Safe,
        }
    }
}

#[cfg(test)]
mod tests;
