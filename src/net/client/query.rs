//! Simple queries: parsing, validation, submission to the driver, and the response to the client.

use std::io;
use std::time::Duration;

use tokio::time::{timeout, Instant};

use super::class_table::ConfiguredClass;
use super::connection::{boxed, Connection, Flow};
use super::final_rejections::SHUTTING_DOWN;
use super::inbound::ReceivedMessage;
use super::long_statement::AbridgedText;
use super::request_ids::IdStatus;
use super::responses::WRITE_TIMEOUT;
use super::service_phase::ServicePhase;
use super::stream_guard::StreamGuard;
use crate::api::{Consistency, GroupId};
use crate::net::buffers::{write_chain, BufferReservation, Purpose};
use crate::net::driver::{NewRequest, Repeat, Response};
use crate::net::postgres::{self, Severity, Statement};
use crate::net::server::{Query, QueryResult};

/// Size in bytes of the state of a request whose response is being written.
const RESPONSE_BYTES: usize = 4 * 1024;
/// Error for a request for whose state no memory is free.
const NO_REQUEST_MEMORY: &str = "no memory is free for another request";
/// Largest number of bytes of a statement that are parsed: all but the hex digits in the middle of a value.
const MAX_PARSED_BYTES: usize = 128 * 1024;
/// Size in bytes of the copy of a statement that is kept from one statement to the next.
const MAX_IDLE_SCRATCH_BYTES: usize = 16 * 1024;
/// Size in bytes of the state of a request in flight, in this task, the engine, the driver and its attempts.
const REQUEST_BYTES: usize = 5 * 1024;
/// Number of copies of a statement's key and id that are kept while its request is in flight.
const COPIES_IN_FLIGHT: usize = 3;

