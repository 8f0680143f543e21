//! A TCP connection that is shut down on drop, even if another process holds a duplicate of its descriptor.
//!
//! Between `fork` and `exec`, a child process holds a duplicate of every descriptor of its parent. If the
//! parent drops a plain `TcpStream` in that time, its peer does not see the connection end. Tests that start
//! processes therefore use this type, which shuts the socket down first.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::{Deref, DerefMut};

/// A `TcpStream` that is shut down in both directions on drop.
#[derive(Debug)]
pub struct ClosingStream(TcpStream);

impl ClosingStream {
    /// Connects to `address`.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the connection attempt.
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect(address).map(Self)
    }
}

impl From<TcpStream> for ClosingStream {
    fn from(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl Deref for ClosingStream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.0
    }
}

impl DerefMut for ClosingStream {
    fn deref_mut(&mut self) -> &mut TcpStream {
        &mut self.0
    }
}

impl Drop for ClosingStream {
    fn drop(&mut self) {
        // Fails if the peer has closed the connection already.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}
