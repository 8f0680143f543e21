//! Parsing of long statements without copying the hex digits in the middle of a value.

use std::ops::Range;

use crate::net::buffers::BufferChain;

/// Offset of the query text in its message: the type byte and the length field.
const TEXT_OFFSET: usize = 5;
/// Number of bytes that are parsed at each end of a long statement.
const PARSED_BYTES_PER_END: usize = 4096;

/// Text of a query without the part that need not be parsed.
pub(super) struct AbridgedText {
    /// Range of the message that is left out: an even number of hex digits inside a value, so that the
    /// remaining text parses to the same result as the whole text.
    omitted: Range<usize>,
}

impl AbridgedText {
    pub(super) fn new(message: &BufferChain) -> Self {
        let start = TEXT_OFFSET + PARSED_BYTES_PER_END;
        let end = message.len().saturating_sub(PARSED_BYTES_PER_END) & !1 | start & 1;
        let is_long = start < end && end < message.len();
        let omitted =
            if is_long && message.slices(start..end).all(is_hex) { start..end } else { start..start };
        Self { omitted }
    }

    /// Replaces the content of `text` by a contiguous copy of the text that is to be parsed.
    pub(super) fn copy(&self, message: &BufferChain, text: &mut Vec<u8>) {
        text.clear();
        for part in [TEXT_OFFSET..self.omitted.start, self.omitted.end..message.len()] {
            message.slices(part).for_each(|slice| text.extend_from_slice(slice));
        }
    }

    /// Converts a range of the copied text to a range of the message.
    pub(super) fn message_range(&self, text_range: &Range<usize>) -> Range<usize> {
        self.message_offset(text_range.start)..self.message_offset(text_range.end)
    }

    fn message_offset(&self, text_offset: usize) -> usize {
        let offset = text_offset + TEXT_OFFSET;
        if offset < self.omitted.start {
            offset
        } else {
            offset + self.omitted.len()
        }
    }
}

/// Returns whether all bytes are hex digits. Has no early exit, so that the compiler can vectorize the loop.
fn is_hex(slice: &[u8]) -> bool {
    slice.iter().fold(true, |all, byte| all & byte.is_ascii_hexdigit())
}
