//! A data server's reply as it is received, checked message by message.
//!
//! Nothing in a reply that breaks the protocol is believed: it may be the middle of another reply, or noise.

use std::io;
use std::ops::Range;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::answer::Answer;
use super::load_report;
use crate::api::{LoadReport, Outcome, ServerStatus};
use crate::net::buffers::{BufferChain, BufferPool};
use crate::net::driver::{AttemptResult, Clock};
use crate::net::postgres::{self, MessageHeader};

/// Time within which a reply that has begun must go on: servers write theirs in one go.
pub(super) const REPLY_CONTINUATION_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest row that is received and checked completely before any of it is passed on.
const MAX_BUFFERED_ROW_BYTES: usize = 64 * 1024 + 64;
/// Bytes of a message's header.
const HEADER_BYTES: usize = 5;
/// Bytes of a row message besides its only value: header, column count, value length.
const ROW_OVERHEAD_BYTES: usize = 11;
/// Messages of a value: RowDescription, DataRow, CommandComplete.
const VALUE_MESSAGES: usize = 3;
/// Internal error, in place of an error that came after the row had begun.
const INTERNAL_ERROR: [u8; 5] = *b"XX000";

/// What a reply answers.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Expectation {
    /// A startup packet.
    Welcome,
    /// A statement.
    Value,
}

/// A reply, as far as it was received.
pub(super) struct Reply {
    expectation: Expectation,
    bytes: BufferChain,
    /// Where the next message starts.
    next_message_at: usize,
    scratch: Vec<u8>,
    is_ready: bool,
    /// The messages of the value.
    value_messages: Vec<Range<usize>>,
    /// The row is large and has begun: bytes of it that were not received yet.
    missing_row_bytes: Option<usize>,
    is_authenticated: bool,
    sqlstate: Option<[u8; 5]>,
    primary: Option<bool>,
    position_unix_ms: Option<f64>,
    load_report: Option<String>,
}

