//! The receiving side of a client connection: received bytes with the times at which they were read,
//! detection of a disconnected client, and the graceful close.
//!
//! While a request is in flight, all that the client sends is read, since a close is behind it. Up to
//! [`MAX_READ_AHEAD_BYTES`] of it are kept, as far as the buffer pool admits; the rest is a [`PipelineOverflow`].

use std::collections::VecDeque;
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::{ioctl_fionread, retry_on_intr};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

use super::message_discarder::{InvalidLength, MessageDiscarder};
use super::pipeline_overflow::{PipelineOverflow, SENT_TOO_FAR_AHEAD};
use super::query_counter::QueryCounter;
use super::rejections::Rejection;
use crate::net::buffers::{
    self, BufferChain, BufferPool, BufferReservation, Demand, Purpose, MAX_CLIENT_SEND_BUFFER_BYTES,
};
use crate::net::driver::ClientHandle;
use crate::net::retry::retry_if_interrupted;
use crate::net::turn::{charge, Work};

/// Reads within this time of each other share one record; the difference does not matter for a request's
/// timeout.
const READ_MERGE_INTERVAL: Duration = Duration::from_millis(2);
/// Largest number of bytes that are kept of what a client sends while a request is in flight.
const MAX_READ_AHEAD_BYTES: usize = 256 * 1024;
/// Number of bytes by which the buffers for what a client sends ahead grow.
const READ_AHEAD_STEP_BYTES: usize = 4 * 1024;
/// Largest number of records of reads. Beyond it, two that are close to each other in time become one.
const MAX_READ_RECORDS: usize = 32;
/// Time without a byte after which the client has sent all that it had written before.
const BACKLOG_GAP: Duration = Duration::from_millis(10);
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

