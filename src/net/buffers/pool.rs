//! The buffer pool, and the admission of what needs more than one buffer.
//!
//! Every buffer belongs to a chain. The first buffer of a chain needs no reservation: there are as many of them as
//! the process has connections, which its memory budget counts. Each further buffer is charged to the purpose for
//! which it was reserved, from the reservation until the buffer is released, whichever chain it is moved to.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::{Mutex, Notify};

use super::arena::{Arena, Buffer, BUFFER_BYTES};
use super::chain::BufferChain;
use super::discard::MAX_DISCARDED_BYTES;
use super::large_messages::{AwaitedGuard, LargeMessages};
use super::purpose::{Arrival, Purpose};
use super::reservation::BufferReservation;
use super::usage::PoolUsage;

/// Size of a buffer with the entries for it in the lists of its chain and of its segment, in bytes.
pub(super) const BUFFER_COST_BYTES: usize = BUFFER_BYTES + 128;
/// Share of a purpose that messages may fill of which a part has not arrived. A client that stops in the middle
/// of a message then keeps no memory from those that have arrived.
const PARTIAL_SHARE: f64 = 0.5;
/// Share of the pool that the only reservation for a purpose may fill.
pub(super) const MAX_SINGLE_SHARE: f64 = 0.75;

/// Pool of buffers. Clones refer to the same pool.
#[derive(Clone)]
pub struct BufferPool(Rc<Shared>);

struct Shared {
    /// First buffers of chains. They are apart, since one of a client that has stopped would keep the memory of the
    /// reserved buffers beside it.
    first_buffers: RefCell<Arena>,
    reserved_buffers: RefCell<Arena>,
    /// Target of reads whose bytes are discarded. One buffer serves all connections.
    discard_buffer: RefCell<Vec<u8>>,
    accounts: [Account; Purpose::ALL.len()],
    large_messages: LargeMessages,
    /// Notified when a message begins to wait.
    wait_begun: Notify,
    /// Number of buffers that may be reserved.
    max_buffers: usize,
    /// Share of `max_buffers` that this process may use, from 0 to 1.
    share: Cell<f64>,
}

/// Reserved buffers for one purpose, and the messages that wait for some, in the order of arrival.
#[derive(Default)]
struct Account {
    /// Held by the complete message at the head of the queue; later ones wait for the lock in order.
    complete_queue: Mutex<()>,
    /// Held by the partial message at the head of the queue; later ones wait for the lock in order.
    partial_queue: Mutex<()>,
    reserved_buffers: Cell<usize>,
    /// Number of messages that wait for a reservation.
    waiting: Cell<usize>,
    /// Notified when buffers are released or the process's share of the pool changes.
    released: Notify,
}

/// Counts a message among those that wait for a reservation until it is dropped.
pub(super) struct WaitingGuard<'a>(&'a Account);

