//! Reads what a predecessor of a build before 0.2 sends.
//!
//! Such a build has a socket and a format of its own, and waits for no hello. Each message is 5 bytes with a
//! descriptor: a kind and a big-endian number. The first one is the listener with the client limit, followed
//! by the servers' state as JSON behind its length. All further ones are client connections. Holds no state.

use std::os::fd::OwnedFd;
use std::rc::Rc;

use pipittack_core::api::{ReplicaSetSnapshot, ServerSnapshot, StateSnapshot};
use serde::Deserialize;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

use super::error::HandoverError;
use super::frame::FrameError;
use super::predecessor::{Handover, Predecessor, Protocol};
use super::socket::{read_exactly, receive_with_descriptor, Received};
use super::state::{HandoverState, StateError};

/// Length of a message in bytes.
const MESSAGE_BYTES: usize = 5;
/// Longest JSON text in bytes.
const MAX_JSON_BYTES: u32 = 1 << 20;
/// The kind of the message that carries the listener.
const LISTENER: u8 = b'D';

/// A message with its descriptor.
#[derive(Debug)]
pub(super) struct Message {
    pub kind: u8,
    pub value: u32,
    pub descriptor: OwnedFd,
}

/// A server's state as such a build sends it.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ServerState {
    server: u32,
    primary: bool,
    /// In Unix milliseconds; of a primary, the time of its last response.
    position_ms: f64,
    #[serde(default, rename = "news")]
    replica_set: ReplicaSetSnapshot,
}

impl ServerState {
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

/// Receives the listener, the client limit and the state.
pub(super) async fn receive_handover(mut stream: UnixStream) -> Result<Handover, HandoverError> {
    let message = receive(&stream).await?.ok_or(HandoverError::ConnectionClosed)?;
    if message.kind != LISTENER {
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
    let servers: Vec<ServerState> = serde_json::from_slice(json)?;
    let servers = servers.iter().map(ServerState::snapshot).collect();
    let snapshot = StateSnapshot { servers, ..StateSnapshot::default() };
    Ok(HandoverState { snapshot, ..HandoverState::default() })
}

/// Receives the next message; `None` at the end of the stream.
pub(super) async fn receive(stream: &UnixStream) -> Result<Option<Message>, FrameError> {
    let mut bytes = [0; MESSAGE_BYTES];
    match receive_with_descriptor(stream, &mut bytes).await? {
        Received { length: 0, .. } => Ok(None),
        Received { length: MESSAGE_BYTES, descriptor: Some(descriptor) } => {
            let [kind, value @ ..] = bytes;
            Ok(Some(Message { kind, value: u32::from_be_bytes(value), descriptor }))
        }
        _ => Err(FrameError::MissingDescriptor),
    }
}

#[cfg(test)]
mod tests;
