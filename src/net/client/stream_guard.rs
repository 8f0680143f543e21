//! Count of the long results that data servers still send.

use super::shared::Shared;

/// Counts a long result among those that data servers still send, until it is dropped.
pub(super) struct StreamGuard<'a>(&'a Shared);

impl<'a> StreamGuard<'a> {
    pub(super) fn new(shared: &'a Shared) -> Self {
        shared.open_streams.set(shared.open_streams.get() + 1);
        Self(shared)
    }
}

impl Drop for StreamGuard<'_> {
    fn drop(&mut self) {
        self.0.open_streams.set(self.0.open_streams.get() - 1);
        self.0.shutdown_notify.notify_waiters();
    }
}
