//! Checks the service rules from the messages between proxies, clients, servers and the discovery service.
//!
//! Owns the state of each request that a proxy accepted, with its attempts, and the time at which each proxy
//! was notified of a draining or removed server. The checker is independent of the routing engine.
//! Replication positions come from the models, not from the servers' reports. All times are trial times in
//! seconds; a commit is identified by its commit time.

use std::collections::HashMap;

use pipittack_core::api::{
    Class, ClassId, Consistency, EndpointState, Idempotency, KeyScope, Outcome, Settings,
};

/// A violation of a service rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// Time of the violation, in seconds.
    pub at: f64,
    /// Rule that was violated.
    pub rule: Rule,
    /// Description of the event that violated the rule.
    pub description: String,
}

/// Rules that proxies must follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets exactly one final answer by its deadline, and no attempt is sent after the answer.
    AnswerInTime,
    /// A request that may have been executed is not executed again and not rejected as safe to retry, unless
    /// the request is idempotent or its idempotency key prevents a second execution.
    NoDuplicateExecution,
    /// A draining or removed server receives no new requests after a grace period.
    NoRequestsToDraining,
    /// Proxies that know of a server's start do not overload the server while it warms up.
    NoWarmUpOverload,
    /// A read returns data that meets the consistency requirement of its class.
    NoStaleRead,
    /// The number of attempts of a request stays within the limit.
    MaxAttempts,
}

/// Share of the load on a server that crashed while it warmed up, above which the proxies that were informed
/// of its start violate [`Rule::NoWarmUpOverload`].
pub const MAX_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Tolerance for time limits, in seconds.
const TOLERANCE_S: f64 = 0.05;

/// A request that a proxy has accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedRequest {
    /// Id of the request, unique in the trial.
    pub id: u64,
    /// Index of the proxy.
    pub proxy: usize,
    /// Class of the request.
    pub class: ClassId,
    /// Id of the session.
    pub session: u64,
    /// Commit time in the session token of the request, in seconds; `None` if the client sent no token.
    pub token_commit: Option<f64>,
    /// Time at which the proxy accepted the request, in seconds.
    pub accepted_at: f64,
    /// Deadline of the request, in seconds.
    pub deadline: f64,
}

/// A read that a replica has executed.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaRead {
    /// Id of the request.
    pub request: u64,
    /// Time at which the attempt was sent, in seconds.
    pub sent_at: f64,
    /// Replication position of the data that the replica returned, in seconds.
    pub position: f64,
    /// Whether stale data is no violation, because the server was primary before and the proxy could not yet
    /// know that it no longer is.
    pub may_read_stale: bool,
}

/// Kind of a final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A rejection, which promises that the client can retry safely.
    Rejected,
    /// A response or another error.
    Other,
}

/// An attempt that may have been executed.
#[derive(Debug, Clone, Copy)]
struct PossibleExecution {
    sent_at: f64,
    server: usize,
}

/// State of a request that a proxy has accepted.
#[derive(Debug)]
struct RequestState {
    class: ClassId,
    proxy: usize,
    accepted_at: f64,
    deadline: f64,
    /// Whether the request was answered or abandoned.
    ended: bool,
    /// Whether nobody waits for an answer any more.
    abandoned: bool,
    /// Number of attempts sent so far.
    attempts: u32,
    /// Server of each attempt in flight, by attempt number.
    in_flight: HashMap<u32, usize>,
    /// First ended attempt that may have been executed.
    possible_execution: Option<PossibleExecution>,
    /// Minimum replication position of the data that a causal or linearizable read must return, in seconds; 0
    /// for other classes.
    min_position: f64,
}

/// Checker of the service rules.
#[derive(Debug)]
pub struct RuleChecker {
    settings: Settings,
    requests: HashMap<u64, RequestState>,
    /// Time at which a proxy was notified that a server drains or is removed, by proxy and server.
    withdrawn_at: HashMap<(usize, usize), f64>,
    /// Time of the last acknowledged commit, by proxy and session.
    session_commits: HashMap<(usize, u64), f64>,
    /// Number of executions of each write, by request id.
    write_executions: HashMap<u64, u32>,
    /// Zone of each server.
    zones: Vec<usize>,
    /// Violations in the order of their detection.
    pub violations: Vec<Violation>,
}

impl RuleChecker {
    /// Creates a checker for proxies with these settings.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            requests: HashMap::new(),
            withdrawn_at: HashMap::new(),
            session_commits: HashMap::new(),
            write_executions: HashMap::new(),
            zones: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Sets the zone of a server.
    pub fn set_server_zone(&mut self, server: usize, zone: usize) {
        self.zones.resize(self.zones.len().max(server + 1), 0);
        self.zones[server] = zone;
    }

