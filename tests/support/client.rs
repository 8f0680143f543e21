//! PostgreSQL client that sends raw bytes to the proxy.

use std::io::Write;
use std::net::SocketAddr;

use pipittack_testkit::closing_stream::ClosingStream;
use pipittack_testkit::wire::{query, read_message, startup};

use super::proxy::Proxy;
use super::{wait_until, TEST_TIMEOUT};

/// Client connection to the proxy.
pub struct Client {
    pub stream: ClosingStream,
}

/// Messages of a response: kind byte and body of each.
pub type Response = Vec<(u8, Vec<u8>)>;

impl Client {
    /// Opens a connection without sending a startup packet.
    pub fn open(proxy: &Proxy) -> Self {
        let stream = ClosingStream::connect(proxy.address).expect("the proxy accepts connections");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout can be set");
        Self { stream }
    }

    /// Opens a connection and completes its startup.
    pub fn connect(proxy: &Proxy) -> Self {
        let (client, response) = connect_with_response(proxy);
        let rejection = (error_field(&response, b'C'), error_field(&response, b'M'));
        assert_eq!(response.last().map(|m| m.0), Some(b'Z'), "the startup has failed: {rejection:?}");
        client
    }

    /// Opens a connection to this address and completes its startup. Tries again while the proxy closes the
    /// connection or rejects the client for its limit.
    pub fn connect_to(address: SocketAddr) -> Self {
        let mut connected = None;
        wait_until("a connection to the address", || {
            connected = Self::try_connect(address);
            connected.is_some()
        });
        connected.expect("the client is connected")
    }

    fn try_connect(address: SocketAddr) -> Option<Self> {
        let stream = ClosingStream::connect(address).ok()?;
        stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
        let mut client = Self { stream };
        client.stream.write_all(&startup()).ok()?;
        let response = client.read_response();
        (response.last()?.0 == b'Z').then_some(client)
    }

    /// Sends a simple query and reads its response, which is empty if the connection has been closed.
    pub fn try_request(&mut self, text: &str) -> Response {
        if self.stream.write_all(&query(text)).is_err() {
            return Response::new();
        }
        self.read_response()
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the proxy has not closed the connection");
    }

    /// Reads messages up to ReadyForQuery or the end of the connection.
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

    /// Sends a simple query and reads its response.
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

/// Returns the kinds of the messages in a response, without ParameterStatus.
pub fn message_kinds(response: &Response) -> String {
    response.iter().filter(|m| m.0 != b'S').map(|m| char::from(m.0)).collect()
}

/// Returns the value of a field of the first ErrorResponse in a response; `None` if the response has no
/// ErrorResponse or the ErrorResponse has no such field.
pub fn error_field(response: &Response, field_type: u8) -> Option<String> {
    let (_, body) = response.iter().find(|m| m.0 == b'E')?;
    let mut fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&field_type));
    fields.next().map(|f| String::from_utf8_lossy(&f[1..]).into_owned())
}

/// Asserts the kinds of the messages in a response and the SQLSTATE of its ErrorResponse.
#[track_caller]
pub fn assert_error_response(response: &Response, kinds: &str, sql_state: &str) {
    let actual_state = error_field(response, b'C');
    assert_eq!((message_kinds(response).as_str(), actual_state.as_deref()), (kinds, Some(sql_state)));
}
