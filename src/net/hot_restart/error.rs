//! Why a handover failed.

use std::io;

use tokio::time::error::Elapsed;

use super::frame::{FrameError, FrameKind};
use super::state::{Hello, StateError};

/// A step of a hot restart that failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum HandoverError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    State(#[from] StateError),
    #[error("unexpected frame {0:?}")]
    UnexpectedFrame(FrameKind),
    #[error("unexpected message {0:#04x} from a build before 0.2")]
    UnexpectedLegacyMessage(u8),
    #[error("the state was received before the listener")]
    MissingListener,
    #[error("{found} is no successor of {expected}")]
    HelloMismatch { found: Hello, expected: Hello },
    #[error("a newer process listens there")]
    NewerProcess,
    #[error("the connection closed during the handover")]
    ConnectionClosed,
    #[error("timed out")]
    Timeout(#[from] Elapsed),
    #[error(transparent)]
    Io(#[from] io::Error),
}
