//! Graceful shutdown of the client side.

use std::time::Duration;

use pipittack_core::graceful_shutdown::{GracefulShutdown, ShutdownPhase};
use tokio::time::{sleep_until, timeout, timeout_at};

use super::service::ClientService;
use super::service_phase::ServicePhase;

/// Time in which the last errors are written after the drain deadline.
const FINAL_ERRORS_TIMEOUT: Duration = Duration::from_millis(50);

/// Where a graceful shutdown is, and when that changes by itself.
struct Progress {
    phase: ShutdownPhase,
    next_transition: Duration,
}

impl ClientService {
    /// Drains all clients. Returns once no answer is owed, or at the drain deadline; then whatever is still
    /// in flight ends with an error.
    pub async fn shut_down(&self) {
        let shared = &*self.0;
        let clock = shared.driver.clock();
        let pause = shared.pauses.current_pause();
        let shutdown =
            GracefulShutdown::new(clock.now(), shared.driver.max_deadline(), shared.served.get(), pause);
        let deadline = clock.to_instant(shutdown.deadline());
        shared.shutdown.replace(Some(shutdown));
        loop {
            let mut changed = std::pin::pin!(shared.shutdown_progress.notified());
            changed.as_mut().enable();
            let progress = self.shutdown_progress();
            match progress.phase {
                ShutdownPhase::Notice => {}
                ShutdownPhase::Draining => shared.phase.advance(ServicePhase::Draining),
                ShutdownPhase::ListenerClosing => shared.phase.advance(ServicePhase::ListenerClosed),
                ShutdownPhase::Complete => break,
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(clock.to_instant(progress.next_transition)) => {}
            }
        }
        // Clients of ended connections may still have to read their last answers.
        let _ = timeout_at(deadline, self.all_disconnected()).await;
        shared.phase.advance(ServicePhase::Ended);
        let _ = timeout(FINAL_ERRORS_TIMEOUT, self.all_disconnected()).await;
    }

    fn shutdown_progress(&self) -> Progress {
        let now = self.0.driver.clock().now();
        let handed_over = self.has_successor() || self.0.parallel_successor.borrow().is_some();
        let mut shutdown = self.0.shutdown.borrow_mut();
        let shutdown = shutdown.as_mut().expect("it was set above and is never cleared");
        shutdown.set_handed_over(handed_over);
        Progress { phase: shutdown.phase(now), next_transition: shutdown.next_transition(now) }
    }

    async fn all_disconnected(&self) {
        loop {
            let changed = self.0.shutdown_progress.notified();
            if self.0.connections.is_empty() {
                return;
            }
            changed.await;
        }
    }
}
