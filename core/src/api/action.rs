//! What the engine asks its caller to do.

use std::time::Duration;

use super::ids::{AttemptNumber, RequestId, ServerId, TimerId};

/// Something to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Forward the request to a server: start its next attempt.
    Forward {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time after which the attempt is given up.
        timeout: Duration,
    },
    /// Final answer: rejected, so that a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry.
        retry_after: Option<Duration>,
    },
    /// Final answer: failed, with no promise about execution.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Check a server's health.
    HealthCheck {
        /// The server.
        server: ServerId,
    },
    /// Open a watch on the endpoint list, or close it.
    Watch {
        /// Open it.
        on: bool,
    },
    /// Poll the complete endpoint list once.
    Poll,
    /// Close idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Send a gossip message to another proxy instance, or to all.
    Gossip {
        /// Its index; `None` for all.
        to: Option<u32>,
        /// At most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Step the engine with [`Event::Timer`](super::Event::Timer) after some time.
    SetTimer {
        /// How long.
        after: Duration,
        /// Which timer.
        id: TimerId,
    },
    /// A log line for operators.
    Log(String),
}
