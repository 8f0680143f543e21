//! Receives the handover of a predecessor whose build is older than 0.2.
//!
//! Such a build listens on a socket of its own, uses a format of its own and expects no hello. A message has
//! 5 bytes, a kind (1 byte) and a big-endian number (4 bytes), and carries a descriptor. The first message
//! carries the listener and the client limit; the state of the servers follows as JSON, preceded by its
//! length in bytes (4 bytes, big-endian). Each further message carries a client connection. This module holds
//! no state.

use std::os::fd::OwnedFd;
use std::rc::Rc;

use pipittack_core::api::{ReplicaSetSnapshot, ServerSnapshot, StateSnapshot};
use serde::Deserialize;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

use super::error::HandoverError;
use super::frame::FrameError;
use super::socket::{read_exactly, receive_with_descriptor, Received};
use super::state::{HandoverState, StateError};
use super::takeover::{Handover, Predecessor, Protocol};

/// Length of a message in bytes, without the state that follows the first message.
const MESSAGE_BYTES: usize = 5;
/// Length in bytes of the longest JSON state.
const MAX_JSON_BYTES: u32 = 1 << 20;
/// Kind of the message that carries the listener.
const LISTENER_KIND: u8 = b'D';

/// A received message.
#[derive(Debug)]
pub(super) struct LegacyMessage {
    pub kind: u8,
    /// Client limit, or whether the startup of the client is complete (0 if not).
    pub value: u32,
    pub descriptor: OwnedFd,
}

/// State of a server as a build before 0.2 sends it.
#[derive(Debug, Clone, Copy, Deserialize)]
struct LegacyServerState {
    server: u32,
    primary: bool,
    /// Replication position of a replica, or time of a primary's last response, in Unix milliseconds.
    position_ms: f64,
    #[serde(default, rename = "news")]
    replica_set: ReplicaSetSnapshot,
}

impl LegacyServerState {
    fn snapshot(&self) -> ServerSnapshot {
        let unix_secs = self.position_ms / 1e3;
        ServerSnapshot {
            server: self.server,
            position: Some(unix_secs).filter(|position| !self.primary && *position > 0.0),
            last_response: unix_secs,
            primary: self.primary,
            replica_set: self.replica_set,
            ..ServerSnapshot::default()
        }
    }
}

/// Receives the listener, the client limit and the state of the servers.
pub(super) async fn receive_handover(mut stream: UnixStream) -> Result<Handover, HandoverError> {
    let message = receive(&stream).await?.ok_or(HandoverError::ConnectionClosed)?;
    if message.kind != LISTENER_KIND {
        return Err(HandoverError::UnexpectedLegacyMessage(message.kind));
    }
    let length = stream.read_u32().await?;
    if length > MAX_JSON_BYTES {
        return Err(FrameError::TooLong.into());
    }
    let json = read_exactly(&stream, length as usize).await?;
    let predecessor = Predecessor {
        protocol: Protocol::Legacy { client_limit: message.value as usize },
        state: Some(decode_state(&json)?),
        peer_channel: None,
        stream: Rc::new(stream),
    };
    Ok(Handover { listener: message.descriptor, predecessor })
}

fn decode_state(json: &[u8]) -> Result<HandoverState, StateError> {
    let servers: Vec<LegacyServerState> = serde_json::from_slice(json)?;
    let servers = servers.iter().map(LegacyServerState::snapshot).collect();
    let snapshot = StateSnapshot { servers, ..StateSnapshot::default() };
    Ok(HandoverState { snapshot, ..HandoverState::default() })
}

/// Receives the next message. Returns `None` at the end of the stream.
pub(super) async fn receive(stream: &UnixStream) -> Result<Option<LegacyMessage>, FrameError> {
    let mut bytes = [0; MESSAGE_BYTES];
    match receive_with_descriptor(stream, &mut bytes).await? {
        Received { length: 0, .. } => Ok(None),
        Received { length: MESSAGE_BYTES, descriptor: Some(descriptor) } => {
            let [kind, value @ ..] = bytes;
            Ok(Some(LegacyMessage { kind, value: u32::from_be_bytes(value), descriptor }))
        }
        _ => Err(FrameError::MissingDescriptor),
    }
}

#[cfg(test)]
mod tests;
