//! Requests, responses and attempt results as the client side and the server side exchange them with the
//! driver.

use std::rc::Rc;
use std::time::Duration;

use crate::api::{ClassId, GroupId, LoadReport, Outcome, ServerStatus};

/// A request as the client side submits it. The driver assigns its id.
#[derive(Debug, Clone, Default)]
pub struct NewRequest {
    /// The id that its client gave it. Only log lines use it.
    pub client_request_id: String,
    /// The client that waits for the response; with `None`, a client is always taken to wait.
    pub client: Option<Rc<dyn ClientHandle>>,
    /// Its class.
    pub class: ClassId,
    /// Its replica set.
    pub group: GroupId,
    /// How long the client waits.
    pub time_left: Duration,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// Length of its statement in bytes.
    pub statement_bytes: u64,
    /// Its session.
    pub session: Option<String>,
    /// The replication position that it must see, in Unix milliseconds.
    pub after_unix_ms: Option<f64>,
}

/// The client of a request.
pub trait ClientHandle: std::fmt::Debug {
    /// Whether the client has disconnected. Called just before an attempt is written.
    fn is_gone(&self) -> bool;
}

/// The final response to a request.
#[derive(Debug, PartialEq)]
pub enum Response<A> {
    /// A server's response.
    Served(A),
    /// Rejected without execution: a retry is harmless, best after this time.
    Rejected(Option<Duration>),
    /// Failed; it may have been executed.
    Failed,
}

/// How an attempt ended, as the server side reports it.
#[derive(Debug)]
pub struct AttemptResult<A> {
    /// The outcome.
    pub outcome: Outcome,
    /// What the response says of its server.
    pub status: Option<ServerStatus>,
    /// The load report that came with it.
    pub load_report: Option<LoadReport>,
    /// The response, where the outcome is [`Outcome::Success`].
    pub response: Option<A>,
}

impl<A> AttemptResult<A> {
    /// The result of an attempt that brought no response.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, status: None, load_report: None, response: None }
    }
}
