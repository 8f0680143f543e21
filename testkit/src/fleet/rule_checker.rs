//! Checks the service rules from what passes between proxies, servers and the discovery service.
//!
//! Owns an account of each request that a proxy accepted, of each attempt, and of the endpoint states that
//! each proxy has received. It is independent of the routing engine. Replication positions come from the
//! models and not from what servers report.

use std::collections::HashMap;

use pipittack_core::api::{
    Class, ClassId, Consistency, EndpointState, Idempotency, KeyScope, Outcome, Settings,
};

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Violation {
    /// When it happened, in s.
    pub at: f64,
    /// The rule.
    pub rule: Rule,
    /// What happened.
    pub description: String,
}

/// The service rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer by its deadline.
    AnswerInTime,
    /// A request that may have been executed is not executed again, unless it is idempotent.
    NoDuplicateExecution,
    /// A draining server receives no new requests after a grace period.
    NoRequestsToDraining,
    /// Proxies do not overload a server that warms up.
    NoWarmUpOverload,
    /// A read returns data that is recent enough.
    NoStaleRead,
    /// The number of attempts is limited.
    MaxAttempts,
}

/// The share of the load on a server that crashed, from proxies informed of its start, above which they
/// violate the rule.
pub const MAX_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Time in s past a limit that is tolerated.
const TOLERANCE_S: f64 = 0.05;

/// A request that a proxy accepts.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedRequest {
    /// Its id, unique in the trial.
    pub id: u64,
    /// The proxy.
    pub proxy: usize,
    /// Its class.
    pub class: ClassId,
    /// Its session.
    pub session: u64,
    /// The commit in the session token that came with it.
    pub token_commit: Option<f64>,
    /// When it was accepted, in s.
    pub accepted_at: f64,
    /// Its deadline in s.
    pub deadline: f64,
}

/// A read at a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaRead {
    /// The request.
    pub request: u64,
    /// When the attempt was sent, in s.
    pub sent_at: f64,
    /// The position of the replica's data.
    pub position: f64,
    /// The server was primary before, and the proxy could not know otherwise: stale data is no violation.
    pub may_read_stale: bool,
}

/// The kind of a final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A rejection, which promises that the client can try again safely.
    Rejected,
    /// A response or an error.
    Other,
}

/// An attempt that may have been executed.
#[derive(Debug, Clone, Copy)]
struct PossibleExecution {
    sent_at: f64,
    server: usize,
}

#[derive(Debug)]
struct RequestAccount {
    class: ClassId,
    proxy: usize,
    accepted_at: f64,
    deadline: f64,
    ended: bool,
    /// Nobody waits for its answer.
    abandoned: bool,
    attempts: u32,
    /// The server of each attempt that has not ended.
    in_flight: HashMap<u32, usize>,
    /// The first attempt that ended and may have been executed.
    possible_execution: Option<PossibleExecution>,
    /// The minimum position of the data that a read must return.
    min_position: f64,
}

/// The rule checker.
#[derive(Debug)]
pub struct RuleChecker {
    settings: Settings,
    requests: HashMap<u64, RequestAccount>,
    /// When each proxy was notified that a server drains or is gone, by proxy and server.
    withdrawn_at: HashMap<(usize, usize), f64>,
    /// The last acknowledged commit of each session, by proxy and session.
    session_commits: HashMap<(usize, u64), f64>,
    /// How often each write was executed.
    write_executions: HashMap<u64, u32>,
    /// The zone of each server.
    zones: Vec<usize>,
    /// The violations.
    pub violations: Vec<Violation>,
}

impl RuleChecker {
    /// A checker for proxies with these settings.
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

    /// Records that a server crashed on overload while it warmed up.
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
        let account = RequestAccount {
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
        self.requests.insert(request.id, account);
    }

    /// Records that a write of a session was acknowledged through a proxy.
    pub fn write_acknowledged(&mut self, proxy: usize, session: u64, commit: f64) {
        let last = self.session_commits.entry((proxy, session)).or_default();
        *last = last.max(commit);
    }

