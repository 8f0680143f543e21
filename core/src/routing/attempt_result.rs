//! The end of an attempt, with what the engine knows of the attempt itself.
//!
//! [`completion`](super::completion) computes it, and all parts that learn from it read it.

use crate::api::{AttemptNumber, ClassId, Consistency, Outcome, RequestId, ServerId};

use super::tenant_meter::FaultOwner;

/// The end of an attempt.
pub(super) struct Completion {
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub attempt: AttemptNumber,
    /// Its server.
    pub server: ServerId,
    /// Its request's class.
    pub class: ClassId,
    /// The consistency that the class needs.
    pub consistency: Consistency,
    /// How it ended.
    pub outcome: Outcome,
    /// When it was sent, in seconds on the engine's clock.
    pub sent_at: f64,
    /// Seconds that it took, without those for which this process was paused.
    pub took_secs: f64,
    /// Mean response time of the class before this attempt, in seconds.
    pub usual_secs: f64,
    /// Who caused the outcome.
    pub fault_owner: FaultOwner,
    /// The role that the response shows.
    pub is_primary: Option<bool>,
}

impl Completion {
    /// Whether it was served.
    pub fn is_success(&self) -> bool {
        self.outcome == Outcome::Success
    }

    /// Whether its request is a write.
    pub fn is_write(&self) -> bool {
        self.consistency == Consistency::Write
    }

    /// Whether it shows how long the server takes. A timeout does so if it is longer than usual.
    pub fn shows_response_time(&self) -> bool {
        self.is_success() || (self.outcome == Outcome::Timeout && self.took_secs > self.usual_secs)
    }

    /// Whether its outcome counts in its server's error share.
    pub fn counts_in_error_share(&self) -> bool {
        let is_neutral = matches!(self.outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Misdirected);
        self.fault_owner == FaultOwner::Server && !is_neutral
    }
}