/// Bytes that a client may have written while its connection was not read.
struct Backlog {
    /// Largest number of such bytes: those that were received, and those in the client's send buffer.
    bytes: usize,
    /// Time since which the connection was not read.
    since: Instant,
    /// Number of bytes of the message that had been read until then.
    read_before: usize,
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
    /// Bytes that the client may have written while the connection was not read; `None` once they are read.
    backlog: Option<Backlog>,
    /// Time at which the first byte of the message that is being received was read.
    message_began_at: Instant,
    /// Whether the client has let the proxy wait for a part of that message.
    is_written_slowly: bool,
    /// Messages behind `bytes` that were discarded; `None` while all are kept.
    overflow: Option<PipelineOverflow>,
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
        Self {
            stream,
            bytes: pool.chain(),
            reads: VecDeque::new(),
            queries: QueryCounter::default(),
            backlog: None,
            message_began_at: Instant::now(),
            is_written_slowly: false,
            overflow: None,
        }
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
        let is_within_message = !self.bytes.is_empty();
        let began_at = Instant::now();
        let bytes = match self.backlog {
            Some(_) => self.read_backlog().await?,
            None => self.bytes.read_from(&self.stream).await?,
        };
        if is_within_message {
            self.is_written_slowly |= began_at.elapsed() >= BACKLOG_GAP;
        } else {
            self.message_began_at = Instant::now();
        }
        let read_at = self.arrival_time(bytes);
        let is_mergeable =
            |last: &&mut ReadRecord| read_at.saturating_duration_since(last.read_at) < READ_MERGE_INTERVAL;
        match self.reads.back_mut().filter(is_mergeable) {
            Some(last) => last.bytes += bytes,
            None => self.reads.push_back(ReadRecord { bytes, read_at }),
        }
        if self.reads.len() > MAX_READ_RECORDS {
            self.merge_closest_reads();
        }
        Ok(bytes)
    }

    /// Merges the two neighbouring records with the least time between them. The earlier time counts, so that no
    /// request gets more time than its client has left.
    fn merge_closest_reads(&mut self) {
        let gap = |index: &usize| self.reads[index + 1].read_at.duration_since(self.reads[*index].read_at);
        let closest = (0..self.reads.len() - 1).min_by_key(gap);
        if let Some(later) = closest.and_then(|index| self.reads.remove(index + 1)) {
            self.reads[closest.unwrap_or_default()].bytes += later.bytes;
        }
    }

    /// Removes the records of the last `bytes` bytes that were read.
    fn forget_latest_reads(&mut self, bytes: usize) {
        let mut remaining = bytes;
        while let Some(last) = self.reads.back_mut().filter(|_| remaining > 0) {
            let removed = remaining.min(last.bytes);
            remaining -= removed;
            last.bytes -= removed;
            if last.bytes == 0 {
                self.reads.pop_back();
            }
        }
    }

    /// Merges the records of all reads. To be called while all received bytes belong to one message that is not
    /// complete: only its last byte counts.
    pub(super) fn join_reads(&mut self) {
        let Some(mut joined) = self.reads.pop_back() else { return };
        joined.bytes += self.reads.drain(..).map(|read| read.bytes).sum::<usize>();
        self.reads.push_back(joined);
    }

    /// Lets the message that is being received use the buffers of a reservation.
    pub(super) fn attach(&mut self, reservation: BufferReservation) {
        self.bytes.attach(reservation);
    }

    /// Returns the reserved buffers that are not used yet to the pool.
    pub(super) fn drop_reservation(&mut self) {
        self.bytes.drop_reservation();
    }

    /// Returns the demand for buffers such as those that are reserved for this client; `None` without a reservation.
    pub(super) fn demand_for_reserved_buffers(&self) -> Option<Demand> {
        self.bytes.reservation().map(BufferReservation::demand)
    }

    /// Reads once like [`Self::read`]. Ends the backlog when the client sends nothing for [`BACKLOG_GAP`].
    async fn read_backlog(&mut self) -> io::Result<usize> {
        loop {
            match timeout(BACKLOG_GAP, self.bytes.read_from(&self.stream)).await {
                Ok(read) => return read,
                // After a process pause, bytes are there although nothing was read in time.
                Err(_) if self.unread_bytes() > 0 => {}
                Err(_) => {
                    self.backlog = None;
                    return self.bytes.read_from(&self.stream).await;
                }
            }
        }
    }

    /// Returns the time that counts as the arrival of `bytes` bytes that were just read.
    fn arrival_time(&mut self, bytes: usize) -> Instant {
        let Some(backlog) = self.backlog.take() else { return Instant::now() };
        if bytes > backlog.bytes {
            return Instant::now();
        }
        let since = backlog.since;
        let rest = backlog.bytes - bytes;
        self.backlog = (rest > 0).then_some(Backlog { bytes: rest, ..backlog });
        since
    }

    /// Records that the connection was not read since `since`. What the client may have written meanwhile counts as
    /// received then, so that the wait counts against the time of its request. That is more than the kernel has
    /// received: the rest is in the client's send buffer, of which this process learns nothing.
    pub(super) fn resume_reading(&mut self, since: Instant) {
        let bytes = self.unread_bytes() + MAX_CLIENT_SEND_BUFFER_BYTES;
        let read_before = self.bytes.len();
        let backlog = self.backlog.take().unwrap_or(Backlog { bytes, since, read_before });
        self.backlog = Some(Backlog { bytes, ..backlog });
    }

    /// Returns the earliest time at which the client may have written what it sends now; `None` if that is the
    /// present.
    pub(super) fn backlog_since(&self) -> Option<Instant> {
        self.backlog.as_ref().map(|backlog| backlog.since)
    }

    /// Returns the time that the client needs, from when the connection was not read, for the rest of a message of
    /// `length` bytes at the pace until then; `None` if it has never let the proxy wait for a part of the message.
    pub(super) fn time_to_write_rest(&self, length: usize) -> Option<Duration> {
        let (paused_at, read_bytes) = match &self.backlog {
            Some(backlog) => (backlog.since, backlog.read_before),
            None => (Instant::now(), self.bytes.len()),
        };
        let read_time = paused_at.saturating_duration_since(self.message_began_at);
        let missing_bytes = length.saturating_sub(read_bytes);
        self.is_written_slowly.then(|| read_time.mul_f64(missing_bytes as f64 / read_bytes.max(1) as f64))
    }

    /// Removes and returns the buffers that are reserved for this client and not used yet.
    pub(super) fn take_reservation(&mut self) -> Option<BufferReservation> {
        self.bytes.take_reservation()
    }

    /// Returns the number of bytes that the kernel has received and that were not read.
    pub(super) fn unread_bytes(&self) -> usize {
        ioctl_fionread(&*self.stream).ok().and_then(|bytes| usize::try_from(bytes).ok()).unwrap_or(0)
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
        self.is_written_slowly = false;
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
        let bytes = self.bytes.split_to(count);
        self.bytes.drop_reservation();
        ReceivedMessage { bytes, received_at }
    }

    /// Waits until the client has closed its connection. Meanwhile reads all that the client sends.
    pub(super) async fn wait_until_disconnected(&mut self) {
        while self.read_ahead().await.is_ok_and(|bytes| bytes > 0) {}
    }

    /// Reads once, and keeps what was read as far as the limits admit. Returns the number of bytes; 0 is the end of
    /// the stream.
    pub(super) async fn read_ahead(&mut self) -> io::Result<usize> {
        if self.overflow.is_none() {
            let may_keep = self.bytes.len() < MAX_READ_AHEAD_BYTES;
            let has_room = !self.bytes.is_full()
                || may_keep && self.bytes.try_reserve(READ_AHEAD_STEP_BYTES, Purpose::ReadAhead);
            if has_room {
                return self.read().await;
            }
            self.begin_overflow(SENT_TOO_FAR_AHEAD);
        }
        let overflow = self.overflow.as_mut().expect("the overflow was begun above");
        let discardable = overflow.discardable_bytes();
        if discardable > buffers::BUFFER_BYTES {
            let bytes =
                buffers::discard_from(&self.stream, discardable, overflow.received_mut().pool()).await?;
            overflow.skip(bytes);
            return Ok(bytes);
        }
        // Nothing is awaited between the read and the discard: this call may be cancelled while it waits.
        charge(Work::Message).await;
        let bytes = overflow.received_mut().read_from(&self.stream).await?;
        overflow.discard_received();
        Ok(bytes)
    }

    /// Moves the message that is not complete, and all behind it, to the overflow. Its requests get `rejection`.
    pub(super) fn begin_overflow(&mut self, rejection: Rejection) {
        self.queries.count(&self.bytes);
        let kept = self.queries.counted_bytes();
        let mut rest = self.bytes.split_to(kept);
        std::mem::swap(&mut rest, &mut self.bytes);
        self.forget_latest_reads(rest.len());
        self.overflow = Some(PipelineOverflow::new(rest, rejection));
    }

    /// Returns the overflow once all messages that were kept are consumed.
    pub(super) fn overflow(&mut self) -> Option<&mut PipelineOverflow> {
        self.overflow.take_if(|overflow| overflow.is_over() && self.bytes.is_empty());
        self.overflow.as_mut().filter(|_| self.bytes.is_empty())
    }

    /// Discards received bytes up to the end of a message, and returns its kind; `None` if its end has not been
    /// received. Messages of the overflow follow those that were kept.
    pub(super) async fn discard_message(
        &mut self,
        discarder: &mut MessageDiscarder,
    ) -> Result<Option<u8>, InvalidLength> {
        charge(Work::Message).await;
        self.reads.clear();
        self.queries = QueryCounter::default();
        discarder.next_kind(&mut self.bytes)
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
        self.bytes.clear();
        let mut remaining = MAX_LINGER_BYTES;
        while remaining > 0 {
            match buffers::discard_from(&self.stream, remaining, self.bytes.pool()).await {
                Ok(read) if read > 0 => remaining = remaining.saturating_sub(read),
                _ => return,
            }
        }
    }
}
