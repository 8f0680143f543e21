//! The buffer pool, and the admission of messages that need more than one buffer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::{Mutex, Notify};

use super::chain::BufferChain;

/// Size of a buffer in bytes. Most statements and responses fit into one buffer.
pub const BUFFER_BYTES: usize = 8192;
/// Largest number of idle buffers that the pool keeps. Further buffers are freed on release.
const MAX_IDLE_BUFFERS: usize = 512;
/// Length in bytes of the shortest message that counts as very long.
const VERY_LONG_MESSAGE_BYTES: usize = 128 * 1024;

/// Share of a length class that messages may fill of which a part has not arrived. A client that stops in the middle
/// of a message then keeps no memory from those that have arrived.
const PARTIAL_SHARE: f64 = 0.5;
/// Share of the pool for what clients send ahead while a request of theirs is in flight.
const READ_AHEAD_SHARE: f64 = 0.125;

pub(super) type Buffer = Box<[u8; BUFFER_BYTES]>;

/// How much of a message has arrived when its buffers are reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// All of it is in the proxy or in the kernel's socket buffer.
    Complete,
    /// A part may never arrive.
    Partial,
}

/// Length class of a message that needs more than one buffer. Each class may fill only its own share of the
/// pool, so that neither class starves the other, or messages that fit into one buffer.
#[derive(Clone, Copy)]
enum LengthClass {
    Long,
    VeryLong,
}

impl LengthClass {
    fn of(bytes: usize) -> Self {
        if bytes >= VERY_LONG_MESSAGE_BYTES {
            Self::VeryLong
        } else {
            Self::Long
        }
    }

    /// Returns the share of the pool that messages of this class may fill.
    fn max_share(self) -> f64 {
        match self {
            Self::Long => 0.125,
            Self::VeryLong => 0.75,
        }
    }
}

/// Pool of buffers. Clones refer to the same pool.
#[derive(Clone)]
pub struct BufferPool(Rc<Shared>);

struct Shared {
    state: RefCell<PoolState>,
    long: Admission,
    very_long: Admission,
    /// Bytes that are reserved for what clients send ahead.
    read_ahead_bytes: Cell<usize>,
}

/// Admission of the messages of one length class, in the order of arrival.
#[derive(Default)]
struct Admission {
    /// Held by the complete message at the head of the queue; later ones wait for the lock in order.
    complete_queue: Mutex<()>,
    /// Held by the partial message at the head of the queue; later ones wait for the lock in order.
    partial_queue: Mutex<()>,
    reserved_bytes: Cell<usize>,
    /// Number of messages that wait for a reservation.
    waiting: Cell<usize>,
    /// Notified when a message begins to wait.
    wait_begun: Notify,
    /// Notified when a reservation is released or the process's share of the pool changes.
    released: Notify,
}

/// Counts a message among those that wait for a reservation until it is dropped.
struct WaitingGuard<'a>(&'a Admission);

impl<'a> WaitingGuard<'a> {
    fn new(admission: &'a Admission) -> Self {
        admission.waiting.set(admission.waiting.get() + 1);
        admission.wait_begun.notify_waiters();
        Self(admission)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

struct PoolState {
    idle: Vec<Buffer>,
    /// Size of the pool, in buffers, by which reservations are limited.
    max_buffers: usize,
    /// Share of `max_buffers` that this process may use, from 0 to 1.
    share: f64,
}

/// Reserved bytes of the pool for a message that needs more than one buffer; released when dropped.
pub struct BufferReservation {
    pool: BufferPool,
    class: LengthClass,
    bytes: usize,
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let admission = self.pool.admission(self.class);
        admission.reserved_bytes.set(admission.reserved_bytes.get() - self.bytes);
        admission.released.notify_waiters();
    }
}

impl BufferReservation {
    /// Waits until another message of the same length class waits for a reservation.
    pub async fn wanted_by_others(&self) {
        let admission = self.pool.admission(self.class);
        loop {
            let wait_begun = admission.wait_begun.notified();
            if admission.waiting.get() > 0 {
                return;
            }
            wait_begun.await;
        }
    }
}

/// Bytes of the pool that are reserved for what one client sends ahead; released when dropped.
pub struct ReadAheadReservation {
    pool: BufferPool,
    bytes: usize,
}

impl ReadAheadReservation {
    /// Raises the reservation to `bytes` bytes. Returns false, and changes nothing, if the share of the pool for
    /// such bytes is used up.
    pub fn try_extend_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        let reserved = &self.pool.0.read_ahead_bytes;
        if additional > 0 && reserved.get() + additional > self.pool.share_in_bytes(READ_AHEAD_SHARE) {
            return false;
        }
        reserved.set(reserved.get() + additional);
        self.bytes += additional;
        true
    }

