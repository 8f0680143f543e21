//! Why a poll or a watch failed.

use std::io;

use thiserror::Error;

/// A failure of a poll or a watch.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection could not be made.
    #[error("cannot connect: {0}")]
    Connect(#[source] io::Error),
    /// The connection was not made in time.
    #[error("connect timeout")]
    ConnectTimeout,
    /// The response, or the next part of a watch, was not received completely in time.
    #[error("response timeout")]
    ResponseTimeout,
    /// Reading from or writing to the connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The service closed the connection, or ended the response, before the response was complete.
    #[error("the response ended early")]
    UnexpectedEnd,
    /// The head of the response is not valid HTTP/1.x.
    #[error("malformed response head")]
    MalformedHead,
    /// The response's status is not 200.
    #[error("status {0}")]
    Status(u16),
    /// The size line of a chunk is not valid.
    #[error("malformed chunk size")]
    MalformedChunk,
    /// The part of the response that must be buffered is longer than the limit in bytes.
    #[error("the response is longer than {limit} bytes")]
    ResponseTooLong {
        /// The limit.
        limit: usize,
    },
    /// The body is not an endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[from] serde_json::Error),
    /// The service sent changes that lead to an older revision than the one that is cached.
    #[error("the endpoint list's revision went back from {cached} to {received}")]
    RevisionWentBack {
        /// The cached revision.
        cached: u64,
        /// The received revision.
        received: u64,
    },
}
