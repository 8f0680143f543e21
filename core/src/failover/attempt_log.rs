//! Records the attempts of one request and what is known of their execution.
//!
//! Owns the list of attempts. A request may be reported as not executed only if every attempt's outcome rules
//! execution out: an attempt in flight may execute, and one that ended without such an outcome may have
//! executed. Attempts are never removed. Times are seconds on the engine's clock.

use crate::api::{AttemptNumber, Idempotency, KeyScope, Outcome, ServerId};

/// What is known of an attempt's execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEvidence {
    /// The attempt has not ended and may execute.
    InFlight,
    /// The server executed the request and responded.
    Executed,
    /// The server did not execute it: it rejected the request, or did not receive all of it.
    RuledOut,
    /// The attempt ended without a response: the request may have been executed, or may be still.
    Unknown,
}

/// Whether a client may repeat a request that the proxy gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request was not executed, or is idempotent.
    Safe,
    /// The request may have been executed and is not idempotent.
    Unknown,
}

/// An attempt that may have executed the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PossibleExecution {
    /// When the attempt was sent, in seconds on the engine's clock.
    pub sent_at: f64,
    /// The server that it was sent to.
    pub server: ServerId,
}

/// One attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LoggedAttempt {
    number: u32,
    server: ServerId,
    sent_at: f64,
    evidence: ExecutionEvidence,
}

/// The attempts of one request, in the order in which they were sent.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AttemptLog {
    attempts: Vec<LoggedAttempt>,
}

impl ExecutionEvidence {
    /// What the outcome of an attempt shows.
    pub fn from_outcome(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Success => Self::Executed,
            _ if outcome.rules_out_execution() => Self::RuledOut,
            _ => Self::Unknown,
        }
    }
}

impl AttemptLog {
    /// Records that an attempt was sent to a server at `now`.
    pub fn record_sent(&mut self, number: u32, server: ServerId, now: f64) {
        let evidence = ExecutionEvidence::InFlight;
        self.attempts.push(LoggedAttempt { number, server, sent_at: now, evidence });
    }

    /// Records the outcome of an attempt. An attempt that is unknown or has ended already is left as it is.
    pub fn record_ended(&mut self, number: AttemptNumber, outcome: Outcome) {
        let attempt = self
            .attempts
            .iter_mut()
            .find(|attempt| attempt.number == number.0 && attempt.evidence == ExecutionEvidence::InFlight);
        if let Some(attempt) = attempt {
            attempt.evidence = ExecutionEvidence::from_outcome(outcome);
        }
    }

    /// The first attempt that has ended and may have executed the request.
    pub fn first_possible_execution(&self) -> Option<PossibleExecution> {
        let attempt = self.attempts.iter().find(|attempt| {
            matches!(attempt.evidence, ExecutionEvidence::Executed | ExecutionEvidence::Unknown)
        })?;
        Some(PossibleExecution { sent_at: attempt.sent_at, server: attempt.server })
    }

    /// Whether an attempt is in flight at a server.
    pub fn is_in_flight_at(&self, server: ServerId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.server == server && attempt.evidence == ExecutionEvidence::InFlight)
    }

    /// Whether any attempt, ended or in flight, may execute or have executed the request.
    pub fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.evidence != ExecutionEvidence::RuledOut)
    }

    /// Whether the client may repeat the request if it is given up now.
    pub fn retry_safety(&self, idempotency: Idempotency) -> RetrySafety {
        match idempotency {
            Idempotency::Idempotent | Idempotency::WithKey { scope: KeyScope::All, .. } => RetrySafety::Safe,
            _ if self.may_have_executed() => RetrySafety::Unknown,
            _ => RetrySafety::Safe,
        }
    }
}

#[cfg(test)]
mod tests;
