//! How the sockets of a process are shared between clients and data servers.

use std::cell::Cell;

use super::connection_table::ConnectionTable;
use crate::net::driver::ServerCommand;
use crate::net::server::PgDriver;

/// The share moves in steps of so many clients.
const CLIENT_STEP: usize = 4;

/// Gives data servers the sockets that clients don't need.
pub(super) struct SocketShare {
    max_clients: usize,
    usual_clients: usize,
    sockets: usize,
    left_to_servers: Cell<usize>,
}

impl SocketShare {
    /// Shares out `sockets`: clients get what `usual_clients` need, and up to `max_clients` when they come in
    /// crowds.
    pub(super) fn new(max_clients: usize, usual_clients: usize, sockets: usize) -> Self {
        let left_to_servers = Cell::new(sockets - usual_clients);
        Self { max_clients, usual_clients, sockets, left_to_servers }
    }

    pub(super) fn max_clients(&self) -> usize {
        self.max_clients
    }

    pub(super) fn usual_clients(&self) -> usize {
        self.usual_clients
    }

    /// Follows the number of connections. Clients that are only rejected have a reserve of their own.
    pub(super) fn update(&self, connections: &ConnectionTable, driver: &PgDriver) {
        let clients = connections.len().next_multiple_of(CLIENT_STEP) + CLIENT_STEP;
        let left = self.sockets - clients.clamp(self.usual_clients, self.max_clients);
        if self.left_to_servers.replace(left) != left {
            driver.send_command(ServerCommand::SetSocketLimit(left));
        }
    }
}
