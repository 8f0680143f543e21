//! Receives a data server's reply and validates it message by message.
//!
//! A reply that violates the protocol is rejected as a whole, since it may be part of another reply or
//! arbitrary bytes. Only the messages of the result are kept. All others, such as notices, are discarded once
//! they are processed, and a reply may not consist of them without end.
//!
//! A message that needs more than one buffer is received in buffers that are reserved for it. A row that gets none is
//! passed on as it arrives, like a large one.

mod evaluation;

use std::io;
use std::ops::Range;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::net::buffers::{BufferChain, BufferPool, Purpose};
use crate::net::postgres::{self, MessageHeader};
use crate::net::turn::{charge, Work};

/// Longest time between two reads of a reply. Servers write a reply in one go, so a longer gap means that the
/// reply is broken. Also the time limit for the messages after a large row.
pub(super) const REPLY_CONTINUATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest size of a row message, in bytes, that is received and validated completely before its first byte
/// is passed on.
const MAX_BUFFERED_ROW_BYTES: usize = 64 * 1024 + 64;
/// Largest number of bytes of a reply that belong to no message of its result. A server sends a few parameters
/// and notices with a result.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Size of a message header, in bytes: type and length.
const HEADER_BYTES: usize = 5;
/// Size of a row message without the bytes of its only column: header, column count, column length.
const ROW_OVERHEAD_BYTES: usize = 11;
/// Number of messages of a complete query result: RowDescription, DataRow, CommandComplete.
const RESULT_MESSAGES: usize = 3;
/// SQLSTATE for internal errors. Replaces the code of an error that follows a message of the result.
const INTERNAL_ERROR: [u8; 5] = *b"XX000";

/// A reply contains too many bytes that belong to no message of its result.
#[derive(Debug, thiserror::Error)]
#[error("{discarded_bytes} bytes of the reply belong to no result")]
struct EndlessReply {
    discarded_bytes: usize,
}

/// Returns whether messages of this kind belong to the result of a query.
fn is_result_message(kind: u8) -> bool {
    matches!(kind, b'T' | b'D' | b'C')
}

/// Message that the proxy sent, which determines the messages that the reply may contain.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum ExpectedReply {
    /// The proxy sent a startup packet.
    Startup,
    /// The proxy sent a query.
    QueryResult,
}

/// A reply that is complete or being received.
pub(super) struct Reply {
    expected: ExpectedReply,
    /// Messages of the query result, and behind them the received bytes that are not yet processed.
    bytes: BufferChain,
    /// Length of the messages of the query result in `bytes`.
    result_bytes: usize,
    /// Byte ranges in `bytes` of the messages of the query result.
    result_messages: Vec<Range<usize>>,
    /// Number of bytes that were processed and not kept.
    discarded_bytes: usize,
    /// Bytes of a notice that are still to be received and discarded.
    remaining_notice_bytes: usize,
    /// Body of the message that is being processed.
    scratch: Vec<u8>,
    /// Whether ReadyForQuery was received.
    is_ready: bool,
    /// Bytes of a large row that are not received yet; `None` unless a large row has begun.
    remaining_row_bytes: Option<usize>,
    is_authenticated: bool,
    /// SQLSTATE of an error; `None` if no error was received.
    sqlstate: Option<[u8; 5]>,
    /// Whether the server is a primary; `None` if the reply does not say.
    primary: Option<bool>,
    /// Replication position in Unix milliseconds; `None` if the reply contains none.
    position_unix_ms: Option<f64>,
    /// Text of the load report in a ParameterStatus message.
    load_report: Option<String>,
}

