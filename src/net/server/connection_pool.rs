//! Pool of connections to data servers: keeps idle connections by server, and opens new ones within the
//! socket budget.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

use super::attempt::AttemptStage;
use super::options::ServerOptions;
use super::reply::{read_reply, ExpectedReply};
use super::reuse_statistics::ReuseStatistics;
use super::socket_budget::ServerSocketBudget;
use crate::api::{Outcome, ServerId};
use crate::net::buffers::{write_all, BufferPool};
use crate::net::driver::Clock;
use crate::net::postgres;

/// User in the startup packet; data servers accept any.
const LOGIN_USER: &str = "worker";
/// Database in the startup packet; data servers accept any.
const LOGIN_DATABASE: &str = "catalog";

/// A connection that is idle in the pool, or in use by the attempt or health check that owns it.
pub(super) struct PooledConnection {
    pub stream: TcpStream,
    /// Address that the connection was opened to.
    address: SocketAddr,
    /// Time at which the connection was last returned to the pool, or else established.
    pub idle_since: Instant,
    /// Permit of the socket budget; released when the connection is dropped.
    _permit: OwnedSemaphorePermit,
}

/// Result of [`ConnectionPool::checkout`].
pub(super) enum CheckoutResult {
    Ready(PooledConnection),
    /// No connection is available; holds the outcome of the attempt.
    Failed(Outcome),
}

/// Pool of connections to data servers.
pub(super) struct ConnectionPool {
    clock: Clock,
    buffers: BufferPool,
    options: RefCell<ServerOptions>,
    budget: ServerSocketBudget,
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    /// Idle connections by server; the connection with the longest idle time comes first.
    idle: RefCell<HashMap<ServerId, Vec<PooledConnection>>>,
    reuse_statistics: RefCell<ReuseStatistics>,
}

impl ConnectionPool {
    pub(super) fn new(clock: Clock, options: ServerOptions, buffers: BufferPool) -> Self {
        Self {
            clock,
            buffers,
            budget: ServerSocketBudget::new(options.max_sockets),
            options: RefCell::new(options),
            addresses: RefCell::default(),
            idle: RefCell::default(),
            reuse_statistics: RefCell::default(),
        }
    }

    /// Applies new options. The number of sockets in `options` has no effect on the budget.
    pub(super) fn reconfigure(&self, options: ServerOptions) {
        self.options.replace(options);
    }

    pub(super) fn set_address(&self, server: ServerId, address: SocketAddr) {
        let previous = self.addresses.borrow_mut().insert(server, address);
        if previous.is_some_and(|previous| previous != address) {
            self.close_idle_connections(server);
        }
    }

    pub(super) fn remove_server(&self, server: ServerId) {
        self.addresses.borrow_mut().remove(&server);
        self.close_idle_connections(server);
    }

    pub(super) fn close_idle_connections(&self, server: ServerId) {
        self.idle.borrow_mut().remove(&server);
    }

    pub(super) fn set_socket_limit(&self, limit: usize) {
        self.budget.set_limit(limit);
        self.enforce_budget();
    }

    pub(super) fn set_socket_share(&self, share: f64) {
        self.budget.set_share(share);
        self.enforce_budget();
    }

    pub(super) fn enforce_budget(&self) {
        self.budget.enforce(|| self.close_longest_idle());
    }

