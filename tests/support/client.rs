//! A client that speaks to the proxy byte by byte.

use std::io::Write;

use pipittack_testkit::closing_stream::ClosingStream;
use pipittack_testkit::wire::{query, read_message, startup};

use super::proxy::Proxy;
use super::TEST_TIMEOUT;

/// A connection to the proxy.
pub struct Client {
    pub stream: ClosingStream,
}

/// The messages of a response, each with its kind and its body.
pub type Response = Vec<(u8, Vec<u8>)>;

impl Client {
    /// Opens a connection and sends nothing.
    pub fn open(proxy: &Proxy) -> Self {
        let stream = ClosingStream::connect(proxy.address).expect("it listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        Self { stream }
    }

    /// Opens a connection and completes its startup.
    pub fn connect(proxy: &Proxy) -> Self {
        let (client, response) = connect_with_response(proxy);
        assert_eq!(response.last().map(|m| m.0), Some(b'Z'));
        client
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the proxy reads");
    }

    /// Messages up to ReadyForQuery or the end of the connection.
    pub fn read_response(&mut self) -> Response {
        let mut messages = Vec::new();
        while let Some(message) = read_message(&mut *self.stream) {
            messages.push(message);
            if messages.last().is_some_and(|m| m.0 == b'Z') {
                break;
            }
        }
        messages
    }

    /// Sends a query and reads its response.
    pub fn request(&mut self, text: &str) -> Response {
        self.send(&query(text));
        self.read_response()
    }
}

/// Opens a connection, sends a startup packet and reads the response.
pub fn connect_with_response(proxy: &Proxy) -> (Client, Response) {
    let mut client = Client::open(proxy);
    client.send(&startup());
    let response = client.read_response();
    (client, response)
}

/// The kinds of a response's messages, without ParameterStatus.
pub fn message_kinds(response: &Response) -> String {
    response.iter().filter(|m| m.0 != b'S').map(|m| char::from(m.0)).collect()
}

/// A field of the ErrorResponse in a response.
pub fn error_field(response: &Response, kind: u8) -> Option<String> {
    let (_, body) = response.iter().find(|m| m.0 == b'E')?;
    let mut fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&kind));
    fields.next().map(|f| String::from_utf8_lossy(&f[1..]).into_owned())
}

/// Asserts the kinds of a response's messages and the SQLSTATE of its ErrorResponse.
#[track_caller]
pub fn assert_error_response(response: &Response, kinds: &str, sql_state: &str) {
    let actual_state = error_field(response, b'C');
    assert_eq!((message_kinds(response).as_str(), actual_state.as_deref()), (kinds, Some(sql_state)));
}
