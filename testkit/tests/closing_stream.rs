//! When the peer sees the end of a test's connection.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use pipittack_testkit::closing_stream::ClosingStream;

const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection, as its client and its server hold it.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("it is bound")).expect("it listens");
    let (server, _) = listener.accept().expect("a connection waits");
    server.set_read_timeout(Some(READ_TIMEOUT)).expect("a socket");
    (client, server)
}

/// Guards against a client that seems to stay while a child process holds a copy of its socket.
#[test]
fn a_dropped_connection_ends_while_another_descriptor_of_it_is_open() {
    let (client, mut server) = connection();
    let _copy_of_a_child = client.try_clone().expect("a descriptor");
    drop(ClosingStream::from(client));
    assert_eq!(server.read(&mut [0]).expect("the end of the stream"), 0);
}
