//! Commands that the driver sends to the server side and to discovery.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::api::{AttemptId, ServerId, Settings};

/// A command to the server side.
#[derive(Debug)]
pub enum ServerCommand<Q> {
    /// Execute an attempt.
    Attempt(AttemptCommand<Q>),
    /// Cancel an attempt.
    Cancel(AttemptId),
    /// Check a server's health.
    HealthCheck(ServerId),
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Use this address for a server from now on.
    SetAddress(ServerId, SocketAddr),
    /// Drop all state of a server: it was removed from the endpoint list.
    Forget(ServerId),
    /// Apply new settings. The duration is the time after which servers close an idle connection.
    Reconfigure(Box<Settings>, Duration),
    /// Open at most this number of sockets.
    SetSocketLimit(usize),
    /// Use at most this share of all sockets and buffers; another process uses the rest.
    SetShare(f64),
}

/// An attempt to be executed.
#[derive(Debug)]
pub struct AttemptCommand<Q> {
    /// Identifies the attempt.
    pub id: AttemptId,
    /// The server to use.
    pub server: ServerId,
    /// The query to send.
    pub query: Rc<Q>,
    /// The attempt's deadline.
    pub give_up_at: Instant,
    /// When the server's data may become too old for the request; the query must not be sent after it.
    /// `None` for requests without a bound on staleness and for primaries.
    pub fresh_until: Option<Instant>,
}

/// A command to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Start a watch of the endpoint list (`true`), or stop it (`false`).
    Watch(bool),
    /// Poll the complete endpoint list once.
    Poll,
}
