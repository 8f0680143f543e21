//! The accept loop, admission and eviction of clients, and operations that affect all clients.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::MissedTickBehavior;

use super::class_table::ConfiguredClass;
use super::connection::{self, InitialStage};
use super::service_phase::ServicePhase;
use super::shared::Shared;
use crate::api::Settings;
use crate::net::buffers::BufferPool;
use crate::net::hot_restart::frame::Successor;
use crate::net::retry::{is_resource_shortage, pause_after_accept_error};
use crate::net::server::PgDriver;
use crate::net::turn::{charge, Work};

/// Idle connections are evicted while the number of clients is at least this share of `reserved_clients`.
const EVICTION_THRESHOLD_SHARE: f64 = 0.5;
/// Share of the client limit that clients without a request may use. From this share on, a new client gets a
/// short deadline for its first request.
const MAX_SHARE_WITHOUT_REQUEST: f64 = 0.25;
/// Interval between searches for connections to evict, and between checks for a process pause.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Largest number of clients over the limit that are connected at the same time to receive an error. Further
/// clients are closed without one.
const MAX_REJECTED_AT_ONCE: usize = 8;
/// Time from the first failing health check to the closing of idle connections. The load balancer checks
/// every 0.1 s and may send clients for 0.2 s after a failed check.
const OUT_OF_SERVICE_NOTICE_PERIOD: Duration = Duration::from_millis(600);
const LISTEN_BACKLOG: u32 = 1024;

/// Options of the client side.
pub struct ClientOptions {
    /// Largest number of clients; further clients are rejected.
    pub max_clients: usize,
    /// Number of clients whose sockets are reserved; each further client takes a socket from the data
    /// servers.
    pub reserved_clients: usize,
    /// Number of sockets for clients and data servers together.
    pub sockets: usize,
    /// Classes of requests, by name.
    pub classes: HashMap<String, ConfiguredClass>,
}

/// Handle to the client side of a process. Clones refer to the same state.
#[derive(Clone)]
pub struct ClientService(pub(super) Rc<Shared>);

/// Opens a listener. The address may still be in use by another process of this proxy, or may have been
/// released a moment ago.
///
/// # Errors
///
/// Returns the error of the system call that failed.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

impl ClientService {
    /// Creates a client side without clients.
    pub fn new(driver: PgDriver, options: ClientOptions, pool: BufferPool) -> Self {
        Self(Rc::new(Shared::new(driver, options, pool)))
    }

    /// Accepts clients until a graceful shutdown closes the listener. `successor_task` holds a duplicate of
    /// the listener for a successor, which keeps the accept queue open while the task runs. Must run inside a
    /// [`tokio::task::LocalSet`].
    pub async fn run(&self, listener: TcpListener, successor_task: Option<JoinHandle<()>>) {
        self.accept_until_closed(&listener).await;
        // A successor shares the accept queue and accepts the connections in it.
        if !self.has_successor() {
            if let Some(task) = successor_task {
                task.abort();
                let _ = task.await;
            }
            match self.drain_accept_queue(listener).await {
                Ok(count) => log::debug!("listener closed: {count} connections accepted from its queue"),
                Err(e) => log::warn!("draining the accept queue failed: {e}"),
            }
        }
        self.0.update_shutdown(|shutdown| shutdown.listener_closed());
        self.0.shutdown_notify.notify_waiters();
    }

