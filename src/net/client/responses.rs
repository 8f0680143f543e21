//! Writing to a client: bytes, and the responses that the proxy makes itself.

use std::io::{self, IoSlice};
use std::time::Duration;

use tokio::time::timeout;

use super::connection::{Connection, Flow};
use crate::net::buffers::write_all;
use crate::net::postgres::{self, Severity};

/// Time limit for one write to a client.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

impl Connection<'_> {
    /// Writes bytes.
    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, write_all(&self.stream, &mut [IoSlice::new(bytes)])).await?
    }

    /// Writes messages and keeps the connection open.
    pub(super) async fn reply(&self, push_messages: impl FnOnce(&mut Vec<u8>)) -> io::Result<Flow> {
        let mut out = Vec::new();
        push_messages(&mut out);
        self.write(&out).await?;
        Ok(Flow::Continue)
    }

    /// Writes an ErrorResponse without ReadyForQuery.
    pub(super) async fn reply_error(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| postgres::push_error(out, Severity::Error, code, text, None)).await
    }

    /// Writes an ErrorResponse and ReadyForQuery, which end the response to a query.
    pub(super) async fn fail_query(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| {
            postgres::push_error(out, Severity::Error, code, text, None);
            postgres::push_ready_for_query(out);
        })
        .await
    }

    /// Writes a FATAL ErrorResponse and ends the connection.
    pub(super) async fn fail_connection(&self, code: &str, text: &str) -> io::Result<Flow> {
        let age = self.shared.driver.clock().now().saturating_sub(self.accepted_at);
        self.shared.log_connection_error(self.id, age, text);
        self.reply(|out| postgres::push_error(out, Severity::Fatal, code, text, None)).await?;
        Ok(Flow::End)
    }
}
