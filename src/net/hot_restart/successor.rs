//! Handle to the successor, with which the client side of the running process hands over connections.

use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;

use tokio::net::{TcpStream, UnixStream};

use super::frame::{send, FrameError, FrameKind};

/// Handle to a successor. Clones share one connection to it.
#[derive(Clone)]
pub struct Successor(pub(super) Rc<UnixStream>);

impl Successor {
    /// Sends a client connection to the successor and closes it in this process. `startup_complete` says
    /// whether the startup of the client is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the successor cannot be reached. The client connection is then closed, as it is
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
