//! A request without a final answer.
//!
//! Owns the state of the request's attempts and the servers that declined it. Values that were computed on
//! arrival never change. Times are seconds on the engine's clock.

use crate::api::{AttemptNumber, Idempotency, Outcome, Request, ServerId};
use crate::failover::{AttemptLog, PossibleExecution, RetrySafety};

/// Values that are computed once, when a request arrives.
pub(super) struct Arrival {
    /// The client's request.
    pub request: Request,
    /// Time of arrival.
    pub arrived_at: f64,
    /// End of the latency objective; at the latest the deadline.
    pub objective_at: f64,
    /// Time at which the client abandons the request.
    pub deadline: f64,
    /// Replication position that a causal or linearizable read must see; 0 for other requests.
    pub required_position: f64,
    /// Whether the request's tenant exceeds its quota.
    pub is_over_quota: bool,
    /// Largest number of attempts.
    pub max_attempts: u32,
}

/// A request without a final answer.
pub(super) struct OpenRequest {
    arrival: Arrival,
    attempts_sent: u32,
    attempts_in_flight: u32,
    attempt_log: AttemptLog,
    declined_by: Vec<ServerId>,
    last_failed_server: Option<ServerId>,
    is_streaming: bool,
    has_probed_position: bool,
}

impl OpenRequest {
    /// Creates the state of a request without attempts.
    pub fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            attempts_sent: 0,
            attempts_in_flight: 0,
            attempt_log: AttemptLog::default(),
            declined_by: Vec::new(),
            last_failed_server: None,
            is_streaming: false,
            has_probed_position: false,
        }
    }

    /// Returns the values that were computed on arrival.
    pub fn arrival(&self) -> &Arrival {
        &self.arrival
    }

    /// Returns the client's request.
    pub fn request(&self) -> &Request {
        &self.arrival.request
    }

    /// Returns the seconds until the deadline.
    pub fn secs_left(&self, now: f64) -> f64 {
        self.arrival.deadline - now
    }

    /// Returns the seconds from arrival to deadline.
    pub fn time_limit_secs(&self) -> f64 {
        self.arrival.deadline - self.arrival.arrived_at
    }

    /// Returns the number of attempts sent so far.
    pub fn attempts_sent(&self) -> u32 {
        self.attempts_sent
    }

    /// Returns whether no attempt was sent yet.
    pub fn is_unsent(&self) -> bool {
        self.attempts_sent == 0
    }

    /// Returns whether no attempt is in flight, so that the request waits for a server.
    pub fn is_queued(&self) -> bool {
        self.attempts_in_flight == 0
    }

    /// Returns whether another attempt may be sent: no attempt is in flight, and no part of a streamed
    /// response was passed on to the client.
    pub fn is_dispatchable(&self) -> bool {
        self.is_queued() && !self.is_streaming
    }

    /// Returns the first attempt that has ended and may have been executed.
    pub fn first_possible_execution(&self) -> Option<PossibleExecution> {
        self.attempt_log.first_possible_execution()
    }

    /// Returns whether an attempt is in flight at a server.
    pub fn is_in_flight_at(&self, server: ServerId) -> bool {
        self.attempt_log.is_in_flight_at(server)
    }

    /// Returns whether the client may repeat the request if the proxy gives it up now.
    pub fn retry_safety(&self, idempotency: Idempotency) -> RetrySafety {
        self.attempt_log.retry_safety(idempotency)
    }

    /// Returns whether any server declined the request.
    pub fn was_declined(&self) -> bool {
        !self.declined_by.is_empty()
    }

    /// Returns whether this server declined the request.
    pub fn was_declined_by(&self, server: ServerId) -> bool {
        self.declined_by.contains(&server)
    }

    /// Returns the server of the last attempt that ended without being declined; `None` before that.
    pub fn last_failed_server(&self) -> Option<ServerId> {
        self.last_failed_server
    }

    /// Returns whether a member was probed by a health check for the request.
    pub fn has_probed_position(&self) -> bool {
        self.has_probed_position
    }

    /// Records that a member is probed by a health check for the request.
    pub fn probe_sent(&mut self) {
        self.has_probed_position = true;
    }

    /// Records that a part of the response was passed on to the client.
    pub fn stream_started(&mut self) {
        self.is_streaming = true;
    }

    /// Records that an attempt is sent, and returns its number.
    pub fn attempt_sent(&mut self, server: ServerId, now: f64) -> AttemptNumber {
        let number = self.attempts_sent;
        self.attempt_log.record_sent(number, server, now);
        self.attempts_sent += 1;
        self.attempts_in_flight += 1;
        AttemptNumber(number)
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, number: AttemptNumber, server: ServerId, outcome: Outcome) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        match outcome {
            Outcome::Misdirected => self.declined_by.push(server),
            _ => self.last_failed_server = Some(server),
        }
        self.attempt_log.record_ended(number, outcome);
    }
}
