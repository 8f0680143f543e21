//! Buffers for statements that need more than one: how long a statement waits for them, and when it gives them up.

use std::pin::pin;
use std::time::Duration;

use tokio::time::{sleep, timeout_at, Instant};

use super::connection::Connection;
use super::pipeline_overflow::NO_MEMORY;
use crate::net::buffers::{Arrival, BufferReservation, Demand, Purpose, MAX_CLIENT_SEND_BUFFER_BYTES};

/// Longest time that a statement under 128 KiB waits for buffers. Its time limit is at its end and not known yet;
/// later, its rejection could come too late.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(200);
/// Part of its class's deadline that a client waits for a response at the least, in percent. A longer statement waits
/// for buffers that long, as it may have been written completely when its wait began.
const MIN_CLIENT_TIMEOUT_PERCENT: u32 = 40;
/// Part of the time that a slow client needs for the rest of its statement, at the pace so far, which does not count as a
/// wait, and the most that does not. Its statement was not complete as the wait began.
const SLOW_WRITE_SHARE: f64 = 0.5;
const MAX_SLOW_WRITE_TIME: Duration = Duration::from_secs(1);
/// Further wait for a slow client: half a second is the most by which a response may be late.
const SLOW_WRITE_EXTRA_WAIT: Duration = Duration::from_millis(500);
/// Deadline of a write if no class of writes is known.
const DEFAULT_WRITE_DEADLINE: Duration = Duration::from_secs(1);
/// Interval at which a waiting statement is checked for having arrived completely.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Wait for memory from which it counts against the time of a statement.
const MIN_COUNTED_WAIT: Duration = Duration::from_millis(1);
/// Wait for memory from which a log line tells of it.
const LOGGED_WAIT: Duration = Duration::from_millis(100);
/// Time without a received byte after which a statement gives its buffers up to another one.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

impl Connection<'_> {
    /// Reserves the buffers, or the next of them, for a statement of `length` bytes, of which a part was received.
    /// Returns false without a reservation if there is none in time: the statement then counts as overflow and is
    /// rejected. Also returns false when a graceful shutdown ends the requests. The wait counts against the time of
    /// the statement.
    pub(super) async fn reserve_memory(&mut self, length: usize) -> bool {
        let began_at = Instant::now();
        let shared = self.shared;
        let reservation = tokio::select! {
            biased;
            reservation = self.memory_in_time(length) => reservation,
            () = shared.requests_ended() => return false,
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

    async fn memory_in_time(&mut self, length: usize) -> Option<BufferReservation> {
        match Purpose::of_message(length) {
            Purpose::VeryLongMessage => self.very_long_memory(length).await,
            Purpose::LargeMessage => self.next_step_of_large(length).await,
            purpose => self.short_memory(length, purpose).await,
        }
    }

    /// Reserves all buffers of a very long statement. Waits without a limit while its client cannot have written all
    /// of it, since the time of a request begins with its last byte.
    async fn very_long_memory(&self, length: usize) -> Option<BufferReservation> {
        let missing_buffers = self.missing_buffers(length);
        let missing_bytes = length - self.inbound.bytes().len();
        let pool = &self.shared.pool;
        let mut reservation = pin!(pool.reserve(missing_buffers, Purpose::VeryLongMessage, Arrival::Partial));
        let mut deadline = None;
        loop {
            let next_check = Instant::now() + ARRIVAL_CHECK_INTERVAL;
            if let Ok(reservation) = timeout_at(next_check, &mut reservation).await {
                return reservation;
            }
            let unreceived_bytes = missing_bytes.saturating_sub(self.inbound.unread_bytes());
            if unreceived_bytes <= MAX_CLIENT_SEND_BUFFER_BYTES {
                deadline.get_or_insert(Instant::now() + self.max_wait(length));
            }
            if deadline.is_some_and(|deadline| Instant::now() >= deadline) {
                return None;
            }
        }
    }

    /// Reserves the next buffers of a large statement.
    async fn next_step_of_large(&mut self, length: usize) -> Option<BufferReservation> {
        let deadline = self.inbound.backlog_since().unwrap_or_else(Instant::now) + self.max_wait(length);
        let mut reservation = match self.inbound.take_reservation() {
            Some(reservation) if reservation.has_further_steps() => reservation,
            _ => self.shared.pool.begin_large_message(self.missing_buffers(length))?,
        };
        if !reservation.try_next_step() {
            timeout_at(deadline, reservation.next_step()).await.ok()?;
        }
        Some(reservation)
    }

    /// Returns the longest time that a statement of `length` bytes waits for buffers while it may have been written
    /// completely.
    fn max_wait(&self, length: usize) -> Duration {
        let deadline = self.shared.classes.borrow().shortest_write_deadline();
        let wait = deadline.unwrap_or(DEFAULT_WRITE_DEADLINE) * MIN_CLIENT_TIMEOUT_PERCENT / 100;
        match self.inbound.time_to_write_rest(length) {
            None => wait,
            Some(time) => {
                wait + SLOW_WRITE_EXTRA_WAIT + time.mul_f64(SLOW_WRITE_SHARE).min(MAX_SLOW_WRITE_TIME)
            }
        }
    }

    async fn short_memory(&self, length: usize, purpose: Purpose) -> Option<BufferReservation> {
        let pool = &self.shared.pool;
        let missing_buffers = self.missing_buffers(length);
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
