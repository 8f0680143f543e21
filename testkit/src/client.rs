//! Blocking client of the proxy on PostgreSQL's wire protocol, with one connection and one request at a time.
//!
//! Each response is classified by its meaning for the request: executed, rejected before execution, or
//! outcome unknown. The client does not use a connection that the proxy has closed. It resends a read if the
//! proxy closed a reused connection before the first byte of a response. It never resends a write, because the
//! proxy may have read and forwarded it.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::closing_stream::ClosingStream;
use crate::wire::{query, read_message, startup};

/// Timeout of each read while the proxy answers the startup packet.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a request, as the client observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The request was executed and returned a row.
    Served,
    /// The request was not executed and may be retried; the delay before a retry, or `None` if the proxy gave
    /// none.
    Rejected(Option<Duration>),
    /// The request failed with this SQLSTATE and may have been executed.
    Failed(String),
    /// No complete response arrived in time, or the connection ended.
    Unanswered,
    /// The client closed its connection before a response arrived.
    Abandoned,
}

/// A sent request and its outcome.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Id of the request.
    pub id: String,
    /// Whether the request is a write.
    pub is_write: bool,
    /// Time at which the client sent the request.
    pub sent_at: Instant,
    /// Time from sending the request until the response, or until the client gave up.
    pub latency: Duration,
    /// Outcome of the request.
    pub response: Response,
}

/// Parameters of a request to send.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    /// Id of the request; unique among all requests of a test.
    pub id: &'a str,
    /// Name of the request class; a class of writes if and only if `is_write` is set.
    pub class: &'a str,
    /// Whether the request is an `INSERT`; otherwise it is a `SELECT`.
    pub is_write: bool,
    /// Number of the replica set.
    pub group: u64,
    /// Time until the request's deadline; the statement's comment carries it in milliseconds.
    pub max_wait: Duration,
    /// Time after `max_wait` for which [`Client::send`] still waits for a response.
    pub response_slack: Duration,
}

impl Request<'_> {
    /// Returns the SQL statement, which carries the request's fields in a comment.
    fn statement(&self) -> String {
        let Self { id, class, group, .. } = self;
        let max_wait_ms = self.max_wait.as_millis();
        let comment = format!("/* id={id},c={class},d={max_wait_ms},cluster={group} */");
        if self.is_write {
            format!(r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body {comment}")
        } else {
            format!("SELECT body FROM objects WHERE oid = 'k' {comment}")
        }
    }
}

/// A client that connects to the proxy on its first request.
pub struct Client {
    proxy: SocketAddr,
    stream: Option<ClosingStream>,
}

impl Client {
    /// Returns a client without a connection.
    pub fn new(proxy: SocketAddr) -> Self {
        Self { proxy, stream: None }
    }

    /// Sends a request and waits for its final response until `max_wait` and `response_slack` have passed.
    pub fn send(&mut self, request: &Request<'_>) -> RequestRecord {
        let timeout = request.max_wait + request.response_slack;
        self.send_with_timeout(request, timeout, Response::Unanswered)
    }

    /// Sends a request and closes the connection unless a response arrives within `abandon_after`.
    pub fn send_and_abandon(&mut self, request: &Request<'_>, abandon_after: Duration) -> RequestRecord {
        self.send_with_timeout(request, abandon_after, Response::Abandoned)
    }

    fn send_with_timeout(
        &mut self,
        request: &Request<'_>,
        timeout: Duration,
        outcome_on_error: Response,
    ) -> RequestRecord {
        let sent_at = Instant::now();
        let response = match self.exchange_with_reconnect(request, timeout) {
            Ok(response) => response,
            Err(_) => {
                self.stream = None;
                outcome_on_error
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

    /// Sends a request and reads up to ReadyForQuery. Reconnects and resends a read if the proxy closed the
    /// connection between requests.
    fn exchange_with_reconnect(&mut self, request: &Request<'_>, timeout: Duration) -> io::Result<Response> {
        let statement = request.statement();
        self.stream = self.stream.take().filter(is_reusable);
        let was_connected = self.stream.is_some();
        match self.exchange(&statement, timeout) {
            Err(e) if was_connected && !request.is_write && e.kind() == io::ErrorKind::UnexpectedEof => {
                self.stream = None;
                self.exchange(&statement, timeout)
            }
            result => result,
        }
    }

    fn exchange(&mut self, statement: &str, timeout: Duration) -> io::Result<Response> {
        let deadline = Instant::now() + timeout;
        let stream = self.connect()?;
        stream.write_all(&query(statement))?;
        let mut response = None;
        let mut has_response_started = false;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(remaining))?;
            match stream.peek(&mut [0]) {
                Ok(0) if !has_response_started => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) if n > 0 => {}
                _ => return Err(io::ErrorKind::TimedOut.into()),
            }
            let (message_type, body) = read_message(stream).ok_or(io::ErrorKind::TimedOut)?;
            has_response_started = true;
            match message_type {
                b'D' => response = Some(Response::Served),
                b'E' => response = Some(classify_error(&body)),
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
        Ok(self.stream.as_mut().expect("the connection was just opened"))
    }
}

/// Returns whether the peer has neither closed an idle connection nor sent anything on it.
fn is_reusable(stream: &ClosingStream) -> bool {
    let peeked = stream
        .set_nonblocking(true)
        .and_then(|()| stream.peek(&mut [0]))
        .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    peeked && stream.set_nonblocking(false).is_ok()
}

/// Classifies an ErrorResponse as a rejection or another error. The detail of a rejection is the time in
/// milliseconds after which the client may retry.
fn classify_error(body: &[u8]) -> Response {
    let field = |field_type: u8| {
        let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&field_type))?;
        Some(String::from_utf8_lossy(&field[1..]).into_owned())
    };
    let code = field(b'C').unwrap_or_default();
    if matches!(&*code, "53300" | "57P03") {
        let retry_after = field(b'D').and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        return Response::Rejected(retry_after);
    }
    Response::Failed(code)
}
