//! Frame format of the handover connection between a process and its successor.
//!
//! A frame is a header of 9 bytes and a payload. The header contains the kind (1 byte), and the length and
//! the CRC-32 of the payload (4 bytes each, big-endian). The first byte of a frame carries a file descriptor
//! if the kind requires one. This module holds no state.

use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};

use tokio::net::UnixStream;

use super::socket::{read_exactly, receive_with_descriptor, send_with_descriptor, write_all};

// Re-exports for the program and the client side, which import all of these items except `HandoverState` from
// this module. `hot_restart` re-exports the same items.
pub use super::state::{HandoverState, Hello};
pub use super::successor::Successor;
pub use super::takeover::{take_over_listener, Predecessor, PredecessorStatus};

/// Length in bytes of the longest payload.
const MAX_PAYLOAD_BYTES: u32 = 16 << 20;
/// Length of the header in bytes.
const HEADER_BYTES: usize = 9;

/// Reason why a frame could not be sent or received.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The payload is longer than 16 MiB, or the state of a build before 0.2 is longer than 1 MiB.
    #[error("frame payload is too long")]
    TooLong,
    /// The header contains a kind that this build does not support.
    #[error("unknown frame kind {0:#04x}")]
    UnknownKind(u8),
    /// The payload does not match the checksum in the header.
    #[error("frame payload does not match its checksum")]
    Checksum,
    /// The kind requires a descriptor, but none was received. The limit on open files may have been reached.
    #[error("frame has no file descriptor")]
    MissingDescriptor,
    /// The payload must be a 32-bit number and has another length.
    #[error("frame payload is not a 32-bit number")]
    NotANumber,
    /// The stream ended within a frame.
    #[error("connection closed within a frame")]
    Truncated,
    /// A read or write on the connection failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl FrameError {
    /// Returns whether the error concerns only this frame, which was read to its end, so that the receiver may
    /// read the next one.
    pub(super) fn concerns_one_frame(&self) -> bool {
        match self {
            Self::Checksum | Self::MissingDescriptor | Self::NotANumber => true,
            Self::TooLong | Self::UnknownKind(_) | Self::Truncated | Self::Io(_) => false,
        }
    }
}

/// Kind of a frame, which determines the direction and the payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FrameKind {
    /// To the predecessor: protocol version and proxy instance of the successor, as JSON.
    Hello,
    /// To the successor: the listening socket.
    Listener,
    /// To the successor: its end of the peer channel.
    PeerChannel,
    /// To the successor: the state, as JSON.
    HandoverState,
    /// To the predecessor: the successor is ready to accept clients. No payload.
    Ready,
    /// To the successor: the successor's client limit, as a 32-bit number. The predecessor has stopped
    /// accepting clients.
    ClientLimit,
    /// To the predecessor: the successor's request for the handover timed out. The successor serves in
    /// parallel and takes over nothing. No payload.
    ServesInParallel,
    /// To the successor: a client connection without a request in flight. The payload is one byte: 1 if the
    /// startup of the client is complete, otherwise 0.
    Client,
}

impl FrameKind {
    fn code(self) -> u8 {
        match self {
            Self::Hello => b'G',
            Self::Listener => b'D',
            Self::PeerChannel => b'W',
            Self::HandoverState => b'S',
            Self::Ready => b'R',
            Self::ClientLimit => b'P',
            Self::ServesInParallel => b'A',
            Self::Client => b'C',
        }
    }

    fn from_code(code: u8) -> Option<Self> {
        Some(match code {
            b'G' => Self::Hello,
            b'D' => Self::Listener,
            b'W' => Self::PeerChannel,
            b'S' => Self::HandoverState,
            b'R' => Self::Ready,
            b'P' => Self::ClientLimit,
            b'A' => Self::ServesInParallel,
            b'C' => Self::Client,
            _ => return None,
        })
    }

    fn carries_descriptor(self) -> bool {
        matches!(self, Self::Listener | Self::PeerChannel | Self::Client)
    }
}

