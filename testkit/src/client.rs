//! A client of the proxy on PostgreSQL's wire protocol: one connection, one request at a time, and each response
//! by what it promises.
//!
//! Owns the connection. A request is sent a second time only where the connection had closed before any byte of a
//! response came.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::closing_stream::ClosingStream;
use crate::wire::{query, read_message, startup};

/// Time within which the proxy must answer a startup packet.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// What a request's final response promises.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// It ran, and this is its row.
    Served,
    /// It ran nowhere and may be sent again, after this time if one is given.
    Rejected(Option<Duration>),
    /// It may have run; the SQLSTATE.
    Failed(String),
    /// Nothing came in time, or the connection ended.
    Unanswered,
    /// The client closed its connection before a response.
    Abandoned,
}

/// A request that was sent, and its response.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Its id.
    pub id: String,
    /// Whether it was a write.
    pub is_write: bool,
    /// When it was sent.
    pub sent_at: Instant,
    /// How long its response took.
    pub latency: Duration,
    /// The response.
    pub response: Response,
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// An id that was not used before.
    pub id: &'a str,
    /// The request class; `is_write` must fit it.
    pub class: &'a str,
    /// Whether it inserts.
    pub is_write: bool,
    /// The replica set.
    pub group: u64,
    /// How long the client waits, as the statement says.
    pub max_wait: Duration,
    /// Time past that after which the request counts as unanswered.
    pub response_slack: Duration,
}

impl Request<'_> {
    fn statement(&self) -> String {
        let Self { id, class, group, .. } = self;
        let wait_ms = self.max_wait.as_millis();
        let comment = format!("/* id={id},c={class},d={wait_ms},cluster={group} */");
        if self.is_write {
            format!(r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body {comment}")
        } else {
            format!("SELECT body FROM objects WHERE oid = 'k' {comment}")
        }
    }
}

/// A connection to the proxy, opened when it is needed.
pub struct Client {
    proxy: SocketAddr,
    stream: Option<ClosingStream>,
}

impl Client {
    /// A client that has not connected yet.
    pub fn new(proxy: SocketAddr) -> Self {
        Self { proxy, stream: None }
    }

    /// Sends a request and waits for its final response.
    pub fn send(&mut self, request: &Request<'_>) -> RequestRecord {
        let timeout = request.max_wait + request.response_slack;
        self.send_with_timeout(request, timeout, Response::Unanswered)
    }

    /// Sends a request and closes the connection unless a response comes within `patience`.
    pub fn send_and_abandon(&mut self, request: &Request<'_>, patience: Duration) -> RequestRecord {
        self.send_with_timeout(request, patience, Response::Abandoned)
    }

    fn send_with_timeout(
        &mut self,
        request: &Request<'_>,
        timeout: Duration,
        without_response: Response,
    ) -> RequestRecord {
        let sent_at = Instant::now();
        let response = match self.exchange_with_reconnect(&request.statement(), timeout) {
            Ok(response) => response,
            Err(_) => {
                self.stream = None;
                without_response
            }
        };
        RequestRecord {
            id: request.id.to_owned(),
            is_write: request.is_write,
            sent_at,
            latency: sent_at.elapsed(),
            response,
        }
    }

    /// Sends a query and reads up to ReadyForQuery. Opens a connection anew that the proxy closed between requests.
    fn exchange_with_reconnect(&mut self, text: &str, timeout: Duration) -> io::Result<Response> {
        let was_connected = self.stream.is_some();
        match self.exchange(text, timeout) {
            Err(e) if was_connected && e.kind() == io::ErrorKind::UnexpectedEof => {
                self.stream = None;
                self.exchange(text, timeout)
            }
            other => other,
        }
    }

    fn exchange(&mut self, text: &str, timeout: Duration) -> io::Result<Response> {
        let deadline = Instant::now() + timeout;
        let stream = self.connect()?;
        stream.write_all(&query(text))?;
        let mut response = None;
        let mut response_begun = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))?;
            match stream.peek(&mut [0]) {
                Ok(0) if !response_begun => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) if n > 0 => {}
                _ => return Err(io::ErrorKind::TimedOut.into()),
            }
            let (kind, body) = read_message(stream).ok_or(io::ErrorKind::TimedOut)?;
            response_begun = true;
            match kind {
                b'D' => response = Some(Response::Served),
                b'E' => response = Some(error_response(&body)),
                b'Z' => return response.ok_or(io::ErrorKind::InvalidData.into()),
                _ => {}
            }
        }
    }

    fn connect(&mut self) -> io::Result<&mut TcpStream> {
        if self.stream.is_none() {
            let mut stream = ClosingStream::connect(self.proxy)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(STARTUP_TIMEOUT))?;
            stream.write_all(&startup())?;
            while read_message(&mut *stream).ok_or(io::ErrorKind::UnexpectedEof)?.0 != b'Z' {}
            self.stream = Some(stream);
        }
        Ok(self.stream.as_mut().expect("it was just opened"))
    }
}

/// What an ErrorResponse promises.
fn error_response(body: &[u8]) -> Response {
    let field = |kind: u8| {
        let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&kind))?;
        Some(String::from_utf8_lossy(&field[1..]).into_owned())
    };
    let code = field(b'C').unwrap_or_default();
    if matches!(&*code, "53300" | "57P03") {
        let retry_after = field(b'D').and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        return Response::Rejected(retry_after);
    }
    Response::Failed(code)
}
