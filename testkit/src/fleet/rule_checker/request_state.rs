//! State of a request in the rule checker: whether it needs an answer, and whether it may have been executed.

use std::collections::HashMap;

use pipittack_core::api::{Class, ClassId, Idempotency, KeyScope};

use super::messages::AcceptedRequest;
use super::trace::{RequestTrace, TraceEvent};

/// An attempt that may have been executed.
#[derive(Debug, Clone, Copy)]
pub(super) struct PossibleExecution {
    pub(super) sent_at: f64,
    pub(super) server: usize,
}

/// State of a request that a proxy has accepted.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) class: ClassId,
    pub(super) proxy: usize,
    pub(super) accepted_at: f64,
    pub(super) deadline: f64,
    /// Whether the request was answered or abandoned.
    pub(super) ended: bool,
    /// Whether nobody waits for an answer any more.
    pub(super) abandoned: bool,
    /// Whether the connection ended over a statement that the proxy may not have read. Such a request must not
    /// be forwarded.
    pub(super) closed_unread: bool,
    /// Number of attempts sent so far.
    pub(super) attempts: u32,
    /// Number of attempts that had been sent when a proxy last accepted the request.
    pub(super) attempts_before: u32,
    /// Server of each attempt in flight, by attempt number.
    pub(super) in_flight: HashMap<u32, usize>,
    /// First ended attempt that may have been executed.
    pub(super) possible_execution: Option<PossibleExecution>,
    /// Minimum replication position of the data that a causal or linearizable read must return, in seconds; 0
    /// for other classes.
    pub(super) min_position: f64,
    /// Events of the request so far.
    pub(super) trace: RequestTrace,
}

impl RequestState {
    /// Returns the state of a request that a proxy has accepted for the first time.
    pub(super) fn new(request: &AcceptedRequest, min_position: f64) -> Self {
        let mut trace = RequestTrace::default();
        trace.push(request.accepted_at, TraceEvent::Accepted);
        Self {
            class: request.class,
            proxy: request.proxy,
            accepted_at: request.accepted_at,
            deadline: request.deadline,
            ended: false,
            abandoned: false,
            closed_unread: false,
            attempts: 0,
            attempts_before: 0,
            in_flight: HashMap::new(),
            possible_execution: None,
            min_position,
            trace,
        }
    }

    /// Records that a proxy has accepted the request again, because its client sent it on a new connection.
    /// What is known of the earlier attempts still counts.
    pub(super) fn accept_again(&mut self, request: &AcceptedRequest, min_position: f64) {
        self.trace.push(request.accepted_at, TraceEvent::Accepted);
        self.proxy = request.proxy;
        self.accepted_at = request.accepted_at;
        self.deadline = request.deadline;
        self.min_position = self.min_position.max(min_position);
        self.ended = false;
        self.abandoned = false;
        self.closed_unread = false;
        self.attempts_before = self.attempts;
    }

    /// Returns the number of attempts sent since a proxy last accepted the request.
    pub(super) fn current_attempts(&self) -> u32 {
        self.attempts - self.attempts_before
    }

    pub(super) fn may_have_been_executed(&self) -> bool {
        self.possible_execution.is_some() || !self.in_flight.is_empty()
    }

    /// Returns whether an attempt is in flight that was sent since a proxy last accepted the request.
    pub(super) fn has_current_attempt_in_flight(&self) -> bool {
        self.in_flight.keys().any(|attempt| *attempt >= self.attempts_before)
    }
}

/// Returns why another attempt at `server` could violate [`Rule::NoDuplicateExecution`]; `None` if the
/// attempt is allowed.
///
/// [`Rule::NoDuplicateExecution`]: super::Rule::NoDuplicateExecution
pub(super) fn duplicate_execution_reason(
    state: &RequestState,
    class: &Class,
    zones: &[usize],
    server: usize,
    now: f64,
) -> Option<&'static str> {
    // An attempt in flight may be executed, too.
    let in_flight = state.in_flight.values().next();
    let in_flight = in_flight.map(|server| PossibleExecution { sent_at: now, server: *server });
    let possible_execution = state.possible_execution.or(in_flight)?;
    match class.idempotency {
        Idempotency::NonIdempotent => Some("retry after a possible execution"),
        Idempotency::WithKey { scope, window } => {
            let other_zone =
                scope == KeyScope::Zone && zones.get(possible_execution.server) != zones.get(server);
            let expired = now > possible_execution.sent_at + window.as_secs_f64();
            (other_zone || expired).then_some("retry outside the scope or window of its idempotency key")
        }
        Idempotency::Idempotent => None,
    }
}