/// Reads a reply up to ReadyForQuery, or up to the start of a large row. Also accepts a complete result or an
/// error without ReadyForQuery if the server closes the connection after it. Calls `on_result` whenever a part of
/// a result has arrived.
pub(super) async fn read_reply(
    buffers: &BufferPool,
    stream: &TcpStream,
    expected: ExpectedReply,
    on_result: impl Fn(),
) -> io::Result<Reply> {
    let mut reply = Reply::new(buffers, expected);
    loop {
        let is_ready = reply.process_messages().await?;
        if !reply.result_messages.is_empty() {
            on_result();
        }
        if is_ready || reply.remaining_row_bytes.is_some() {
            return Ok(reply);
        }
        if !reply.reserve_next_message()? {
            return Ok(reply);
        }
        let has_begun = reply.has_begun();
        let read = reply.bytes.read_from(stream);
        let count = if has_begun {
            // If a message's length field is wrong, the end of the reply never arrives.
            let read = timeout(REPLY_CONTINUATION_TIMEOUT, read).await;
            read.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))??
        } else {
            read.await?
        };
        if count == 0 {
            let is_complete = reply.sqlstate.is_some() || reply.is_complete_result();
            return is_complete.then_some(reply).ok_or(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

impl Reply {
    fn new(buffers: &BufferPool, expected: ExpectedReply) -> Self {
        Self {
            expected,
            bytes: buffers.chain(),
            result_bytes: 0,
            result_messages: Vec::new(),
            discarded_bytes: 0,
            remaining_notice_bytes: 0,
            scratch: Vec::new(),
            is_ready: false,
            remaining_row_bytes: None,
            is_authenticated: false,
            sqlstate: None,
            primary: None,
            position_unix_ms: None,
            load_report: None,
        }
    }

    /// Creates the reply that receives the messages after a large row, which is passed on separately.
    pub(super) fn after_row(buffers: &BufferPool) -> Self {
        let mut reply = Self::new(buffers, ExpectedReply::QueryResult);
        reply.result_messages = vec![0..0; RESULT_MESSAGES - 1];
        reply
    }

    /// Returns whether any byte of the reply was received.
    fn has_begun(&self) -> bool {
        !self.bytes.is_empty() || self.discarded_bytes > 0
    }

    /// Processes the messages that are received completely. Returns whether ReadyForQuery is among those of this reply
    /// so far.
    pub(super) async fn process_messages(&mut self) -> io::Result<bool> {
        if self.is_ready {
            return Ok(true);
        }
        self.discard_notice_bytes();
        while let Some(header) = self.next_header()? {
            let start = self.result_bytes;
            let end = start + header.length;
            if end > self.bytes.len() {
                self.begin_notice(header)?;
                self.check_large_row(header)?;
                break;
            }
            charge(Work::Message).await;
            self.copy_body(header.kind, start + HEADER_BYTES..end);
            self.process_message(header).ok_or(io::ErrorKind::InvalidData)?;
            self.keep_or_discard(header, start..end)?;
            if self.is_ready {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Parses the header of the next message. Returns `None` if it is not received completely.
    fn next_header(&self) -> io::Result<Option<MessageHeader>> {
        let Some(bytes) = self.bytes.array::<HEADER_BYTES>(self.result_bytes) else { return Ok(None) };
        let header = postgres::parse_header(bytes).filter(|header| postgres::is_plausible_length(*header));
        header.map(Some).ok_or(io::ErrorKind::InvalidData.into())
    }

    /// Reserves the buffers for the next message if it needs any. Returns false if there are none for a row, which
    /// is then passed on as it arrives.
    pub(super) fn reserve_next_message(&mut self) -> io::Result<bool> {
        if !self.bytes.is_full() {
            return Ok(true);
        }
        let header = self.next_header()?;
        let received = self.bytes.len() - self.result_bytes;
        let missing = header.map_or(HEADER_BYTES, |header| header.length) - received;
        if self.bytes.try_reserve(missing, Purpose::Answer) {
            return Ok(true);
        }
        let Some(header) = header.filter(|header| header.kind == b'D') else {
            return Err(io::ErrorKind::OutOfMemory.into());
        };
        self.begin_large_row(header)?;
        Ok(false)
    }

    /// Copies the body of a message to the scratch buffer, unless it is not looked at.
    fn copy_body(&mut self, kind: u8, body: Range<usize>) {
        let is_ignored = matches!(kind, b'D' | b'N');
        self.bytes.copy(if is_ignored { body.start..body.start } else { body }, &mut self.scratch);
    }

    /// Keeps a processed message, which is at `range` of the received bytes, if it belongs to the result. Otherwise
    /// removes it.
    fn keep_or_discard(&mut self, header: MessageHeader, range: Range<usize>) -> io::Result<()> {
        if is_result_message(header.kind) {
            self.result_bytes = range.end;
            self.result_messages.push(range);
            return Ok(());
        }
        self.bytes.remove(range);
        self.count_discarded(header.length)
    }

    fn count_discarded(&mut self, bytes: usize) -> io::Result<()> {
        self.discarded_bytes += bytes;
        if self.discarded_bytes > MAX_DISCARDED_BYTES {
            let error = EndlessReply { discarded_bytes: self.discarded_bytes };
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        Ok(())
    }

    /// Begins to discard a notice of which a part is received.
    fn begin_notice(&mut self, header: MessageHeader) -> io::Result<()> {
        if header.kind == b'N' {
            self.count_discarded(header.length)?;
            self.remaining_notice_bytes = header.length;
            self.discard_notice_bytes();
        }
        Ok(())
    }

    fn discard_notice_bytes(&mut self) {
        let count = self.remaining_notice_bytes.min(self.bytes.len() - self.result_bytes);
        self.bytes.remove(self.result_bytes..self.result_bytes + count);
        self.remaining_notice_bytes -= count;
    }

    /// Validates the start of a large row. The row can then be passed on in chunks, without buffering all of
    /// it.
    fn check_large_row(&mut self, header: MessageHeader) -> io::Result<()> {
        let is_large_row = self.expected == ExpectedReply::QueryResult
            && header.kind == b'D'
            && header.length > MAX_BUFFERED_ROW_BYTES;
        if is_large_row && self.row_start().is_some() {
            self.begin_large_row(header)?;
        }
        Ok(())
    }

    /// Returns the column count and the column length of the row that is being received.
    fn row_start(&self) -> Option<[u8; 6]> {
        self.bytes.array(self.result_bytes + HEADER_BYTES)
    }

    /// Validates the start of a row that is passed on in chunks, and keeps the received part of it.
    fn begin_large_row(&mut self, header: MessageHeader) -> io::Result<()> {
        let is_valid = self.is_valid_row_start(header);
        if !is_valid || self.result_messages.len() != 1 || self.sqlstate.is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let received = self.result_bytes..self.bytes.len();
        self.remaining_row_bytes = Some(header.length - received.len());
        self.result_bytes = received.end;
        self.result_messages.push(received);
        Ok(())
    }

    /// Returns whether a row has one column, which fills the row.
    fn is_valid_row_start(&self, header: MessageHeader) -> bool {
        let Some([0, 1, column_length @ ..]) = self.row_start() else { return false };
        u32::from_be_bytes(column_length) as usize + ROW_OVERHEAD_BYTES == header.length
    }

    /// Processes a message whose body is in `scratch`. Returns `None` if the protocol does not allow the
    /// message here.
    fn process_message(&mut self, header: MessageHeader) -> Option<()> {
        let expects_result = self.expected == ExpectedReply::QueryResult;
        let has_no_error = self.sqlstate.is_none();
        let body = &self.scratch[..];
        let is_valid = match (header.kind, self.result_messages.len()) {
            (b'S', _) => return self.process_parameter(),
            (b'E', 0..RESULT_MESSAGES) => return self.process_error(),
            (b'Z', _) => return self.process_ready(),
            (b'R', _) => {
                let is_first =
                    !expects_result && has_no_error && !std::mem::replace(&mut self.is_authenticated, true);
                is_first && body == [0; 4]
            }
            (b'N', _) => true,
            (b'K', _) => !expects_result && has_no_error && self.is_authenticated,
            (b'T', 0) => expects_result && has_no_error && postgres::is_single_column_description(body),
            (b'D', 1) => has_no_error && self.is_valid_row_start(header),
            (b'C', 2) => has_no_error && postgres::is_command_tag(body),
            _ => false,
        };
        is_valid.then_some(())
    }

    fn process_error(&mut self) -> Option<()> {
        if self.sqlstate.is_some() {
            return None;
        }
        let sqlstate = postgres::parse_sqlstate(&self.scratch)?;
        // A query that fails after the first message of the result was executed, whatever its SQLSTATE says.
        self.sqlstate = Some(if self.result_messages.is_empty() { sqlstate } else { INTERNAL_ERROR });
        Some(())
    }

    fn process_ready(&mut self) -> Option<()> {
        self.is_ready = true;
        let is_complete = match self.expected {
            ExpectedReply::QueryResult => self.result_messages.len() == RESULT_MESSAGES,
            ExpectedReply::Startup => self.is_authenticated,
        };
        let is_valid_status = matches!(self.scratch[..], [b'I' | b'T' | b'E']);
        ((self.sqlstate.is_some() || is_complete) && is_valid_status).then_some(())
    }

    fn process_parameter(&mut self) -> Option<()> {
        // A load report that cannot be parsed is ignored and does not make the reply invalid.
        let is_load_report = self.scratch.starts_with(b"stats\0");
        let Some((name, value)) = postgres::parse_parameter_status(&self.scratch) else {
            return is_load_report.then_some(());
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

    /// Returns the number of bytes of a large row that are not received yet; `None` unless a large row has
    /// begun.
    pub(super) fn remaining_row_bytes(&self) -> Option<usize> {
        self.remaining_row_bytes
    }

    pub(super) fn bytes_mut(&mut self) -> &mut BufferChain {
        &mut self.bytes
    }

    /// Returns the CommandComplete message, buffer by buffer; `None` until it is received.
    pub(super) fn command_complete(&self) -> Option<impl Iterator<Item = &[u8]>> {
        let range = self.result_messages.get(RESULT_MESSAGES - 1)?;
        Some(self.bytes.slices(range.clone()))
    }
}
