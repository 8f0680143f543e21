//! Attempts: each sends a query on one connection and reads the reply.

use std::cell::Cell;
use std::io;
use std::pin::pin;
use std::rc::Rc;

use tokio::time::{timeout_at, Instant};

use super::connection_pool::{CheckoutResult, PooledConnection};
use super::query_result::{Query, QueryResult, RemainingResult};
use super::reply::{read_reply, ExpectedReply, Reply};
use super::ServerSide;
use crate::api::{Outcome, ServerId};
use crate::net::driver::{AttemptCommand, AttemptResult};

/// Stage of an attempt or of a health check.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AttemptStage {
    /// Waits for a socket.
    WaitingForSocket,
    /// The connection is being opened, or the query is being written.
    ConnectingOrWriting,
    /// The last byte of the query is written, so the server may execute the query.
    Written,
    /// The first message of the result has arrived, so the server has executed the query.
    ReceivingResult,
}

impl ServerSide {
    /// Runs an attempt until its result or its deadline. The deadline of an attempt is chosen for a server that
    /// does not respond; a result that has begun to arrive may take until the deadline of the request. If the
    /// attempt fails after the last byte of the
    /// query was written, the outcome does not rule out execution, unless the server declined the query. An
    /// attempt that times out closes its connection.
    pub(super) async fn run_attempt(
        self: &Rc<Self>,
        command: &AttemptCommand<Query>,
    ) -> AttemptResult<QueryResult> {
        let stage = Cell::new(AttemptStage::WaitingForSocket);
        let mut execution = pin!(self.execute(command, &stage));
        let mut result = timeout_at(command.deadline, &mut execution).await;
        if result.is_err() && stage.get() == AttemptStage::ReceivingResult {
            result = timeout_at(command.result_deadline, execution).await;
        }
        let outcome = match result {
            Ok(Ok(result)) => return result,
            Ok(Err(e)) => {
                self.log_attempt_error(command.server, &e);
                outcome_of_error(stage.get(), &e)
            }
            Err(_) => outcome_of_timeout(stage.get()),
        };
        AttemptResult::without_response(outcome)
    }

    /// Logs the error of an attempt. An invalid reply is a fault of the server and logged as a warning.
    fn log_attempt_error(&self, server: ServerId, error: &io::Error) {
        log::debug!("attempt failed at server {}: {error}", server.0);
        if error.kind() == io::ErrorKind::InvalidData {
            if let Some(count) = self.invalid_replies.record() {
                log::warn!("server {} sent an invalid reply: {error} ({count} invalid replies)", server.0);
            }
        }
    }

    async fn execute(
        self: &Rc<Self>,
        command: &AttemptCommand<Query>,
        stage: &Cell<AttemptStage>,
    ) -> io::Result<AttemptResult<QueryResult>> {
        let start_deadline = self.connections.start_deadline();
        let connection = match self.connections.checkout(command.server, stage).await? {
            CheckoutResult::Ready(connection) => connection,
            CheckoutResult::Failed(outcome) => return Ok(AttemptResult::without_response(outcome)),
        };
        // The drain grace period and the send deadline apply to the time at which the query is written. If the
        // wait for a connection took too long, the attempt ends unsent and the engine decides again.
        let is_expired =
            start_deadline.into_iter().chain(command.send_deadline).any(|until| Instant::now() >= until);
        if is_expired || !self.driver.may_send_attempt(command.id, command.server) {
            self.connections.release(command.server, connection);
            return Ok(AttemptResult::without_response(Outcome::NotSent));
        }
        let Some(reply) = self.run_query(command, &connection, stage).await? else {
            return Ok(AttemptResult::without_response(Outcome::NotSent));
        };
        if let Some(remaining_row_bytes) = reply.remaining_row_bytes() {
            return Ok(self.start_large_result(reply, remaining_row_bytes, command, connection));
        }
        if reply.is_connection_reusable() {
            self.connections.release(command.server, connection);
        }
        Ok(reply.into_result(&self.position_clock))
    }

    /// Writes the query and reads the reply. Returns `None` if the send deadline passes before the last byte is
    /// written; the connection must then be closed.
    async fn run_query(
        &self,
        command: &AttemptCommand<Query>,
        connection: &PooledConnection,
        stage: &Cell<AttemptStage>,
    ) -> io::Result<Option<Reply>> {
        let time_left = command.deadline.saturating_duration_since(Instant::now());
        let idle_time = connection.idle_since.elapsed();
        let exchange = async {
            let write = command.query.write(&connection.stream, time_left);
            match command.send_deadline {
                None => write.await?,
                Some(send_deadline) => match timeout_at(send_deadline, write).await {
                    Ok(written) => written?,
                    Err(_) => return Ok(None),
                },
            }
            stage.set(AttemptStage::Written);
            let on_result = || stage.set(AttemptStage::ReceivingResult);
            let expected = ExpectedReply::QueryResult;
            let reply = read_reply(&self.buffers, &connection.stream, expected, on_result).await?;
            Ok::<_, io::Error>(Some(reply))
        };
        let reply = exchange.await;
        let broke = reply.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::InvalidData);
        self.connections.record_reuse(idle_time, broke);
        reply
    }

    /// Returns a successful result once the first bytes of a large row have arrived. A failure while the rest
    /// is read does not change the outcome. The status of the server often follows the row: the rest of the
    /// result then reports the commit position of a session's write.
    fn start_large_result(
        self: &Rc<Self>,
        reply: Reply,
        remaining_row_bytes: usize,
        command: &AttemptCommand<Query>,
        connection: PooledConnection,
    ) -> AttemptResult<QueryResult> {
        let clock = &self.position_clock;
        let status = reply.status(clock);
        let load_report = reply.load_report(clock);
        let is_committed = status.is_some_and(|status| status.position.is_some());
        let uncommitted_session = command.writing_session.clone().filter(|_| !is_committed);
        let remaining =
            RemainingResult::new(self, command, connection, remaining_row_bytes, uncommitted_session);
        let query_result = reply.into_query_result().with_remaining(remaining);
        AttemptResult { outcome: Outcome::Success, status, load_report, response: Some(query_result) }
    }
}

fn outcome_of_error(stage: AttemptStage, error: &io::Error) -> Outcome {
    match stage {
        // The server is up and may have executed the query, but the proxy cannot use the reply.
        AttemptStage::Written | AttemptStage::ReceivingResult => match error.kind() {
            io::ErrorKind::InvalidData => Outcome::ServerError,
            _ => Outcome::Reset,
        },
        AttemptStage::WaitingForSocket | AttemptStage::ConnectingOrWriting => Outcome::ConnectFailed,
    }
}

fn outcome_of_timeout(stage: AttemptStage) -> Outcome {
    match stage {
        AttemptStage::Written | AttemptStage::ReceivingResult => Outcome::Timeout,
        // Servers do not execute an incomplete query.
        AttemptStage::ConnectingOrWriting => Outcome::ConnectFailed,
        AttemptStage::WaitingForSocket => Outcome::NotSent,
    }
}
