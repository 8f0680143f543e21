//! The order in which queued requests are dispatched, and when waiting longer is pointless.

use crate::api::RequestId;
use crate::failover::{BufferDecision, BufferedWrite};
use crate::time::secs;

use super::open_request::OpenRequest;
use super::view::RoutingView;

/// A request is ranked as late when less than this part of its response time is left.
const LATE_BEFORE: f64 = 0.5;
/// Largest part of a request's time that its response time is taken for.
const MAX_RESPONSE_SHARE: f64 = 0.8;
/// Part of a read's time after which it is rejected where its group is congested.
const MAX_CONGESTED_WAIT_SHARE: f64 = 0.49;

/// A queued request's place in the dispatch order.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueRank {
    /// Priority weight for each second of work; the largest goes first.
    weight_per_sec: f64,
    /// The smallest goes first among equal weights.
    turn: f64,
    /// The request; the smallest id goes first among equal turns.
    pub request: RequestId,
}

impl QueueRank {
    /// Orders two requests by the place in the queue.
    pub fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_weight = other.weight_per_sec.total_cmp(&self.weight_per_sec);
        by_weight.then(self.turn.total_cmp(&other.turn)).then(self.request.cmp(&other.request))
    }
}

impl RoutingView<'_> {
    /// The place of a request in the queue.
    pub fn queue_rank(&self, request: &OpenRequest) -> QueueRank {
        let class = self.class(request);
        let arrival = request.arrival();
        let mean_secs = self.latencies.divisor_secs(request.request().class);
        let is_late = self.now + LATE_BEFORE * mean_secs > arrival.objective_at;
        let quota_weight = if arrival.is_over_quota { self.settings.over_quota_weight } else { 1.0 };
        let late_weight = if is_late { class.late_weight } else { 1.0 };
        let weight = class.priority_weight * quota_weight * late_weight;
        QueueRank {
            weight_per_sec: weight / mean_secs,
            turn: self.queue_turn(request),
            request: request.request().id,
        }
    }

    fn queue_turn(&self, request: &OpenRequest) -> f64 {
        let arrival = request.arrival();
        let is_write = self.is_write(request);
        let Some(group) = self.cluster.groups().get(request.request().group) else {
            return arrival.arrived_at;
        };
        if is_write && group.replica_set().is_releasing() {
            // Writes that a failover buffered are forwarded by their deadlines.
            arrival.deadline
        } else if !is_write && group.is_congested(self.now) {
            // In order of arrival all would be just too late; the youngest have time left.
            -arrival.arrived_at
        } else {
            arrival.arrived_at
        }
    }

    /// Whether a request can't be answered in time any more.
    pub fn is_hopeless(&self, request: &OpenRequest) -> bool {
        let class = self.class(request);
        let arrival = request.arrival();
        let useful_until = if class.late_weight > 0.0 { arrival.deadline } else { arrival.objective_at };
        // The estimate is bounded so that it excludes no class for good: a class that is never sent has no
        // responses that could lower it.
        let estimate = self.latencies.class(request.request().class);
        let max_secs = secs(class.latency_objective).min(request.time_limit_secs());
        let mean_secs = estimate.mean.min(MAX_RESPONSE_SHARE * max_secs);
        let min_secs_left = estimate.min_time_left(mean_secs, class.idempotency);
        self.now + min_secs_left >= useful_until || self.has_waited_too_long(request)
    }

    /// Whether a read of a congested group has waited for near half its time. Rejecting it then lets its
    /// client retry in time, since the youngest reads go first.
    fn has_waited_too_long(&self, request: &OpenRequest) -> bool {
        let group = self.cluster.groups().get(request.request().group);
        let is_congested = group.is_some_and(|group| group.is_congested(self.now));
        let max_wait_secs = MAX_CONGESTED_WAIT_SHARE * request.time_limit_secs();
        !self.is_write(request)
            && request.is_unsent()
            && is_congested
            && self.now >= request.arrival().arrived_at + max_wait_secs
    }

    /// Whether a write waits whose group takes none; `None` where it takes some or is only suspected.
    pub fn buffer_decision(&self, request: &OpenRequest) -> Option<BufferDecision> {
        let set = self.cluster.groups().get(request.request().group)?.replica_set();
        let forecast = set.recovery_forecast(self.now, self.cluster.failover_durations())?;
        let mean_secs = self.latencies.mean_secs(request.request().class);
        let write = BufferedWrite {
            arrived: request.arrival().arrived_at,
            deadline: request.arrival().deadline,
            service_secs: MAX_RESPONSE_SHARE * mean_secs.min(request.time_limit_secs()),
            was_declined: request.was_declined(),
            forecast,
        };
        Some(write.decide(self.now, &self.settings.failover))
    }
}
