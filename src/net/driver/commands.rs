//! Commands from the driver to the server side and to discovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::api::{AttemptId, ServerId, Settings};

/// A command to the server side.
#[derive(Debug)]
pub enum ServerCommand<Q> {
    /// Start an attempt.
    StartAttempt(AttemptCommand<Q>),
    /// Cancel an attempt; no result is reported for it.
    CancelAttempt(AttemptId),
    /// Run a health check on a server.
    HealthCheck(ServerId),
    /// Close the idle connections to a server.
    CloseIdleConnections(ServerId),
    /// Use this address for new connections to a server.
    SetAddress(ServerId, SocketAddr),
    /// Drop all state of a server that was removed from the endpoint list.
    RemoveServer(ServerId),
    /// Apply new settings. The duration is the servers' idle timeout, after which they close a connection.
    Reconfigure(Box<Settings>, Duration),
    /// Use at most this number of sockets.
    SetSocketLimit(usize),
    /// Use at most this share (from 0 to 1) of the sockets; the peer process uses the rest.
    SetSocketShare(f64),
}

/// An attempt for the server side to execute.
#[derive(Debug)]
pub struct AttemptCommand<Q> {
    /// Id of the attempt.
    pub id: AttemptId,
    /// Server to which the query is sent.
    pub server: ServerId,
    /// Query of the request; all attempts of the request share it.
    pub query: Rc<Q>,
    /// Time at which the driver commanded the attempt, on the proxy's clock.
    pub sent_at: Duration,
    /// Time at which the attempt times out, unless its result has begun to arrive.
    pub deadline: Instant,
    /// Time at which an attempt times out whose result has begun to arrive: the deadline of its request.
    pub result_deadline: Instant,
    /// Time by which the last byte of the query must be written; `None` for no bound. From then on the server's
    /// data may exceed the staleness bound of a read, or servers forget the idempotency key of a request that
    /// may have been executed. A read at a server without a known replication position (always so for a
    /// primary) has no bound.
    pub send_deadline: Option<Instant>,
    /// Session of the write; `None` for a read, or if session tokens are not tracked.
    pub writing_session: Option<Rc<str>>,
}

/// A command to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Start a watch of the endpoint list (`true`) or stop it (`false`).
    Watch(bool),
    /// Poll the complete endpoint list once.
    Poll,
}
