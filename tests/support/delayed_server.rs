//! A data server whose connections come up only when the test says so.

use std::net::{SocketAddr, TcpListener, TcpStream};

use pipittack_testkit::discovery_server::EndpointEntry;
use pipittack_testkit::wire::read_startup;

use super::TEST_TIMEOUT;

/// A listener that the test accepts from by hand.
pub struct DelayedServer {
    listener: TcpListener,
    address: SocketAddr,
}

impl DelayedServer {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        Self { listener, address }
    }

    /// Its entry in the endpoint list, as JSON.
    pub fn endpoint(&self, uid: &str, mode: &str) -> String {
        EndpointEntry { uid, address: self.address, group: 1, state: "Ready", mode }.to_json()
    }

    /// The next connection, whose startup packet has come and is not answered.
    pub fn accept(&self) -> TcpStream {
        let (mut stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        read_startup(&mut stream).expect("a startup packet");
        stream
    }
}