    /// Closes connections that have been idle for too long. Otherwise a query could be sent just as the
    /// server closes its connection.
    pub(super) fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| self.is_reusable(connection));
            !connections.is_empty()
        });
    }

    /// Returns a connection to a server: a reusable idle connection, or else a new one.
    ///
    /// # Errors
    ///
    /// Returns errors of the socket, and `InvalidData` if the server violates the protocol.
    pub(super) async fn checkout(
        &self,
        server: ServerId,
        stage: &Cell<AttemptStage>,
    ) -> io::Result<CheckoutResult> {
        if let Some(connection) = self.take_idle(server) {
            stage.set(AttemptStage::ConnectingOrWriting);
            return Ok(CheckoutResult::Ready(connection));
        }
        let permit = self.budget.acquire(|| self.close_longest_idle()).await;
        stage.set(AttemptStage::ConnectingOrWriting);
        let address = self.addresses.borrow().get(&server).copied();
        let Some(address) = address else { return Ok(CheckoutResult::Failed(Outcome::ConnectFailed)) };
        let connect = self.connect(address, permit);
        match timeout_at(self.connect_deadline(), connect).await {
            Ok(result) => result,
            Err(_) => Ok(CheckoutResult::Failed(Outcome::ConnectFailed)),
        }
    }

    /// Returns a connection to the pool. Closes the connection instead if an attempt or a health check waits
    /// for a socket, or if the server has another address now.
    pub(super) fn release(&self, server: ServerId, mut connection: PooledConnection) {
        let is_current = self.addresses.borrow().get(&server) == Some(&connection.address);
        if is_current && !self.budget.has_waiters() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(server).or_default().push(connection);
        }
    }

    /// Records whether a connection broke at the query that followed `idle_time`.
    pub(super) fn record_reuse(&self, idle_time: Duration, broke: bool) {
        self.reuse_statistics.borrow_mut().record(self.now_secs(), idle_time, broke);
    }

    /// Returns the time by which a connection that is opened now must be established.
    pub(super) fn connect_deadline(&self) -> Instant {
        Instant::now() + self.options.borrow().connect_timeout
    }

    /// Returns the time by which an attempt that is commanded now must start to write its query, and by which
    /// a health check that is commanded now must be complete; `None` for no limit.
    pub(super) fn start_deadline(&self) -> Option<Instant> {
        self.options.borrow().start_timeout.map(|timeout| Instant::now() + timeout)
    }

    /// Returns whether health checks return load reports.
    pub(super) fn health_checks_return_load_reports(&self) -> bool {
        self.options.borrow().health_checks_return_load_reports
    }

    pub(super) fn max_sockets(&self) -> usize {
        self.options.borrow().max_sockets
    }

    fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        loop {
            let connection = self.idle.borrow_mut().get_mut(&server)?.pop()?;
            if self.is_reusable(&connection) && self.has_no_input(&connection) {
                return Some(connection);
            }
        }
    }

    /// Returns whether an idle connection has nothing to read. Unexpected bytes, an error or the end of the
    /// stream make the connection unusable.
    fn has_no_input(&self, connection: &PooledConnection) -> bool {
        let read = self.buffers.chain().try_read_from(&connection.stream);
        read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    fn is_reusable(&self, connection: &PooledConnection) -> bool {
        let idle_time = connection.idle_since.elapsed();
        let max_idle_time = self.options.borrow().max_idle_time;
        let max_observed = self.reuse_statistics.borrow().max_idle_time(self.now_secs());
        (max_idle_time.is_zero() || idle_time < max_idle_time)
            && max_observed.is_none_or(|max| idle_time < max)
    }

    /// Closes the connection with the longest idle time. Returns false if no connection is idle.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let by_server = idle.values_mut().filter(|connections| !connections.is_empty());
        let longest = by_server.min_by_key(|connections| connections[0].idle_since);
        longest.map(|connections| connections.remove(0)).is_some()
    }

    async fn connect(&self, address: SocketAddr, permit: OwnedSemaphorePermit) -> io::Result<CheckoutResult> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let startup = postgres::encode_startup_packet(LOGIN_USER, LOGIN_DATABASE);
        write_all(&stream, &mut [IoSlice::new(&startup)]).await?;
        let reply = read_reply(&self.buffers, &stream, ExpectedReply::Startup, || {}).await?;
        Ok(match reply.sqlstate() {
            None if reply.is_connection_reusable() => {
                let idle_since = Instant::now();
                CheckoutResult::Ready(PooledConnection { stream, address, idle_since, _permit: permit })
            }
            Some(b"53300") => CheckoutResult::Failed(Outcome::Rejected),
            _ => CheckoutResult::Failed(Outcome::ConnectFailed),
        })
    }

    fn now_secs(&self) -> f64 {
        self.clock.now().as_secs_f64()
    }
}
