//! Budget of sockets to data servers.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Limit on the open sockets to data servers, with one permit per socket. The budget withholds permits while
/// clients or the peer process need their sockets.
pub(super) struct ServerSocketBudget {
    permits: Arc<Semaphore>,
    max_sockets: usize,
    /// Number of sockets that clients leave to data servers.
    limit: Cell<usize>,
    /// Share of that number that this process may use, from 0 to 1; the peer process uses the rest.
    share: Cell<f64>,
    /// Permits that the budget holds back.
    withheld: RefCell<Vec<OwnedSemaphorePermit>>,
    /// Number of calls of [`Self::acquire`] that wait for a permit.
    waiters: Cell<usize>,
}

impl ServerSocketBudget {
    pub(super) fn new(max_sockets: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(max_sockets)),
            max_sockets,
            limit: Cell::new(usize::MAX),
            share: Cell::new(1.0),
            withheld: RefCell::default(),
            waiters: Cell::new(0),
        }
    }

    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    pub(super) fn set_share(&self, share: f64) {
        self.share.set(share);
    }

    /// Withholds or returns permits to match the limit and the share. `close_idle` closes one idle connection
    /// and returns false if there is none. If too many sockets are in use, a later call withholds their
    /// permits once they are free.
    pub(super) fn enforce(&self, close_idle: impl Fn() -> bool) {
        let available = (self.limit.get().min(self.max_sockets) as f64 * self.share.get()) as usize;
        let target = self.max_sockets - available;
        let mut withheld = self.withheld.borrow_mut();
        withheld.truncate(target);
        while withheld.len() < target {
            match self.permits.clone().try_acquire_owned() {
                Ok(permit) => withheld.push(permit),
                Err(_) if close_idle() => {}
                Err(_) => return,
            }
        }
    }

    /// Returns a permit. If none is free, closes an idle connection with `close_idle` and waits for a permit.
    /// An attempt waits instead of failing, since a failure for lack of a socket would use up one of the
    /// attempts of its request.
    pub(super) async fn acquire(&self, close_idle: impl Fn() -> bool) -> OwnedSemaphorePermit {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return permit;
        }
        close_idle();
        let _waiter = WaiterGuard::new(&self.waiters);
        self.permits.clone().acquire_owned().await.expect("the semaphore is never closed")
    }

    /// Returns whether an attempt or a health check waits for a socket.
    pub(super) fn has_waiters(&self) -> bool {
        self.waiters.get() > 0
    }
}

/// Counts a waiting call until it is dropped.
struct WaiterGuard<'b>(&'b Cell<usize>);

impl<'b> WaiterGuard<'b> {
    fn new(waiters: &'b Cell<usize>) -> Self {
        waiters.set(waiters.get() + 1);
        Self(waiters)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
