//! Discards messages as their bytes arrive, so that a message of any length needs no buffers.

use crate::net::buffers::BufferChain;
use crate::net::postgres;

/// Message whose bytes are discarded as they arrive.
struct DiscardedMessage {
    kind: u8,
    /// Bytes that are still to be discarded.
    remaining_bytes: usize,
}

/// Discards the messages of a connection.
#[derive(Default)]
pub(super) struct MessageDiscarder {
    /// Message of which a part is discarded; `None` between messages.
    current: Option<DiscardedMessage>,
}

/// The length field of a message is invalid.
pub(super) struct InvalidLength;

impl MessageDiscarder {
    /// Returns whether a part of a message was discarded and its end has not arrived.
    pub(super) fn is_within_message(&self) -> bool {
        self.current.is_some()
    }

    /// Returns the number of bytes that follow of the message of which a part is discarded.
    pub(super) fn remaining_bytes(&self) -> usize {
        self.current.as_ref().map_or(0, |message| message.remaining_bytes)
    }

    /// Records that bytes of the message of which a part is discarded were discarded elsewhere.
    pub(super) fn skip(&mut self, bytes: usize) {
        if let Some(message) = &mut self.current {
            message.remaining_bytes = message.remaining_bytes.saturating_sub(bytes);
        }
    }

    /// Discards received bytes up to the end of a message. Returns the kind of that message; `None` if its end
    /// has not been received.
    pub(super) fn next_kind(&mut self, received: &mut BufferChain) -> Result<Option<u8>, InvalidLength> {
        let message = match self.current.take() {
            Some(message) => message,
            None => match begin_message(received)? {
                Some(message) => message,
                None => return Ok(None),
            },
        };
        let count = message.remaining_bytes.min(received.len());
        received.remove_front(count);
        let remaining_bytes = message.remaining_bytes - count;
        if remaining_bytes == 0 {
            return Ok(Some(message.kind));
        }
        self.current = Some(DiscardedMessage { remaining_bytes, ..message });
        Ok(None)
    }
}

/// Parses the header of the next message. Returns `None` if it has not been received.
fn begin_message(received: &BufferChain) -> Result<Option<DiscardedMessage>, InvalidLength> {
    let Some(header) = received.array(0) else { return Ok(None) };
    let header = postgres::parse_header(header).filter(|header| header.length <= postgres::MAX_QUERY_BYTES);
    let header = header.ok_or(InvalidLength)?;
    Ok(Some(DiscardedMessage { kind: header.kind, remaining_bytes: header.length }))
}
