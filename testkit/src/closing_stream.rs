//! A TCP connection that is closed when it is dropped, whoever holds a copy of its descriptor.
//!
//! Between the start of a child process and its exec the child holds a copy of every descriptor of its parent.
//! Dropping a plain stream meanwhile closes nothing that its peer can see. Tests that start processes therefore
//! shut the socket down first.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::ops::{Deref, DerefMut};

/// A connection that ends for its peer when this is dropped.
#[derive(Debug)]
pub struct ClosingStream(TcpStream);

impl ClosingStream {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// Those of the system.
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
        // The peer may have closed it already.
        let _ = self.0.shutdown(Shutdown::Both);
    }
}