    /// Records a violation.
    pub fn report_violation(&mut self, at: f64, rule: Rule, description: String) {
        self.violations.push(Violation { at, rule, description });
    }

    /// Records that a server crashed on overload while it warmed up. `informed_share` is the share of its
    /// load that came from proxies that were informed of its start.
    pub fn server_crashed(&mut self, server: usize, informed_share: f64, now: f64) {
        if informed_share > MAX_INFORMED_SHARE {
            let description = format!(
                "server {server} crashed on overload while it warmed up, \
                 {informed_share:.2} of the load from proxies informed of its start"
            );
            self.report_violation(now, Rule::NoWarmUpOverload, description);
        }
    }

    /// Records that a proxy accepted a request.
    pub fn request_accepted(&mut self, request: AcceptedRequest) {
        let min_position = match self.settings.classes[request.class.0].consistency {
            Consistency::Linearizable => request.accepted_at,
            Consistency::Causal => {
                let session = (request.proxy, request.session);
                let acknowledged = self.session_commits.get(&session).copied().unwrap_or(0.0);
                request.token_commit.unwrap_or(0.0).max(acknowledged)
            }
            _ => 0.0,
        };
        let state = RequestState {
            class: request.class,
            proxy: request.proxy,
            accepted_at: request.accepted_at,
            deadline: request.deadline,
            ended: false,
            abandoned: false,
            attempts: 0,
            in_flight: HashMap::new(),
            possible_execution: None,
            min_position,
        };
        self.requests.insert(request.id, state);
    }

    /// Records that a proxy acknowledged a write of a session with this commit time.
    pub fn write_acknowledged(&mut self, proxy: usize, session: u64, commit: f64) {
        let last = self.session_commits.entry((proxy, session)).or_default();
        *last = last.max(commit);
    }

    /// Records that a proxy was notified of a server's state, by the endpoint list or by an operator.
    pub fn endpoint_listed(&mut self, proxy: usize, server: usize, state: EndpointState, now: f64) {
        if state == EndpointState::Healthy {
            self.withdrawn_at.remove(&(proxy, server));
        } else {
            self.withdrawn_at.entry((proxy, server)).or_insert(now);
        }
    }

    /// Records that a proxy decided to send an attempt of a request to a server.
    pub fn attempt_sent(&mut self, id: u64, server: usize, now: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let mut violations_found = Vec::new();
        if state.ended && !state.abandoned {
            violations_found.push((Rule::AnswerInTime, "attempt sent after the final answer"));
        }
        if state.attempts >= self.settings.limits.max_attempts {
            violations_found.push((Rule::MaxAttempts, "attempt exceeds the maximum number of attempts"));
        }
        if !state.in_flight.is_empty() && !self.settings.limits.allow_hedging {
            violations_found
                .push((Rule::NoDuplicateExecution, "hedged request, which the settings do not allow"));
        }
        let class = &self.settings.classes[state.class.0];
        if let Some(description) = duplicate_execution_reason(state, class, &self.zones, server, now) {
            violations_found.push((Rule::NoDuplicateExecution, description));
        }
        state.in_flight.insert(state.attempts, server);
        state.attempts += 1;
        for (rule, description) in violations_found {
            self.report_violation(now, rule, format!("request {id} to server {server}: {description}"));
        }
    }

    /// Records that a proxy wrote the statement of an attempt to the server's connection.
    pub fn statement_written(&mut self, id: u64, server: usize, now: f64) {
        let Some(state) = self.requests.get(&id) else { return };
        let grace_period = self.settings.rules.drain_grace_period.as_secs_f64() + TOLERANCE_S;
        let withdrawn_at = self.withdrawn_at.get(&(state.proxy, server));
        if withdrawn_at.is_some_and(|at| now > at + grace_period) {
            let description =
                format!("request {id} to server {server}: statement sent after the drain grace period");
            self.report_violation(now, Rule::NoRequestsToDraining, description);
        }
    }

    /// Records that a replica executed a read.
    pub fn read_executed(&mut self, read: ReplicaRead, now: f64) {
        let Some(state) = self.requests.get(&read.request) else { return };
        let min_position = match self.settings.classes[state.class.0].consistency {
            Consistency::BoundedStaleness(max_age) => read.sent_at - max_age.as_secs_f64(),
            Consistency::Causal | Consistency::Linearizable => state.min_position,
            Consistency::Write | Consistency::Eventual => return,
        };
        if read.position < min_position && !read.may_read_stale {
            let description = format!(
                "request {} of proxy {}: data is {:.3} s too old",
                read.request,
                state.proxy,
                min_position - read.position
            );
            self.report_violation(now, Rule::NoStaleRead, description);
        }
    }

