//! The client connections: how many there are, which of them are idle and since when, and eviction of idle
//! ones.
//!
//! Guards keep the counts and sets in step with the connections' tasks.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Time without an open request after which a client may be evicted to make room for another.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);

/// Number of a connection, in the order in which they were accepted.
pub(super) type ConnectionNumber = u64;

/// Why a connection is idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleReason {
    /// It has sent no request yet.
    NoRequestYet,
    /// All its requests are answered.
    BetweenRequests,
    /// It has ended, and waits for its client to close.
    Closing,
}

/// Idle connections, the one that has been idle longest first.
#[derive(Default)]
struct IdleSet(RefCell<BTreeSet<(Instant, ConnectionNumber)>>);

impl IdleSet {
    /// Removes the connection that has been idle longest, if that is at least so long.
    fn take_longest(&self, min_idle: Duration) -> Option<ConnectionNumber> {
        let first = self.0.borrow().first().copied();
        let first = first.filter(|(since, _)| since.elapsed() >= min_idle)?;
        self.0.borrow_mut().remove(&first);
        Some(first.1)
    }

    fn len(&self) -> usize {
        self.0.borrow().len()
    }
}

/// All client connections.
#[derive(Default)]
pub(super) struct ConnectionTable {
    /// Each with what tells its task that it is evicted.
    connections: RefCell<HashMap<ConnectionNumber, Rc<Notify>>>,
    last_number: Cell<ConnectionNumber>,
    without_request: Cell<usize>,
    idle_without_request: IdleSet,
    idle_between_requests: IdleSet,
    closing: IdleSet,
}

impl ConnectionTable {
    /// The number of the next connection.
    pub(super) fn next_number(&self) -> ConnectionNumber {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Adds a connection; gives what tells it that it is evicted.
    pub(super) fn insert(&self, number: ConnectionNumber) -> Rc<Notify> {
        let evicted = Rc::new(Notify::new());
        self.connections.borrow_mut().insert(number, evicted.clone());
        evicted
    }

    pub(super) fn remove(&self, number: ConnectionNumber) {
        self.connections.borrow_mut().remove(&number);
    }

    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Connections that have sent no request yet, idle or not.
    pub(super) fn without_request(&self) -> usize {
        self.without_request.get()
    }

    /// Connections that are idle for a reason.
    pub(super) fn idle(&self, reason: IdleReason) -> usize {
        self.idle_set(reason).len()
    }

    /// Evicts the client that has been idle longest, if any may be evicted: one that has ended anyway, else
    /// one that has sent no request yet, else one between requests. Otherwise clients that connect and stay
    /// would keep others out.
    pub(super) fn evict_one(&self) -> bool {
        let number = self
            .closing
            .take_longest(Duration::ZERO)
            .or_else(|| self.idle_without_request.take_longest(MIN_IDLE_BEFORE_EVICTION))
            .or_else(|| self.idle_between_requests.take_longest(MIN_IDLE_BEFORE_EVICTION));
        if let Some(evicted) = number.and_then(|number| self.connections.borrow().get(&number).cloned()) {
            evicted.notify_waiters();
        }
        number.is_some()
    }

    /// Marks a connection as idle until the guard is dropped.
    pub(super) fn mark_idle(&self, reason: IdleReason, number: ConnectionNumber) -> IdleGuard<'_> {
        let set = self.idle_set(reason);
        let entry = (Instant::now(), number);
        set.0.borrow_mut().insert(entry);
        IdleGuard { set, entry }
    }

    fn idle_set(&self, reason: IdleReason) -> &IdleSet {
        match reason {
            IdleReason::NoRequestYet => &self.idle_without_request,
            IdleReason::BetweenRequests => &self.idle_between_requests,
            IdleReason::Closing => &self.closing,
        }
    }
}

/// A connection that is idle.
pub(super) struct IdleGuard<'t> {
    set: &'t IdleSet,
    entry: (Instant, ConnectionNumber),
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.set.0.borrow_mut().remove(&self.entry);
    }
}

/// Counts a connection among those that have sent no request yet, until it is dropped.
pub(super) struct NoRequestGuard(Rc<ConnectionTable>);

impl NoRequestGuard {
    pub(super) fn new(table: &Rc<ConnectionTable>) -> Self {
        table.without_request.set(table.without_request.get() + 1);
        Self(table.clone())
    }
}

impl Drop for NoRequestGuard {
    fn drop(&mut self) {
        self.0.without_request.set(self.0.without_request.get() - 1);
    }
}
