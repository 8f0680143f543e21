//! Health checks: each sends a query to a server and evaluates the reply. The reply tells the role of the server like
//! any other.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::time::Duration;

use tokio::time::timeout_at;

use super::attempt::AttemptStage;
use super::connection_pool::CheckoutResult;
use super::reply::{read_reply, ExpectedReply, Reply};
use super::ServerSide;
use crate::api::{LoadReport, ServerId, ServerStatus};
use crate::net::buffers::write_all;
use crate::net::postgres;

/// Query that returns a load report.
const LOAD_REPORT_QUERY: &str = "SHOW stats";
/// Query for servers whose health checks return no load report.
const PING_QUERY: &str = "SELECT 1";

/// Status in the reply to a health check.
pub(super) struct HealthCheckStatus {
    pub status: ServerStatus,
    /// Time at which the health check was sent, on the driver's clock.
    pub sent_at: Duration,
}

/// Result of a health check.
pub(super) struct HealthCheckResult {
    /// Whether the server passed.
    pub ok: bool,
    /// `None` if the reply contains no load report.
    pub load_report: Option<LoadReport>,
    /// `None` if the reply contains no status.
    pub status: Option<HealthCheckStatus>,
}

impl HealthCheckResult {
    fn without_reply(ok: bool) -> Self {
        Self { ok, load_report: None, status: None }
    }
}

impl ServerSide {
    /// Checks a server's health. The check fails if it takes longer than the connect timeout or, if that is
    /// shorter, the start timeout.
    pub(super) async fn check_health(&self, server: ServerId) -> HealthCheckResult {
        let connect_deadline = self.connections.connect_deadline();
        let start_deadline = self.connections.start_deadline();
        let deadline = start_deadline.map_or(connect_deadline, |start| start.min(connect_deadline));
        let sent_at = self.driver.clock().now();
        match timeout_at(deadline, self.health_check_reply(server)).await {
            Ok(Ok(reply)) => HealthCheckResult {
                ok: reply.is_complete_result(),
                load_report: reply.health_check_load_report(&self.position_clock),
                status: reply
                    .status(&self.position_clock)
                    .map(|status| HealthCheckStatus { status, sent_at }),
            },
            // A server that sends an invalid reply is up, so it passes.
            Ok(Err(e)) => HealthCheckResult::without_reply(e.kind() == io::ErrorKind::InvalidData),
            Err(_) => HealthCheckResult::without_reply(false),
        }
    }

    async fn health_check_reply(&self, server: ServerId) -> io::Result<Reply> {
        let text =
            if self.connections.health_checks_return_load_reports() { LOAD_REPORT_QUERY } else { PING_QUERY };
        let stage = Cell::new(AttemptStage::WaitingForSocket);
        let CheckoutResult::Ready(connection) = self.connections.checkout(server, &stage).await? else {
            return Err(io::ErrorKind::ConnectionRefused.into());
        };
        if !self.driver.accepts_attempts(server) {
            return Err(io::ErrorKind::NotConnected.into());
        }
        let query = postgres::encode_simple_query(text);
        write_all(&connection.stream, &mut [IoSlice::new(&query)]).await?;
        let reply = read_reply(&self.buffers, &connection.stream, ExpectedReply::QueryResult, || {}).await?;
        if reply.is_connection_reusable() {
            self.connections.release(server, connection);
        }
        Ok(reply)
    }
}