/// Header of a frame.
struct Header {
    kind: FrameKind,
    /// Length of the payload in bytes.
    length: u32,
    /// CRC-32 of the payload.
    checksum: u32,
}

impl Header {
    fn for_payload(kind: FrameKind, payload: &[u8]) -> Result<Self, FrameError> {
        let length = u32::try_from(payload.len()).map_err(|_| FrameError::TooLong)?;
        if length > MAX_PAYLOAD_BYTES {
            return Err(FrameError::TooLong);
        }
        Ok(Self { kind, length, checksum: crc32fast::hash(payload) })
    }

    fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[0] = self.kind.code();
        bytes[1..5].copy_from_slice(&self.length.to_be_bytes());
        bytes[5..].copy_from_slice(&self.checksum.to_be_bytes());
        bytes
    }

    fn decode(bytes: [u8; HEADER_BYTES]) -> Result<Self, FrameError> {
        let [code, l0, l1, l2, l3, checksum @ ..] = bytes;
        let kind = FrameKind::from_code(code).ok_or(FrameError::UnknownKind(code))?;
        let length = u32::from_be_bytes([l0, l1, l2, l3]);
        if length > MAX_PAYLOAD_BYTES {
            return Err(FrameError::TooLong);
        }
        Ok(Self { kind, length, checksum: u32::from_be_bytes(checksum) })
    }
}

/// A received frame.
#[derive(Debug)]
pub(super) struct Frame {
    pub kind: FrameKind,
    pub payload: Vec<u8>,
    /// Received descriptor; always present if the kind requires one.
    pub descriptor: Option<OwnedFd>,
}

impl Frame {
    /// Decodes the payload as a big-endian number.
    pub fn payload_as_u32(&self) -> Result<u32, FrameError> {
        let bytes = self.payload[..].try_into().map_err(|_| FrameError::NotANumber)?;
        Ok(u32::from_be_bytes(bytes))
    }
}

/// Sends a frame. `descriptor` must be present if the kind requires one.
pub(super) async fn send(
    stream: &UnixStream,
    kind: FrameKind,
    payload: &[u8],
    descriptor: Option<BorrowedFd<'_>>,
) -> Result<(), FrameError> {
    let mut bytes = Header::for_payload(kind, payload)?.encode().to_vec();
    bytes.extend_from_slice(payload);
    let sent = send_with_descriptor(stream, &bytes, descriptor).await?;
    if sent < HEADER_BYTES {
        // Not expected: the kernel sends this few bytes either completely or not at all.
        return Err(FrameError::Io(io::ErrorKind::WriteZero.into()));
    }
    Ok(write_all(stream, &bytes[sent..]).await?)
}

/// Receives the next frame. Returns `None` at the end of the stream.
pub(super) async fn receive(stream: &UnixStream) -> Result<Option<Frame>, FrameError> {
    let mut bytes = [0; HEADER_BYTES];
    let mut length = 0;
    let mut descriptor = None;
    while length < HEADER_BYTES {
        // Reads no further than the header, so that a received descriptor belongs to this frame.
        let received = receive_with_descriptor(stream, &mut bytes[length..]).await?;
        match received.length {
            0 if length == 0 => return Ok(None),
            0 => return Err(FrameError::Truncated),
            count => length += count,
        }
        descriptor = received.descriptor.or(descriptor);
    }
    let header = Header::decode(bytes)?;
    let payload = read_payload(stream, &header).await?;
    if header.kind.carries_descriptor() && descriptor.is_none() {
        return Err(FrameError::MissingDescriptor);
    }
    Ok(Some(Frame { kind: header.kind, payload, descriptor }))
}

async fn read_payload(stream: &UnixStream, header: &Header) -> Result<Vec<u8>, FrameError> {
    let payload = read_exactly(stream, header.length as usize).await.map_err(|e| match e.kind() {
        io::ErrorKind::UnexpectedEof => FrameError::Truncated,
        _ => FrameError::Io(e),
    })?;
    if crc32fast::hash(&payload) != header.checksum {
        return Err(FrameError::Checksum);
    }
    Ok(payload)
}

#[cfg(test)]
mod tests;
