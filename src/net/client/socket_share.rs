//! Division of the process's sockets between clients and data servers.

use std::cell::Cell;

use super::connection_table::ConnectionTable;
use crate::net::driver::ServerCommand;
use crate::net::server::PgDriver;

/// Step by which the number of sockets for clients changes.
const CLIENT_COUNT_STEP: usize = 4;

/// Division of the process's sockets between clients and data servers. Data servers get the sockets that
/// clients do not need.
pub(super) struct SocketShare {
    max_clients: usize,
    reserved_clients: usize,
    /// Sockets of clients and data servers together.
    sockets: usize,
    /// Socket limit that was last sent to the server side.
    server_sockets: Cell<usize>,
}

impl SocketShare {
    /// Divides `sockets`: `reserved_clients` sockets are reserved for clients, and clients may take up to
    /// `max_clients` sockets under load.
    pub(super) fn new(max_clients: usize, reserved_clients: usize, sockets: usize) -> Self {
        let server_sockets = Cell::new(sockets - reserved_clients);
        Self { max_clients, reserved_clients, sockets, server_sockets }
    }

    pub(super) fn max_clients(&self) -> usize {
        self.max_clients
    }

    pub(super) fn reserved_clients(&self) -> usize {
        self.reserved_clients
    }

    /// Adjusts the data servers' socket limit to the number of client connections. Clients over the limit,
    /// which are only rejected, use sockets that are not part of `sockets`.
    pub(super) fn update(&self, connections: &ConnectionTable, driver: &PgDriver) {
        let clients = connections.len().next_multiple_of(CLIENT_COUNT_STEP) + CLIENT_COUNT_STEP;
        let server_sockets = self.sockets - clients.clamp(self.reserved_clients, self.max_clients);
        if self.server_sockets.replace(server_sockets) != server_sockets {
            driver.send_command(ServerCommand::SetSocketLimit(server_sockets));
        }
    }
}
