//! The running process's handle on its successor, for the client side.

use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;

use tokio::net::{TcpStream, UnixStream};

use super::frame::{send, FrameError, FrameKind};

/// A successor that takes over client connections.
#[derive(Clone)]
pub struct Successor(pub(super) Rc<UnixStream>);

impl Successor {
    /// Hands a client connection over and closes it in this process. `startup_complete` says whether the
    /// client's startup is done. Fails if the successor is gone; the connection closes then, as it would
    /// without a successor.
    pub async fn hand_over_client(
        &self,
        stream: TcpStream,
        startup_complete: bool,
    ) -> Result<(), FrameError> {
        let descriptor = OwnedFd::from(stream.into_std()?);
        send(&self.0, FrameKind::Client, &[u8::from(startup_complete)], Some(descriptor.as_fd())).await
    }
}
