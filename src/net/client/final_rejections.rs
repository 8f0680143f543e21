//! The end of a client connection at the end of a graceful shutdown.
//!
//! The time limit of each request ends before the process does. From then on a connection task serves no further
//! request. It rejects the requests that the process has received and not served, in order and without the
//! routing engine, whose steps would take longer than the time that is left. The requests may wait behind others
//! on their connection, for buffers, or in the socket. Their bytes are discarded as they are read, so that a
//! statement of any length needs no buffers.

use std::io;

use pipittack_core::graceful_shutdown::{IdleState, REJECTION_INTERVAL};
use tokio::time::sleep;

use super::connection::Connection;
use super::inbound::Inbound;
use super::service_phase::ServicePhase;
use crate::net::postgres::{self, Severity};

/// Text of the errors that a client gets at the end of a graceful shutdown.
pub(super) const SHUTTING_DOWN: &str = "the proxy is shutting down";

/// Message whose bytes are discarded as they arrive.
struct DiscardedMessage {
    kind: u8,
    /// Bytes that are still to be discarded.
    remaining_bytes: usize,
}

/// Discards the messages of a connection.
#[derive(Default)]
struct MessageDiscarder {
    /// Message of which a part is discarded; `None` between messages.
    current: Option<DiscardedMessage>,
}

/// The length field of a message is invalid.
struct InvalidLength;

impl MessageDiscarder {
    /// Discards received bytes up to the end of a message. Returns the kind of that message; `None` if its end
    /// has not been received.
    async fn next_kind(&mut self, inbound: &mut Inbound) -> Result<Option<u8>, InvalidLength> {
        let message = match self.current.take() {
            Some(message) => message,
            None => match begin_message(inbound)? {
                Some(message) => message,
                None => return Ok(None),
            },
        };
        let count = message.remaining_bytes.min(inbound.bytes().len());
        inbound.take_message(count).await;
        let remaining_bytes = message.remaining_bytes - count;
        if remaining_bytes == 0 {
            return Ok(Some(message.kind));
        }
        self.current = Some(DiscardedMessage { remaining_bytes, ..message });
        Ok(None)
    }
}

/// Parses the header of the next message. Returns `None` if it has not been received.
fn begin_message(inbound: &Inbound) -> Result<Option<DiscardedMessage>, InvalidLength> {
    let Some(header) = inbound.bytes().array(0) else { return Ok(None) };
    let header = postgres::parse_header(header).filter(|header| header.length <= postgres::MAX_QUERY_BYTES);
    let header = header.ok_or(InvalidLength)?;
    Ok(Some(DiscardedMessage { kind: header.kind, remaining_bytes: header.length }))
}

/// Responses to messages that were received.
#[derive(Default)]
struct Rejections {
    bytes: Vec<u8>,
    /// Number of requests that the responses reject.
    count: usize,
    next: NextRejections,
}

/// What follows [`Rejections`].
#[derive(Default, PartialEq)]
enum NextRejections {
    /// Further messages may be complete.
    MayFollow,
    /// No further message is complete.
    #[default]
    NeedBytes,
    /// The connection ends.
    End,
}

impl Rejections {
    /// Appends the response to a message of this kind.
    fn reject(&mut self, kind: u8) {
        match kind {
            b'Q' | b'F' => {
                self.count += 1;
                postgres::push_error(&mut self.bytes, Severity::Error, "57P03", SHUTTING_DOWN, None);
                postgres::push_ready_for_query(&mut self.bytes);
            }
            b'S' => postgres::push_ready_for_query(&mut self.bytes),
            b'X' => self.next = NextRejections::End,
            _ => self.end("57P01", SHUTTING_DOWN),
        }
    }

    fn end(&mut self, code: &str, text: &str) {
        postgres::push_error(&mut self.bytes, Severity::Fatal, code, text, None);
        self.next = NextRejections::End;
    }
}

impl Connection<'_> {
    /// Rejects each request that was received and not served: one by one while there is time, and the rest at
    /// once. Returns when the connection may be closed: between requests, and at the end of the drain while a
    /// message or the first request is awaited.
    pub(super) async fn reject_received_requests(&mut self) -> io::Result<()> {
        self.reservation = None;
        let mut discarder = MessageDiscarder::default();
        let mut count = 0;
        loop {
            let is_spread = self.shared.spreads_rejections();
            let rejections = self.next_rejections(&mut discarder, is_spread).await;
            count += rejections.count;
            if !rejections.bytes.is_empty() {
                self.no_request_guard = None;
                if is_spread {
                    sleep(REJECTION_INTERVAL).await;
                }
                self.write(&rejections.bytes).await?;
            }
            let is_partial = discarder.current.is_some() || !self.inbound.bytes().is_empty();
            match rejections.next {
                NextRejections::MayFollow => {}
                NextRejections::NeedBytes if self.read_before_end(is_partial).await? => {}
                NextRejections::NeedBytes | NextRejections::End => break,
            }
        }
        if count > 0 {
            log::debug!(
                "client connection {}: {count} requests rejected at the end of the shutdown",
                self.id
            );
        }
        Ok(())
    }

    /// Returns the responses to the messages that were received completely, or to the first of them.
    async fn next_rejections(&mut self, discarder: &mut MessageDiscarder, only_first: bool) -> Rejections {
        let mut rejections = Rejections::default();
        loop {
            match discarder.next_kind(&mut self.inbound).await {
                Ok(Some(kind)) => rejections.reject(kind),
                Ok(None) => return rejections,
                Err(InvalidLength) => rejections.end("08P01", "invalid message length"),
            }
            if rejections.next == NextRejections::End {
                return rejections;
            }
            if only_first {
                rejections.next = NextRejections::MayFollow;
                return rejections;
            }
        }
    }

    /// Reads more bytes. Returns false once the connection may be closed.
    async fn read_before_end(&mut self, is_partial: bool) -> io::Result<bool> {
        let may_close = !is_partial && self.idle_state() != IdleState::NoRequestYet;
        if may_close && !self.inbound.has_unread_bytes() {
            return Ok(false);
        }
        let mut phase = self.shared.phase.subscribe();
        tokio::select! {
            biased;
            read = self.inbound.read() => return Ok(read? > 0),
            _ = phase.wait_for(|phase| *phase == ServicePhase::DrainEnded) => {}
        }
        if is_partial {
            self.fail_connection("57P01", SHUTTING_DOWN).await?;
        }
        Ok(false)
    }
}
