//! A request that has no final answer yet.
//!
//! Owns what became of its attempts and the servers that declined it. What was computed at its arrival does
//! not change any more. Times are seconds on the engine's clock.

use crate::api::{AttemptNumber, Idempotency, Outcome, Request, ServerId};
use crate::failover::{AttemptLog, PossibleExecution, RetrySafety};

/// What is computed once, when a request arrives.
pub(super) struct Arrival {
    /// The request.
    pub request: Request,
    /// When it arrived.
    pub arrived_at: f64,
    /// When its latency objective ends.
    pub objective_at: f64,
    /// When its client abandons it.
    pub deadline: f64,
    /// Replication position that a causal or linearizable read must see.
    pub required_position: f64,
    /// Its tenant exceeds its quota.
    pub is_over_quota: bool,
    /// Largest number of attempts.
    pub max_attempts: u32,
}

/// An open request.
pub(super) struct OpenRequest {
    arrival: Arrival,
    attempts_sent: u32,
    attempts_in_flight: u32,
    attempt_log: AttemptLog,
    declined_by: Vec<ServerId>,
    failed_at: Option<ServerId>,
    is_streaming: bool,
    has_checked_position: bool,
}

impl OpenRequest {
    /// A request that has no attempt yet.
    pub fn new(arrival: Arrival) -> Self {
        Self {
            arrival,
            attempts_sent: 0,
            attempts_in_flight: 0,
            attempt_log: AttemptLog::default(),
            declined_by: Vec::new(),
            failed_at: None,
            is_streaming: false,
            has_checked_position: false,
        }
    }

    /// What is known since its arrival.
    pub fn arrival(&self) -> &Arrival {
        &self.arrival
    }

    /// The client's request.
    pub fn request(&self) -> &Request {
        &self.arrival.request
    }

    /// Seconds until its deadline.
    pub fn secs_left(&self, now: f64) -> f64 {
        self.arrival.deadline - now
    }

    /// Seconds from its arrival to its deadline.
    pub fn time_limit_secs(&self) -> f64 {
        self.arrival.deadline - self.arrival.arrived_at
    }

    /// Attempts sent so far.
    pub fn attempts_sent(&self) -> u32 {
        self.attempts_sent
    }

    /// Whether no attempt was sent yet.
    pub fn is_unsent(&self) -> bool {
        self.attempts_sent == 0
    }

    /// Whether it waits for a server.
    pub fn is_queued(&self) -> bool {
        self.attempts_in_flight == 0
    }

    /// Whether it may be sent once more: a part of its response may have been passed on.
    pub fn is_dispatchable(&self) -> bool {
        self.is_queued() && !self.is_streaming
    }

    /// The first attempt that has ended and may have been executed.
    pub fn first_possible_execution(&self) -> Option<PossibleExecution> {
        self.attempt_log.first_possible_execution()
    }

    /// Whether an attempt is in flight at a server.
    pub fn is_in_flight_at(&self, server: ServerId) -> bool {
        self.attempt_log.is_in_flight_at(server)
    }

    /// What its client may be told of a retry.
    pub fn retry_safety(&self, idempotency: Idempotency) -> RetrySafety {
        self.attempt_log.retry_safety(idempotency)
    }

    /// Whether a server declined it.
    pub fn was_declined(&self) -> bool {
        !self.declined_by.is_empty()
    }

    /// Whether this server declined it.
    pub fn was_declined_by(&self, server: ServerId) -> bool {
        self.declined_by.contains(&server)
    }

    /// Where its last attempt failed.
    pub fn failed_at(&self) -> Option<ServerId> {
        self.failed_at
    }

    /// Whether a replica's position was checked for it.
    pub fn has_checked_position(&self) -> bool {
        self.has_checked_position
    }

    /// A replica's position is checked for it.
    pub fn position_check_sent(&mut self) {
        self.has_checked_position = true;
    }

    /// A part of its response was passed on.
    pub fn stream_started(&mut self) {
        self.is_streaming = true;
    }

    /// An attempt is sent. Returns its number.
    pub fn attempt_sent(&mut self, server: ServerId, now: f64) -> AttemptNumber {
        let number = self.attempts_sent;
        self.attempt_log.record_sent(number, server, now);
        self.attempts_sent += 1;
        self.attempts_in_flight += 1;
        AttemptNumber(number)
    }

    /// An attempt ended.
    pub fn attempt_ended(&mut self, number: AttemptNumber, server: ServerId, outcome: Outcome) {
        self.attempts_in_flight = self.attempts_in_flight.saturating_sub(1);
        match outcome {
            Outcome::Misdirected => self.declined_by.push(server),
            _ => self.failed_at = Some(server),
        }
        self.attempt_log.record_ended(number, outcome);
    }
}
