//! Sends queued requests to servers, and gives final answers to requests that can't be sent.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::api::{Action, AttemptId, Consistency, GroupId, RequestId, SessionTokens};
use crate::concurrency_limit::INITIAL_LIMIT;
use crate::failover::{BufferDecision, BufferUsage};

use super::final_answer::final_answer;
use super::in_flight::InFlightAttempt;
use super::queue::QueueRank;
use super::read_routing::{route_read, ReadDecision, ReadDraws};
use super::view::PlannedAttempt;
use super::write_routing::{route_write, WriteDecision};
use super::{RoutingEngine, ATTEMPT_EWMA};

/// Largest queue length of a group, as a multiple of the sum of its servers' concurrency limits.
const QUEUE_LENGTH_FACTOR: f64 = 3.0;
/// Shortest timeout of an attempt in seconds.
const MIN_ATTEMPT_TIMEOUT_SECS: f64 = 0.001;

/// Queue lengths by group, and use of the write buffer, by the requests that stay queued in one step.
#[derive(Default)]
struct QueueUsage {
    lengths: BTreeMap<GroupId, f64>,
    buffer: BufferUsage,
}

impl RoutingEngine {
    /// Sends the queued requests that can be sent, in the order of the queue.
    pub(super) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let view = self.view();
        let waiting = self.requests.values().filter(|open_request| open_request.is_dispatchable());
        let mut ranks: Vec<QueueRank> = waiting.map(|open_request| view.queue_rank(open_request)).collect();
        ranks.sort_by(QueueRank::compare);
        let mut usage = QueueUsage::default();
        for rank in ranks {
            self.dispatch_request(rank.request, &mut usage, actions);
        }
    }

    fn dispatch_request(&mut self, id: RequestId, usage: &mut QueueUsage, actions: &mut Vec<Action>) {
        let Some(open_request) = self.requests.get(&id) else { return };
        let view = self.view();
        let group = open_request.request().group;
        let is_write = view.is_write(open_request);
        let buffering = if is_write { view.buffer_decision(open_request) } else { None };
        let retry_after_secs = buffering.and_then(BufferDecision::retry_after_secs);
        if retry_after_secs.is_some()
            || !view.may_send(open_request)
            || view.cannot_finish_in_time(open_request)
        {
            self.cluster.groups_mut().get_or_create(group).request_dropped(self.now);
            self.finish(id, retry_after_secs, actions);
            return;
        }
        let planned = if is_write { self.plan_write(id) } else { self.plan_read(id, actions) };
        match planned {
            Some(attempt) => self.forward(id, attempt, actions),
            None => self.queue_or_reject(id, buffering, usage, actions),
        }
    }

    /// Counts a request that stays queued, and rejects it if the queue or the write buffer is full.
    fn queue_or_reject(
        &mut self,
        id: RequestId,
        buffering: Option<BufferDecision>,
        usage: &mut QueueUsage,
        actions: &mut Vec<Action>,
    ) {
        let Some(open_request) = self.requests.get(&id) else { return };
        let group = open_request.request().group;
        let length = usage.lengths.entry(group).or_default();
        if buffering.is_none() {
            *length += 1.0;
        }
        let available = self.cluster.members(group).filter(|member| !member.server.is_closed());
        let limits: f64 = available.map(|member| member.server.concurrency_limit()).sum();
        let max_length = QUEUE_LENGTH_FACTOR * limits.max(INITIAL_LIMIT);
        let statement_bytes = open_request.request().statement_bytes;
        let fits_buffer =
            buffering.is_none() || usage.buffer.try_reserve(group, statement_bytes, &self.settings.failover);
        if *length > max_length || !fits_buffer {
            self.finish(id, None, actions);
        }
    }

    fn plan_write(&mut self, id: RequestId) -> Option<PlannedAttempt> {
        let write = self.requests.get(&id)?;
        match route_write(&self.view(), write) {
            WriteDecision::Wait => None,
            WriteDecision::Send(attempt) => Some(attempt),
            WriteDecision::SearchForPrimary(plan) => {
                let server = self.cluster.next_search_target(plan.group, &plan.members, self.now)?;
                Some(PlannedAttempt { server, timeout_secs: plan.timeout_secs })
            }
        }
    }

    fn plan_read(&mut self, id: RequestId, actions: &mut Vec<Action>) -> Option<PlannedAttempt> {
        let draws = ReadDraws::new(&mut self.rng);
        let read = self.requests.get(&id)?;
        match route_read(&self.view(), read, draws) {
            ReadDecision::Trial(attempt) => {
                let request_rate = self.throughput.total(&ATTEMPT_EWMA);
                let down = self.cluster.server_mut(attempt.server)?.down_mut()?;
                down.trial_started(self.now, request_rate);
                Some(attempt)
            }
            ReadDecision::Route { attempt, probe } => {
                if let Some(server) = probe {
                    self.cluster.server_mut(server)?.probe_sent(self.now);
                    self.requests.get_mut(&id)?.probe_sent();
                    actions.push(Action::HealthCheck { server });
                }
                attempt
            }
        }
    }

    /// Sends an attempt to a server.
    fn forward(&mut self, id: RequestId, planned: PlannedAttempt, actions: &mut Vec<Action>) {
        let now = self.now;
        let send_by = self.requests.get(&id).and_then(|open_request| self.view().send_by(open_request));
        let Some(open_request) = self.requests.get_mut(&id) else { return };
        let Some(server) = self.cluster.server_mut(planned.server) else { return };
        let class = open_request.request().class;
        let expected_secs = self.latencies.mean_secs(class);
        server.attempt_sent(now, expected_secs, self.costs.cost(class.0), &self.settings.rules);
        if open_request.first_possible_execution().is_some() {
            self.retry_budget.spend();
        }
        let number = open_request.attempt_sent(planned.server, now);
        let is_write = self.settings.classes[class.0].consistency == Consistency::Write;
        if let Some(group) = self.cluster.groups_mut().get_mut(open_request.request().group) {
            let set = group.replica_set_mut();
            if is_write {
                set.write_sent(planned.server, now);
            } else {
                set.read_sent(planned.server, now);
            }
        }
        let tracks_session = is_write && self.settings.session_tokens == SessionTokens::Tracked;
        let session = open_request.request().session.clone().filter(|_| tracks_session);
        let attempt = InFlightAttempt { server: planned.server, class, session, sent_at: now, expected_secs };
        self.in_flight.insert(AttemptId { request: id, number }, attempt);
        let timeout = Duration::from_secs_f64(planned.timeout_secs.max(MIN_ATTEMPT_TIMEOUT_SECS));
        let send_by = send_by.map(|at| Duration::try_from_secs_f64(at).unwrap_or_default());
        actions.push(Action::Forward { request: id, server: planned.server, timeout, send_by });
    }

    /// Gives the final answer to a request. `retry_after_secs` is the delay in seconds after which the client
    /// should retry a write that is not buffered; `None` for other requests.
    pub(super) fn finish(&mut self, id: RequestId, retry_after_secs: Option<f64>, actions: &mut Vec<Action>) {
        if let Some(open_request) = self.requests.remove(&id) {
            actions.push(final_answer(&open_request, retry_after_secs, &self.settings));
        }
    }

    /// Cancels the attempts of a request, if the settings permit it.
    pub(super) fn cancel_attempts(&self, request: RequestId, actions: &mut Vec<Action>) {
        if self.settings.limits.allow_cancel {
            let attempts = self.in_flight.of_request(request);
            actions.extend(attempts.map(|id| Action::Cancel { request, attempt: id.number }));
        }
    }
}
