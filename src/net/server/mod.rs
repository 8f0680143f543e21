//! Server side of the proxy: pooled connections to data servers, and the attempts and health checks that use
//! them.
//!
//! [`run`] receives the driver's commands. Each attempt and each health check runs in its own task and
//! reports its result to the driver; errors become outcomes. The abort handle of an attempt is kept until the
//! attempt ends. Cancelling an attempt aborts its task, which closes the connection.

mod attempt;
mod connection_pool;
mod health_check;
mod load_report;
mod options;
mod position_clock;
mod query_result;
mod reply;
mod reuse_statistics;
mod socket_budget;

pub use options::ServerOptions;
pub use query_result::{Query, QueryResult};
pub use reuse_statistics::ReuseStatistics;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{spawn_local, AbortHandle};

use crate::api::{AttemptId, ServerId};
use crate::net::buffers::BufferPool;
use crate::net::driver::{AttemptCommand, Driver, ServerCommand};
use crate::net::log_limit::LogLimit;
use connection_pool::ConnectionPool;
use health_check::HealthCheckStatus;
use position_clock::PositionClock;

/// Interval between checks for connections that have been idle for too long.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The engine's driver with queries and query results of PostgreSQL's protocol.
pub type PgDriver = Driver<Query, QueryResult>;

/// State of the server side.
struct ServerSide {
    driver: PgDriver,
    buffers: BufferPool,
    connections: ConnectionPool,
    /// Converts the positions that servers report.
    position_clock: PositionClock,
    /// Attempts whose tasks run.
    attempts: RefCell<HashMap<AttemptId, AbortHandle>>,
    /// Log lines about invalid replies of servers.
    invalid_replies: LogLimit,
}

/// Executes the driver's commands until the driver is dropped. Must run inside a [`tokio::task::LocalSet`].
pub async fn run(
    driver: PgDriver,
    mut commands: UnboundedReceiver<ServerCommand<Query>>,
    options: ServerOptions,
    buffers: BufferPool,
) {
    let connections = ConnectionPool::new(driver.clock(), options, buffers.clone());
    let position_clock = PositionClock::new(driver.clock());
    let server_side = Rc::new(ServerSide {
        driver,
        buffers,
        connections,
        position_clock,
        attempts: RefCell::default(),
        invalid_replies: LogLimit::default(),
    });
    let mut idle_check = tokio::time::interval(IDLE_CHECK_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => server_side.execute_command(command),
                None => return,
            },
            _ = idle_check.tick() => server_side.connections.close_expired(),
        }
    }
}

impl ServerSide {
    fn execute_command(self: &Rc<Self>, command: ServerCommand<Query>) {
        self.connections.enforce_budget();
        match command {
            ServerCommand::StartAttempt(attempt) => self.spawn_attempt(attempt),
            ServerCommand::CancelAttempt(attempt) => {
                if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
                    task.abort();
                }
            }
            ServerCommand::HealthCheck(server) => self.spawn_health_check(server),
            ServerCommand::CloseIdleConnections(server) => self.connections.close_idle_connections(server),
            ServerCommand::SetAddress(server, address) => self.connections.set_address(server, address),
            ServerCommand::RemoveServer(server) => self.connections.remove_server(server),
            ServerCommand::Reconfigure(settings, server_idle_timeout) => {
                let max_sockets = self.connections.max_sockets();
                let options = ServerOptions::new(&settings, server_idle_timeout, max_sockets);
                self.connections.reconfigure(options);
            }
            ServerCommand::SetSocketLimit(limit) => self.connections.set_socket_limit(limit),
            ServerCommand::SetSocketShare(share) => self.connections.set_socket_share(share),
        }
    }

    fn spawn_attempt(self: &Rc<Self>, command: AttemptCommand<Query>) {
        let server_side = self.clone();
        let id = command.id;
        let task = spawn_local(async move {
            let result = server_side.run_attempt(&command).await;
            server_side.attempts.borrow_mut().remove(&id);
            server_side.driver.attempt_ended(id, result);
        });
        self.attempts.borrow_mut().insert(id, task.abort_handle());
    }

    fn spawn_health_check(self: &Rc<Self>, server: ServerId) {
        let server_side = self.clone();
        spawn_local(async move {
            let result = server_side.check_health(server).await;
            if let Some(HealthCheckStatus { status, sent_at }) = result.status {
                server_side.driver.status_reported(server, status, sent_at);
            }
            server_side.driver.health_checked(server, result.ok, result.load_report);
        });
    }
}
