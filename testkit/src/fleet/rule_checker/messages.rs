//! What the rule checker is told about requests, and the violations that it reports. All times are trial times
//! in seconds.

use std::fmt;

use pipittack_core::api::ClassId;

/// A violation of a service rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Time of the violation, in seconds.
    pub at: f64,
    /// Rule that was violated.
    pub rule: Rule,
    /// Description of the event that violated the rule.
    pub description: String,
}

/// Rules that proxies must follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer by its deadline, and no attempt is sent after the answer.
    AnswerInTime,
    /// A request that may have been executed is not executed again and not rejected as safe to retry, unless
    /// the request is idempotent or its idempotency key prevents a second execution.
    NoDuplicateExecution,
    /// A draining or removed server receives no new requests after a grace period.
    NoRequestsToDraining,
    /// Proxies that know of a server's start do not overload the server while it warms up.
    NoWarmUpOverload,
    /// A read returns data that meets the consistency requirement of its class.
    NoStaleRead,
    /// The number of attempts of a request stays within the limit.
    MaxAttempts,
}

/// A request that a proxy has accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedRequest {
    /// Id of the request, unique in the trial.
    pub id: u64,
    /// Index of the proxy.
    pub proxy: usize,
    /// Class of the request.
    pub class: ClassId,
    /// Id of the session.
    pub session: u64,
    /// Commit time in the session token of the request, in seconds; `None` if the client sent no token.
    pub token_commit: Option<f64>,
    /// Time at which the proxy accepted the request, in seconds.
    pub accepted_at: f64,
    /// Deadline of the request, in seconds.
    pub deadline: f64,
}

/// A read that a replica has executed.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaRead {
    /// Id of the request.
    pub request: u64,
    /// Time at which the attempt was sent, in seconds.
    pub sent_at: f64,
    /// Replication position of the data that the replica returned, in seconds.
    pub position: f64,
    /// Whether stale data is no violation, because the server was primary before and the proxy could not yet
    /// know that it no longer is.
    pub may_read_stale: bool,
}

/// How a client saw the end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The proxy closed the connection in order.
    Closed,
    /// The connection was reset.
    Reset,
}

/// Whether a connection had carried a request before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The statement is the first on its connection. The connection is not between requests, so the proxy must
    /// not close it.
    New,
    /// The connection was idle between two requests.
    Reused,
}

/// The end of a connection before the first byte of the response to a request.
#[derive(Debug, Clone, Copy)]
pub struct UnansweredClose {
    /// Time at which the client had written the statement, in seconds.
    pub written_at: f64,
    /// How the connection ended.
    pub end: ConnectionEnd,
    /// Whether the connection was new.
    pub connection: ConnectionUse,
    /// Whether a process of the proxy was killed since the statement was written.
    pub process_killed: bool,
    /// Whether a process of the proxy was paused since the statement was written.
    pub process_paused: bool,
}

/// Kind of a final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A rejection, which promises that the client can retry safely.
    Rejected,
    /// A response or another error.
    Other,
}

/// Pause of the trial's own thread, which runs all clients, servers and the discovery service.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrialPause {
    /// End of the pause, in seconds.
    pub ended_at: f64,
    /// Length of the pause, in seconds.
    pub length_s: f64,
    /// Part of the pause for which the thread ran, in seconds.
    pub running_s: f64,
    /// Part of the pause for which the thread was ready and waited for a processor, in seconds. The thread was
    /// blocked in a system call for the rest.
    pub waiting_for_processor_s: f64,
}

impl fmt::Display for TrialPause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { length_s, running_s, waiting_for_processor_s, .. } = self;
        write!(
            f,
            "{length_s:.3} s: {running_s:.3} s running, {waiting_for_processor_s:.3} s waiting for a processor"
        )
    }
}
