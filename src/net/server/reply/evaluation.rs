//! What a received reply means: the result of an attempt, the status of the server and its load report.

use super::{Reply, HEADER_BYTES, RESULT_MESSAGES};
use crate::api::{LoadReport, Outcome, ServerStatus};
use crate::net::driver::AttemptResult;
use crate::net::postgres;
use crate::net::server::load_report;
use crate::net::server::position_clock::PositionClock;
use crate::net::server::query_result::QueryResult;

impl Reply {
    /// Returns whether the reply contains a complete query result and no error.
    pub(in crate::net::server) fn is_complete_result(&self) -> bool {
        self.result_messages.len() == RESULT_MESSAGES && self.sqlstate.is_none()
    }

    /// Returns whether the connection can be reused: ReadyForQuery was received and no byte follows it.
    /// Left-over bytes would become the start of the next reply.
    pub(in crate::net::server) fn is_connection_reusable(&self) -> bool {
        self.is_ready && self.bytes.len() == self.result_bytes
    }

    /// Returns the query result: all of it, or the received part of a large one.
    pub(in crate::net::server) fn into_query_result(mut self) -> QueryResult {
        self.bytes.truncate(self.result_bytes);
        self.bytes.drop_reservation();
        QueryResult::new(self.bytes)
    }

    /// Returns the attempt's result.
    pub(in crate::net::server) fn into_result(self, clock: &PositionClock) -> AttemptResult<QueryResult> {
        let outcome = match self.sqlstate.as_ref() {
            None if self.is_complete_result() => Outcome::Success,
            Some(b"25006" | b"72000") => Outcome::Misdirected,
            Some(b"53300") => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        let status = self.status(clock);
        let load_report = self.load_report(clock);
        let response = (outcome == Outcome::Success).then(|| self.into_query_result());
        AttemptResult { outcome, status, load_report, response }
    }

    /// Returns the server status that the reply contains; `None` if it contains none.
    pub(in crate::net::server) fn status(&self, clock: &PositionClock) -> Option<ServerStatus> {
        let position = self.position_unix_ms.and_then(|ms| clock.position_from_unix_ms(ms));
        let has_status = position.is_some() || self.primary.is_some();
        has_status.then_some(ServerStatus { position, primary: self.primary })
    }

    /// Parses the load report in the ParameterStatus messages. Returns `None` if there is none.
    pub(in crate::net::server) fn load_report(&self, clock: &PositionClock) -> Option<LoadReport> {
        self.load_report.as_deref().map(|text| load_report::parse(text, clock))
    }

    /// Parses the load report in the row of a health check's reply. Returns `None` if there is none.
    pub(in crate::net::server) fn health_check_load_report(
        &self,
        clock: &PositionClock,
    ) -> Option<LoadReport> {
        let mut row = Vec::new();
        let range = self.result_messages.get(1)?;
        self.bytes.copy(range.start + HEADER_BYTES..range.end, &mut row);
        let text = std::str::from_utf8(postgres::parse_single_column(&row)?).ok()?;
        text.contains('=').then(|| load_report::parse(text, clock))
    }
}
