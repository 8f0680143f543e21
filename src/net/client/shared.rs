//! State that all client connections of a process share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::graceful_shutdown::{GracefulShutdown, IdleState};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, Instant};

use super::class_table::ClassTable;
use super::connection_table::{ConnectionId, ConnectionTable, IdleReason};
use super::inbound::Inbound;
use super::pause_detector::PauseDetector;
use super::request_ids::RequestIds;
use super::service::{ClientOptions, SWEEP_INTERVAL};
use super::service_phase::{PhaseControl, ServicePhase};
use super::socket_share::SocketShare;
use crate::net::buffers::BufferPool;
use crate::net::hot_restart::frame::Successor;
use crate::net::log_limit::LogLimit;
use crate::net::server::PgDriver;

/// Time out of service after which a connection that is never idle serves only the requests that it has received.
const MAX_BUSY_PERIOD: Duration = Duration::from_millis(1200);

/// State of the client side, shared by the accept loop and all connection tasks.
pub(super) struct Shared {
    pub driver: PgDriver,
    pub pool: BufferPool,
    pub classes: RefCell<ClassTable>,
    pub connections: Rc<ConnectionTable>,
    pub request_ids: RequestIds,
    pub phase: PhaseControl,
    pub pauses: PauseDetector,
    /// Contiguous copy of the text that is being parsed. One buffer serves all connections, so that idle
    /// connections hold none.
    pub scratch: RefCell<Vec<u8>>,
    /// Number of connections from which requests are read. The other connections have ended and wait for
    /// their clients to close.
    pub active_connections: Cell<usize>,
    /// Client limit while another process serves a part of the clients; `None` for the full limit.
    pub reduced_limit: Cell<Option<usize>>,
    /// Whether the successor accepts new clients in place of this process.
    pub successor_accepts: watch::Sender<bool>,
    /// Successor that takes over connections between requests once the listener is closed.
    pub successor: RefCell<Option<Successor>>,
    /// Newer process with a listener of its own at the same address, which serves clients that reconnect. The
    /// newer process assumes that this process runs until the connection of this handle closes.
    pub parallel_successor: RefCell<Option<Successor>>,
    pub shutdown: RefCell<Option<GracefulShutdown>>,
    /// Number of long results that data servers still send.
    pub open_streams: Cell<usize>,
    /// Notified of events that may advance a graceful shutdown.
    pub shutdown_notify: Notify,
    sockets: SocketShare,
    /// Log lines about clients that are rejected because the client limit is reached.
    rejections: LogLimit,
    /// Log lines about requests that exceeded the buffers.
    overflows: LogLimit,
    /// Log lines about errors of `accept`.
    pub accept_errors: LogLimit,
    /// Log lines about connections that are closed with an error.
    connection_errors: LogLimit,
    /// Log lines about requests that are rejected for lack of memory.
    memory_rejections: LogLimit,
    /// Log lines about statements that waited for memory.
    memory_waits: LogLimit,
}

impl Shared {
    pub(super) fn new(driver: PgDriver, options: ClientOptions, pool: BufferPool) -> Self {
        let ClientOptions { max_clients, reserved_clients, sockets, classes } = options;
        Self {
            driver,
            pool,
            classes: RefCell::new(ClassTable::new(classes)),
            connections: Rc::default(),
            request_ids: RequestIds::default(),
            phase: PhaseControl::new(),
            pauses: PauseDetector::new(SWEEP_INTERVAL),
            scratch: RefCell::default(),
            active_connections: Cell::new(0),
            reduced_limit: Cell::default(),
            successor_accepts: watch::Sender::new(false),
            successor: RefCell::default(),
            parallel_successor: RefCell::default(),
            shutdown: RefCell::default(),
            open_streams: Cell::new(0),
            shutdown_notify: Notify::new(),
            sockets: SocketShare::new(max_clients, reserved_clients, sockets),
            rejections: LogLimit::default(),
            overflows: LogLimit::default(),
            accept_errors: LogLimit::default(),
            connection_errors: LogLimit::default(),
            memory_rejections: LogLimit::default(),
            memory_waits: LogLimit::default(),
        }
    }

    /// Returns the current client limit.
    pub(super) fn limit(&self) -> usize {
        self.reduced_limit.get().unwrap_or(self.sockets.max_clients())
    }

    /// Returns the number of clients whose sockets are reserved.
    pub(super) fn reserved_clients(&self) -> usize {
        self.sockets.reserved_clients()
    }

    /// Updates the number of sockets that are left to the data servers.
    pub(super) fn share_sockets(&self) {
        self.sockets.update(&self.connections, &self.driver);
    }

    /// Applies `update` to the graceful shutdown, if one is in progress.
    pub(super) fn update_shutdown(&self, update: impl FnOnce(&mut GracefulShutdown)) {
        if let Some(shutdown) = &mut *self.shutdown.borrow_mut() {
            update(shutdown);
        }
    }

