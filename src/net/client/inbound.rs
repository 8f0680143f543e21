//! The receiving side of a client connection: received bytes with the times at which they were read,
//! detection of a disconnected client, and the graceful close.
//!
//! At most one buffer is read ahead of the message that is being processed.

use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::retry_on_intr;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::query_counter::QueryCounter;
use crate::net::buffers::{self, BufferChain, BufferPool};
use crate::net::driver::ClientHandle;
use crate::net::retry::retry_if_interrupted;
use crate::net::turn::{charge, Work};

/// Reads within this time of each other share one record; the difference does not matter for a request's
/// timeout.
const READ_MERGE_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a client is checked for a disconnect while its read-ahead buffer is full.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for reading and discarding what a client sends after the proxy has shut down writing. Without
/// these reads, the client could lose the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of bytes that are read within [`LINGER_TIMEOUT`].
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Number of bytes that were read at one time.
struct ReadRecord {
    bytes: usize,
    read_at: Instant,
}

/// A complete message and the time at which its last byte was read.
pub(super) struct ReceivedMessage {
    pub bytes: BufferChain,
    pub received_at: Instant,
}

/// The receiving side of a client connection.
pub(super) struct Inbound {
    stream: Rc<TcpStream>,
    bytes: BufferChain,
    /// Reads that delivered `bytes`, oldest first.
    reads: VecDeque<ReadRecord>,
    /// Complete queries in `bytes`.
    queries: QueryCounter,
}

impl ClientHandle for TcpStream {
    /// Asks the kernel, which reports a close even if received bytes before it have not been read.
    fn is_disconnected(&self) -> bool {
        let mut polled = [PollFd::new(self, PollFlags::RDHUP)];
        let ready = retry_on_intr(|| poll(&mut polled, Some(&Timespec::default())));
        ready.is_ok_and(|ready| ready > 0)
    }
}

impl Inbound {
    pub(super) fn new(stream: Rc<TcpStream>, pool: &BufferPool) -> Self {
        Self { stream, bytes: pool.chain(), reads: VecDeque::new(), queries: QueryCounter::default() }
    }

    /// Returns the bytes that were read and not consumed.
    pub(super) fn bytes(&self) -> &BufferChain {
        &self.bytes
    }

    /// Returns the number of complete queries that were read and not consumed, up to the first message that is
    /// incomplete.
    pub(super) fn waiting_queries(&mut self) -> usize {
        self.queries.count(&self.bytes)
    }

    /// Waits until the socket is readable and reads once. Returns the number of bytes; 0 is the end of the
    /// stream.
    pub(super) async fn read(&mut self) -> io::Result<usize> {
        let bytes = self.bytes.read_from(&self.stream).await?;
        let now = Instant::now();
        match self.reads.back_mut().filter(|last| now - last.read_at < READ_MERGE_INTERVAL) {
            Some(last) => last.bytes += bytes,
            None => self.reads.push_back(ReadRecord { bytes, read_at: now }),
        }
        Ok(bytes)
    }

    /// Returns whether the kernel has received bytes that were not read. The runtime learns of received bytes
    /// only when it polls.
    pub(super) fn has_unread_bytes(&self) -> bool {
        let socket = SockRef::from(&*self.stream);
        let unread = retry_if_interrupted(|| socket.peek(&mut [MaybeUninit::uninit()]));
        unread.is_ok_and(|count| count > 0)
    }

    /// Removes and returns a message, or a part of one: the first `count` bytes, with the time at which the last
    /// of them was read.
    pub(super) async fn take_message(&mut self, count: usize) -> ReceivedMessage {
        charge(Work::Message).await;
        self.queries.remove(&self.bytes, count);
        let mut remaining = count;
        let mut received_at = Instant::now();
        while let Some(first) = self.reads.front_mut().filter(|_| remaining > 0) {
            received_at = first.read_at;
            let used = remaining.min(first.bytes);
            remaining -= used;
            first.bytes -= used;
            if first.bytes == 0 {
                self.reads.pop_front();
            }
        }
        ReceivedMessage { bytes: self.bytes.split_to(count), received_at }
    }

    /// Waits until the client has closed its connection. Reads pipelined bytes meanwhile, up to one buffer;
    /// the rest stays in the kernel's socket buffer.
    pub(super) async fn wait_until_disconnected(&mut self) {
        loop {
            if self.bytes.len() < buffers::BUFFER_BYTES {
                if !self.read().await.is_ok_and(|bytes| bytes > 0) {
                    return;
                }
            } else if self.stream.is_disconnected() {
                return;
            } else {
                sleep(DISCONNECT_CHECK_INTERVAL).await;
            }
        }
    }

    /// Closes the connection gracefully: shuts down writing, then reads and discards further bytes for a
    /// bounded time. Closing a socket with unread bytes would reset the connection, and the client could lose
    /// the last response. The discarded bytes arrived after the connection had ended; the client sends those
    /// requests again on a new connection.
    pub(super) async fn close(&mut self) {
        if SockRef::from(&*self.stream).shutdown(Shutdown::Write).is_err() {
            return; // the client has closed the connection
        }
        let _ = timeout(LINGER_TIMEOUT, self.discard_input()).await;
    }

    async fn discard_input(&mut self) {
        let mut remaining = MAX_LINGER_BYTES;
        while remaining > 0 {
            self.bytes.clear();
            match self.bytes.read_from(&self.stream).await {
                Ok(read) if read > 0 => remaining = remaining.saturating_sub(read),
                _ => return,
            }
        }
    }
}
