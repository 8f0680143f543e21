//! Whether the proxy accepts clients and keeps those that it has.

use std::cell::Cell;

use tokio::sync::watch;

/// How far the proxy has withdrawn from service. The order is that of withdrawal.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(super) enum ServicePhase {
    /// In service.
    Open,
    /// The load balancer in front is told to send no more clients; those that still come are served.
    Announced,
    /// Connections end between requests, and new ones are rejected.
    OutOfService,
    /// Graceful shutdown: connections end between requests; a new one is accepted for one request.
    Draining,
    /// The same, and nobody listens.
    ListenerClosed,
    /// The drain deadline has passed.
    Ended,
}

/// Holds the phase, and lets tasks wait for a change.
pub(super) struct PhaseControl {
    phase: watch::Sender<ServicePhase>,
    /// Counts the operators' orders, so that a delayed step can tell whether it was overtaken.
    orders: Cell<u64>,
}

impl PhaseControl {
    pub(super) fn new() -> Self {
        Self { phase: watch::Sender::new(ServicePhase::Open), orders: Cell::new(0) }
    }

    pub(super) fn current(&self) -> ServicePhase {
        *self.phase.borrow()
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<ServicePhase> {
        self.phase.subscribe()
    }

    /// Number of the operators' last order.
    pub(super) fn last_order(&self) -> u64 {
        self.orders.get()
    }

    /// An operator's order; without effect once the process shuts down.
    pub(super) fn order(&self, target: ServicePhase) {
        self.orders.set(self.orders.get() + 1);
        self.phase.send_if_modified(|phase| {
            *phase < ServicePhase::Draining && std::mem::replace(phase, target) != target
        });
    }

    /// Moves a graceful shutdown on, never back.
    pub(super) fn advance(&self, target: ServicePhase) {
        self.phase.send_if_modified(|phase| *phase < target && std::mem::replace(phase, target) != target);
    }
}
