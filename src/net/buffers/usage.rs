//! How much of the buffer pool is in use, and for what.

use std::fmt::{self, Display, Formatter};

/// Use of the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolUsage {
    /// Bytes that are reserved for client messages.
    pub message_bytes: usize,
    /// Bytes that are reserved for what clients send ahead.
    pub read_ahead_bytes: usize,
    /// Bytes that are reserved for answers of data servers.
    pub answer_bytes: usize,
    /// Bytes that are reserved for the state of requests in flight.
    pub request_bytes: usize,
    /// Bytes that may be reserved.
    pub max_bytes: usize,
    /// Bytes that were allocated for buffers, used or not.
    pub allocated_bytes: usize,
    /// Number of messages that wait for buffers.
    pub waiting: usize,
}

impl Display for PoolUsage {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { message_bytes, read_ahead_bytes, answer_bytes, request_bytes, .. } = self;
        write!(
            f,
            "messages={message_bytes} read_ahead={read_ahead_bytes} answers={answer_bytes} requests={request_bytes} \
             max={} allocated={} waiting={}",
            self.max_bytes, self.allocated_bytes, self.waiting
        )
    }
}
