//! Graceful shutdown of the client side.

use std::time::Duration;

use pipittack_core::graceful_shutdown::{GracefulShutdown, ShutdownPhase};
use tokio::time::{sleep_until, timeout, timeout_at};

use super::service::ClientService;
use super::service_phase::ServicePhase;
use super::shared::Shared;

/// Time after the drain deadline in which the remaining clients are sent an error.
const FINAL_ERRORS_TIMEOUT: Duration = Duration::from_millis(50);

/// Longest time after the drain deadline for which the process passes on long results that data servers still send.
const MAX_STREAM_PERIOD: Duration = Duration::from_secs(30);

/// Phase of a graceful shutdown, and the time at which it changes next if no other event occurs.
struct ShutdownProgress {
    phase: ShutdownPhase,
    next_transition: Duration,
}

impl ClientService {
    /// Drains all clients. Returns when every request has its response, or at the drain deadline; requests
    /// that are still in flight then end with an error. Long results that data servers still send at the deadline are
    /// passed on to their end, unless the process is killed before.
    pub async fn shut_down(&self) {
        let shared = &*self.0;
        let clock = shared.driver.clock();
        let pause = shared.pauses.recent_pause();
        let shutdown = GracefulShutdown::new(
            clock.now(),
            shared.classes.borrow().longest_deadline(),
            shared.active_connections.get(),
            pause,
        );
        let deadline = clock.to_instant(shutdown.deadline());
        shared.shutdown.replace(Some(shutdown));
        loop {
            let mut changed = std::pin::pin!(shared.shutdown_notify.notified());
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
        // Clients of ended connections may still have to read their last response.
        let _ = timeout_at(deadline, self.all_disconnected()).await;
        shared.phase.advance(ServicePhase::DrainEnded);
        let _ = timeout(FINAL_ERRORS_TIMEOUT, self.all_disconnected()).await;
        self.pass_on_open_streams().await;
        log::debug!("graceful shutdown ended: {} connections left", shared.connections.len());
    }

    async fn pass_on_open_streams(&self) {
        let open_streams = self.0.open_streams.get();
        if open_streams == 0 {
            return;
        }
        log::warn!("graceful shutdown waits for {open_streams} long results that data servers still send");
        let _ = timeout(MAX_STREAM_PERIOD, self.all_streams_ended()).await;
        let _ = timeout(FINAL_ERRORS_TIMEOUT, self.all_disconnected()).await;
    }

    async fn all_streams_ended(&self) {
        self.wait_until(|shared| shared.open_streams.get() == 0).await;
    }

    fn shutdown_progress(&self) -> ShutdownProgress {
        let now = self.0.driver.clock().now();
        let handed_over = self.has_successor() || self.0.parallel_successor.borrow().is_some();
        let mut shutdown = self.0.shutdown.borrow_mut();
        let shutdown = shutdown.as_mut().expect("shut_down has set the shutdown, and nothing clears it");
        shutdown.set_handed_over(handed_over);
        ShutdownProgress { phase: shutdown.phase(now), next_transition: shutdown.next_transition(now) }
    }

    async fn all_disconnected(&self) {
        self.wait_until(|shared| shared.connections.is_empty()).await;
    }

    /// Waits until `condition` holds. It is checked whenever the shutdown may advance.
    async fn wait_until(&self, condition: impl Fn(&Shared) -> bool) {
        loop {
            let changed = self.0.shutdown_notify.notified();
            if condition(&self.0) {
                return;
            }
            changed.await;
        }
    }
}
