//! Constructors of servers for unit tests.

use super::Server;

impl Server {
    /// Creates a server that has reported only this position.
    pub fn at_position(position: f64) -> Self {
        let mut server = Self::default();
        server.replication.set_position(position);
        server
    }
}
