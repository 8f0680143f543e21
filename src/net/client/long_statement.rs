//! Long statements: the hex digits in the middle are not copied for parsing.

use std::ops::Range;

use crate::net::buffers::BufferChain;

/// Where the text of a query starts in its message.
const TEXT_OFFSET: usize = 5;
/// Bytes at the start and the end of a long statement that are parsed.
const PARSED_END_BYTES: usize = 4096;

/// The text of a query without the part that needs no parsing.
pub(super) struct AbridgedText {
    /// Bytes of the message that are left out: an even number of hex digits inside a value, so that what
    /// remains parses as the whole text does.
    omitted: Range<usize>,
}

impl AbridgedText {
    pub(super) fn new(message: &BufferChain) -> Self {
        let start = TEXT_OFFSET + PARSED_END_BYTES;
        let end = message.len().saturating_sub(PARSED_END_BYTES) & !1 | start & 1;
        let is_long = start < end && end < message.len();
        let omitted =
            if is_long && message.slices(start..end).all(is_hex) { start..end } else { start..start };
        Self { omitted }
    }

    /// Copies what is to be parsed into one piece.
    pub(super) fn copy(&self, message: &BufferChain, text: &mut Vec<u8>) {
        text.clear();
        for part in [TEXT_OFFSET..self.omitted.start, self.omitted.end..message.len()] {
            message.slices(part).for_each(|slice| text.extend_from_slice(slice));
        }
    }

    /// Where in the message a range of the copied text stands.
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

/// Looks at every byte without an early exit, which the compiler vectorizes.
fn is_hex(slice: &[u8]) -> bool {
    slice.iter().fold(true, |all, byte| all & byte.is_ascii_hexdigit())
}
