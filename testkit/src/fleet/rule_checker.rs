//! Checks the service rules from the messages between proxies, clients, servers and the discovery service.
//!
//! Owns the state of each request that a proxy accepted, with its attempts, and the time at which each proxy
//! was notified of a draining or removed server. The checker is independent of the routing engine.
//! Replication positions come from the models, not from the servers' reports. All times are trial times in
//! seconds; a commit is identified by its commit time.

mod messages;
mod request_state;
mod trace;

use std::collections::HashMap;

use pipittack_core::api::{ClassId, Consistency, EndpointState, Idempotency, KeyScope, Outcome, Settings};

pub use messages::{
    AcceptedRequest, ConnectionEnd, ConnectionUse, FinalAnswer, ReplicaRead, Rule, TrialPause,
    UnansweredClose, Violation,
};
use request_state::{duplicate_execution_reason, PossibleExecution, RequestState};
use trace::TraceEvent;

/// Share of the load on a server that crashed while it warmed up, above which the proxies that were informed
/// of its start violate [`Rule::NoWarmUpOverload`].
pub const MAX_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Tolerance for time limits, in seconds.
const TOLERANCE_S: f64 = 0.05;
/// Longest time in seconds from the write of a statement to the end of its connection for which the proxy may
/// not have read the statement. A process may be held up for as long between its decision and the close.
const MAX_CROSSING_S: f64 = 0.15;

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
    /// Pauses of the trial's own thread, in the order of their ends.
    trial_pauses: Vec<TrialPause>,
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
            trial_pauses: Vec::new(),
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

    /// Records a violation in the handling of a request.
    fn report_request_violation(&mut self, id: u64, at: f64, rule: Rule, description: &str) {
        let description = match self.requests.get(&id) {
            Some(RequestState { proxy, trace, .. }) => {
                format!("request {id} of proxy {proxy}: {description} ({trace})")
            }
            None => format!("request {id}: {description}"),
        };
        self.report_violation(at, rule, description);
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

    /// Records that a proxy accepted a request. A client may send a request again after its connection ended
    /// without an answer; what is known of the earlier attempts then still counts.
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
        let Some(state) = self.requests.get_mut(&request.id) else {
            self.requests.insert(request.id, RequestState::new(&request, min_position));
            return;
        };
        let may_have_been_executed = state.may_have_been_executed();
        state.accept_again(&request, min_position);
        let class = &self.settings.classes[request.class.0];
        if may_have_been_executed && class.idempotency == Idempotency::NonIdempotent {
            self.report_request_violation(
                request.id,
                request.accepted_at,
                Rule::NoDuplicateExecution,
                "sent again by its client, but it may have been executed",
            );
        }
    }

    /// Records that the connection of a request ended without a byte of an answer. A proxy may close a
    /// connection between requests, and this may cross a request that it has not read. It must answer what it
    /// has read, unless its process is killed.
    pub fn closed_without_answer(&mut self, id: u64, close: UnansweredClose, now: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let UnansweredClose { end, process_killed, .. } = close;
        state.trace.push(now, TraceEvent::Closed { end, process_killed });
        let attempts = state.current_attempts();
        let open_s = now - close.written_at;
        state.ended = true;
        state.abandoned = true;
        if process_killed {
            return;
        }
        state.closed_unread = true;
        let is_late = open_s > MAX_CROSSING_S + TOLERANCE_S && !close.process_paused;
        let must_be_answered = attempts > 0 || close.connection == ConnectionUse::New || is_late;
        if must_be_answered {
            let description = format!(
                "connection ended ({end:?}) without an answer, {open_s:.3} s after the statement was written \
                 and after {attempts} attempts"
            );
            self.report_request_violation(id, now, Rule::AnswerInTime, &description);
        }
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
        self.process_sent_attempt(id, server, None, now);
    }

    /// Records that a process decided to send an attempt of a request to a server. `process` is its id, if it
    /// is known.
    pub fn process_sent_attempt(&mut self, id: u64, server: usize, process: Option<u32>, now: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.trace.push(now, TraceEvent::AttemptSent { server, process });
        let mut violations_found = Vec::new();
        if state.ended && !state.abandoned {
            violations_found.push((Rule::AnswerInTime, "attempt sent after the final answer"));
        }
        if state.closed_unread {
            violations_found.push((Rule::AnswerInTime, "attempt sent after the connection was closed"));
        }
        if state.current_attempts() >= self.settings.limits.max_attempts {
            violations_found.push((Rule::MaxAttempts, "attempt exceeds the maximum number of attempts"));
        }
        if state.has_current_attempt_in_flight() && !self.settings.limits.allow_hedging {
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
            let description = format!("attempt at server {server}: {description}");
            self.report_request_violation(id, now, rule, &description);
        }
    }

    /// Records that a proxy wrote the statement of an attempt to the server's connection.
    pub fn statement_written(&mut self, id: u64, server: usize, now: f64) {
        let Some(state) = self.requests.get(&id) else { return };
        let grace_period = self.settings.rules.drain_grace_period.as_secs_f64() + TOLERANCE_S;
        let withdrawn_at = self.withdrawn_at.get(&(state.proxy, server));
        if withdrawn_at.is_some_and(|at| now > at + grace_period) {
            let description = format!("server {server}: statement sent after the drain grace period");
            self.report_request_violation(id, now, Rule::NoRequestsToDraining, &description);
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
            let description = format!("data is {:.3} s too old", min_position - read.position);
            self.report_request_violation(read.request, now, Rule::NoStaleRead, &description);
        }
    }

    /// Records that a server executed a write.
    pub fn write_executed(&mut self, id: u64, class: ClassId, now: f64) {
        if let Some(state) = self.requests.get_mut(&id) {
            state.trace.push(now, TraceEvent::Executed);
        }
        let executions = self.write_executions.entry(id).or_default();
        *executions += 1;
        if *executions > 1 && self.settings.classes[class.0].idempotency == Idempotency::NonIdempotent {
            self.report_request_violation(id, now, Rule::NoDuplicateExecution, "executed twice");
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
    pub fn attempt_ended_at_server(&mut self, id: u64, server: usize, outcome: Outcome, now: f64) {
        self.end_attempt_at(id, server, outcome, now, TraceEvent::AttemptEnded { server, outcome });
    }

    /// Records that a proxy closed the connection of an attempt, which may have been executed.
    pub fn attempt_abandoned(&mut self, id: u64, server: usize, now: f64) {
        self.end_attempt_at(id, server, Outcome::Timeout, now, TraceEvent::AttemptAbandoned { server });
    }

    fn end_attempt_at(&mut self, id: u64, server: usize, outcome: Outcome, now: f64, event: TraceEvent) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        state.trace.push(now, event);
        let attempt = state.in_flight.iter().find(|(_, at)| **at == server).map(|(attempt, _)| *attempt);
        if let Some(attempt) = attempt {
            self.attempt_ended(id, attempt, outcome, now);
        }
    }

    /// Records that a proxy sent the final answer to a request.
    pub fn request_answered(&mut self, id: u64, answer: FinalAnswer, now: f64) {
        let Some(state) = self.requests.get_mut(&id) else { return };
        let grace_period = self.settings.rules.answer_grace_period.as_secs_f64() + TOLERANCE_S;
        let is_late = now > state.deadline + grace_period;
        let may_have_been_executed = state.may_have_been_executed();
        let retry_is_safe = match self.settings.classes[state.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => scope == KeyScope::All || !may_have_been_executed,
            Idempotency::NonIdempotent => !may_have_been_executed,
        };
        let answered_before = state.ended;
        let wait_s = now - state.accepted_at;
        state.ended = true;
        state.trace.push(now, TraceEvent::Answered(answer));
        if answered_before {
            self.report_request_violation(id, now, Rule::AnswerInTime, "second final answer");
        }
        if is_late {
            let pause = self.longest_trial_pause(now - wait_s);
            let description = format!("answered after {wait_s:.3} s, longest pause of the trial {pause}");
            self.report_request_violation(id, now, Rule::AnswerInTime, &description);
        }
        if answer == FinalAnswer::Rejected && !retry_is_safe {
            let description = "rejected as safe to retry, but the request may have been executed";
            self.report_request_violation(id, now, Rule::NoDuplicateExecution, description);
        }
    }

    /// Records a pause of the trial's own thread. A pause excuses nothing: the description of a late answer
    /// contains it.
    pub fn trial_paused(&mut self, pause: TrialPause) {
        self.trial_pauses.push(pause);
    }

    /// Returns the longest pause of the trial's thread that ended after `since`; a pause of zero length without
    /// one.
    fn longest_trial_pause(&self, since: f64) -> TrialPause {
        let pauses = self.trial_pauses.iter().copied().filter(|pause| pause.ended_at > since);
        pauses.max_by(|a, b| a.length_s.total_cmp(&b.length_s)).unwrap_or_default()
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
        let mut unanswered: Vec<_> = unanswered.map(|(id, state)| (*id, now - state.accepted_at)).collect();
        unanswered.sort_by_key(|(id, _)| *id);
        for (id, age_s) in unanswered {
            let description = format!("accepted {age_s:.3} s ago, no answer");
            self.report_request_violation(id, now, Rule::AnswerInTime, &description);
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

#[cfg(test)]
mod tests;
