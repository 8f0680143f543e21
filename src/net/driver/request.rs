//! Requests and responses that the client side exchanges with the driver, and attempt results that the server
//! side reports to it.

use std::rc::Rc;
use std::time::Duration;

use crate::api::{ClassId, GroupId, LoadReport, Outcome, ServerStatus};

/// A request from the client side. The driver assigns the request id.
#[derive(Debug, Clone, Default)]
pub struct NewRequest {
    /// Id that the client assigned; empty for none. A request that must not be repeated is not executed a
    /// second time under its id.
    pub client_request_id: String,
    /// The client that waits for the response. With `None`, the driver assumes that the client never
    /// disconnects.
    pub client: Option<Rc<dyn ClientHandle>>,
    /// Class of the request.
    pub class: ClassId,
    /// Replica set that the request is for.
    pub group: GroupId,
    /// Time for which the client still waits.
    pub time_left: Duration,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// Length of the statement in bytes.
    pub statement_bytes: u64,
    /// Session of the request; `None` if the class does not use sessions.
    pub session: Option<String>,
    /// Replication position that a read must see (the commit time of the session's last write), in Unix
    /// milliseconds; `None` if the client sent none.
    pub last_write_unix_ms: Option<f64>,
}

/// Client connection of a request.
pub trait ClientHandle: std::fmt::Debug {
    /// Returns whether the client has disconnected. The driver calls this just before an attempt is sent.
    fn is_disconnected(&self) -> bool;
}

/// The final response to a request.
#[derive(Debug, PartialEq)]
pub enum Response<R> {
    /// Query result of the first successful attempt.
    Served(R),
    /// Rejected without execution, so a retry is safe. The duration is the time after which the client should
    /// retry; `None` gives no advice.
    Rejected(Option<Duration>),
    /// Failed; the request may have been executed.
    Failed,
}

/// Result of an attempt, reported by the server side.
#[derive(Debug)]
pub struct AttemptResult<R> {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Server status that the response contained; `None` if there was none.
    pub status: Option<ServerStatus>,
    /// Load report that the response contained; `None` if there was none.
    pub load_report: Option<LoadReport>,
    /// Query result; `None` unless the outcome is [`Outcome::Success`].
    pub response: Option<R>,
}

impl<R> AttemptResult<R> {
    /// Returns the result of an attempt that has no query result, server status or load report.
    pub fn without_response(outcome: Outcome) -> Self {
        Self { outcome, status: None, load_report: None, response: None }
    }
}
