//! Connections to data servers: idle ones by server, and new ones within the socket budget.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{timeout_at, Instant};

use super::attempt::Stage;
use super::options::ServerOptions;
use super::reply::{read_reply, Expectation};
use super::reuse_statistics::ReuseStatistics;
use super::socket_budget::SocketBudget;
use crate::api::{Outcome, ServerId};
use crate::net::buffers::{write_all, BufferPool};
use crate::net::driver::Clock;
use crate::net::postgres;

/// The user that data servers are asked for; they accept any.
const LOGIN_USER: &str = "worker";
/// The database that data servers are asked for; they accept any.
const LOGIN_DATABASE: &str = "catalog";

/// A connection that is idle, or serves the attempt that owns it.
pub(super) struct PooledConnection {
    pub stream: TcpStream,
    address: SocketAddr,
    pub idle_since: Instant,
    /// Its share of the socket budget.
    _permit: OwnedSemaphorePermit,
}

/// What a request for a connection ends with.
pub(super) enum Checkout {
    Ready(PooledConnection),
    /// No connection: the outcome that this means for the attempt.
    Failed(Outcome),
}

/// All connections to data servers.
pub(super) struct ConnectionPool {
    clock: Clock,
    buffers: BufferPool,
    options: RefCell<ServerOptions>,
    budget: SocketBudget,
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    /// By server, the connection that has been idle longest first.
    idle: RefCell<HashMap<ServerId, Vec<PooledConnection>>>,
    reuse: RefCell<ReuseStatistics>,
}

impl ConnectionPool {
    pub(super) fn new(clock: Clock, options: ServerOptions, buffers: BufferPool) -> Self {
        Self {
            clock,
            buffers,
            budget: SocketBudget::new(options.max_sockets),
            options: RefCell::new(options),
            addresses: RefCell::default(),
            idle: RefCell::default(),
            reuse: RefCell::default(),
        }
    }

    /// Takes new options; the number of sockets stays.
    pub(super) fn reconfigure(&self, options: ServerOptions) {
        self.options.replace(options);
    }

    pub(super) fn set_address(&self, server: ServerId, address: SocketAddr) {
        let previous = self.addresses.borrow_mut().insert(server, address);
        if previous.is_some_and(|previous| previous != address) {
            self.close_idle_of(server);
        }
    }

    pub(super) fn forget(&self, server: ServerId) {
        self.addresses.borrow_mut().remove(&server);
        self.close_idle_of(server);
    }

    pub(super) fn close_idle_of(&self, server: ServerId) {
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

    /// Closes what has been idle for too long: a query must not cross the server's own close.
    pub(super) fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|connection| self.is_reusable(connection));
            !connections.is_empty()
        });
    }

    /// A connection to a server: an idle one that is still good, or a new one.
    ///
    /// # Errors
    ///
    /// Those of the socket, and `InvalidData` for a server that breaks the protocol.
    pub(super) async fn checkout(&self, server: ServerId, stage: &Cell<Stage>) -> io::Result<Checkout> {
        if let Some(connection) = self.take_idle(server) {
            stage.set(Stage::Connecting);
            return Ok(Checkout::Ready(connection));
        }
        let permit = self.budget.acquire(|| self.close_longest_idle()).await;
        stage.set(Stage::Connecting);
        let address = self.addresses.borrow().get(&server).copied();
        let Some(address) = address else { return Ok(Checkout::Failed(Outcome::ConnectFailed)) };
        let connect = self.connect(address, permit);
        match timeout_at(self.connect_deadline(), connect).await {
            Ok(done) => done,
            Err(_) => Ok(Checkout::Failed(Outcome::ConnectFailed)),
        }
    }

    /// Returns a connection for reuse, unless an attempt waits for its socket or its server has moved.
    pub(super) fn give_back(&self, server: ServerId, mut connection: PooledConnection) {
        let is_current = self.addresses.borrow().get(&server) == Some(&connection.address);
        if is_current && !self.budget.has_waiters() {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(server).or_default().push(connection);
        }
    }

    /// Records whether a connection broke at a query after it had been idle for so long.
    pub(super) fn record_reuse(&self, idle_time: Duration, broke: bool) {
        self.reuse.borrow_mut().record(self.now_secs(), idle_time, broke);
    }

    /// When a connection that is opened now must be up.
    pub(super) fn connect_deadline(&self) -> Instant {
        Instant::now() + self.options.borrow().connect_timeout
    }

    /// When what is decided on now must have begun, where the settings bound that.
    pub(super) fn start_deadline(&self) -> Option<Instant> {
        self.options.borrow().start_timeout.map(|timeout| Instant::now() + timeout)
    }

    /// Whether health checks return load reports.
    pub(super) fn health_checks_report(&self) -> bool {
        self.options.borrow().health_checks_report
    }

    pub(super) fn max_sockets(&self) -> usize {
        self.options.borrow().max_sockets
    }

    fn take_idle(&self, server: ServerId) -> Option<PooledConnection> {
        loop {
            let connection = self.idle.borrow_mut().get_mut(&server)?.pop()?;
            if self.is_reusable(&connection) && self.is_quiet(&connection) {
                return Some(connection);
            }
        }
    }

    /// Whatever can be read on an idle connection, its end included, makes it useless.
    fn is_quiet(&self, connection: &PooledConnection) -> bool {
        let read = self.buffers.chain().try_read_from(&connection.stream);
        read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    fn is_reusable(&self, connection: &PooledConnection) -> bool {
        let idle_time = connection.idle_since.elapsed();
        let max_idle = self.options.borrow().max_idle;
        let max_observed = self.reuse.borrow().max_idle_time(self.now_secs());
        (max_idle.is_zero() || idle_time < max_idle) && max_observed.is_none_or(|max| idle_time < max)
    }

    /// Closes the connection that has been idle longest, if there is one.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let by_server = idle.values_mut().filter(|connections| !connections.is_empty());
        let longest = by_server.min_by_key(|connections| connections[0].idle_since);
        longest.map(|connections| connections.remove(0)).is_some()
    }

    async fn connect(&self, address: SocketAddr, permit: OwnedSemaphorePermit) -> io::Result<Checkout> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let startup = postgres::encode_startup_packet(LOGIN_USER, LOGIN_DATABASE);
        write_all(&stream, &mut [IoSlice::new(&startup)]).await?;
        let reply = read_reply(&self.buffers, &stream, Expectation::Welcome).await?;
        Ok(match reply.sqlstate() {
            None if reply.is_connection_reusable() => {
                let idle_since = Instant::now();
                Checkout::Ready(PooledConnection { stream, address, idle_since, _permit: permit })
            }
            Some(b"53300") => Checkout::Failed(Outcome::Rejected),
            _ => Checkout::Failed(Outcome::ConnectFailed),
        })
    }

    fn now_secs(&self) -> f64 {
        self.clock.now().as_secs_f64()
    }
}
