//! An attempt: one execution of a query on one connection.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use tokio::time::{timeout_at, Instant};

use super::answer::{Answer, Query, RestOfValue};
use super::connection_pool::{Checkout, PooledConnection};
use super::reply::{read_reply, Expectation, Reply};
use super::ServerSide;
use crate::api::{Outcome, ServerId};
use crate::net::driver::{AttemptCommand, AttemptResult};

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// It waits for a socket.
    WaitingForSocket,
    /// Its connection is opened, or its query is being written.
    Connecting,
    /// The last byte of its query was written: it may be executed.
    Written,
}

impl ServerSide {
    /// Runs an attempt once. Its outcome rules out execution only if the last byte of its query was not
    /// written. An attempt that is given up closes its connection.
    pub(super) async fn run_attempt(
        self: &Rc<Self>,
        command: &AttemptCommand<Query>,
    ) -> AttemptResult<Answer> {
        let stage = Cell::new(Stage::WaitingForSocket);
        let outcome = match timeout_at(command.deadline, self.execute(command, &stage)).await {
            Ok(Ok(result)) => return result,
            Ok(Err(e)) => {
                log::debug!("attempt at server {}: {e}", command.server.0);
                outcome_of_error(stage.get(), &e)
            }
            Err(_) => outcome_of_timeout(stage.get()),
        };
        AttemptResult::without_response(outcome)
    }

    async fn execute(
        self: &Rc<Self>,
        command: &AttemptCommand<Query>,
        stage: &Cell<Stage>,
    ) -> io::Result<AttemptResult<Answer>> {
        let start_deadline = self.connections.start_deadline();
        let connection = match self.connections.checkout(command.server, stage).await? {
            Checkout::Ready(connection) => connection,
            Checkout::Failed(outcome) => return Ok(AttemptResult::without_response(outcome)),
        };
        // The staleness bound and the drain grace period count from the write. The connection may have taken
        // long to come up; then the attempt goes back unsent and is decided on again.
        let is_late =
            start_deadline.into_iter().chain(command.fresh_until).any(|until| Instant::now() >= until);
        if is_late || !self.driver.may_send_attempt(command.id, command.server) {
            self.connections.give_back(command.server, connection);
            return Ok(AttemptResult::without_response(Outcome::NotSent));
        }
        let reply = self.send_query(command, &connection, stage).await?;
        if let Some(missing_row_bytes) = reply.missing_row_bytes() {
            return Ok(self.begin_large_value(reply, missing_row_bytes, command.server, connection));
        }
        if reply.is_connection_reusable() {
            self.connections.give_back(command.server, connection);
        }
        Ok(reply.into_result(self.driver.clock()))
    }

    async fn send_query(
        &self,
        command: &AttemptCommand<Query>,
        connection: &PooledConnection,
        stage: &Cell<Stage>,
    ) -> io::Result<Reply> {
        let time_left = command.deadline.saturating_duration_since(Instant::now());
        let idle_time = connection.idle_since.elapsed();
        let exchange = async {
            command.query.write(&connection.stream, time_left).await?;
            stage.set(Stage::Written);
            read_reply(&self.buffers, &connection.stream, Expectation::Value).await
        };
        let reply = exchange.await;
        let broke = reply.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::InvalidData);
        self.connections.record_reuse(idle_time, broke);
        reply
    }

    /// The begin of a large value is its request's answer, whatever becomes of the rest.
    fn begin_large_value(
        self: &Rc<Self>,
        reply: Reply,
        missing_row_bytes: usize,
        server: ServerId,
        connection: PooledConnection,
    ) -> AttemptResult<Answer> {
        let rest = RestOfValue::new(self, server, connection, missing_row_bytes);
        let answer = reply.into_begin_of_value().with_rest(rest);
        AttemptResult { response: Some(answer), ..AttemptResult::without_response(Outcome::Success) }
    }
}

fn outcome_of_error(stage: Stage, error: &io::Error) -> Outcome {
    match stage {
        // It was executed and its server is up: only the reply can't be used.
        Stage::Written if error.kind() == io::ErrorKind::InvalidData => Outcome::ServerError,
        Stage::Written => Outcome::Reset,
        Stage::WaitingForSocket | Stage::Connecting => Outcome::ConnectFailed,
    }
}

fn outcome_of_timeout(stage: Stage) -> Outcome {
    match stage {
        Stage::Written => Outcome::Timeout,
        Stage::Connecting => Outcome::ConnectFailed, // a query that was not written completely is not executed
        Stage::WaitingForSocket => Outcome::NotSent,
    }
}
