//! The parts of HTTP/1.x that discovery needs: parses the head of a response and decodes its body.

use winnow::ascii::{crlf, digit1, hex_digit1, space0, space1};
use winnow::combinator::{preceded, repeat, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{literal, take_till};

use super::error::DiscoveryError;

/// Framing of a response's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body is sent in chunks (`Transfer-Encoding: chunked`).
    Chunked,
    /// The body has this length in bytes (`Content-Length`).
    Length(usize),
    /// The body ends when the connection closes.
    UntilClose,
}

/// Head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Framing of the body.
    pub framing: BodyFraming,
}

/// Parses the head of a response. `head` ends before the empty line that terminates the head. Returns `None`
/// if the head is malformed.
pub fn parse_response_head(mut head: &[u8]) -> Option<ResponseHead> {
    let version = (literal("HTTP/1."), digit1::<_, ContextError>, space1);
    let status = preceded(version, digit1.parse_to::<u16>());
    let reason = terminated(take_till(0.., b'\r'), crlf::<_, ContextError>);
    let name = take_till(1.., (b':', b'\r'));
    let field = terminated(separated_pair(name, (b':', space0), take_till(0.., b'\r')), crlf);
    let fields = repeat::<_, _, Vec<(&[u8], &[u8])>, _, _>(0.., field);
    let ((status, _), fields) = ((status, reason), fields).parse_next(&mut head).ok()?;
    let framing = body_framing(&fields)?;
    head.is_empty().then_some(ResponseHead { status, framing })
}

/// Returns the framing that the header fields announce, or `None` if the content length is invalid.
fn body_framing(fields: &[(&[u8], &[u8])]) -> Option<BodyFraming> {
    let field_value = |wanted: &str| {
        let field = fields.iter().find(|(name, _)| name.eq_ignore_ascii_case(wanted.as_bytes()));
        field.and_then(|(_, value)| std::str::from_utf8(value).ok()).map(str::trim)
    };
    if field_value("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return Some(BodyFraming::Chunked);
    }
    match field_value("content-length") {
        Some(length) => length.parse().ok().map(BodyFraming::Length),
        None => Some(BodyFraming::UntilClose),
    }
}

/// Parses the size line of a chunk, including the line end, and returns the size in bytes. Ignores chunk
/// extensions. Returns `None` if the line is malformed.
pub fn parse_chunk_size(mut line: &[u8]) -> Option<usize> {
    let extensions = take_till::<_, _, ContextError>(0.., b'\r');
    let digits = terminated(hex_digit1, (extensions, crlf)).parse_next(&mut line).ok()?;
    let size = usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
    line.is_empty().then_some(size)
}

/// Decodes a body incrementally, as its bytes arrive.
pub(super) struct BodyDecoder {
    framing: BodyFraming,
    /// Number of bytes that remain of the current chunk or, with a content length, of the body.
    remaining: usize,
    is_complete: bool,
}

impl BodyDecoder {
    pub(super) fn new(framing: BodyFraming) -> Self {
        let remaining = match framing {
            BodyFraming::Length(length) => length,
            BodyFraming::Chunked | BodyFraming::UntilClose => 0,
        };
        Self { framing, remaining, is_complete: false }
    }

    /// Returns whether the whole body has been decoded. Always false if the body ends when the connection
    /// closes.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether the body ends when the connection closes.
    pub(super) fn is_close_delimited(&self) -> bool {
        self.framing == BodyFraming::UntilClose
    }

    /// Moves the bytes of the body from `received` to `body`. An incomplete size line stays in `received`.
    pub(super) fn decode(
        &mut self,
        received: &mut Vec<u8>,
        body: &mut Vec<u8>,
    ) -> Result<(), DiscoveryError> {
        match self.framing {
            BodyFraming::UntilClose => body.append(received),
            BodyFraming::Length(_) => {
                self.move_remaining(received, body);
                self.is_complete = self.remaining == 0;
            }
            BodyFraming::Chunked => loop {
                self.move_remaining(received, body);
                if self.remaining > 0 || self.is_complete || !self.start_chunk(received)? {
                    break;
                }
            },
        }
        Ok(())
    }

    /// Moves at most `remaining` bytes from `received` to `body`.
    fn move_remaining(&mut self, received: &mut Vec<u8>, body: &mut Vec<u8>) {
        let length = self.remaining.min(received.len());
        body.extend(received.drain(..length));
        self.remaining -= length;
    }

    /// Consumes the size line of the next chunk. Returns false if the line is not complete yet.
    fn start_chunk(&mut self, received: &mut Vec<u8>) -> Result<bool, DiscoveryError> {
        // The line end after the previous chunk's data precedes the size line.
        let start = if received.starts_with(b"\r\n") { 2 } else { 0 };
        let Some(length) = find_subslice(&received[start..], b"\r\n") else { return Ok(false) };
        let end = start + length + 2;
        self.remaining = parse_chunk_size(&received[start..end]).ok_or(DiscoveryError::MalformedChunk)?;
        self.is_complete = self.remaining == 0;
        received.drain(..end);
        Ok(true)
    }
}

/// Returns the index of the first occurrence of `pattern`.
pub(super) fn find_subslice(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