    /// Waits until an idle connection in state `state` may be closed. `is_ready` says whether its startup is
    /// done. `accepted_at` is the time at which this process accepted or took over the connection, on the
    /// driver's clock.
    pub(super) async fn idle_deadline(&self, state: IdleState, is_ready: bool, accepted_at: Duration) {
        let mut phase = self.phase.subscribe();
        loop {
            let current = *phase.borrow_and_update();
            // A client that connects while the proxy is out of service gets an error after its startup
            // packet, which may not have arrived yet.
            if current == ServicePhase::OutOfService && is_ready {
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

    /// Returns whether a graceful shutdown serves no more requests on the connection of `inbound`.
    pub(super) fn requests_have_ended(&self, inbound: &mut Inbound) -> bool {
        let shutdown = self.shutdown.borrow();
        let Some(shutdown) = shutdown.as_ref() else { return false };
        self.driver.clock().now() >= shutdown.requests_end_at(inbound.waiting_queries())
    }

    /// Returns whether connections serve only what they have received, because the process has been out of service
    /// for long enough that a client which is never idle has to be sent away.
    pub(super) fn sends_busy_clients_away(&self) -> bool {
        let since = self.phase.out_of_service_since();
        since.is_some_and(|since| since.elapsed() >= MAX_BUSY_PERIOD)
    }

    /// Returns whether a graceful shutdown still spreads the rejections of requests that it does not serve.
    pub(super) fn spreads_rejections(&self) -> bool {
        let now = self.driver.clock().now();
        self.shutdown.borrow().as_ref().is_some_and(|shutdown| shutdown.spreads_rejections(now))
    }

    /// Waits until a graceful shutdown serves no more requests on any connection.
    pub(super) async fn requests_ended(&self) {
        // A shutdown changes the phase well before it ends the requests.
        let mut phase = self.phase.subscribe();
        loop {
            let ends_at = self.shutdown.borrow().as_ref().map(|shutdown| shutdown.requests_end_at(0));
            let ends_at = ends_at.map(|ends_at| self.driver.clock().to_instant(ends_at));
            tokio::select! {
                () = sleep_until(ends_at.unwrap_or_else(Instant::now)), if ends_at.is_some() => return,
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

    /// Returns the time that a request arriving now may take: `timeout`, or less during a graceful shutdown.
    /// `inbound` holds what was received behind the request.
    pub(super) fn request_time_left(&self, timeout: Duration, inbound: &mut Inbound) -> Duration {
        let now = self.driver.clock().now();
        let shutdown = self.shutdown.borrow();
        let time_left =
            |shutdown: &GracefulShutdown| shutdown.request_time_left(now, timeout, inbound.waiting_queries());
        shutdown.as_ref().map_or(timeout, time_left)
    }

    /// Counts a connection that is closed with an error, and logs it if a log line is due.
    pub(super) fn log_connection_error(&self, id: ConnectionId, age: Duration, text: &str) {
        if let Some(count) = self.connection_errors.record() {
            let age_ms = age.as_millis();
            log::warn!(
                "client connection {id} closed after {age_ms} ms: {text} ({count} closed with an error)"
            );
        }
    }

    /// Counts a request that is rejected for lack of memory, and logs who has the memory if a log line is due.
    pub(super) fn log_memory_rejection(&self, id: ConnectionId, text: &str) {
        if let Some(count) = self.memory_rejections.record() {
            let usage = self.pool.usage();
            log::warn!("client connection {id}: {text} ({count} requests rejected for memory): {usage}");
        }
    }

    /// Counts a statement that waited for memory before it could be read on, and logs who has the memory if a log
    /// line is due.
    pub(super) fn log_memory_wait(&self, id: ConnectionId, bytes: usize, waited: Duration) {
        if let Some(count) = self.memory_waits.record() {
            let usage = self.pool.usage();
            log::info!(
                "client connection {id}: a statement of {bytes} bytes waited {} ms for memory ({count} such \
                 statements): {usage}",
                waited.as_millis()
            );
        }
    }

    /// Logs the requests that were rejected because they exceeded the buffers, if a line is due.
    pub(super) fn log_overflow(&self, id: ConnectionId, requests: usize) {
        if let Some(count) = self.overflows.record() {
            log::warn!(
                "client connection {id}: {requests} requests rejected that exceeded the buffers \
                 ({count} such connections)"
            );
        }
    }

    /// Counts a client that is rejected because the client limit is reached, and logs the count if a log line
    /// is due.
    pub(super) fn log_rejection(&self) {
        if let Some(rejected) = self.rejections.record() {
            log::warn!(
                "rejected {rejected} clients: {} connections, {} idle without a request yet, {} idle between \
                 requests, {} requests in flight",
                self.connections.len(),
                self.connections.idle_count(IdleReason::NoRequestYet),
                self.connections.idle_count(IdleReason::BetweenRequests),
                self.request_ids.len()
            );
        }
    }
}
