//! Counts the complete queries among the received bytes of a connection, each byte once.

use crate::net::buffers::BufferChain;
use crate::net::postgres;

/// Number of complete queries at the start of a connection's received bytes.
#[derive(Debug, Default)]
pub(super) struct QueryCounter {
    /// Offset of the first message that was not counted.
    next_message_at: usize,
    /// Queries before `next_message_at`.
    count: usize,
}

impl QueryCounter {
    /// Returns the number of complete queries in `received`, up to the first message that is incomplete. Looks
    /// only at messages that an earlier call has not counted.
    pub(super) fn count(&mut self, received: &BufferChain) -> usize {
        while let Some(header) = received.array(self.next_message_at).and_then(postgres::parse_header) {
            let end = self.next_message_at + header.length;
            if end > received.len() {
                break;
            }
            self.next_message_at = end;
            self.count += usize::from(header.kind == b'Q');
        }
        self.count
    }

    /// Returns the number of bytes of the messages that were counted.
    pub(super) fn counted_bytes(&self) -> usize {
        self.next_message_at
    }

    /// Adjusts the count before the first `bytes` bytes of `received` are removed: a whole message, or a part
    /// of the first message that was not counted.
    pub(super) fn remove(&mut self, received: &BufferChain, bytes: usize) {
        if bytes > self.next_message_at {
            *self = Self::default();
            return;
        }
        self.next_message_at -= bytes;
        let is_query = received.array::<1>(0) == Some([b'Q']);
        self.count -= usize::from(is_query && bytes > 0);
    }
}

#[cfg(test)]
mod tests;
