//! Framing: startup packets, message headers, and the valid lengths of messages by type.

use winnow::binary::{be_u32, u8 as any_byte};
use winnow::error::ContextError;
use winnow::prelude::*;

use super::MAX_RESPONSE_BYTES;

/// Code of a cancel request, sent in place of a protocol version.
const CANCEL_CODE: u32 = 80_877_102;
/// Code of a request for TLS encryption.
const TLS_CODE: u32 = 80_877_103;
/// Code of a request for GSSAPI encryption.
const GSSAPI_CODE: u32 = 80_877_104;
/// Size in bytes of the length field, which counts itself.
const LENGTH_FIELD_BYTES: usize = 4;

/// Kind of startup packet with which a client opens a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Startup {
    /// Start of a session, with the requested minor protocol version.
    Session(u16),
    /// Request for encryption by TLS or GSSAPI.
    Encryption,
    /// Request to cancel the query of another connection.
    Cancel,
    /// Unsupported protocol version or request code.
    Unsupported(u32),
}

/// Parses the body of a startup packet, which follows the length field. Returns `None` if the body is too
/// short for a protocol version.
pub fn parse_startup(mut body: &[u8]) -> Option<Startup> {
    let code = be_u32::<_, ContextError>.parse_next(&mut body).ok()?;
    let major_version = code >> 16;
    Some(match (code, major_version) {
        (CANCEL_CODE, _) => Startup::Cancel,
        (TLS_CODE | GSSAPI_CODE, _) => Startup::Encryption,
        (_, 3) => Startup::Session(code as u16),
        _ => Startup::Unsupported(code),
    })
}

/// Header of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageHeader {
    /// Type byte.
    pub kind: u8,
    /// Length of the whole message in bytes, type byte included.
    pub length: usize,
}

/// Parses a message header. Returns `None` if the length is smaller than the length field itself.
pub fn parse_header(bytes: [u8; 5]) -> Option<MessageHeader> {
    let mut header = (any_byte::<_, ContextError>, be_u32::<_, ContextError>);
    let (kind, length) = header.parse_next(&mut &bytes[..]).ok()?;
    let length = usize::try_from(length).ok()?;
    let is_valid = length >= LENGTH_FIELD_BYTES;
    is_valid.then(|| MessageHeader { kind, length: length.saturating_add(1) })
}

/// Returns whether a message from a data server may have this type and length in bytes. The proxy does not
/// wait for the rest of a message whose header gives a greater length.
pub fn is_plausible_length(header: MessageHeader) -> bool {
    let lengths = match header.kind {
        b'Z' => 6..=6,
        b'R' => 9..=1024,
        b'K' => 13..=512,
        b'C' => 6..=256,
        b'T' => 7..=4096,
        b'E' | b'N' => 6..=16 * 1024,
        b'S' => 7..=16 * 1024,
        b'D' => 11..=MAX_RESPONSE_BYTES,
        _ => return false,
    };
    lengths.contains(&header.length)
}