impl Connection<'_> {
    pub(super) async fn handle_query(&mut self, message: ReceivedMessage) -> io::Result<Flow> {
        let text = AbridgedText::new(&message.bytes);
        if text.len(&message.bytes) > MAX_PARSED_BYTES {
            return self.fail_query("42601", "the statement is too long around its value").await;
        }
        let parsed = {
            let mut scratch = self.shared.scratch.borrow_mut();
            text.copy(&message.bytes, &mut scratch);
            let terminated = scratch.split_last().filter(|(last, _)| **last == 0);
            let parsed = terminated.map(|(_, text)| postgres::parse_query(text));
            scratch.clear();
            scratch.shrink_to(MAX_IDLE_SCRATCH_BYTES);
            parsed
        };
        let Some(parsed) = parsed else {
            return self.fail_connection("08P01", "invalid string in message").await;
        };
        match parsed {
            Some(postgres::Query::Empty) => self.handle_empty_query().await,
            Some(postgres::Query::Setting(tag)) => {
                self.reply(|out| {
                    postgres::push_command_complete(out, tag);
                    postgres::push_ready_for_query(out);
                })
                .await
            }
            Some(postgres::Query::Routed(statement)) => self.handle_routed(statement, message, &text).await,
            None => self.fail_query("42601", "not a statement that this proxy can route").await,
        }
    }

    /// Responds to an empty query, which is the load balancer's health check.
    async fn handle_empty_query(&self) -> io::Result<Flow> {
        if self.shared.phase.current() != ServicePhase::InService {
            return self.fail_query("57P03", "the proxy is out of service").await;
        }
        self.reply(|out| {
            postgres::push_empty_query_response(out);
            postgres::push_ready_for_query(out);
        })
        .await
    }

    /// Validates a statement and submits it. A data server would reject an invalid statement, or close the
    /// pooled connection on which it received the statement.
    async fn handle_routed(
        &mut self,
        statement: Statement,
        message: ReceivedMessage,
        text: &AbridgedText,
    ) -> io::Result<Flow> {
        let class = self.shared.classes.borrow().get(&statement.class);
        let Some(class) = class else {
            return self.fail_query("42601", "the statement names no known class").await;
        };
        if statement.is_write != (class.class.consistency == Consistency::Write) {
            return self.fail_query("42601", "reads and writes have classes of their own").await;
        }
        if !self.shared.driver.knows_group(GroupId(statement.group)) {
            return self.fail_query("42601", "the statement names no known cluster").await;
        }
        match self.shared.request_ids.status(&statement.id) {
            IdStatus::InUse => {
                return self.fail_query("08P01", "the statement has the id of another open request").await;
            }
            // The client has reconnected and retries before this process has read the close of the earlier
            // connection.
            IdStatus::Abandoned(request) => self.shared.driver.client_disconnected(request),
            IdStatus::Free => {}
        }
        let group = GroupId(statement.group);
        match self.shared.driver.repeat_permission(&statement.id, class.id, group) {
            Repeat::Allowed => self.submit(statement, &class, message, text).await,
            Repeat::AllowedFor(time) => {
                let timeout = statement.timeout.min(time);
                self.submit(Statement { timeout, ..statement }, &class, message, text).await
            }
            Repeat::Denied => {
                self.fail_query("40003", "an earlier request with this id may have been executed").await
            }
        }
    }

    async fn submit(
        &mut self,
        statement: Statement,
        class: &ConfiguredClass,
        message: ReceivedMessage,
        text: &AbridgedText,
    ) -> io::Result<Flow> {
        let Some(mut request_memory) = self.reserve_request(&statement) else {
            self.shared.log_memory_rejection(self.id, NO_REQUEST_MEMORY);
            return self.fail_query("53300", NO_REQUEST_MEMORY).await;
        };
        let timeout_range = text.message_range(&statement.timeout_range);
        let client_request_id = statement.id.clone();
        let request = self.new_request(statement, class, message.bytes.len(), message.received_at);
        self.no_request_guard = None;
        let query = Query { message: message.bytes, timeout_range };
        let (request, mut response) = self.shared.driver.submit(request, query);
        let id_guard =
            self.shared.request_ids.register(client_request_id, self.id, request, self.stream.clone());
        let mut phase = self.shared.phase.subscribe();
        let response = tokio::select! {
            biased;
            response = &mut response => response,
            _ = phase.wait_for(|phase| *phase == ServicePhase::DrainEnded) => {
                self.shared.driver.client_disconnected(request);
                return self.fail_query("57P01", SHUTTING_DOWN).await;
            }
            () = self.inbound.wait_until_disconnected() => {
                self.shared.driver.client_disconnected(request);
                return Ok(Flow::End);
            }
        };
        drop(id_guard);
        request_memory.shrink_to_bytes(RESPONSE_BYTES);
        match response {
            Ok(response) => self.send_response(response).await,
            // The driver dropped the request without a response, because its client had disconnected before
            // an attempt was written.
            Err(_) => Ok(Flow::End),
        }
    }

    /// Reserves memory for the state of a request. Returns `None` if there is none.
    fn reserve_request(&self, statement: &Statement) -> Option<BufferReservation> {
        let copied_bytes = statement.key.len() + statement.id.len() + statement.class.len();
        let bytes = REQUEST_BYTES + COPIES_IN_FLIGHT * copied_bytes;
        self.shared.pool.try_reserve_bytes(bytes, Purpose::Request)
    }

    fn new_request(
        &mut self,
        statement: Statement,
        class: &ConfiguredClass,
        statement_bytes: usize,
        received_at: Instant,
    ) -> NewRequest {
        let ConfiguredClass { id, class } = class;
        let has_session = matches!(class.consistency, Consistency::Write | Consistency::Causal);
        // The class deadline is the longest that a client waits, retries included. Time that the request
        // spent behind earlier requests on its connection counts against its timeout. `request_time_left`
        // ends the request before the process shuts down.
        let timeout = statement.timeout.min(class.deadline).saturating_sub(received_at.elapsed());
        NewRequest {
            client_request_id: statement.id,
            client: Some(self.stream.clone()),
            class: *id,
            group: GroupId(statement.group),
            time_left: self.shared.request_time_left(timeout, &mut self.inbound),
            is_retry: statement.is_retry,
            statement_bytes: statement_bytes as u64,
            session: has_session.then_some(statement.key),
            last_write_unix_ms: statement.after_unix_ms,
        }
    }

    async fn send_response(&mut self, response: Response<QueryResult>) -> io::Result<Flow> {
        match response {
            Response::Served(result) => self.write_result(result).await,
            Response::Rejected(retry_after) => self.send_rejection(retry_after).await,
            Response::Failed => {
                self.fail_query("40003", "no answer from a data server; the statement may have run").await
            }
        }
    }

    async fn send_rejection(&self, retry_after: Option<Duration>) -> io::Result<Flow> {
        let retry_after_ms = retry_after.map(|after| after.as_millis().to_string());
        self.reply(|out| {
            let text = "no server can take this in time";
            postgres::push_error(out, Severity::Error, "53300", text, retry_after_ms.as_deref());
            postgres::push_ready_for_query(out);
        })
        .await
    }

    /// Writes a query result.
    async fn write_result(&self, mut result: QueryResult) -> io::Result<Flow> {
        let mut ready = Vec::new();
        postgres::push_ready_for_query(&mut ready);
        let is_complete = !result.has_more();
        timeout(WRITE_TIMEOUT, result.write_received(&self.stream, &ready)).await??;
        if is_complete {
            return Ok(Flow::Continue);
        }
        let _stream = StreamGuard::new(self.shared);
        boxed(|| self.stream_rest(result)).await?;
        self.write(&ready).await?;
        Ok(Flow::Continue)
    }

    /// Streams the rest of a large result as the data server sends it. If the stream fails midway, the client
    /// connection is closed: bytes already written cannot be retracted, and the client must not take the result
    /// for complete.
    async fn stream_rest(&self, mut result: QueryResult) -> io::Result<()> {
        while let Some(mut chunk) = result.next_chunk().await? {
            timeout(WRITE_TIMEOUT, write_chain(&self.stream, &mut chunk)).await??;
        }
        Ok(())
    }
}
