//! Servers in a given state for unit tests.

use super::Server;

impl Server {
    /// A server that has reported this position and nothing else.
    pub fn at_position(position: f64) -> Self {
        let mut server = Self::default();
        server.replication.set_position(position);
        server
    }
}
