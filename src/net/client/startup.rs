//! The startup of a client connection.

use std::io;
use std::time::Duration;

use tokio::time::Instant;

use super::connection::{Connection, Flow, MESSAGE_TIMEOUT, TOO_MANY_CLIENTS};
use super::connection_table::IdleReason;
use super::service_phase::ServicePhase;
use crate::net::postgres::{self, Startup};

/// Time limit for receiving the startup packet of a client that is to be rejected. A slower client does not
/// get the rejection error.
const REJECTED_STARTUP_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest number of requests for encryption on a connection. A client asks for TLS and GSSAPI once each.
const MAX_ENCRYPTION_REQUESTS: usize = 4;
/// Size in bytes of the length field of a startup packet.
const LENGTH_BYTES: usize = 4;
/// Response to a request for encryption, which the proxy does not support.
const ENCRYPTION_DECLINED: &[u8] = b"N";
/// Error for a startup packet that gets no buffers in time.
const NO_STARTUP_MEMORY: &str = "no memory is free for a startup packet of this length";
/// Size in bytes of the shortest startup packet: the length field and the protocol version.
const MIN_STARTUP_BYTES: usize = 8;

impl Connection<'_> {
    /// Reads startup packets until one starts a session or ends the connection. Rejects the client if
    /// `at_limit` is true.
    pub(super) async fn run_startup(&mut self, at_limit: bool) -> io::Result<Flow> {
        let timeout = if at_limit { REJECTED_STARTUP_TIMEOUT } else { MESSAGE_TIMEOUT };
        let deadline = Instant::now() + timeout;
        let mut encryption_requests = 0;
        loop {
            let length =
                self.inbound.bytes().array::<LENGTH_BYTES>(0).map(|bytes| u32::from_be_bytes(bytes) as usize);
            if length.is_some_and(|n| !(MIN_STARTUP_BYTES..=postgres::MAX_STARTUP_BYTES).contains(&n)) {
                return self.fail_connection("08P01", "invalid length of startup packet").await;
            }
            if let Some(length) = length.filter(|_| self.inbound.bytes().is_full()) {
                if self.inbound.bytes().len() < length && !self.reserve_startup_memory(length, deadline).await
                {
                    self.shared.log_memory_rejection(self.id, NO_STARTUP_MEMORY);
                    return self.fail_connection("53300", NO_STARTUP_MEMORY).await;
                }
            }
            let Some(length) = length.filter(|n| self.inbound.bytes().len() >= *n) else {
                // A client that has sent part of its packet is slow but not idle, and must not be evicted.
                let is_idle = self.inbound.bytes().is_empty();
                let connections = &self.shared.connections;
                let _idle_guard = is_idle.then(|| connections.mark_idle(IdleReason::NoRequestYet, self.id));
                if !self.read_more(Some(deadline)).await? {
                    return Ok(Flow::End);
                }
                continue;
            };
            let packet = self.inbound.take_message(length).await.bytes;
            let body: Vec<u8> = packet.slices(LENGTH_BYTES..length).flatten().copied().collect();
            match postgres::parse_startup(&body) {
                Some(Startup::Encryption) => {
                    encryption_requests += 1;
                    if encryption_requests > MAX_ENCRYPTION_REQUESTS {
                        return self.fail_connection("08P01", "too many requests for encryption").await;
                    }
                    self.write(ENCRYPTION_DECLINED).await?;
                }
                Some(Startup::Session(minor_version)) => {
                    return self.begin_session(minor_version, at_limit).await
                }
                Some(Startup::Cancel) => return Ok(Flow::End), // the proxy sends no BackendKeyData
                Some(Startup::Unsupported(_)) | None => {
                    return self.fail_connection("0A000", "unsupported frontend protocol").await;
                }
            }
        }
    }

    async fn begin_session(&mut self, minor_version: u16, at_limit: bool) -> io::Result<Flow> {
        if at_limit {
            return self.fail_connection("53300", TOO_MANY_CLIENTS).await;
        }
        if self.shared.phase.current() == ServicePhase::OutOfService {
            return self.fail_connection("57P03", "the proxy is out of service").await;
        }
        self.write(&postgres::encode_startup_response(minor_version)).await?;
        Ok(Flow::Continue)
    }
}
