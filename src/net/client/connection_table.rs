//! Table of the client connections: their number, the idle ones with the start of their idle time, and the
//! eviction of idle connections.
//!
//! Guards that the connection tasks hold keep the counts and sets up to date.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// Idle time after which a client may be evicted to make room for another one.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_secs(2);

/// Id of a connection, ascending in the order in which this process received the connections.
pub(super) type ConnectionId = u64;

/// Reason why a connection is idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleReason {
    /// The client has sent no request yet.
    NoRequestYet,
    /// All requests of the client have their responses.
    BetweenRequests,
    /// The connection has ended and waits for its client to close.
    Closing,
}

/// Idle connections, ordered by the start of their idle time.
#[derive(Default)]
struct IdleSet(RefCell<BTreeSet<(Instant, ConnectionId)>>);

impl IdleSet {
    /// Removes and returns the connection that has been idle longest, if it has been idle for at least
    /// `min_idle`.
    fn pop_longest_idle(&self, min_idle: Duration) -> Option<ConnectionId> {
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
    /// Connections, each with the notification that its task receives when it is evicted.
    connections: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    last_id: Cell<ConnectionId>,
    without_request: Cell<usize>,
    idle_without_request: IdleSet,
    idle_between_requests: IdleSet,
    closing: IdleSet,
}

impl ConnectionTable {
    /// Assigns the id of the next connection.
    pub(super) fn next_id(&self) -> ConnectionId {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        id
    }

    /// Adds a connection. Returns the notification of its eviction.
    pub(super) fn insert(&self, id: ConnectionId) -> Rc<Notify> {
        let eviction = Rc::new(Notify::new());
        self.connections.borrow_mut().insert(id, eviction.clone());
        eviction
    }

    pub(super) fn remove(&self, id: ConnectionId) {
        self.connections.borrow_mut().remove(&id);
    }

    pub(super) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of connections that have sent no request yet, idle or not.
    pub(super) fn without_request(&self) -> usize {
        self.without_request.get()
    }

    /// Returns the number of connections that are idle for `reason`.
    pub(super) fn idle_count(&self, reason: IdleReason) -> usize {
        self.idle_set(reason).len()
    }

    /// Evicts the connection that has been idle longest, in this order of preference: connections that have
    /// ended, connections without a request yet, connections between requests. Returns false if none may be
    /// evicted. Without eviction, clients that connect and stay idle would keep other clients out.
    pub(super) fn evict_one(&self) -> bool {
        let id = self
            .closing
            .pop_longest_idle(Duration::ZERO)
            .or_else(|| self.idle_without_request.pop_longest_idle(MIN_IDLE_BEFORE_EVICTION))
            .or_else(|| self.idle_between_requests.pop_longest_idle(MIN_IDLE_BEFORE_EVICTION));
        if let Some(eviction) = id.and_then(|id| self.connections.borrow().get(&id).cloned()) {
            eviction.notify_waiters();
        }
        id.is_some()
    }

    /// Marks a connection as idle until the guard is dropped.
    pub(super) fn mark_idle(&self, reason: IdleReason, id: ConnectionId) -> IdleGuard<'_> {
        let set = self.idle_set(reason);
        let entry = (Instant::now(), id);
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

/// Keeps a connection in an idle set until it is dropped.
pub(super) struct IdleGuard<'t> {
    set: &'t IdleSet,
    entry: (Instant, ConnectionId),
}

impl Drop for IdleGuard<'_> {
    fn drop(&mut self) {
        self.set.0.borrow_mut().remove(&self.entry);
    }
}

/// Counts a connection among those that have sent no request yet, until the guard is dropped.
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
