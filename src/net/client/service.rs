//! The listener's loop, admission of clients, and the orders that concern all of them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::MissedTickBehavior;

use super::class_table::NamedClass;
use super::connection::{self, Admission};
use super::service_phase::ServicePhase;
use super::shared::Shared;
use crate::api::Settings;
use crate::net::buffers::BufferPool;
use crate::net::hot_restart::frame::Successor;
use crate::net::server::PgDriver;

/// Share of the usual number of clients from which on idle connections are evicted.
const EVICTION_SHARE: f64 = 0.5;
/// Share of the client limit that clients without a request may have. Beyond it a new client must send one at
/// once.
const MAX_SHARE_WITHOUT_REQUEST: f64 = 0.25;
/// Interval of the search for connections to evict.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Clients over the limit that get an error at the same time; further ones are closed unread.
const MAX_REJECTED_AT_ONCE: usize = 8;
/// Time for which clients still arrive after the load balancer was told to send no more: it asks each 0.1 s,
/// and sends some for 0.2 s after that.
const ARRIVALS_AFTER_NOTICE: Duration = Duration::from_millis(600);
/// Pause after a failed accept, which must neither end nor spin the loop.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const LISTEN_BACKLOG: u32 = 1024;

/// What the client side is set up with.
pub struct ClientOptions {
    /// Largest number of clients; further ones are rejected.
    pub max_clients: usize,
    /// Number of clients beyond which each takes a socket from the data servers' side.
    pub usual_clients: usize,
    /// Sockets of both sides together.
    pub sockets: usize,
    /// The classes of requests, by name.
    pub classes: HashMap<String, NamedClass>,
}

/// The client side of a process. Clones share it.
#[derive(Clone)]
pub struct ClientService(pub(super) Rc<Shared>);

/// Listens at an address, which another process may have left a moment ago, or may still have.
///
/// # Errors
///
/// Those of the system.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

impl ClientService {
    /// A client side without clients.
    pub fn new(driver: PgDriver, options: ClientOptions, pool: BufferPool) -> Self {
        Self(Rc::new(Shared::new(driver, options, pool)))
    }

    /// Accepts clients until a graceful shutdown closes the listener. `successor_task` has a copy of the
    /// listener for successors; the accept queue stays open as long as that task runs. Must run inside a
    /// [`tokio::task::LocalSet`].
    pub async fn run(&self, listener: TcpListener, successor_task: Option<JoinHandle<()>>) {
        self.accept_until_closed(&listener).await;
        // A successor has the same accept queue.
        if !self.has_successor() {
            if let Some(task) = successor_task {
                task.abort();
                let _ = task.await;
            }
            if let Err(e) = self.drain_accept_queue(listener).await {
                log::warn!("can't drain the accept queue: {e}");
            }
        }
        self.0.update_shutdown(|shutdown| shutdown.listener_closed());
        self.0.shutdown_progress.notify_waiters();
    }