    /// Records that a proxy was notified of the state of a server.
    pub fn endpoint_listed(&mut self, proxy: usize, server: usize, state: EndpointState, now: f64) {
        if state == EndpointState::Healthy {
            self.withdrawn_at.remove(&(proxy, server));
        } else {
            self.withdrawn_at.entry((proxy, server)).or_insert(now);
        }
    }

    /// Records that a proxy decided to send an attempt.
    pub fn attempt_sent(&mut self, id: u64, server: usize, now: f64) {
        let Some(account) = self.requests.get_mut(&id) else { return };
        let mut found = Vec::new();
        if account.ended && !account.abandoned {
            found.push((Rule::AnswerInTime, "an attempt after the final answer"));
        }
        if account.attempts >= self.settings.limits.max_attempts {
            found.push((Rule::MaxAttempts, "one attempt too many"));
        }
        if !account.in_flight.is_empty() && !self.settings.limits.allow_hedging {
            found.push((Rule::NoDuplicateExecution, "a hedged request"));
        }
        let class = &self.settings.classes[account.class.0];
        if let Some(description) = repeated_execution(account, class, &self.zones, server, now) {
            found.push((Rule::NoDuplicateExecution, description));
        }
        account.in_flight.insert(account.attempts, server);
        account.attempts += 1;
        for (rule, description) in found {
            self.report_violation(now, rule, format!("request {id} to server {server}: {description}"));
        }
    }

    /// Records that the statement of an attempt was written to its server.
    pub fn statement_written(&mut self, id: u64, server: usize, now: f64) {
        let Some(account) = self.requests.get(&id) else { return };
        let grace_period = self.settings.rules.drain_grace_period.as_secs_f64() + TOLERANCE_S;
        let withdrawn_at = self.withdrawn_at.get(&(account.proxy, server));
        if withdrawn_at.is_some_and(|at| now > at + grace_period) {
            let description = format!("request {id} to server {server}: sent after the drain grace period");
            self.report_violation(now, Rule::NoRequestsToDraining, description);
        }
    }

