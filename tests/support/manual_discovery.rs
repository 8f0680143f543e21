//! A discovery service that the test answers by hand.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

use super::wait_until;

/// A listener that the test accepts from by hand.
pub struct ManualDiscovery {
    listener: TcpListener,
}

impl ManualDiscovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a socket");
        Self { listener }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// The next request: its path, and the connection on which it is answered.
    pub fn accept_request(&self) -> (String, TcpStream) {
        let mut accepted = None;
        wait_until("a request comes", || {
            accepted = self.listener.accept().ok();
            accepted.is_some()
        });
        let (mut stream, _) = accepted.expect("it has come");
        stream.set_nonblocking(false).expect("a socket");
        stream.set_nodelay(true).expect("a socket");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a head");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text");
        (head.split(' ').nth(1).expect("a path").to_owned(), stream)
    }

    /// The same, answered with the head of a chunked body.
    pub fn accept_watch(&self) -> (String, TcpStream) {
        let (path, mut stream) = self.accept_request();
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").expect("it reads");
        (path, stream)
    }
}

/// Sends a chunk of a body.
pub fn send_chunk(stream: &mut TcpStream, text: &str) {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).expect("it reads");
}
