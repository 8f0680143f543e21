//! The end of an attempt, together with what the engine recorded when the attempt was sent.
//!
//! The module [`attempt_ended`](super::attempt_ended) creates a [`Completion`]; all components that process
//! the end of an attempt read it.

use crate::api::{AttemptNumber, ClassId, Consistency, Outcome, RequestId, ServerId};

use super::tenant_meter::ErrorSource;

/// The end of an attempt.
pub(super) struct Completion {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt within its request.
    pub attempt: AttemptNumber,
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// Class of the request.
    pub class: ClassId,
    /// Consistency that the class requires.
    pub consistency: Consistency,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time at which the attempt was sent, in seconds on the engine's clock.
    pub sent_at: f64,
    /// Duration of the attempt in seconds, without the time for which this process was paused.
    pub duration_secs: f64,
    /// Mean response time of the class before this attempt, in seconds.
    pub mean_secs: f64,
    /// Whether the server or the tenant caused the outcome.
    pub error_source: ErrorSource,
    /// Whether the server is the primary according to the response; `None` if the response does not show it.
    pub is_primary: Option<bool>,
}

impl Completion {
    /// Returns whether the attempt was served.
    pub fn is_success(&self) -> bool {
        self.outcome == Outcome::Success
    }

    /// Returns whether the request is a write.
    pub fn is_write(&self) -> bool {
        self.consistency == Consistency::Write
    }

    /// Returns whether the duration counts as a response time. The duration of a timeout counts only if it is
    /// longer than the mean.
    pub fn shows_response_time(&self) -> bool {
        self.is_success() || (self.outcome == Outcome::Timeout && self.duration_secs > self.mean_secs)
    }

    /// Returns whether the outcome counts in the server's error share.
    pub fn counts_in_error_share(&self) -> bool {
        let is_neutral = matches!(self.outcome, Outcome::Cancelled | Outcome::NotSent | Outcome::Misdirected);
        self.error_source == ErrorSource::Server && !is_neutral
    }
}
