//! The pool that buffers come from, and the admission of messages that need several.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::{Mutex, Notify};

use super::chain::BufferChain;

/// Size of each buffer in bytes; most statements and responses fit into one.
pub const BUFFER_BYTES: usize = 8192;
/// Largest number of idle buffers that are kept; further ones are freed.
const MAX_IDLE_BUFFERS: usize = 512;
/// Length in bytes from which on a message counts as very long.
const VERY_LONG_MESSAGE_BYTES: usize = 128 * 1024;

pub(super) type Buffer = Box<[u8; BUFFER_BYTES]>;

/// Length classes of messages that need more than one buffer. Each may fill its own share of the pool, so that neither
/// can starve the other, nor what fits into one buffer.
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

    /// Share of the pool that messages of this class may fill.
    fn max_share(self) -> f64 {
        match self {
            Self::Long => 0.125,
            Self::VeryLong => 0.75,
        }
    }
}

/// Lends buffers. Clones share it.
#[derive(Clone)]
pub struct BufferPool(Rc<Shared>);

struct Shared {
    stock: RefCell<Stock>,
    long: Admission,
    very_long: Admission,
}

/// Admits messages of one length class, first come, first served.
#[derive(Default)]
struct Admission {
    turn: Mutex<()>,
    reserved_bytes: Cell<usize>,
    released: Notify,
}

struct Stock {
    idle: Vec<Buffer>,
    max_buffers: usize,
    /// Share of them that this process may use.
    share: f64,
}

/// Room for a message of several buffers; released when dropped.
pub struct BufferReservation {
    pool: BufferPool,
    class: LengthClass,
    bytes: usize,
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let admission = self.pool.admission(self.class);
        admission.reserved_bytes.set(admission.reserved_bytes.get() - self.bytes);
        admission.released.notify_one();
    }
}

impl Default for BufferPool {
    /// A pool without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl BufferPool {
    /// A pool that reserves at most so many bytes.
    pub fn new(max_bytes: usize) -> Self {
        let stock = Stock { idle: Vec::new(), max_buffers: max_bytes / BUFFER_BYTES, share: 1.0 };
        Self(Rc::new(Shared {
            stock: RefCell::new(stock),
            long: Admission::default(),
            very_long: Admission::default(),
        }))
    }

    /// Waits until there is room for a message of this length, and reserves all of it at once: messages that each held a
    /// part of what they need could block each other forever. One message is admitted where none is, however long.
    /// A single buffer for each socket is always available without a reservation.
    pub async fn reserve(&self, bytes: usize) -> BufferReservation {
        let class = LengthClass::of(bytes);
        let admission = self.admission(class);
        let _turn = admission.turn.lock().await;
        while admission.reserved_bytes.get() > 0
            && admission.reserved_bytes.get() + bytes > self.max_bytes(class)
        {
            admission.released.notified().await;
        }
        admission.reserved_bytes.set(admission.reserved_bytes.get() + bytes);
        BufferReservation { pool: self.clone(), class, bytes }
    }

    /// Limits this process to a share of the pool; the rest is another process's.
    pub fn set_share(&self, share: f64) {
        self.0.stock.borrow_mut().share = share;
        self.0.long.released.notify_one();
        self.0.very_long.released.notify_one();
    }

    /// An empty chain that takes its buffers from this pool.
    pub fn chain(&self) -> BufferChain {
        BufferChain::new(self.clone())
    }

    /// How many buffers are idle.
    pub fn idle_buffers(&self) -> usize {
        self.0.stock.borrow().idle.len()
    }

    pub(super) fn take(&self) -> Buffer {
        let mut stock = self.0.stock.borrow_mut();
        stock.idle.pop().unwrap_or_else(|| Box::new([0; BUFFER_BYTES]))
    }

    pub(super) fn give_back(&self, buffers: impl Iterator<Item = Buffer>) {
        let mut stock = self.0.stock.borrow_mut();
        for buffer in buffers {
            if stock.idle.len() < MAX_IDLE_BUFFERS {
                stock.idle.push(buffer);
            }
        }
    }

    fn admission(&self, class: LengthClass) -> &Admission {
        match class {
            LengthClass::Long => &self.0.long,
            LengthClass::VeryLong => &self.0.very_long,
        }
    }

    fn max_bytes(&self, class: LengthClass) -> usize {
        let stock = self.0.stock.borrow();
        (stock.max_buffers as f64 * stock.share * class.max_share()) as usize * BUFFER_BYTES
    }
}
