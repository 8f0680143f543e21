//! Outcomes of attempts, and the state that servers report about themselves.

use std::time::Duration;

use super::ids::{AttemptNumber, RequestId, ServerId};

/// Largest amount by which a server rounds up the commit position of a write.
pub(crate) const COMMIT_ROUNDING: Duration = Duration::from_millis(1);

/// Returns the commit position of a write whose response arrived at `now`: the position that the response
/// contains or, without one, an upper bound. A server commits a write before it responds.
pub fn commit_position(reported: Option<Duration>, now: Duration) -> Duration {
    reported.unwrap_or(now + COMMIT_ROUNDING)
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server executed the attempt and responded.
    Success,
    /// The server responded with an error; the attempt may have been executed.
    ServerError,
    /// The server's own admission control rejected the attempt; it was not executed.
    Rejected,
    /// The server did not respond in time; the attempt may have been executed.
    Timeout,
    /// No connection to the server could be established; the attempt was not executed.
    ConnectFailed,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// The proxy cancelled the attempt; it may have been executed.
    Cancelled,
    /// The proxy never sent the attempt.
    NotSent,
    /// The server declined the attempt without executing it: the server is not the primary, or its data is
    /// too old.
    Misdirected,
}

impl Outcome {
    /// Returns whether the server responded.
    pub fn is_response(self) -> bool {
        matches!(self, Self::Success | Self::Misdirected | Self::Rejected | Self::ServerError)
    }

    /// Returns whether this outcome proves that the attempt was not executed.
    pub fn rules_out_execution(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::Misdirected)
    }
}

/// Server state carried by a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// Replication position of the server: the time up to which it has applied all commits. For a successful
    /// write, the commit time of the write. `None` if the response carries no position.
    pub position: Option<Duration>,
    /// Whether the server is the primary; `None` if the response does not say.
    pub primary: Option<bool>,
}

/// Load report of a server. The report may be older than the response that carries it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Replication position when the report was made; `None` if not reported.
    pub position: Option<Duration>,
    /// Whether the server was the primary when the report was made; `None` if not reported.
    pub primary: Option<bool>,
    /// Number of requests that the server was executing; `None` if not reported.
    pub in_flight: Option<f64>,
    /// Number of requests that were queued at the server; `None` if not reported.
    pub queued: Option<f64>,
}

/// The end of an attempt, as the caller observed it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnded {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request.
    pub attempt: AttemptNumber,
    /// Server that the attempt was sent to.
    pub server: ServerId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from sending the attempt to its end, as the caller measured it. The engine uses its own clock
    /// instead.
    pub round_trip: Duration,
    /// Whether the request has its final answer, from this attempt or an earlier one.
    pub request_complete: bool,
    /// Server state carried by the response; `None` without a response or if it carries none.
    pub status: Option<ServerStatus>,
    /// Load report that arrived with the response, if any.
    pub load_report: Option<LoadReport>,
}
