//! Errors of polls and watches.

use std::io;

use thiserror::Error;

/// Reason why a poll or a watch failed.
#[derive(Debug, Error)]
pub enum DiscoveryError {
    /// The connection to the service could not be established.
    #[error("connect failed: {0}")]
    Connect(#[source] io::Error),
    /// The connection was not established within 0.5 s.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The response, or the next line of a watch, was not complete in time.
    #[error("response or watch line timed out")]
    ResponseTimeout,
    /// A read or write on the connection failed.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The service closed the connection, or ended the response, before the response was complete.
    #[error("response ended before it was complete")]
    UnexpectedEnd,
    /// The status line or a header field of the response is not valid HTTP/1.x.
    #[error("malformed response head")]
    MalformedHead,
    /// The status code of the response is not 200.
    #[error("unexpected response status {0}")]
    Status(u16),
    /// The size line of a chunk is not valid.
    #[error("malformed chunk size")]
    MalformedChunk,
    /// The part of the response that must be buffered is longer than the limit.
    #[error("response is longer than {limit} bytes")]
    ResponseTooLong {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body is not an endpoint list.
    #[error("malformed endpoint list: {0}")]
    MalformedList(#[from] serde_json::Error),
    /// The service sent changes with an older revision than that of the current list.
    #[error("revision of the endpoint list went back from {cached} to {received}")]
    RevisionWentBack {
        /// Revision of the current list.
        cached: u64,
        /// Revision of the received changes.
        received: u64,
    },
}
