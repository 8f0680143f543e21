//! Data server whose connections the test accepts and answers itself.

use std::net::{SocketAddr, TcpListener, TcpStream};

use pipittack_testkit::discovery_server::EndpointEntry;
use pipittack_testkit::wire::read_startup;

use super::TEST_TIMEOUT;

/// Listener of a data server. A connection to it stays in its startup until the test answers the startup
/// packet.
pub struct DelayedServer {
    listener: TcpListener,
    address: SocketAddr,
}

impl DelayedServer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        Self { listener, address }
    }

    /// Returns the server's entry in the endpoint list as JSON.
    pub fn endpoint(&self, uid: &str, mode: &str) -> String {
        EndpointEntry { uid, address: self.address, group: 1, state: "Ready", mode }.to_json()
    }

    /// Accepts the next connection and reads its startup packet without answering it.
    pub fn accept(&self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().expect("the proxy connects");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout can be set");
        read_startup(&mut stream).expect("the proxy sends a startup packet");
        stream
    }
}
