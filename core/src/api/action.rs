//! Actions that the engine asks its caller to carry out.

use std::time::Duration;

use super::ids::{AttemptNumber, RequestId, ServerId, TimerId};

/// An action that the caller carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Forward the request to a server as its next attempt.
    Forward {
        /// Request to forward.
        request: RequestId,
        /// Server that the attempt is sent to.
        server: ServerId,
        /// Time after which the caller gives up the attempt.
        timeout: Duration,
        /// Time by which the last byte of the attempt must be sent, on the caller's clock; `None` for no
        /// bound. Later, an earlier attempt that may have been executed is no longer known by its
        /// idempotency key. An attempt that is not sent by then ends as not sent.
        send_by: Option<Duration>,
    },
    /// Final answer: the request is rejected, and the client may safely retry it.
    Reject {
        /// Rejected request.
        request: RequestId,
        /// Time after which the client should retry; `None` if the client is given no time.
        retry_after: Option<Duration>,
    },
    /// Final answer: the request failed, and it may have been executed.
    Fail {
        /// Failed request.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: AttemptNumber,
    },
    /// Send a health check to a server.
    HealthCheck {
        /// Server to check.
        server: ServerId,
    },
    /// Open or close the watch on the endpoint list.
    Watch {
        /// `true` opens the watch, `false` closes it.
        on: bool,
    },
    /// Poll the complete endpoint list once.
    Poll,
    /// Close the idle connections to a server.
    CloseIdleConnections {
        /// Server whose idle connections are closed.
        server: ServerId,
    },
    /// Send a gossip message to one other proxy instance or to all of them.
    Gossip {
        /// Index of the recipient; `None` for all instances.
        to: Option<u32>,
        /// Encoded message, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Step the engine with [`Event::Timer`](super::Event::Timer) after a delay.
    SetTimer {
        /// Delay from now.
        after: Duration,
        /// Timer id that the event carries.
        id: TimerId,
    },
    /// Write this line to the log.
    Log(String),
}