/// Reads a reply up to ReadyForQuery, or up to the begin of a large row. A server may close its connection
/// after the reply.
pub(super) async fn read_reply(
    buffers: &BufferPool,
    stream: &TcpStream,
    expectation: Expectation,
) -> io::Result<Reply> {
    let mut reply = Reply::new(buffers.chain(), expectation);
    loop {
        if reply.process_messages()? || reply.missing_row_bytes.is_some() {
            return Ok(reply);
        }
        let has_begun = !reply.bytes.is_empty();
        let read = reply.bytes.read_from(stream);
        let count = if has_begun {
            // The length of a reply may not fit, so that its end never comes.
            let read = timeout(REPLY_CONTINUATION_TIMEOUT, read).await;
            read.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))??
        } else {
            read.await?
        };
        if count == 0 {
            let is_complete = reply.sqlstate.is_some() || reply.is_value();
            return is_complete.then_some(reply).ok_or(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

impl Reply {
    fn new(bytes: BufferChain, expectation: Expectation) -> Self {
        Self {
            expectation,
            bytes,
            next_message_at: 0,
            scratch: Vec::new(),
            is_ready: false,
            value_messages: Vec::new(),
            missing_row_bytes: None,
            is_authenticated: false,
            sqlstate: None,
            primary: None,
            position_unix_ms: None,
            load_report: None,
        }
    }

    /// What follows a row that is passed on as it comes.
    pub(super) fn after_row(bytes: BufferChain) -> Self {
        let mut reply = Self::new(bytes, Expectation::Value);
        reply.value_messages = vec![0..0; VALUE_MESSAGES - 1];
        reply
    }

    /// Processes the complete messages; says whether the last one was ReadyForQuery.
    pub(super) fn process_messages(&mut self) -> io::Result<bool> {
        while let Some(bytes) = self.bytes.array::<HEADER_BYTES>(self.next_message_at) {
            let header = postgres::parse_header(bytes).ok_or(io::ErrorKind::InvalidData)?;
            let start = self.next_message_at;
            let end = start.saturating_add(header.length);
            if !postgres::is_plausible_length(header) || end > postgres::MAX_RESPONSE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if end > self.bytes.len() {
                self.check_large_row(header)?;
                return Ok(false);
            }
            self.next_message_at = end;
            self.bytes.copy(start + HEADER_BYTES..end, &mut self.scratch);
            self.process_message(header.kind, start..end).ok_or(io::ErrorKind::InvalidData)?;
            if self.is_ready {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Checks the begin of a large row before any of it is passed on; the rest needs no buffers then.
    fn check_large_row(&mut self, header: MessageHeader) -> io::Result<()> {
        let is_large_row = self.expectation == Expectation::Value
            && header.kind == b'D'
            && header.length > MAX_BUFFERED_ROW_BYTES;
        let row_start = self.bytes.array::<6>(self.next_message_at + HEADER_BYTES).filter(|_| is_large_row);
        let Some(row_start) = row_start else { return Ok(()) };
        let [0, 1, value_length @ ..] = row_start else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let value_length = u32::from_be_bytes(value_length) as usize;
        let fits = value_length + ROW_OVERHEAD_BYTES == header.length;
        if !fits || self.value_messages.len() != 1 || self.sqlstate.is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.value_messages.push(self.next_message_at..self.bytes.len());
        self.missing_row_bytes = Some(self.next_message_at + header.length - self.bytes.len());
        Ok(())
    }

    /// Processes a message whose body is in `scratch`; `None` if it can't come next.
    fn process_message(&mut self, kind: u8, range: Range<usize>) -> Option<()> {
        let is_value = self.expectation == Expectation::Value;
        let is_open = self.sqlstate.is_none();
        let body = &self.scratch[..];
        let fits = match (kind, self.value_messages.len()) {
            (b'S', _) => return self.process_parameter(),
            (b'E', 0..VALUE_MESSAGES) => return self.process_error(),
            (b'Z', _) => return self.process_ready(),
            (b'R', _) => {
                let is_first = !is_value && is_open && !std::mem::replace(&mut self.is_authenticated, true);
                is_first && body == [0; 4]
            }
            (b'N', _) => true,
            (b'K', _) => !is_value && is_open && self.is_authenticated,
            (b'T', 0) => is_value && is_open && postgres::is_single_column_description(body),
            (b'D', 1) => is_open && postgres::parse_single_column(body).is_some(),
            (b'C', 2) => is_open && postgres::is_command_tag(body),
            _ => false,
        };
        if matches!(kind, b'T' | b'D' | b'C') {
            self.value_messages.push(range);
        }
        fits.then_some(())
    }

    fn process_error(&mut self) -> Option<()> {
        if self.sqlstate.is_some() {
            return None;
        }
        let sqlstate = postgres::parse_sqlstate(&self.scratch)?;
        // What fails after its row has begun was executed, whatever the code says.
        self.sqlstate = Some(if self.value_messages.is_empty() { sqlstate } else { INTERNAL_ERROR });
        Some(())
    }

    fn process_ready(&mut self) -> Option<()> {
        self.is_ready = true;
        let is_complete = match self.expectation {
            Expectation::Value => self.value_messages.len() == VALUE_MESSAGES,
            Expectation::Welcome => self.is_authenticated,
        };
        let is_status = matches!(self.scratch[..], [b'I' | b'T' | b'E']);
        ((self.sqlstate.is_some() || is_complete) && is_status).then_some(())
    }

    fn process_parameter(&mut self) -> Option<()> {
        // An unreadable load report invalidates nothing else.
        let is_report = self.scratch.starts_with(b"stats\0");
        let Some((name, value)) = postgres::parse_parameter_status(&self.scratch) else {
            return is_report.then_some(());
        };
        match (name, value) {
            ("mode", "read-write") => self.primary = Some(true),
            ("mode", "read-only") => self.primary = Some(false),
            ("mode", _) => return None,
            ("wal_time", _) => {
                let unix_ms: f64 = value.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms >= 0.0)?;
                self.position_unix_ms = Some(unix_ms).filter(|ms| *ms > 0.0);
            }
            ("stats", _) => self.load_report = Some(value.to_owned()),
            _ => {}
        }
        Some(())
    }

    pub(super) fn sqlstate(&self) -> Option<&[u8; 5]> {
        self.sqlstate.as_ref()
    }

    /// Bytes of a large row that were not received yet, once its begin was.
    pub(super) fn missing_row_bytes(&self) -> Option<usize> {
        self.missing_row_bytes
    }

    pub(super) fn bytes_mut(&mut self) -> &mut BufferChain {
        &mut self.bytes
    }

    /// The CommandComplete message, once it was received.
    pub(super) fn command_complete(&self) -> Option<impl Iterator<Item = &[u8]>> {
        let range = self.value_messages.get(VALUE_MESSAGES - 1)?;
        Some(self.bytes.slices(range.clone()))
    }

    /// Whether it is a complete value.
    pub(super) fn is_value(&self) -> bool {
        self.value_messages.len() == VALUE_MESSAGES && self.sqlstate.is_none()
    }

    /// Whether its connection can carry another request: no byte may be left that the next reply would begin
    /// with.
    pub(super) fn is_connection_reusable(&self) -> bool {
        self.is_ready && self.bytes.len() == self.next_message_at
    }

    /// The part of a large value that was received, to be passed on.
    pub(super) fn into_begin_of_value(self) -> Answer {
        Answer::new(self.bytes, self.value_messages)
    }

    /// What it means for the attempt.
    pub(super) fn into_result(self, clock: Clock) -> AttemptResult<Answer> {
        let outcome = match self.sqlstate.as_ref() {
            None if self.is_value() => Outcome::Success,
            Some(b"25006" | b"72000") => Outcome::Misdirected,
            Some(b"53300") => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        let status = self.status(clock);
        let load_report = self.load_report.as_deref().map(|text| load_report::parse(text, clock));
        let response = (outcome == Outcome::Success).then(|| self.into_begin_of_value());
        AttemptResult { outcome, status, load_report, response }
    }

    /// What it says of its server.
    pub(super) fn status(&self, clock: Clock) -> Option<ServerStatus> {
        let position = self.position_unix_ms.and_then(|ms| load_report::position(ms, clock));
        let has_status = position.is_some() || self.primary.is_some();
        has_status.then_some(ServerStatus { position, primary: self.primary })
    }

    /// The load report that a health check's row holds.
    pub(super) fn health_check_report(&self, clock: Clock) -> Option<LoadReport> {
        let mut row = Vec::new();
        let range = self.value_messages.get(1)?;
        self.bytes.copy(range.start + HEADER_BYTES..range.end, &mut row);
        let text = std::str::from_utf8(postgres::parse_single_column(&row)?).ok()?;
        text.contains('=').then(|| load_report::parse(text, clock))
    }
}