    /// Records that a replica executed a read.
    pub fn read_executed(&mut self, read: ReplicaRead, now: f64) {
        let Some(account) = self.requests.get(&read.request) else { return };
        let min_position = match self.settings.classes[account.class.0].consistency {
            Consistency::BoundedStaleness(max_age) => read.sent_at - max_age.as_secs_f64(),
            Consistency::Causal | Consistency::Linearizable => account.min_position,
            Consistency::Write | Consistency::Eventual => return,
        };
        if read.position < min_position && !read.may_read_stale {
            let description = format!(
                "request {} of proxy {}: data {:.3} s too old",
                read.request,
                account.proxy,
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

    /// Records the end of an attempt, as its proxy observed it.
    pub fn attempt_ended(&mut self, id: u64, attempt: u32, outcome: Outcome, sent_at: f64) {
        let Some(account) = self.requests.get_mut(&id) else { return };
        let Some(server) = account.in_flight.remove(&attempt) else { return };
        if !outcome.rules_out_execution() {
            account.possible_execution.get_or_insert(PossibleExecution { sent_at, server });
        }
    }

    /// Records the end of an attempt, as its server observed it.
    pub fn attempt_ended_at_server(&mut self, id: u64, server: usize, outcome: Outcome, sent_at: f64) {
        let Some(account) = self.requests.get(&id) else { return };
        let attempt = account.in_flight.iter().find(|(_, at)| **at == server).map(|(attempt, _)| *attempt);
        if let Some(attempt) = attempt {
            self.attempt_ended(id, attempt, outcome, sent_at);
        }
    }

    /// Records that a proxy closed the connection of an attempt.
    pub fn attempt_abandoned(&mut self, id: u64, server: usize, now: f64) {
        self.attempt_ended_at_server(id, server, Outcome::Timeout, now);
    }

    /// Records the final answer of a request.
    pub fn request_answered(&mut self, id: u64, answer: FinalAnswer, now: f64) {
        let Some(account) = self.requests.get_mut(&id) else { return };
        let grace_period = self.settings.rules.answer_grace_period.as_secs_f64() + TOLERANCE_S;
        let late = now > account.deadline + grace_period;
        let may_have_run = account.possible_execution.is_some() || !account.in_flight.is_empty();
        let retry_is_safe = match self.settings.classes[account.class.0].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::WithKey { scope, .. } => scope == KeyScope::All || !may_have_run,
            Idempotency::NonIdempotent => !may_have_run,
        };
        let answered_before = account.ended;
        let waited = now - account.accepted_at;
        account.ended = true;
        if answered_before {
            self.report_violation(now, Rule::AnswerInTime, format!("request {id}: a second final answer"));
        }
        if late {
            self.report_violation(
                now,
                Rule::AnswerInTime,
                format!("request {id}: answered after {waited:.3} s"),
            );
        }
        if answer == FinalAnswer::Rejected && !retry_is_safe {
            let description = format!("request {id}: rejected, but it may have been executed");
            self.report_violation(now, Rule::NoDuplicateExecution, description);
        }
    }

    /// Records that a request needs no answer any more: its client has gone, or its proxy was killed.
    pub fn request_abandoned(&mut self, id: u64) {
        if let Some(account) = self.requests.get_mut(&id) {
            account.ended = true;
            account.abandoned = true;
        }
    }

    /// Ends the trial: requests past their deadline that have no answer are violations.
    pub fn finish(&mut self, now: f64) {
        let grace_period = self.settings.rules.answer_grace_period.as_secs_f64() + TOLERANCE_S;
        let lost = self.requests.iter().filter(|(_, account)| !account.ended);
        let lost = lost.filter(|(_, account)| now > account.deadline + grace_period);
        let mut descriptions: Vec<(u64, String)> = lost
            .map(|(id, account)| {
                let age_s = now - account.accepted_at;
                let proxy = account.proxy;
                (*id, format!("request {id} of proxy {proxy}, accepted {age_s:.3} s before: no answer"))
            })
            .collect();
        descriptions.sort_by_key(|(id, _)| *id);
        for (_, description) in descriptions {
            self.report_violation(now, Rule::AnswerInTime, description);
        }
    }

    /// Describes the violations; times count from `start`.
    pub fn descriptions(&self, start: f64) -> Vec<String> {
        let describe = |v: &Violation| format!("{:?} at {:.3} s: {}", v.rule, v.at - start, v.description);
        self.violations.iter().map(describe).collect()
    }

    /// Removes requests that ended before a time.
    pub fn prune(&mut self, before: f64) {
        self.requests.retain(|_, account| !account.ended || account.deadline > before);
        let requests = &self.requests;
        self.write_executions.retain(|id, _| requests.contains_key(id));
    }
}

/// Describes why a further attempt at a server could execute a request again, if it could.
fn repeated_execution(
    account: &RequestAccount,
    class: &Class,
    zones: &[usize],
    server: usize,
    now: f64,
) -> Option<&'static str> {
    // An attempt in flight may be executed as well.
    let in_flight = account.in_flight.values().next();
    let in_flight = in_flight.map(|server| PossibleExecution { sent_at: now, server: *server });
    let first = account.possible_execution.or(in_flight)?;
    match class.idempotency {
        Idempotency::NonIdempotent => Some("a retry after a possible execution"),
        Idempotency::WithKey { scope, window } => {
            let other_zone = scope == KeyScope::Zone && zones.get(first.server) != zones.get(server);
            let expired = now > first.sent_at + window.as_secs_f64();
            (other_zone || expired).then_some("a retry outside the scope or window of its idempotency key")
        }
        Idempotency::Idempotent => None,
    }
}

#[cfg(test)]
mod tests;
