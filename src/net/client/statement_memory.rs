//! Buffers for statements that need more than one: how long a statement waits for them, and when it gives them up.

use std::time::Duration;

use tokio::time::{sleep, timeout_at, Instant};

use super::connection::Connection;
use super::pipeline_overflow::NO_MEMORY;
use crate::net::buffers::{Arrival, BufferReservation, Demand, Purpose};

/// Longest time that a statement waits for buffers. Its time limit is at its end and not known yet; later, its
/// rejection could come too late.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(200);
/// Length in bytes from which a statement waits without a limit. Its client cannot write its last byte, from which
/// its time counts, before the proxy reads on.
const LONG_STATEMENT_BYTES: usize = 128 * 1024;
/// Interval at which a waiting statement is checked for having arrived completely.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Wait for memory from which it counts against the time of a statement.
const MIN_COUNTED_WAIT: Duration = Duration::from_millis(1);
/// Wait for memory from which a log line tells of it.
const LOGGED_WAIT: Duration = Duration::from_millis(100);
/// Time without a received byte after which a statement gives its buffers up to another one.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

impl Connection<'_> {
    /// Reserves the buffers for a statement of `length` bytes, of which a part was received. Returns false without
    /// a reservation if there is none in time: the statement then counts as overflow and is rejected. Also
    /// returns false when a graceful shutdown ends the requests. The wait counts against the time of the
    /// statement.
    pub(super) async fn reserve_memory(&mut self, length: usize) -> bool {
        let began_at = Instant::now();
        let reservation = tokio::select! {
            reservation = self.memory_in_time(length) => reservation,
            () = self.shared.requests_ended() => return false,
        };
        let is_reserved = reservation.is_some();
        let waited = began_at.elapsed();
        if waited >= LOGGED_WAIT {
            self.shared.log_memory_wait(self.id, length, waited);
        }
        match reservation {
            Some(reservation) => {
                if waited >= MIN_COUNTED_WAIT {
                    self.inbound.resume_reading(began_at);
                }
                self.inbound.attach(reservation);
            }
            None => {
                self.shared.log_memory_rejection(self.id, NO_MEMORY.text);
                self.inbound.begin_overflow(NO_MEMORY);
            }
        }
        is_reserved
    }

    /// Reserves the buffers for a startup packet of `length` bytes, of which a part was received. Returns false if
    /// there are none until `deadline`.
    pub(super) async fn reserve_startup_memory(&mut self, length: usize, deadline: Instant) -> bool {
        let missing = self.missing_buffers(length);
        let reservation = self.shared.pool.reserve(missing, Purpose::of_message(length), Arrival::Partial);
        let reservation = timeout_at(deadline, reservation).await.ok().flatten();
        let is_reserved = reservation.is_some();
        reservation.into_iter().for_each(|reservation| self.inbound.attach(reservation));
        is_reserved
    }

    /// Returns the number of buffers that are missing for a message of `length` bytes.
    fn missing_buffers(&self, length: usize) -> usize {
        let received = self.inbound.bytes();
        received.missing_buffers(length.saturating_sub(received.len()))
    }

    async fn memory_in_time(&self, length: usize) -> Option<BufferReservation> {
        let pool = &self.shared.pool;
        let missing_buffers = self.missing_buffers(length);
        let purpose = Purpose::of_message(length);
        if length >= LONG_STATEMENT_BYTES {
            return pool.reserve(missing_buffers, purpose, Arrival::Partial).await;
        }
        let deadline = Instant::now() + RESERVATION_TIMEOUT;
        let missing_bytes = length - self.inbound.bytes().len();
        while Instant::now() < deadline {
            let has_arrived = self.inbound.unread_bytes() >= missing_bytes;
            let arrival = if has_arrived { Arrival::Complete } else { Arrival::Partial };
            let next_check = deadline.min(Instant::now() + ARRIVAL_CHECK_INTERVAL);
            let reservation = pool.reserve(missing_buffers, purpose, arrival);
            if let Ok(reservation) = timeout_at(next_check, reservation).await {
                return reservation;
            }
        }
        None
    }
}

/// Waits until a message with such buffers has received nothing for [`STALL_TIMEOUT`] and another one waits
/// for them.
pub(super) async fn has_stalled(demand: Option<&Demand>) {
    sleep(STALL_TIMEOUT).await;
    match demand {
        Some(demand) => demand.wait().await,
        None => std::future::pending().await,
    }
}
