//! Tests of `process_owner`.

use std::net::{TcpListener, TcpStream};

use super::*;

#[test]
fn the_process_that_holds_a_connection_is_found() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is available");
    let stream = TcpStream::connect(listener.local_addr().expect("is bound")).expect("the listener accepts");
    let ends = ConnectionEnds {
        local: stream.local_addr().expect("is connected"),
        remote: stream.peer_addr().expect("is connected"),
    };
    let this_process = std::process::id();
    assert_eq!(owner(&[u32::MAX, this_process], ends), Some(this_process));
    assert_eq!(owner(&[u32::MAX], ends), None);
    drop(stream);
    assert_eq!(owner(&[this_process], ends), None);
}
