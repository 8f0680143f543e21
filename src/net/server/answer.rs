//! Queries and answers as they pass through the driver unread.

use std::io::{self, IoSlice};
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection_pool::PooledConnection;
use super::reply::{Reply, REPLY_CONTINUATION_TIMEOUT};
use super::ServerSide;
use crate::api::ServerId;
use crate::net::buffers::{write_all, BufferChain, BufferReservation};
use crate::net::postgres;

/// Time without a byte after which the rest of a large value is given up.
const LARGE_VALUE_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a large value that are read before they are passed on.
const LARGE_VALUE_CHUNK_BYTES: usize = 32 * 1024;

/// A client's query: the message as it came, and where its timeout is written.
pub struct Query {
    /// The complete message, from its type to the zero byte that ends its text.
    pub message: BufferChain,
    /// Where in it the digits of `d` are.
    pub timeout_range: Range<usize>,
    /// The buffers that it occupies, where one does not hold it.
    pub reservation: Option<BufferReservation>,
}

impl Query {
    /// Writes the query with the remaining time in place of the client's timeout.
    pub(super) async fn write(&self, stream: &TcpStream, time_left: Duration) -> io::Result<()> {
        let length = self.message.len();
        let timeout_ms = time_left.as_millis().max(1).to_string();
        let header = postgres::encode_query_header(length - self.timeout_range.len() + timeout_ms.len());
        let mut slices = vec![IoSlice::new(&header)];
        slices.extend(self.message.slices(header.len()..self.timeout_range.start).map(IoSlice::new));
        slices.push(IoSlice::new(timeout_ms.as_bytes()));
        slices.extend(self.message.slices(self.timeout_range.end..length).map(IoSlice::new));
        write_all(stream, &mut slices).await
    }
}

/// A value as a data server sent it: RowDescription, DataRow and CommandComplete; complete or, where it is
/// large, as far as it was received when its begin was. What the server says of itself beside them is not
/// part of it.
pub struct Answer {
    bytes: BufferChain,
    messages: Vec<Range<usize>>,
    rest: Option<RestOfValue>,
}

impl Answer {
    pub(super) fn new(bytes: BufferChain, messages: Vec<Range<usize>>) -> Self {
        Self { bytes, messages, rest: None }
    }

    pub(super) fn with_rest(self, rest: RestOfValue) -> Self {
        Self { rest: Some(rest), ..self }
    }

    /// The bytes that were received, buffer by buffer.
    pub fn slices(&self) -> impl Iterator<Item = &[u8]> {
        self.messages.iter().flat_map(|range| self.bytes.slices(range.clone()))
    }

    /// Whether more bytes follow.
    pub fn has_more(&self) -> bool {
        self.rest.is_some()
    }

    /// Frees the buffers, once their bytes have been passed on.
    pub fn clear(&mut self) {
        self.messages.clear();
        self.bytes.clear();
    }

    /// The next bytes of a large value as they come; `None` at its end.
    ///
    /// # Errors
    ///
    /// Those of the socket, a timeout, and `InvalidData`: the value is incomplete then.
    pub async fn next_chunk(&mut self) -> io::Result<Option<BufferChain>> {
        let Some(rest) = &mut self.rest else { return Ok(None) };
        let chunk = rest.next_chunk().await?;
        if chunk.is_none() {
            self.rest.take().into_iter().for_each(RestOfValue::finish);
        }
        Ok(chunk)
    }
}

/// What is still to come of a large value, on its connection. It is read as fast as the client takes it, so
/// that it occupies few buffers.
pub(super) struct RestOfValue {
    side: Rc<ServerSide>,
    server: ServerId,
    connection: PooledConnection,
    missing_row_bytes: usize,
    /// What follows the row.
    reply: Reply,
    /// CommandComplete was passed on.
    is_complete: bool,
}

impl RestOfValue {
    pub(super) fn new(
        side: &Rc<ServerSide>,
        server: ServerId,
        connection: PooledConnection,
        missing_row_bytes: usize,
    ) -> Self {
        let reply = Reply::after_row(side.buffers.chain());
        Self { side: side.clone(), server, connection, missing_row_bytes, reply, is_complete: false }
    }

    async fn next_chunk(&mut self) -> io::Result<Option<BufferChain>> {
        while !self.is_complete {
            if self.missing_row_bytes == 0 {
                if let Some(tag) = self.command_complete()? {
                    self.is_complete = true;
                    return Ok(Some(tag));
                }
            }
            let stream = &self.connection.stream;
            let bytes = self.reply.bytes_mut();
            if timeout(LARGE_VALUE_READ_TIMEOUT, bytes.read_from(stream)).await?? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.missing_row_bytes > 0 {
                while bytes.len() < LARGE_VALUE_CHUNK_BYTES
                    && bytes.try_read_from(stream).is_ok_and(|n| n > 0)
                {}
                let chunk = bytes.split_to(bytes.len().min(self.missing_row_bytes));
                self.missing_row_bytes -= chunk.len();
                return Ok(Some(chunk));
            }
        }
        Ok(None)
    }

    fn command_complete(&mut self) -> io::Result<Option<BufferChain>> {
        self.reply.process_messages()?;
        if self.reply.sqlstate().is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let Some(message) = self.reply.command_complete() else { return Ok(None) };
        let mut tag = self.side.buffers.chain();
        message.for_each(|slice| tag.extend(slice));
        Ok(Some(tag))
    }

    /// Reads the end of the reply in a task of its own, for the server's status and to reuse the connection.
    /// The task ends by its timeout; an error costs only the connection.
    fn finish(mut self) {
        spawn_local(async move {
            let read_to_end = async {
                while !self.reply.process_messages()? {
                    if self.reply.bytes_mut().read_from(&self.connection.stream).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Ok::<(), io::Error>(())
            };
            if timeout(REPLY_CONTINUATION_TIMEOUT, read_to_end).await.is_ok_and(|end| end.is_ok()) {
                let Self { side, server, connection, reply, .. } = self;
                side.driver.status_reported(server, reply.status(side.driver.clock()));
                if reply.is_connection_reusable() {
                    side.connections.give_back(server, connection);
                }
            }
        });
    }
}
