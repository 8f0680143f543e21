//! The data servers' side: pooled connections, and the attempts and health checks that run on them.
//!
//! [`run`] owns the commands' channel. Each attempt is a task of its own; its abort handle is kept until it
//! ends, so that a cancelled attempt closes its connection. Tasks report to the driver, and their errors
//! become outcomes.

mod answer;
mod attempt;
mod connection_pool;
mod health_check;
mod load_report;
mod options;
mod reply;
mod reuse_statistics;
mod socket_budget;

pub use answer::{Answer, Query};
pub use options::ServerOptions;
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
use connection_pool::ConnectionPool;

/// Interval at which connections that have been idle for too long are closed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The driver with this protocol's queries and answers.
pub type PgDriver = Driver<Query, Answer>;

/// State of the data servers' side.
struct ServerSide {
    driver: PgDriver,
    buffers: BufferPool,
    connections: ConnectionPool,
    attempts: RefCell<HashMap<AttemptId, AbortHandle>>,
}

/// Executes commands until the driver is dropped. Must run inside a [`tokio::task::LocalSet`].
pub async fn run(
    driver: PgDriver,
    mut commands: UnboundedReceiver<ServerCommand<Query>>,
    options: ServerOptions,
    buffers: BufferPool,
) {
    let connections = ConnectionPool::new(driver.clock(), options, buffers.clone());
    let side = Rc::new(ServerSide { driver, buffers, connections, attempts: RefCell::default() });
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(command) => side.execute_command(command),
                None => return,
            },
            _ = sweep.tick() => side.connections.sweep(),
        }
    }
}

impl ServerSide {
    fn execute_command(self: &Rc<Self>, command: ServerCommand<Query>) {
        self.connections.enforce_budget();
        match command {
            ServerCommand::Attempt(attempt) => self.spawn_attempt(attempt),
            ServerCommand::Cancel(attempt) => {
                if let Some(task) = self.attempts.borrow_mut().remove(&attempt) {
                    task.abort();
                }
            }
            ServerCommand::HealthCheck(server) => self.spawn_health_check(server),
            ServerCommand::CloseIdle(server) => self.connections.close_idle_of(server),
            ServerCommand::SetAddress(server, address) => self.connections.set_address(server, address),
            ServerCommand::Forget(server) => self.connections.forget(server),
            ServerCommand::Reconfigure(settings, server_idle_timeout) => {
                let max_sockets = self.connections.max_sockets();
                let options = ServerOptions::new(&settings, server_idle_timeout, max_sockets);
                self.connections.reconfigure(options);
            }
            ServerCommand::SetSocketLimit(limit) => self.connections.set_socket_limit(limit),
            ServerCommand::SetShare(share) => self.connections.set_socket_share(share),
        }
    }

    fn spawn_attempt(self: &Rc<Self>, command: AttemptCommand<Query>) {
        let side = self.clone();
        let id = command.id;
        let task = spawn_local(async move {
            let result = side.run_attempt(&command).await;
            side.attempts.borrow_mut().remove(&id);
            side.driver.attempt_ended(id, result);
        });
        self.attempts.borrow_mut().insert(id, task.abort_handle());
    }

    fn spawn_health_check(self: &Rc<Self>, server: ServerId) {
        let side = self.clone();
        spawn_local(async move {
            let result = side.check_health(server).await;
            side.driver.health_checked(server, result.ok, result.load_report);
        });
    }
}
