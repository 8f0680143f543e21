//! The end of a client connection at the end of a graceful shutdown, and of one that is never idle while the process
//! is out of service.
//!
//! The time limit of each request ends before the process does. From then on a connection task serves no further
//! request. It rejects the requests that the process has received and not served, in order and without the
//! routing engine, whose steps would take longer than the time that is left. The requests may wait behind others
//! on their connection, for buffers, or in the socket. Their bytes are discarded as they are read, so that a
//! statement of any length needs no buffers.

use std::io;

use pipittack_core::graceful_shutdown::{IdleState, REJECTION_INTERVAL};
use tokio::time::sleep;

use super::connection::{Connection, Flow, MESSAGE_TIMEOUT};
use super::message_discarder::{InvalidLength, MessageDiscarder};
use super::rejections::{Rejection, Rejections};
use super::service_phase::ServicePhase;

/// Text of the errors that a client gets at the end of a graceful shutdown.
pub(super) const SHUTTING_DOWN: &str = "the proxy is shutting down";

/// Error for the requests that are received at the end of a graceful shutdown.
const REJECTION: Rejection = Rejection { code: "57P03", text: SHUTTING_DOWN };
/// Error for the requests of a client that is sent away because the process is out of service.
const OUT_OF_SERVICE_REJECTION: Rejection = Rejection { code: "57P03", text: "the proxy is out of service" };

/// Responses to the messages that were received, and what follows them.
struct FinalRejections {
    responses: Rejections,
    /// Whether further messages may be complete.
    may_follow: bool,
}

impl Connection<'_> {
    /// Rejects each request that was received and not served: one by one while there is time, and the rest at
    /// once. Returns when the connection may be closed: between requests, and at the end of the drain while a
    /// message or the first request is awaited.
    pub(super) async fn reject_received_requests(&mut self) -> io::Result<()> {
        self.inbound.drop_reservation();
        let mut discarder = MessageDiscarder::default();
        let mut count = 0;
        loop {
            let is_spread = self.shared.spreads_rejections();
            let FinalRejections { responses, may_follow } =
                self.next_rejections(&mut discarder, is_spread).await;
            count += responses.count();
            if !responses.bytes().is_empty() {
                self.no_request_guard = None;
                if is_spread {
                    sleep(REJECTION_INTERVAL).await;
                }
                self.write(responses.bytes()).await?;
            }
            if responses.ends_connection() {
                break;
            }
            if !may_follow && self.inbound.overflow().is_some() {
                match self.answer_overflow().await? {
                    Flow::Continue => continue,
                    Flow::End => break,
                }
            }
            let is_partial = discarder.is_within_message() || !self.inbound.bytes().is_empty();
            if !may_follow && !self.read_before_end(is_partial).await? {
                break;
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
    async fn next_rejections(
        &mut self,
        discarder: &mut MessageDiscarder,
        only_first: bool,
    ) -> FinalRejections {
        let is_out_of_service = self.shared.phase.out_of_service_since().is_some();
        let mut responses =
            Rejections::new(if is_out_of_service { OUT_OF_SERVICE_REJECTION } else { REJECTION });
        loop {
            match self.inbound.discard_message(discarder).await {
                Ok(Some(kind)) => responses.reject(kind),
                Ok(None) => return FinalRejections { responses, may_follow: false },
                Err(InvalidLength) => responses.end("08P01", "invalid message length"),
            }
            if only_first || responses.ends_connection() {
                return FinalRejections { responses, may_follow: true };
            }
        }
    }

    /// Reads more bytes. Returns false once the connection may be closed.
    async fn read_before_end(&mut self, is_partial: bool) -> io::Result<bool> {
        let may_close = !is_partial && self.idle_state() != IdleState::NoRequestYet;
        if may_close && !self.inbound.has_unread_bytes() {
            return Ok(false);
        }
        let is_out_of_service = self.shared.phase.out_of_service_since().is_some();
        let mut phase = self.shared.phase.subscribe();
        tokio::select! {
            biased;
            read = self.inbound.read() => return Ok(read? > 0),
            _ = phase.wait_for(|phase| *phase == ServicePhase::DrainEnded) => {}
            () = sleep(MESSAGE_TIMEOUT), if is_out_of_service => {}
        }
        if is_partial {
            self.fail_connection("57P01", SHUTTING_DOWN).await?;
        }
        Ok(false)
    }
}
