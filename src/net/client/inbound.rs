//! What a client sends: the bytes, when each was read, whether the client is still connected, and the orderly
//! close.
//!
//! Reads at most one buffer ahead.

use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::net::buffers::{self, BufferChain, BufferPool};
use crate::net::driver::ClientHandle;

/// Reads closer to each other than this are merged: it is too short to matter for a request's time.
const READ_MERGE_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a client that has sent more ahead than is read is checked for a close.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a closing connection is read after the last answer, so that the client gets that answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of bytes that are read in that time.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Bytes that were read at one time.
struct ReadRecord {
    bytes: usize,
    read_at: Instant,
}

/// A complete message, with the time at which its last byte was read.
pub(super) struct ReceivedMessage {
    pub bytes: BufferChain,
    pub received_at: Instant,
}

/// The receiving half of a client's connection.
pub(super) struct Inbound {
    stream: Rc<TcpStream>,
    bytes: BufferChain,
    /// The reads that `bytes` came with, oldest first.
    reads: VecDeque<ReadRecord>,
}

impl ClientHandle for TcpStream {
    /// Asks the system, which knows of a close before anything is read, even behind bytes that are not read
    /// yet.
    fn is_disconnected(&self) -> bool {
        let mut polled = [PollFd::new(self, PollFlags::RDHUP)];
        poll(&mut polled, Some(&Timespec::default())).is_ok_and(|ready| ready > 0)
    }
}

impl Inbound {
    pub(super) fn new(stream: Rc<TcpStream>, pool: &BufferPool) -> Self {
        Self { stream, bytes: pool.chain(), reads: VecDeque::new() }
    }

    /// What was read and is not used yet.
    pub(super) fn bytes(&self) -> &BufferChain {
        &self.bytes
    }

    /// Waits until the socket is readable and reads once; 0 is the end of the stream.
    pub(super) async fn read(&mut self) -> io::Result<usize> {
        let bytes = self.bytes.read_from(&self.stream).await?;
        let now = Instant::now();
        match self.reads.back_mut().filter(|last| now - last.read_at < READ_MERGE_INTERVAL) {
            Some(last) => last.bytes += bytes,
            None => self.reads.push_back(ReadRecord { bytes, read_at: now }),
        }
        Ok(bytes)
    }

    /// Takes the first `count` bytes out, with the time at which the last of them was read.
    pub(super) fn split_to(&mut self, count: usize) -> ReceivedMessage {
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

    /// Waits until the client has closed its connection. What it sends ahead meanwhile is read up to one
    /// buffer; the system buffers the rest.
    pub(super) async fn client_gone(&mut self) {
        loop {
            if self.bytes.len() < buffers::BUFFER_BYTES {
                if !self.read().await.is_ok_and(|bytes| bytes > 0) {
                    return;
                }
            } else if self.stream.is_disconnected() {
                return;
            } else {
                sleep(CLOSE_CHECK_INTERVAL).await;
            }
        }
    }

    /// Closes the connection in order: shuts down writing, then reads for a bounded time what the client
    /// still sends. A close over unread bytes would reset the connection, and the client could lose the last
    /// answer. What is read here was sent to a connection that had ended; its client sends it again on a new
    /// one.
    pub(super) async fn close(&mut self) {
        if SockRef::from(&*self.stream).shutdown(Shutdown::Write).is_err() {
            return; // the client has closed it
        }
        let _ = timeout(LINGER_TIMEOUT, self.discard_rest()).await;
    }

    async fn discard_rest(&mut self) {
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