    /// Lowers the reservation to `bytes` bytes, if it is higher.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        let reserved = &self.pool.0.read_ahead_bytes;
        reserved.set(reserved.get() - released);
        self.bytes -= released;
    }
}

impl Drop for ReadAheadReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

impl Default for BufferPool {
    /// Creates a pool without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl BufferPool {
    /// Creates a pool of at most `max_bytes` bytes, by which reservations are limited.
    pub fn new(max_bytes: usize) -> Self {
        let state = PoolState { idle: Vec::new(), max_buffers: max_bytes / BUFFER_BYTES, share: 1.0 };
        Self(Rc::new(Shared {
            state: RefCell::new(state),
            long: Admission::default(),
            very_long: Admission::default(),
            read_ahead_bytes: Cell::new(0),
        }))
    }

    /// Waits until the pool has room for a message of `bytes` bytes, and reserves all of it at once. Messages
    /// that each held only a part of their buffers could block each other indefinitely. A message of any
    /// length is admitted if no other one of its length class holds a reservation. Each socket may use a
    /// single buffer without a reservation.
    pub async fn reserve(&self, bytes: usize, arrival: Arrival) -> BufferReservation {
        let class = LengthClass::of(bytes);
        let admission = self.admission(class);
        let _waiting = WaitingGuard::new(admission);
        let queue = match arrival {
            Arrival::Complete => &admission.complete_queue,
            Arrival::Partial => &admission.partial_queue,
        };
        let _queue_head = queue.lock().await;
        loop {
            let released = admission.released.notified();
            let reserved = admission.reserved_bytes.get();
            if reserved == 0 || reserved + bytes <= self.max_bytes(class, arrival) {
                break;
            }
            released.await;
        }
        admission.reserved_bytes.set(admission.reserved_bytes.get() + bytes);
        BufferReservation { pool: self.clone(), class, bytes }
    }

    /// Creates an empty reservation for what a client sends ahead.
    pub fn read_ahead(&self) -> ReadAheadReservation {
        ReadAheadReservation { pool: self.clone(), bytes: 0 }
    }

    /// Limits this process to a share of the pool, from 0 to 1. Another process uses the rest.
    pub fn set_share(&self, share: f64) {
        self.0.state.borrow_mut().share = share;
        self.0.long.released.notify_waiters();
        self.0.very_long.released.notify_waiters();
    }

    /// Creates an empty chain that acquires its buffers from this pool.
    pub fn chain(&self) -> BufferChain {
        BufferChain::new(self.clone())
    }

    /// Returns the number of idle buffers.
    pub fn idle_buffers(&self) -> usize {
        self.0.state.borrow().idle.len()
    }

    pub(super) fn acquire(&self) -> Buffer {
        let mut state = self.0.state.borrow_mut();
        state.idle.pop().unwrap_or_else(|| Box::new([0; BUFFER_BYTES]))
    }

    pub(super) fn release(&self, buffers: impl Iterator<Item = Buffer>) {
        let mut state = self.0.state.borrow_mut();
        for buffer in buffers {
            if state.idle.len() < MAX_IDLE_BUFFERS {
                state.idle.push(buffer);
            }
        }
    }

    fn admission(&self, class: LengthClass) -> &Admission {
        match class {
            LengthClass::Long => &self.0.long,
            LengthClass::VeryLong => &self.0.very_long,
        }
    }

    fn max_bytes(&self, class: LengthClass, arrival: Arrival) -> usize {
        let share = match (class, arrival) {
            (LengthClass::Long, Arrival::Partial) => class.max_share() * PARTIAL_SHARE,
            // A very long message never fits into the socket buffer, so that none of them is complete.
            (LengthClass::Long, Arrival::Complete) | (LengthClass::VeryLong, _) => class.max_share(),
        };
        self.share_in_bytes(share)
    }

    /// Returns a share of the part of the pool that this process may use, in bytes.
    fn share_in_bytes(&self, share: f64) -> usize {
        let state = self.0.state.borrow();
        (state.max_buffers as f64 * state.share * share) as usize * BUFFER_BYTES
    }
}