    /// Records that a server executed a write.
    pub fn write_executed(&mut self, id: u64, class: ClassId, now: f64) {
        let executions = self.write_executions.entry(id).or_default();
        *executions += 1;
        if *executions > 1 && self.settings.classes[class.0].idempotency == Idempotency::NonIdempotent {
            self.report_violation(
                now,
                Rule::NoDuplicateExecution,
                format!("request {id} was executed twice"),
            );
        }
    }

    /// Records the outcome of an attempt as the proxy observed it.
    pub fn attempt_ended(&mut self, id: u64, attempt: u32, outcome: Outcome, sent_at: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let Some(server) = state.in_flight.remove(&attempt) else { return };
        if !outcome.rules_out_execution() {
            state.possible_execution.get_or_insert(PossibleExecution { sent_at, server });
        }
    }

    /// Records the outcome of an attempt as the server observed it. The server does not know the attempt's
    /// number, so the outcome counts for one of the attempts in flight at the server.
    pub fn attempt_ended_at_server(&mut self, id: u64, server: usize, outcome: Outcome, sent_at: f64) {
        let Some(state) = self.requests.get(&id) else { return };
        let attempt = state.in_flight.iter().find(|(_, at)| **at == server).map(|(attempt, _)| *attempt);
        if let Some(attempt) = attempt {
            self.attempt_ended(id, attempt, outcome, sent_at);
        }
    }

    /// Records that a proxy closed the connection of an attempt, which may have been executed.
    pub fn attempt_abandoned(&mut self, id: u64, server: usize, now: f64) {
        self.attempt_ended_at_server(id, server, Outcome::Timeout, now);
    }

    /// Records that a proxy sent the final answer to a request.
    pub fn request_answered(&mut self, id: u64, answer: FinalAnswer, now: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let grace_period = self.settings.rules.answer_grace_period.as_secs_f64() + TOLERANCE_S;
        let is_late = now > state.deadline + grace_period;
        let may_have_been_executed = state.possible_execution.is_some() || !state.in_flight.is_empty();
        let retry_is_safe = match self.settings.classes[state.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => scope == KeyScope::All || !may_have_been_executed,
            Idempotency::NonIdempotent => !may_have_been_executed,
        };
        let answered_before = state.ended;
        let wait_s = now - state.accepted_at;
        state.ended = true;
        if answered_before {
            self.report_violation(now, Rule::AnswerInTime, format!("request {id}: second final answer"));
        }
        if is_late {
            self.report_violation(
                now,
                Rule::AnswerInTime,
                format!("request {id}: answered after {wait_s:.3} s"),
            );
        }
        if answer == FinalAnswer::Rejected && !retry_is_safe {
            let description =
                format!("request {id}: rejected as safe to retry, but the request may have been executed");
            self.report_violation(now, Rule::NoDuplicateExecution, description);
        }
    }

    /// Records that a request needs no answer any more, because the client disconnected or the proxy was
    /// killed.
    pub fn request_abandoned(&mut self, id: u64) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.ended = true;
            state.abandoned = true;
        }
    }

    /// Ends the trial, and reports requests that have passed their deadline without an answer.
    pub fn finish(&mut self, now: f64) {
        let grace_period = self.settings.rules.answer_grace_period.as_secs_f64() + TOLERANCE_S;
        let unanswered = self.requests.iter().filter(|(_, state)| !state.ended);
        let unanswered = unanswered.filter(|(_, state)| now > state.deadline + grace_period);
        let mut descriptions: Vec<(u64, String)> = unanswered
            .map(|(id, state)| {
                let age_s = now - state.accepted_at;
                let proxy = state.proxy;
                (*id, format!("request {id} of proxy {proxy}, accepted {age_s:.3} s ago: no answer"))
            })
            .collect();
        descriptions.sort_by_key(|(id, _)| *id);
        for (_, description) in descriptions {
            self.report_violation(now, Rule::AnswerInTime, description);
        }
    }

    /// Returns one line for each violation, with the time since `start` in seconds.
    pub fn descriptions(&self, start: f64) -> Vec<String> {
        let describe = |v: &Violation| format!("{:?} at {:.3} s: {}", v.rule, v.at - start, v.description);
        self.violations.iter().map(describe).collect()
    }

    /// Forgets requests that have ended and whose deadline is not after `before`.
    pub fn prune(&mut self, before: f64) {
        self.requests.retain(|_, state| !state.ended || state.deadline > before);
        let requests = &self.requests;
        self.write_executions.retain(|id, _| requests.contains_key(id));
    }
}

/// Returns why another attempt at `server` could violate [`Rule::NoDuplicateExecution`]; `None` if the
/// attempt is allowed.
fn duplicate_execution_reason(
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

#[cfg(test)]
mod tests;