    async fn accept_until_closed(&self, listener: &TcpListener) {
        let mut phase = self.0.phase.subscribe();
        let mut successor_accepts = self.0.successor_accepts.subscribe();
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // A client that arrives when the successor takes over belongs to the successor.
                biased;
                Ok(()) = successor_accepts.changed() => {}
                _ = phase.wait_for(|phase| *phase >= ServicePhase::ListenerClosed) => return,
                _ = sweep.tick() => {
                    self.0.pauses.record_run();
                    while self.is_crowded() && self.0.connections.evict_one() {}
                }
                accepted = listener.accept(), if !*successor_accepts.borrow() => self.admit(accepted).await,
            }
        }
    }

    /// Accepts all that is left in the accept queue, since the system has accepted these connections. Asks
    /// the system and not the runtime, whose readiness is as old as its last poll.
    async fn drain_accept_queue(&self, listener: TcpListener) -> io::Result<()> {
        let queue = listener.into_std()?;
        loop {
            match queue.accept() {
                Ok((stream, peer)) => {
                    stream.set_nonblocking(true)?;
                    self.admit(TcpStream::from_std(stream).map(|stream| (stream, peer))).await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    async fn admit(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("accept failed: {e}");
                return tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        };
        let shared = &self.0;
        let limit = self.limit();
        let made_room = self.is_crowded() && shared.connections.evict_one();
        let is_full = shared.connections.len() >= limit && !made_room;
        if is_full {
            shared.log_rejection();
        }
        if shared.connections.len() >= limit + MAX_REJECTED_AT_ONCE {
            return tokio::task::yield_now().await; // evicted connections must get to end
        }
        let without_request = shared.connections.without_request() as f64;
        let must_hurry = without_request >= limit as f64 * MAX_SHARE_WITHOUT_REQUEST;
        connection::spawn(shared, stream, Admission::New { is_full, must_hurry });
    }

    fn is_crowded(&self) -> bool {
        let usual = self.0.usual_clients().min(self.limit());
        self.0.connections.len() as f64 >= usual as f64 * EVICTION_SHARE
    }

    /// Takes over a connection between requests; `started` if its startup is done.
    pub fn adopt(&self, stream: TcpStream, started: bool) {
        self.0.reduced_limit.set(self.0.reduced_limit.get().map(|limit| limit + 1));
        let admission =
            if started { Admission::Started } else { Admission::New { is_full: false, must_hurry: false } };
        connection::spawn(&self.0, stream, admission);
    }

    /// Takes new settings, whose classes go by `names`, for requests that come from now on.
    pub fn reconfigure(&self, settings: Settings, names: &[String]) {
        self.0.classes.borrow_mut().reconfigure(&self.0.driver, settings, names);
    }

    /// Takes the proxy out of service: empty queries, which health checks send, get an error from now on;
    /// clients are served until the load balancer has noticed, and are then closed between requests. The
    /// process goes on.
    pub fn take_out_of_service(&self) {
        if self.is_out_of_service() {
            return;
        }
        self.0.phase.order(ServicePhase::Announced);
        let shared = self.0.clone();
        let order = shared.phase.last_order();
        spawn_local(async move {
            tokio::time::sleep(ARRIVALS_AFTER_NOTICE).await;
            if shared.phase.last_order() == order {
                shared.phase.order(ServicePhase::OutOfService);
            }
        });
    }

    /// Returns to service after [`Self::take_out_of_service`].
    pub fn return_to_service(&self) {
        self.0.phase.order(ServicePhase::Open);
    }

    /// Whether the proxy was taken out of service, or shuts down.
    pub fn is_out_of_service(&self) -> bool {
        self.0.phase.current() != ServicePhase::Open
    }

    /// Largest number of clients.
    pub fn limit(&self) -> usize {
        self.0.limit()
    }

    /// Reduces the limit while another process has a part of the clients.
    pub fn set_limit(&self, limit: Option<usize>) {
        self.0.reduced_limit.set(limit);
    }

    /// Restores the full limit and accepts clients: no other process does any more.
    pub fn clear_limit(&self) {
        self.set_limit(None);
        self.0.successor_accepts.send_replace(false);
    }

    /// Accepts no more clients and keeps those that are connected; gives how many these are.
    pub fn stop_accepting(&self) -> usize {
        let kept = self.0.connections.len().min(self.limit());
        self.set_limit(Some(kept));
        self.0.successor_accepts.send_replace(true);
        kept
    }

    /// Sets who takes over connections once the listener is closed.
    pub fn set_successor(&self, successor: Option<Successor>) {
        self.0.successor.replace(successor);
        self.0.shutdown_progress.notify_waiters();
    }

    /// Sets a newer process that has a listener of its own, or that it has ended.
    pub fn set_parallel_successor(&self, other: Option<Successor>) {
        self.0.parallel_successor.replace(other);
        self.0.shutdown_progress.notify_waiters();
    }

    /// Whether a successor takes over connections.
    pub fn has_successor(&self) -> bool {
        self.0.successor.borrow().is_some()
    }
}
