//! Reading the next message of a client connection: its time limits, and what ends the wait for it.

use std::io;
use std::time::Duration;

use pipittack_core::graceful_shutdown::IdleState;
use tokio::time::{sleep_until, Instant};

use super::connection::{boxed, Connection, Stage, MESSAGE_TIMEOUT, TOO_MANY_CLIENTS};
use super::connection_table::IdleReason;
use super::inbound::ReceivedMessage;
use super::statement_memory::has_stalled;
use crate::net::postgres;

/// Time limit for the first request, counted from the accept, of a client that connects while too many
/// clients have sent no request.
const SHORT_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for receiving a message of any length.
const LONG_MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Length in bytes of the longest message that must be complete within [`MESSAGE_TIMEOUT`]. A longer message
/// must make progress within that time.
const MAX_SHORT_MESSAGE_BYTES: usize = 144 * 1024;

/// Result of reading the next message.
pub(super) enum NextMessage {
    /// A complete message.
    Received(ReceivedMessage),
    /// Messages that were sent too far ahead and discarded.
    Overflow,
    /// A graceful shutdown serves no more requests.
    RequestsEnded,
    /// The client has disconnected, or the connection is to be closed.
    End,
}

/// Result of waiting for more bytes from the client.
enum Wait {
    /// Number of bytes read; 0 means that the client closed the connection.
    Read(usize),
    /// The connection is idle and is to be closed: it was evicted, or its idle deadline has passed.
    Close,
    /// A deadline has passed.
    TimedOut,
    /// A graceful shutdown serves no more requests, and a part of a message was received.
    RequestsEnded,
}

impl Connection<'_> {
    /// Reads the next complete message. When a message does not fit into one buffer, waits for a reservation
    /// before it reads the rest.
    pub(super) async fn next_message(&mut self) -> io::Result<NextMessage> {
        let mut deadline = None;
        let mut reserved_at = None;
        let mut is_long = false;
        self.inbound.drop_reservation();
        loop {
            if self.shared.requests_have_ended(&mut self.inbound) || self.served_last_request() {
                return Ok(NextMessage::RequestsEnded);
            }
            if self.inbound.overflow().is_some() {
                return Ok(NextMessage::Overflow);
            }
            if let Some(header) = self.inbound.bytes().array(0) {
                let header = postgres::parse_header(header);
                let length = header.map(|header| header.length).filter(|n| *n <= postgres::MAX_QUERY_BYTES);
                let Some(length) = length else {
                    self.fail_connection("08P01", "invalid message length").await?;
                    return Ok(NextMessage::End);
                };
                if self.inbound.bytes().len() >= length {
                    return Ok(NextMessage::Received(self.inbound.take_message(length).await));
                }
                if self.inbound.bytes().is_full() {
                    if !boxed(|| self.reserve_memory(length)).await {
                        continue;
                    }
                    is_long = length > MAX_SHORT_MESSAGE_BYTES;
                    reserved_at.get_or_insert_with(Instant::now);
                }
            }
            self.inbound.join_reads();
            let is_between_messages = self.inbound.bytes().is_empty();
            let _idle_guard =
                is_between_messages.then(|| self.shared.connections.mark_idle(self.idle_reason(), self.id));
            if !is_between_messages && (deadline.is_none() || is_long) {
                let now = Instant::now();
                let started_at = reserved_at.unwrap_or(now);
                deadline = Some((now + MESSAGE_TIMEOUT).min(started_at + LONG_MESSAGE_TIMEOUT));
            }
            if !self.read_more(deadline).await? {
                return Ok(NextMessage::End);
            }
        }
    }

    /// Reads more bytes, until `deadline` at the latest, so that an incomplete message does not occupy the
    /// connection indefinitely. Returns false if the client has disconnected or the connection is to be
    /// closed.
    pub(super) async fn read_more(&mut self, deadline: Option<Instant>) -> io::Result<bool> {
        let state = self.idle_state();
        let applies_short_deadline = self.short_deadline && state == IdleState::NoRequestYet;
        let first_request_deadline = applies_short_deadline
            .then(|| self.shared.driver.clock().to_instant(self.accepted_at) + SHORT_FIRST_REQUEST_TIMEOUT);
        let deadline = deadline.into_iter().chain(first_request_deadline).min();
        match self.wait_for_bytes(state, deadline).await? {
            Wait::Read(count) => Ok(count > 0),
            Wait::Close => self.read_received_before_close().await,
            Wait::RequestsEnded => Ok(true),
            Wait::TimedOut if state == IdleState::PartialMessage => {
                self.fail_connection("08P01", "a message was not complete in time").await?;
                Ok(false)
            }
            Wait::TimedOut => {
                if applies_short_deadline && self.stage == Stage::Ready {
                    self.fail_connection("53300", TOO_MANY_CLIENTS).await?;
                }
                Ok(false)
            }
        }
    }

    async fn wait_for_bytes(&mut self, state: IdleState, deadline: Option<Instant>) -> io::Result<Wait> {
        let is_idle = state != IdleState::PartialMessage;
        let is_ready = self.stage == Stage::Ready;
        let demand = self.inbound.demand_for_reserved_buffers();
        Ok(tokio::select! {
            biased;
            read = self.inbound.read() => Wait::Read(read?),
            () = self.shared.idle_deadline(state, is_ready, self.accepted_at), if is_idle => Wait::Close,
            () = self.eviction.notified(), if is_idle => Wait::Close,
            () = self.shared.requests_ended(), if is_ready && !is_idle => Wait::RequestsEnded,
            () = has_stalled(demand.as_ref()), if demand.is_some() => Wait::TimedOut,
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => Wait::TimedOut,
        })
    }

    /// Reads what the kernel has received, before the connection is closed. The runtime learns of received
    /// bytes only when it polls, so a request that arrived in time may still be unread. Returns false if
    /// nothing was received.
    async fn read_received_before_close(&mut self) -> io::Result<bool> {
        if self.inbound.has_unread_bytes() {
            return Ok(self.inbound.read().await? > 0);
        }
        self.may_be_handed_over = true;
        Ok(false)
    }

    /// Returns whether the client is to be sent away, and the requests that had been received when that began have been
    /// served.
    fn served_last_request(&mut self) -> bool {
        if !self.shared.sends_busy_clients_away() {
            self.remaining_requests = None;
            return false;
        }
        let is_within_message = !self.inbound.bytes().is_empty();
        let received = self.inbound.waiting_queries() + usize::from(is_within_message);
        *self.remaining_requests.get_or_insert(received) == 0
    }

    fn idle_reason(&self) -> IdleReason {
        if self.no_request_guard.is_none() {
            IdleReason::BetweenRequests
        } else {
            IdleReason::NoRequestYet
        }
    }

    pub(super) fn idle_state(&self) -> IdleState {
        match self.stage {
            _ if !self.inbound.bytes().is_empty() => IdleState::PartialMessage,
            Stage::Ready if self.no_request_guard.is_none() => IdleState::BetweenRequests,
            _ => IdleState::NoRequestYet,
        }
    }
}
