//! Messages of a client that exceed the buffers, because it sends far ahead of its responses or the memory for
//! long statements is in use.
//!
//! While a request is in flight the proxy reads all that its client sends, since a close is behind it: the kernel
//! reports a close only when everything before it fits into the socket's buffer. What exceeds the buffers is
//! discarded as it arrives. Its messages are remembered by kind, and each request among them is rejected when its
//! turn comes, with the promise that a retry is safe.

use std::collections::VecDeque;
use std::io;

use tokio::time::timeout;

use super::connection::{Connection, Flow, MESSAGE_TIMEOUT};
use super::message_discarder::{InvalidLength, MessageDiscarder};
use super::rejections::{Rejection, Rejections};
use crate::net::buffers::{BufferChain, BufferReservation, Purpose};

/// Largest number of runs of messages of one kind. The connection of a client that sends more ahead ends behind
/// them.
const MAX_RUNS: usize = 1024;
/// Number of runs from which the memory for further ones is reserved.
const MAX_UNRESERVED_RUNS: usize = 64;
/// Largest number of messages that are answered in one write.
const MAX_MESSAGES_PER_WRITE: usize = 16;
/// Error for requests that were sent too far ahead.
pub(super) const SENT_TOO_FAR_AHEAD: Rejection =
    Rejection { code: "53300", text: "too many requests were sent ahead of their responses" };
/// Error for a statement that gets no buffers in time.
pub(super) const NO_MEMORY: Rejection =
    Rejection { code: "53300", text: "no memory is free for a statement of this length" };

/// Messages of one kind that follow each other.
struct Run {
    kind: u8,
    count: u32,
}

/// Discarded messages of a connection, in the order in which they arrived.
pub(super) struct PipelineOverflow {
    /// Error for the requests among the messages.
    rejection: Rejection,
    /// Received bytes that were not discarded yet.
    received: BufferChain,
    discarder: MessageDiscarder,
    runs: VecDeque<Run>,
    /// Reservation for more than [`MAX_UNRESERVED_RUNS`] runs.
    runs_reservation: Option<BufferReservation>,
    /// Whether no further message can be remembered or parsed, so that the connection ends behind the others.
    is_broken: bool,
}

impl PipelineOverflow {
    /// Starts with the bytes that were received behind the messages that are kept.
    pub(super) fn new(received: BufferChain, rejection: Rejection) -> Self {
        let mut overflow = Self {
            rejection,
            received,
            discarder: MessageDiscarder::default(),
            runs: VecDeque::new(),
            runs_reservation: None,
            is_broken: false,
        };
        overflow.discard_received();
        overflow
    }

    /// Returns the chain into which further bytes are read before [`Self::discard_received`].
    pub(super) fn received_mut(&mut self) -> &mut BufferChain {
        &mut self.received
    }

    /// Returns the number of bytes that can be discarded without a look at them.
    pub(super) fn discardable_bytes(&self) -> usize {
        if self.is_broken {
            usize::MAX
        } else {
            // The last byte is received, so that the end of the message is seen.
            self.discarder.remaining_bytes().saturating_sub(1)
        }
    }

    /// Records that so many bytes were discarded.
    pub(super) fn skip(&mut self, bytes: usize) {
        self.discarder.skip(bytes);
    }

    /// Discards the received messages and remembers their kinds.
    pub(super) fn discard_received(&mut self) {
        while !self.is_broken {
            match self.discarder.next_kind(&mut self.received) {
                Ok(Some(kind)) => self.remember(kind),
                Ok(None) => return,
                Err(InvalidLength) => self.is_broken = true,
            }
        }
        self.received.clear();
    }

    /// Returns whether all messages are answered and the next byte starts a new one.
    pub(super) fn is_over(&self) -> bool {
        self.runs.is_empty()
            && !self.is_broken
            && !self.discarder.is_within_message()
            && self.received.is_empty()
    }

    /// Returns the responses to the next messages. They end the connection behind the last one that can be
    /// answered.
    pub(super) fn next_rejections(&mut self) -> Rejections {
        let mut rejections = Rejections::new(self.rejection);
        for _ in 0..MAX_MESSAGES_PER_WRITE {
            let Some(run) = self.runs.front_mut() else { break };
            rejections.reject(run.kind);
            run.count -= 1;
            if run.count == 0 {
                self.runs.pop_front();
            }
            if rejections.ends_connection() {
                return rejections;
            }
        }
        if self.runs.is_empty() && self.is_broken {
            rejections.end("08P01", "too many messages were sent ahead of their responses");
        }
        rejections
    }

    fn remember(&mut self, kind: u8) {
        if let Some(run) = self.runs.back_mut().filter(|run| run.kind == kind && run.count < u32::MAX) {
            run.count += 1;
        } else if self.runs.len() < MAX_RUNS && self.has_memory_for_run() {
            self.runs.push_back(Run { kind, count: 1 });
        } else {
            self.is_broken = true;
        }
    }

    /// Returns whether another run can be remembered. Reserves the memory for all further ones.
    fn has_memory_for_run(&mut self) -> bool {
        if self.runs.len() >= MAX_UNRESERVED_RUNS && self.runs_reservation.is_none() {
            let bytes = MAX_RUNS * size_of::<Run>();
            self.runs_reservation = self.received.pool().try_reserve_bytes(bytes, Purpose::ReadAhead);
            return self.runs_reservation.is_some();
        }
        true
    }
}

impl Connection<'_> {
    /// Rejects the requests that exceed the buffers. Returns once the next byte of the client
    /// starts a new message.
    pub(super) async fn answer_overflow(&mut self) -> io::Result<Flow> {
        let mut count = 0;
        while let Some(overflow) = self.inbound.overflow() {
            let rejections = overflow.next_rejections();
            count += rejections.count();
            if rejections.bytes().is_empty() && !rejections.ends_connection() {
                let Ok(read) = timeout(MESSAGE_TIMEOUT, self.inbound.read_ahead()).await else {
                    return self.fail_connection("08P01", "a message was not complete in time").await;
                };
                if read? == 0 {
                    return Ok(Flow::End);
                }
                continue;
            }
            self.write(rejections.bytes()).await?;
            if rejections.ends_connection() {
                return Ok(Flow::End);
            }
        }
        self.shared.log_overflow(self.id, count);
        Ok(Flow::Continue)
    }
}

#[cfg(test)]
mod tests;
