//! Tests that the peer of a dropped `ClosingStream` sees the end of the connection.

use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use pipittack_testkit::closing_stream::ClosingStream;

const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the client's and the server's end of a connection.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let client = TcpStream::connect(listener.local_addr().expect("the listener is bound"))
        .expect("the listener accepts connections");
    let (server, _) = listener.accept().expect("a connection is pending");
    server.set_read_timeout(Some(READ_TIMEOUT)).expect("the read timeout is set");
    (client, server)
}

/// Without an explicit shutdown, a child process that holds a duplicate of the socket keeps the connection
/// open after the client has dropped it.
#[test]
fn a_dropped_stream_is_shut_down_while_a_duplicate_descriptor_is_open() {
    let (client, mut server) = connection();
    let _duplicate_of_child = client.try_clone().expect("the descriptor is duplicated");
    drop(ClosingStream::from(client));
    assert_eq!(server.read(&mut [0]).expect("the end of the stream"), 0);
}
