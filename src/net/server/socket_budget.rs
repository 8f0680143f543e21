//! The budget of sockets to data servers.

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Permits for sockets. Some are withheld while clients or another process need the sockets.
pub(super) struct SocketBudget {
    permits: Arc<Semaphore>,
    max_sockets: usize,
    /// Sockets that clients leave to data servers.
    limit: Cell<usize>,
    /// Share of them that is not another process's.
    share: Cell<f64>,
    withheld: RefCell<Vec<OwnedSemaphorePermit>>,
    waiting: Cell<usize>,
}

impl SocketBudget {
    pub(super) fn new(max_sockets: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(max_sockets)),
            max_sockets,
            limit: Cell::new(usize::MAX),
            share: Cell::new(1.0),
            withheld: RefCell::default(),
            waiting: Cell::new(0),
        }
    }

    pub(super) fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    pub(super) fn set_share(&self, share: f64) {
        self.share.set(share);
    }

    /// Withholds permits until the limit is kept. `close_idle` closes an idle connection, if there is one;
    /// sockets in use follow as they become free.
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

    /// Waits for a permit. Where there is none, the connection that has been idle longest is closed for it.
    /// Waiting costs a request less than an attempt that fails for want of a socket.
    pub(super) async fn acquire(&self, close_idle: impl Fn() -> bool) -> OwnedSemaphorePermit {
        if let Ok(permit) = self.permits.clone().try_acquire_owned() {
            return permit;
        }
        close_idle();
        let _waiting = WaitGuard::new(&self.waiting);
        self.permits.clone().acquire_owned().await.expect("the semaphore is never closed")
    }

    /// Whether an attempt waits for a socket.
    pub(super) fn has_waiters(&self) -> bool {
        self.waiting.get() > 0
    }
}

/// Counts an attempt that waits for a socket.
struct WaitGuard<'b>(&'b Cell<usize>);

impl<'b> WaitGuard<'b> {
    fn new(waiting: &'b Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        Self(waiting)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