impl<'a> WaitingGuard<'a> {
    pub(super) fn new(pool: &'a BufferPool, purpose: Purpose) -> Self {
        let account = pool.account(purpose);
        account.waiting.set(account.waiting.get() + 1);
        pool.0.wait_begun.notify_waiters();
        Self(account)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

/// A buffer with the purpose to which it is charged.
pub(super) struct ChargedBuffer {
    buffer: Buffer,
    /// `None` for the buffer that a chain holds without a reservation.
    purpose: Option<Purpose>,
}

impl ChargedBuffer {
    pub(super) fn bytes(&self) -> &[u8] {
        self.buffer.bytes()
    }

    pub(super) fn bytes_mut(&mut self) -> &mut [u8] {
        self.buffer.bytes_mut()
    }

    pub(super) fn is_uncharged(&self) -> bool {
        self.purpose.is_none()
    }
}

impl Default for BufferPool {
    /// Creates a pool without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl BufferPool {
    /// Creates a pool of which `max_bytes` bytes can be reserved.
    pub fn new(max_bytes: usize) -> Self {
        Self(Rc::new(Shared {
            first_buffers: RefCell::default(),
            reserved_buffers: RefCell::default(),
            discard_buffer: RefCell::new(vec![0; MAX_DISCARDED_BYTES]),
            accounts: Default::default(),
            large_messages: LargeMessages::default(),
            wait_begun: Notify::new(),
            max_buffers: max_bytes / BUFFER_COST_BYTES,
            share: Cell::new(1.0),
        }))
    }

    /// Waits until the pool has `buffers` buffers for a message, and reserves all of them at once. Messages
    /// that each held only a part of their buffers could block each other indefinitely. Returns `None` at once if
    /// the pool is too small for the message.
    pub async fn reserve(
        &self,
        buffers: usize,
        purpose: Purpose,
        arrival: Arrival,
    ) -> Option<BufferReservation> {
        let account = self.account(purpose);
        let _waiting = WaitingGuard::new(self, purpose);
        let queue = match arrival {
            Arrival::Complete => &account.complete_queue,
            Arrival::Partial => &account.partial_queue,
        };
        let _queue_head = queue.lock().await;
        let is_very_long = purpose == Purpose::VeryLongMessage;
        let _awaited = is_very_long.then(|| AwaitedGuard::new(self.large_messages(), buffers));
        loop {
            let released = account.released.notified();
            if buffers > self.share_in_buffers(MAX_SINGLE_SHARE) {
                return None;
            }
            if self.fits(buffers, purpose, arrival) {
                break;
            }
            released.await;
        }
        self.charge(purpose, buffers);
        Some(BufferReservation::new(self.clone(), purpose, buffers))
    }

    /// Reserves buffers without waiting. Returns `None` if they do not fit.
    pub fn try_reserve(&self, buffers: usize, purpose: Purpose) -> Option<BufferReservation> {
        let mut reservation = BufferReservation::new(self.clone(), purpose, 0);
        reservation.try_extend(buffers).then_some(reservation)
    }

    /// Reserves buffers in place of `bytes` bytes that are kept outside the pool. Returns `None` if they do not fit.
    pub fn try_reserve_bytes(&self, bytes: usize, purpose: Purpose) -> Option<BufferReservation> {
        self.try_reserve(bytes.div_ceil(BUFFER_BYTES), purpose)
    }

    /// Limits this process to a share of the pool, from 0 to 1. Another process uses the rest.
    pub fn set_share(&self, share: f64) {
        self.0.share.set(share);
        self.notify_waiting();
    }

    /// Sets whether the memory of idle buffers is returned to the system, now and whenever buffers become idle. The
    /// allocator then maps no further memory of this size but takes it from its heap, which it can seldom return: only
    /// a process that is about to end should set this.
    pub fn set_returns_idle_memory(&self, returns_idle_memory: bool) {
        for arena in self.arenas() {
            arena.borrow_mut().set_returns_idle_segments(returns_idle_memory);
        }
    }

    /// Creates an empty chain that acquires its buffers from this pool.
    pub fn chain(&self) -> BufferChain {
        BufferChain::new(self.clone())
    }

    /// Returns the number of idle buffers.
    pub fn idle_buffers(&self) -> usize {
        self.arenas().map(|arena| arena.borrow().idle_buffers()).into_iter().sum()
    }

    /// Returns how much of the pool is in use.
    pub fn usage(&self) -> PoolUsage {
        let reserved = |purpose| self.reserved(purpose) * BUFFER_COST_BYTES;
        let messages =
            [Purpose::ShortMessage, Purpose::LongMessage, Purpose::LargeMessage, Purpose::VeryLongMessage];
        PoolUsage {
            message_bytes: messages.into_iter().map(reserved).sum(),
            read_ahead_bytes: reserved(Purpose::ReadAhead),
            answer_bytes: reserved(Purpose::Answer),
            request_bytes: reserved(Purpose::Request),
            max_bytes: self.share_in_buffers(1.0).saturating_mul(BUFFER_COST_BYTES),
            allocated_bytes: self.arenas().map(|arena| arena.borrow().allocated_bytes()).into_iter().sum(),
            waiting: self.0.accounts.iter().map(|account| account.waiting.get()).sum(),
        }
    }

    /// Returns a buffer: one of a reservation, if it has one left, else one without a charge.
    pub(super) fn acquire(&self, reservation: Option<&mut BufferReservation>) -> ChargedBuffer {
        let purpose = reservation.and_then(BufferReservation::take_buffer);
        ChargedBuffer { buffer: self.arena_of(purpose).borrow_mut().acquire(), purpose }
    }

    /// Takes a buffer back. Its charge goes to the reservation it came from, if that is given.
    pub(super) fn release(&self, buffer: ChargedBuffer, reservation: Option<&mut BufferReservation>) {
        self.arena_of(buffer.purpose).borrow_mut().release(buffer.buffer);
        let Some(purpose) = buffer.purpose else { return };
        match reservation.filter(|reservation| reservation.purpose() == purpose) {
            Some(reservation) => reservation.add(1),
            None => self.uncharge(purpose, 1),
        }
    }

    pub(super) fn discard_buffer(&self) -> &RefCell<Vec<u8>> {
        &self.0.discard_buffer
    }

    pub(super) fn large_messages(&self) -> &LargeMessages {
        &self.0.large_messages
    }

    /// Returns the notification of released buffers for messages of this purpose.
    pub(super) fn released(&self, purpose: Purpose) -> &Notify {
        &self.account(purpose).released
    }

    /// Returns the number of buffers that are reserved for this purpose.
    pub(super) fn reserved(&self, purpose: Purpose) -> usize {
        self.account(purpose).reserved_buffers.get()
    }

    /// Returns the number of buffers that are reserved for any purpose.
    pub(super) fn total_reserved(&self) -> usize {
        self.0.accounts.iter().map(|account| account.reserved_buffers.get()).sum()
    }

    pub(super) fn charge(&self, purpose: Purpose, buffers: usize) {
        let reserved = &self.account(purpose).reserved_buffers;
        reserved.set(reserved.get() + buffers);
    }

    pub(super) fn uncharge(&self, purpose: Purpose, buffers: usize) {
        let reserved = &self.account(purpose).reserved_buffers;
        reserved.set(reserved.get() - buffers);
        if buffers > 0 {
            self.notify_waiting();
        }
    }

    /// Returns whether a message waits for a reservation for this purpose.
    pub(super) fn is_awaited(&self, purpose: Purpose) -> bool {
        self.account(purpose).waiting.get() > 0
    }

    /// Returns the notification of messages that begin to wait.
    pub(super) fn wait_begun(&self) -> &Notify {
        &self.0.wait_begun
    }

    pub(super) fn notify_waiting(&self) {
        let waiting = self.0.accounts.iter().filter(|account| account.waiting.get() > 0);
        waiting.for_each(|account| account.released.notify_waiters());
    }

    /// Returns whether `buffers` buffers can be reserved now: within the share of their purpose, or a larger share
    /// if there is no other reservation for that purpose, and within the pool.
    pub(super) fn fits(&self, buffers: usize, purpose: Purpose, arrival: Arrival) -> bool {
        let share = match (purpose, arrival) {
            // A very long message never fits into the socket buffer, so that none of them is complete.
            (Purpose::VeryLongMessage, _) | (_, Arrival::Complete) => purpose.max_share(),
            (_, Arrival::Partial) => purpose.max_share() * PARTIAL_SHARE,
        };
        let reserved = self.reserved(purpose);
        let share = if reserved == 0 { MAX_SINGLE_SHARE } else { share };
        reserved + buffers <= self.share_in_buffers(share)
            && self.total_reserved() + buffers <= self.share_in_buffers(1.0)
            && (purpose != Purpose::VeryLongMessage || self.admits_very_long(reserved + buffers))
    }

    fn arenas(&self) -> [&RefCell<Arena>; 2] {
        [&self.0.first_buffers, &self.0.reserved_buffers]
    }

    /// Returns the arena of buffers that are charged to a purpose, or to none.
    fn arena_of(&self, purpose: Option<Purpose>) -> &RefCell<Arena> {
        match purpose {
            Some(_) => &self.0.reserved_buffers,
            None => &self.0.first_buffers,
        }
    }

    fn account(&self, purpose: Purpose) -> &Account {
        &self.0.accounts[purpose as usize]
    }

    /// Returns the number of buffers that all processes together may reserve.
    pub(super) fn max_buffers(&self) -> usize {
        self.0.max_buffers
    }

    /// Returns a share of the part of the pool that this process may use, in buffers.
    pub(super) fn share_in_buffers(&self, share: f64) -> usize {
        (self.0.max_buffers as f64 * self.0.share.get() * share) as usize
    }
}

#[cfg(test)]
mod tests;
