//! What all client connections of a process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::graceful_shutdown::{GracefulShutdown, IdleState};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, Instant};

use super::class_table::ClassTable;
use super::connection_table::{ConnectionTable, IdleReason};
use super::pause_detector::PauseDetector;
use super::rejection_log::RejectionLog;
use super::request_ids::RequestIds;
use super::service::{ClientOptions, SWEEP_INTERVAL};
use super::service_phase::{PhaseControl, ServicePhase};
use super::socket_share::SocketShare;
use crate::net::buffers::BufferPool;
use crate::net::hot_restart::frame::Successor;
use crate::net::server::PgDriver;

/// State of the client side.
pub(super) struct Shared {
    pub driver: PgDriver,
    pub pool: BufferPool,
    pub classes: RefCell<ClassTable>,
    pub connections: Rc<ConnectionTable>,
    pub request_ids: RequestIds,
    pub phase: PhaseControl,
    pub pauses: PauseDetector,
    /// For texts that must be contiguous while they are parsed; one for all connections, so that none is
    /// idle.
    pub scratch: RefCell<Vec<u8>>,
    /// Connections that are served; the others have ended, and wait for their clients to close.
    pub served: Cell<usize>,
    /// Largest number of clients while another process has a part of them.
    pub reduced_limit: Cell<Option<usize>>,
    /// The successor accepts new clients.
    pub successor_accepts: watch::Sender<bool>,
    /// Takes over connections between requests once the listener is closed.
    pub successor: RefCell<Option<Successor>>,
    /// A newer process with a listener of its own at the same address, which clients find when they come
    /// again. It takes this process for ended when this is dropped.
    pub parallel_successor: RefCell<Option<Successor>>,
    pub shutdown: RefCell<Option<GracefulShutdown>>,
    /// Something happened that may bring the end of a graceful shutdown closer.
    pub shutdown_progress: Notify,
    sockets: SocketShare,
    rejections: RejectionLog,
}

impl Shared {
    pub(super) fn new(driver: PgDriver, options: ClientOptions, pool: BufferPool) -> Self {
        let ClientOptions { max_clients, usual_clients, sockets, classes } = options;
        Self {
            driver,
            pool,
            classes: RefCell::new(ClassTable::new(classes)),
            connections: Rc::default(),
            request_ids: RequestIds::default(),
            phase: PhaseControl::new(),
            pauses: PauseDetector::new(SWEEP_INTERVAL),
            scratch: RefCell::default(),
            served: Cell::new(0),
            reduced_limit: Cell::default(),
            successor_accepts: watch::Sender::new(false),
            successor: RefCell::default(),
            parallel_successor: RefCell::default(),
            shutdown: RefCell::default(),
            shutdown_progress: Notify::new(),
            sockets: SocketShare::new(max_clients, usual_clients, sockets),
            rejections: RejectionLog::default(),
        }
    }

    /// Largest number of clients now.
    pub(super) fn limit(&self) -> usize {
        self.reduced_limit.get().unwrap_or(self.sockets.max_clients())
    }

    /// Number of clients up to which data servers keep their usual share of the sockets.
    pub(super) fn usual_clients(&self) -> usize {
        self.sockets.usual_clients()
    }

    /// Leaves data servers the sockets that clients don't need.
    pub(super) fn share_sockets(&self) {
        self.sockets.update(&self.connections, &self.driver);
    }

    /// Tells a graceful shutdown, if one is under way, of a change.
    pub(super) fn update_shutdown(&self, update: impl FnOnce(&mut GracefulShutdown)) {
        if let Some(shutdown) = &mut *self.shutdown.borrow_mut() {
            update(shutdown);
        }
    }

    /// Waits until a connection that was accepted at `accepted_at` may be closed in its idle state.
    pub(super) async fn idle_deadline(&self, state: IdleState, is_started: bool, accepted_at: Duration) {
        let mut phase = self.phase.subscribe();
        loop {
            let current = *phase.borrow_and_update();
            // Who connects while the proxy is out of service gets an error; its startup packet may be on its
            // way.
            if current == ServicePhase::OutOfService && is_started {
                return;
            }
            let deadline = self.shutdown_deadline(current, state, accepted_at);
            tokio::select! {
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => return,
                changed = phase.changed() => if changed.is_err() {
                    return;
                }
            }
        }
    }

    fn shutdown_deadline(
        &self,
        phase: ServicePhase,
        state: IdleState,
        accepted_at: Duration,
    ) -> Option<Instant> {
        let shutdown = self.shutdown.borrow();
        let shutdown = shutdown.as_ref().filter(|_| phase >= ServicePhase::Draining)?;
        let deadline = shutdown.idle_deadline(state, accepted_at)?;
        Some(self.driver.clock().to_instant(deadline))
    }

    /// How much of the time that its client waits a request may take that comes now.
    pub(super) fn request_time_left(&self, timeout: Duration) -> Duration {
        let now = self.driver.clock().now();
        let shutdown = self.shutdown.borrow();
        shutdown.as_ref().map_or(timeout, |shutdown| shutdown.request_time_left(now, timeout))
    }

    /// Logs that a client is rejected because there are too many.
    pub(super) fn log_rejection(&self) {
        if let Some(rejected) = self.rejections.record() {
            log::warn!(
                "rejected {rejected} clients: {} are connected, {} without a request yet, {} idle and {} with a \
                 request in flight",
                self.connections.len(),
                self.connections.idle(IdleReason::NoRequestYet),
                self.connections.idle(IdleReason::BetweenRequests),
                self.request_ids.len()
            );
        }
    }
}
