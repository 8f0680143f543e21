//! Parsing of long statements without copying the hex digits in the middle of a value.

use std::ops::Range;

use crate::net::buffers::BufferChain;

/// Offset of the query text in its message: the type byte and the length field.
const TEXT_OFFSET: usize = 5;
/// Number of bytes that are parsed at each end of a long statement.
const PARSED_BYTES_PER_END: usize = 4096;
/// Start of a binary value in hex.
const VALUE_START: &[u8] = br"'\x";

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
        let may_omit = is_long && message.slices(start..end).all(is_hex) && is_within_value(message, start);
        Self { omitted: if may_omit { start..end } else { start..start } }
    }

    /// Replaces the content of `text` by a contiguous copy of the text that is to be parsed.
    pub(super) fn copy(&self, message: &BufferChain, text: &mut Vec<u8>) {
        text.clear();
        for part in [TEXT_OFFSET..self.omitted.start, self.omitted.end..message.len()] {
            message.slices(part).for_each(|slice| text.extend_from_slice(slice));
        }
    }

    /// Returns the length of the text that is to be parsed.
    pub(super) fn len(&self, message: &BufferChain) -> usize {
        message.len().saturating_sub(TEXT_OFFSET + self.omitted.len())
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

/// Returns whether the text before `offset` ends within the value of an INSERT: a comma, a quote, `\x` and hex
/// digits. Digits of a key or of a field of the comment must not be left out, because two requests could then
/// have the same key or id. Quotes inside a key are doubled, so that a key cannot contain this sequence.
fn is_within_value(message: &BufferChain, offset: usize) -> bool {
    let mut text = Vec::new();
    message.copy(TEXT_OFFSET..offset, &mut text);
    let digits = text.iter().rev().take_while(|byte| byte.is_ascii_hexdigit()).count();
    let before_digits = &text[..text.len() - digits];
    let before_quote = before_digits.strip_suffix(VALUE_START).map(<[u8]>::trim_ascii_end);
    before_quote.is_some_and(|before| before.ends_with(b","))
}

/// Returns whether all bytes are hex digits. Has no early exit, so that the compiler can vectorize the loop.
fn is_hex(slice: &[u8]) -> bool {
    slice.iter().fold(true, |all, byte| all & byte.is_ascii_hexdigit())
}

#[cfg(test)]
mod tests;
