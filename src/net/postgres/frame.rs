//! Framing: startup packets, message headers, and the lengths that messages of each type may have.

use winnow::binary::{be_u32, u8 as any_byte};
use winnow::error::ContextError;
use winnow::prelude::*;

use super::MAX_RESPONSE_BYTES;

/// Request code of a cancellation, in place of a protocol version.
const CANCEL_CODE: u32 = 80_877_102;
/// Request code of TLS encryption.
const TLS_CODE: u32 = 80_877_103;
/// Request code of GSSAPI encryption.
const GSSAPI_CODE: u32 = 80_877_104;
/// The length field counts itself.
const LENGTH_FIELD_BYTES: usize = 4;

/// What a client opens its connection with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Startup {
    /// A session, with the minor protocol version that it asks for.
    Session(u16),
    /// It asks for encryption, by TLS or GSSAPI.
    Encryption,
    /// It cancels another connection's query.
    Cancel,
    /// Another version of the protocol.
    Unsupported(u32),
}

/// Reads the body of a startup packet, which is all but its length.
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

/// The header of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageHeader {
    /// Its type byte.
    pub kind: u8,
    /// Its length in bytes, with the type byte.
    pub length: usize,
}

/// Reads a message header; `None` for a length that is too short for its own field.
pub fn parse_header(bytes: [u8; 5]) -> Option<MessageHeader> {
    let mut header = (any_byte::<_, ContextError>, be_u32::<_, ContextError>);
    let (kind, length) = header.parse_next(&mut &bytes[..]).ok()?;
    let length = usize::try_from(length).ok()?;
    let is_valid = length >= LENGTH_FIELD_BYTES;
    is_valid.then(|| MessageHeader { kind, length: length.saturating_add(1) })
}

/// Whether a message from a data server may have this type and length in bytes. The proxy does not wait for the rest of
/// a message that claims to be longer.
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
