//! How attempts end, and what servers report of themselves.

use std::time::Duration;

use super::ids::{AttemptNumber, RequestId, ServerId};

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; it may have been executed.
    ServerError,
    /// The server's own admission control rejected it; it was not executed.
    Rejected,
    /// No response in time; it may have been executed.
    Timeout,
    /// No connection; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled by this proxy; it may have been executed.
    Cancelled,
    /// Never sent.
    NotSent,
    /// Declined without execution: the server is not the primary, or its data is too old.
    Misdirected,
}

impl Outcome {
    /// Whether the server responded.
    pub fn is_response(self) -> bool {
        matches!(self, Self::Success | Self::Misdirected | Self::Rejected | Self::ServerError)
    }

    /// Whether this outcome proves that the attempt was not executed.
    pub fn rules_out_execution(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent | Self::Misdirected)
    }
}

/// What a response says of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerStatus {
    /// Replication position: the time up to which it has applied all commits; for a write that succeeded, its
    /// commit time.
    pub position: Option<Duration>,
    /// Whether it is the primary; `None` where the response does not say.
    pub primary: Option<bool>,
}

/// A server's load report, as old as its transport made it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Replication position.
    pub position: Option<Duration>,
    /// Whether it was the primary.
    pub primary: Option<bool>,
    /// Requests in progress.
    pub in_flight: Option<f64>,
    /// Requests that wait for service.
    pub queued: Option<f64>,
}

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnded {
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub attempt: AttemptNumber,
    /// The server it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub round_trip: Duration,
    /// The request has its final answer, by this attempt or earlier.
    pub request_complete: bool,
    /// What the response says of the server.
    pub status: Option<ServerStatus>,
    /// The load report that came with it.
    pub load_report: Option<LoadReport>,
}
