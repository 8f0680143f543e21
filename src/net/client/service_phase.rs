//! Service phase of the proxy: whether it accepts clients and keeps those that are connected.

use std::cell::Cell;

use tokio::sync::watch;
use tokio::time::Instant;

/// Phase of the proxy on its way from service to the end of a graceful shutdown, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum ServicePhase {
    /// Accepts and serves clients.
    InService,
    /// Health checks of the load balancer fail, so that it sends no more clients. Clients that still connect
    /// are served.
    FailingHealthChecks,
    /// Connections are closed between requests, and new ones are rejected.
    OutOfService,
    /// Graceful shutdown: connections are closed between requests, and a new one is accepted for one request.
    Draining,
    /// Graceful shutdown as in [`Self::Draining`], with the listener closed.
    ListenerClosed,
    /// The drain is complete or its deadline has passed: requests that are still in flight fail.
    DrainEnded,
}

/// Holds the service phase and notifies tasks of changes.
pub(super) struct PhaseControl {
    phase: watch::Sender<ServicePhase>,
    /// Number of phase changes that operators requested. A delayed change compares it to find out whether an
    /// operator has requested another phase since.
    operator_changes: Cell<u64>,
    /// Time since which the phase is [`ServicePhase::OutOfService`]; `None` in other phases.
    out_of_service_since: Cell<Option<Instant>>,
}

impl PhaseControl {
    pub(super) fn new() -> Self {
        Self {
            phase: watch::Sender::new(ServicePhase::InService),
            operator_changes: Cell::new(0),
            out_of_service_since: Cell::new(None),
        }
    }

    pub(super) fn current(&self) -> ServicePhase {
        *self.phase.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<ServicePhase> {
        self.phase.subscribe()
    }

    /// Returns the time since which the phase is [`ServicePhase::OutOfService`]; `None` in other phases.
    pub(super) fn out_of_service_since(&self) -> Option<Instant> {
        self.out_of_service_since.get()
    }

    /// Returns the number of phase changes that operators have requested.
    pub(super) fn operator_change_count(&self) -> u64 {
        self.operator_changes.get()
    }

    /// Sets the phase that an operator requested. Has no effect once a graceful shutdown drains clients.
    pub(super) fn set_by_operator(&self, target: ServicePhase) {
        self.operator_changes.set(self.operator_changes.get() + 1);
        self.phase.send_if_modified(|phase| {
            let is_change = *phase < ServicePhase::Draining && std::mem::replace(phase, target) != target;
            if is_change {
                self.out_of_service_since.set((target == ServicePhase::OutOfService).then(Instant::now));
            }
            is_change
        });
    }

    /// Advances a graceful shutdown to `target`; never moves the phase back.
    pub(super) fn advance(&self, target: ServicePhase) {
        self.out_of_service_since.set(None);
        self.phase.send_if_modified(|phase| *phase < target && std::mem::replace(phase, target) != target);
    }
}