    async fn accept_until_closed(&self, listener: &TcpListener) {
        let mut phase = self.0.phase.subscribe();
        let mut successor_accepts = self.0.successor_accepts.subscribe();
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // Checked before the listener: a client that arrives while the successor takes over is left
                // to the successor.
                biased;
                Ok(()) = successor_accepts.changed() => {}
                _ = phase.wait_for(|phase| *phase >= ServicePhase::ListenerClosed) => return,
                _ = sweep.tick() => {
                    self.0.pauses.record_run();
                    while self.needs_eviction() && self.0.connections.evict_one() {}
                }
                accepted = listener.accept(), if !*successor_accepts.borrow() => {
                    charge(Work::Message).await;
                    self.admit(accepted).await;
                }
            }
        }
    }

    /// Accepts the connections left in the accept queue, which the kernel has already established. Calls
    /// `accept` directly, since the runtime's readiness state is as old as its last poll. Goes on after an error
    /// until the process ends: a client in the queue may have sent a request. Returns the number of connections.
    async fn drain_accept_queue(&self, listener: TcpListener) -> io::Result<usize> {
        let queue = listener.into_std()?;
        let mut count = 0;
        loop {
            charge(Work::Message).await;
            match queue.accept() {
                Ok((stream, peer)) => {
                    stream.set_nonblocking(true)?;
                    self.admit(TcpStream::from_std(stream).map(|stream| (stream, peer))).await;
                    count += 1;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(count),
                Err(e) => self.accept_failed(&e).await,
            }
        }
    }

    async fn admit(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => return self.accept_failed(&e).await,
        };
        let shared = &self.0;
        let limit = self.limit();
        let made_room = self.needs_eviction() && shared.connections.evict_one();
        let at_limit = shared.connections.len() >= limit && !made_room;
        if at_limit {
            shared.log_rejection();
        }
        if shared.connections.len() >= limit + MAX_REJECTED_AT_ONCE {
            return tokio::task::yield_now().await; // lets the tasks of evicted connections end
        }
        let without_request = shared.connections.without_request() as f64;
        let short_deadline = without_request >= limit as f64 * MAX_SHARE_WITHOUT_REQUEST;
        connection::spawn(shared, stream, InitialStage::Startup { at_limit, short_deadline });
    }

    /// Logs an error of `accept` if a log line is due, and pauses. If descriptors or memory are short, evicts an
    /// idle connection.
    async fn accept_failed(&self, error: &io::Error) {
        if let Some(count) = self.0.accept_errors.record() {
            log::warn!("accept failed on the client listener: {error} ({count} errors)");
        }
        if is_resource_shortage(error) {
            self.0.connections.evict_one();
        }
        pause_after_accept_error(error).await;
    }

    fn needs_eviction(&self) -> bool {
        let reserved_clients = self.0.reserved_clients().min(self.limit());
        self.0.connections.len() as f64 >= reserved_clients as f64 * EVICTION_THRESHOLD_SHARE
    }

    /// Serves an idle connection that the predecessor has handed over, and raises a reduced client limit by
    /// one. `startup_complete` says whether the client's startup is done.
    pub fn take_over_connection(&self, stream: TcpStream, startup_complete: bool) {
        self.0.reduced_limit.set(self.0.reduced_limit.get().map(|limit| limit + 1));
        let initial_stage = if startup_complete {
            InitialStage::Ready
        } else {
            InitialStage::Startup { at_limit: false, short_deadline: false }
        };
        connection::spawn(&self.0, stream, initial_stage);
    }

    /// Applies new settings to requests that arrive from now on. `names` holds the names of the classes in
    /// the order of the settings.
    pub fn reconfigure(&self, settings: Settings, names: &[String]) {
        self.0.classes.borrow_mut().reconfigure(&self.0.driver, settings, names);
    }

    /// Takes the proxy out of service without ending the process. Empty queries, which health checks send,
    /// get an error at once. Clients are served until the load balancer has seen the error, and are then
    /// closed between requests.
    pub fn take_out_of_service(&self) {
        if self.is_out_of_service() {
            return;
        }
        self.0.phase.set_by_operator(ServicePhase::FailingHealthChecks);
        let shared = self.0.clone();
        let change_count = shared.phase.operator_change_count();
        spawn_local(async move {
            tokio::time::sleep(OUT_OF_SERVICE_NOTICE_PERIOD).await;
            if shared.phase.operator_change_count() == change_count {
                shared.phase.set_by_operator(ServicePhase::OutOfService);
            }
        });
    }

    /// Returns the proxy to service after [`Self::take_out_of_service`].
    pub fn return_to_service(&self) {
        self.0.phase.set_by_operator(ServicePhase::InService);
    }

    /// Returns whether the proxy is out of service, about to be, or draining clients for a shutdown.
    pub fn is_out_of_service(&self) -> bool {
        self.0.phase.current() != ServicePhase::InService
    }

    /// Returns the current client limit, which is lower while another process serves a part of the clients.
    pub fn limit(&self) -> usize {
        self.0.limit()
    }

    /// Sets a reduced client limit while another process serves a part of the clients; `None` restores the
    /// full limit.
    pub fn set_limit(&self, limit: Option<usize>) {
        self.0.reduced_limit.set(limit);
    }

    /// Restores the full client limit and accepts clients again. To be called when no other process accepts
    /// clients any more.
    pub fn resume_accepting(&self) {
        self.set_limit(None);
        self.0.successor_accepts.send_replace(false);
    }

    /// Stops accepting clients and keeps those that are connected. Returns the number of clients kept, which
    /// becomes the client limit.
    pub fn stop_accepting(&self) -> usize {
        let kept = self.0.connections.len().min(self.limit());
        self.set_limit(Some(kept));
        self.0.successor_accepts.send_replace(true);
        kept
    }

    /// Sets the successor that takes over connections once the listener is closed; `None` when the successor
    /// has ended.
    pub fn set_successor(&self, successor: Option<Successor>) {
        self.0.successor.replace(successor);
        self.0.shutdown_notify.notify_waiters();
    }

    /// Sets a newer process that serves in parallel with a listener of its own; `None` when it has ended.
    pub fn set_parallel_successor(&self, successor: Option<Successor>) {
        self.0.parallel_successor.replace(successor);
        self.0.shutdown_notify.notify_waiters();
    }

    /// Returns whether a successor takes over connections.
    pub fn has_successor(&self) -> bool {
        self.0.successor.borrow().is_some()
    }
}
