//! Errors of a handover.

use std::io;

use tokio::time::error::Elapsed;

use super::frame::{FrameError, FrameKind};
use super::state::{Hello, StateError};

/// Reason why a step of a hot restart failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandoverError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    State(#[from] StateError),
    #[error("received an unexpected frame: {0:?}")]
    UnexpectedFrame(FrameKind),
    #[error("received an unexpected message from a build before 0.2: kind {0:#04x}")]
    UnexpectedLegacyMessage(u8),
    #[error("received the state before the listener")]
    MissingListener,
    #[error("hello mismatch: received {found}, expected {expected}")]
    HelloMismatch { found: Hello, expected: Hello },
    #[error("a newer process listens on the handover socket")]
    NewerProcess,
    #[error("connection closed during the handover")]
    ConnectionClosed,
    #[error("timed out waiting for the other process")]
    Timeout(#[from] Elapsed),
    #[error(transparent)]
    Io(#[from] io::Error),
}
