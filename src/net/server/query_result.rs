//! Queries and query results, which the driver passes on without inspecting them.

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
use crate::net::buffers::{write_all, write_chain, BufferChain, Purpose};
use crate::net::driver::AttemptCommand;
use crate::net::postgres;

/// Time without a received byte after which reading the rest of a large result fails.
const LARGE_RESULT_READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest size of a chunk of a large row, in bytes. A chunk is smaller if fewer bytes are available.
const LARGE_RESULT_CHUNK_BYTES: usize = 32 * 1024;

/// A client's query: the received message, and the position of the timeout in it.
pub struct Query {
    /// The complete message, from the type byte to the zero byte that ends the text.
    pub message: BufferChain,
    /// Byte range in `message` of the digits of the statement's `d` field, the timeout in milliseconds.
    pub timeout_range: Range<usize>,
}

impl Query {
    /// Writes the query with the remaining time of the attempt in place of the client's timeout.
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

/// A data server's result of a query: the messages RowDescription, DataRow and CommandComplete as the server
/// sent them. Other messages, such as ParameterStatus, are left out. The result is either complete or, with a
/// large row, the first part, whose rest [`Self::next_chunk`] reads.
pub struct QueryResult {
    /// Received bytes that were not written yet.
    bytes: BufferChain,
    /// `None` if the result is complete.
    remaining: Option<Box<RemainingResult>>,
}

impl QueryResult {
    pub(super) fn new(bytes: BufferChain) -> Self {
        Self { bytes, remaining: None }
    }

    pub(super) fn with_remaining(self, remaining: RemainingResult) -> Self {
        Self { remaining: Some(Box::new(remaining)), ..self }
    }

    /// Returns whether [`Self::next_chunk`] has more bytes to read.
    pub fn has_more(&self) -> bool {
        self.remaining.is_some()
    }

    /// Writes the received bytes to a client, and behind them `end` if the result is complete. Returns the buffers
    /// of written bytes to the pool.
    ///
    /// # Errors
    ///
    /// Returns the error of the client's socket.
    pub async fn write_received(&mut self, stream: &TcpStream, end: &[u8]) -> io::Result<()> {
        if !self.has_more() {
            self.bytes.extend(end);
        }
        write_chain(stream, &mut self.bytes).await
    }

    /// Reads the next bytes of a large result. Returns `None` at the end of the result.
    ///
    /// # Errors
    ///
    /// Returns errors of the socket, a timeout, and `InvalidData` for an invalid reply. The result is then
    /// incomplete.
    pub async fn next_chunk(&mut self) -> io::Result<Option<BufferChain>> {
        let Some(remaining) = &mut self.remaining else { return Ok(None) };
        let chunk = remaining.next_chunk().await?;
        if chunk.is_none() {
            self.remaining.take().into_iter().for_each(|remaining| remaining.finish_in_background());
        }
        Ok(chunk)
    }
}

/// The rest of a large result, and the connection to the data server that sends the result. Each chunk is
/// read only after the previous chunk is written to the client, so that a large result occupies few buffers.
pub(super) struct RemainingResult {
    server_side: Rc<ServerSide>,
    server: ServerId,
    /// Time at which the attempt was sent.
    sent_at: Duration,
    connection: PooledConnection,
    /// Bytes of the row that are still to be read.
    remaining_row_bytes: usize,
    /// Messages that follow the row.
    reply: Reply,
    /// Session of the write that this result acknowledges, until its commit is reported to the driver; `None`
    /// for other results.
    uncommitted_session: Option<Rc<str>>,
    /// Whether CommandComplete was returned as the last chunk.
    is_complete: bool,
}

impl RemainingResult {
    pub(super) fn new(
        server_side: &Rc<ServerSide>,
        command: &AttemptCommand<Query>,
        connection: PooledConnection,
        remaining_row_bytes: usize,
        uncommitted_session: Option<Rc<str>>,
    ) -> Self {
        let reply = Reply::after_row(&server_side.buffers);
        Self {
            server_side: server_side.clone(),
            server: command.server,
            sent_at: command.sent_at,
            connection,
            remaining_row_bytes,
            reply,
            uncommitted_session,
            is_complete: false,
        }
    }

    async fn next_chunk(&mut self) -> io::Result<Option<BufferChain>> {
        while !self.is_complete {
            if self.remaining_row_bytes == 0 {
                if let Some(command_complete) = self.command_complete().await? {
                    self.is_complete = true;
                    self.report_commit();
                    return Ok(Some(command_complete));
                }
            }
            if self.remaining_row_bytes == 0 {
                self.reply.reserve_next_message()?;
            }
            let stream = &self.connection.stream;
            let bytes = self.reply.bytes_mut();
            // Without further buffers the chunk is one buffer long.
            let chunk_bytes = self.remaining_row_bytes.min(LARGE_RESULT_CHUNK_BYTES);
            bytes.try_reserve(chunk_bytes, Purpose::Answer);
            if timeout(LARGE_RESULT_READ_TIMEOUT, bytes.read_from(stream)).await?? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.remaining_row_bytes > 0 {
                while bytes.len() < LARGE_RESULT_CHUNK_BYTES
                    && !bytes.is_full()
                    && bytes.try_read_from(stream).is_ok_and(|n| n > 0)
                {}
                let chunk = bytes.split_to(bytes.len().min(self.remaining_row_bytes));
                self.remaining_row_bytes -= chunk.len();
                return Ok(Some(chunk));
            }
        }
        Ok(None)
    }

    async fn command_complete(&mut self) -> io::Result<Option<BufferChain>> {
        self.reply.process_messages().await?;
        if self.reply.sqlstate().is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let Some(message) = self.reply.command_complete() else { return Ok(None) };
        let mut command_complete = self.server_side.buffers.chain();
        message.for_each(|slice| command_complete.extend(slice));
        Ok(Some(command_complete))
    }

    /// Reports the commit of a session's write to the driver, with its position if that has arrived.
    fn report_commit(&mut self) {
        let Some(session) = self.uncommitted_session.take() else { return };
        let driver = &self.server_side.driver;
        let status = self.reply.status(&self.server_side.position_clock);
        driver.write_committed(&session, status.and_then(|status| status.position));
    }

    /// Spawns a task that reads the rest of the reply up to ReadyForQuery, reports the server's status and
    /// returns the connection to the pool. On an error or a timeout the task only closes the connection.
    fn finish_in_background(mut self) {
        spawn_local(async move {
            let read_to_end = async {
                while !self.reply.process_messages().await? {
                    self.reply.reserve_next_message()?;
                    if self.reply.bytes_mut().read_from(&self.connection.stream).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Ok::<(), io::Error>(())
            };
            if timeout(REPLY_CONTINUATION_TIMEOUT, read_to_end).await.is_ok_and(|end| end.is_ok()) {
                let Self { server_side, server, sent_at, connection, reply, .. } = self;
                if let Some(status) = reply.status(&server_side.position_clock) {
                    server_side.driver.status_reported(server, status, sent_at);
                }
                if reply.is_connection_reusable() {
                    server_side.connections.release(server, connection);
                }
            }
        });
    }
}
