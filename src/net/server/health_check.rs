//! Health checks.

use std::cell::Cell;
use std::io::{self, IoSlice};

use tokio::time::timeout_at;

use super::attempt::Stage;
use super::connection_pool::Checkout;
use super::reply::{read_reply, Expectation, Reply};
use super::ServerSide;
use crate::api::{LoadReport, ServerId};
use crate::net::buffers::write_all;
use crate::net::postgres;

/// Asks for a load report.
const REPORT_QUERY: &str = "SHOW stats";
/// Asks for nothing but a reply.
const PLAIN_QUERY: &str = "SELECT 1";

/// What a health check found.
pub(super) struct HealthCheckResult {
    pub ok: bool,
    pub load_report: Option<LoadReport>,
}

impl ServerSide {
    /// Checks a server's health. One that takes longer than a connection may counts as failed.
    pub(super) async fn check_health(&self, server: ServerId) -> HealthCheckResult {
        let connect_deadline = self.connections.connect_deadline();
        let start_deadline = self.connections.start_deadline();
        let deadline = start_deadline.map_or(connect_deadline, |start| start.min(connect_deadline));
        match timeout_at(deadline, self.health_check_reply(server)).await {
            Ok(Ok(reply)) => HealthCheckResult {
                ok: reply.is_value(),
                load_report: reply.health_check_report(self.driver.clock()),
            },
            // A reply that can't be read came from a server that is up.
            Ok(Err(e)) => HealthCheckResult { ok: e.kind() == io::ErrorKind::InvalidData, load_report: None },
            Err(_) => HealthCheckResult { ok: false, load_report: None },
        }
    }

    async fn health_check_reply(&self, server: ServerId) -> io::Result<Reply> {
        let text = if self.connections.health_checks_report() { REPORT_QUERY } else { PLAIN_QUERY };
        let stage = Cell::new(Stage::WaitingForSocket);
        let Checkout::Ready(connection) = self.connections.checkout(server, &stage).await? else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        if !self.driver.accepts_attempts(server) {
            return Err(io::ErrorKind::NotConnected.into());
        }
        let query = postgres::encode_simple_query(text);
        write_all(&connection.stream, &mut [IoSlice::new(&query)]).await?;
        let reply = read_reply(&self.buffers, &connection.stream, Expectation::Value).await?;
        if reply.is_connection_reusable() {
            self.connections.give_back(server, connection);
        }
        Ok(reply)
    }
}
