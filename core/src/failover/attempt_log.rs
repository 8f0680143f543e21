//! Records the attempts of one request and whether each of them may have executed the request.
//!
//! Owns the list of attempts; attempts are never removed. A request may be reported as not executed only if
//! the outcome of every attempt rules out execution. An attempt in flight may still execute the request, and
//! an attempt that ended without such an outcome may have executed it. Times are seconds on the engine's
//! clock.

use crate::api::{AttemptNumber, Idempotency, KeyScope, Outcome, ServerId};

/// Evidence of whether an attempt executed its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExecutionEvidence {
    /// The attempt has not ended and may execute the request.
    InFlight,
    /// The server executed the request and responded.
    Executed,
    /// The server did not execute the request: it rejected the request or did not receive all of it.
    RuledOut,
    /// The attempt ended without a response. The server may have executed the request or may still execute
    /// it.
    Unknown,
}

/// Whether a client may safely retry a request that the proxy gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request was not executed or is idempotent.
    Safe,
    /// The request may have been executed and is not idempotent.
    Unknown,
}

/// An attempt that may have executed the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PossibleExecution {
    /// Time at which the attempt was sent, in seconds on the engine's clock.
    pub sent_at: f64,
    /// Server to which the attempt was sent.
    pub server: ServerId,
}

/// An attempt and the evidence of its execution.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LoggedAttempt {
    number: u32,
    server: ServerId,
    sent_at: f64,
    evidence: ExecutionEvidence,
}

/// The attempts of one request in the order in which they were sent.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AttemptLog {
    attempts: Vec<LoggedAttempt>,
}

impl ExecutionEvidence {
    /// Returns the evidence that the outcome of an attempt provides.
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

    /// Records the outcome of an attempt. Ignores attempts that are unknown or have already ended.
    pub fn record_ended(&mut self, number: AttemptNumber, outcome: Outcome) {
        let attempt = self
            .attempts
            .iter_mut()
            .find(|attempt| attempt.number == number.0 && attempt.evidence == ExecutionEvidence::InFlight);
        if let Some(attempt) = attempt {
            attempt.evidence = ExecutionEvidence::from_outcome(outcome);
        }
    }

    /// Returns the first attempt that has ended and may have executed the request; `None` if there is none.
    pub fn first_possible_execution(&self) -> Option<PossibleExecution> {
        let attempt = self.attempts.iter().find(|attempt| {
            matches!(attempt.evidence, ExecutionEvidence::Executed | ExecutionEvidence::Unknown)
        })?;
        Some(PossibleExecution { sent_at: attempt.sent_at, server: attempt.server })
    }

    /// Returns whether an attempt is in flight at a server.
    pub fn is_in_flight_at(&self, server: ServerId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.server == server && attempt.evidence == ExecutionEvidence::InFlight)
    }

    /// Returns whether any attempt may have executed the request or, if in flight, may still execute it.
    pub fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.evidence != ExecutionEvidence::RuledOut)
    }

    /// Returns whether the client may safely retry the request if the proxy gives it up now.
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
