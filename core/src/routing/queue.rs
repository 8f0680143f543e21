//! Orders queued requests for dispatch, and decides when a request must not wait any longer.

use crate::api::RequestId;
use crate::failover::{BufferDecision, BufferedWrite};
use crate::time::secs;

use super::open_request::OpenRequest;
use super::view::RoutingView;

/// Share of the class's mean response time that must be left until the latency objective. With less time
/// left, a request is ranked as late.
const MIN_TIME_LEFT_SHARE: f64 = 0.5;
/// Upper bound of a request's expected response time, as a share of its time limit.
const MAX_RESPONSE_SHARE: f64 = 0.8;
/// Share of a read's time limit after which the read is rejected if its group is congested.
const MAX_CONGESTED_WAIT_SHARE: f64 = 0.49;

/// Position of a queued request in the dispatch order.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueueRank {
    /// Priority weight per second of work. The largest value goes first.
    weight_per_sec: f64,
    /// Order among equal weights, in seconds. The smallest value goes first.
    tie_breaker: f64,
    /// The request. The smallest id goes first among equal tie breakers.
    pub request: RequestId,
}

impl QueueRank {
    /// Compares the dispatch positions of two requests.
    pub fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let by_weight = other.weight_per_sec.total_cmp(&self.weight_per_sec);
        by_weight.then(self.tie_breaker.total_cmp(&other.tie_breaker)).then(self.request.cmp(&other.request))
    }
}

impl RoutingView<'_> {
    /// Returns the position of a request in the dispatch order.
    pub fn queue_rank(&self, request: &OpenRequest) -> QueueRank {
        let class = self.class(request);
        let arrival = request.arrival();
        let mean_secs = self.latencies.divisor_secs(request.request().class);
        let is_late = self.now + MIN_TIME_LEFT_SHARE * mean_secs > arrival.objective_at;
        let quota_weight = if arrival.is_over_quota { self.settings.over_quota_weight } else { 1.0 };
        let late_weight = if is_late { class.late_weight } else { 1.0 };
        let weight = class.priority_weight * quota_weight * late_weight;
        QueueRank {
            weight_per_sec: weight / mean_secs,
            tie_breaker: self.tie_breaker(request),
            request: request.request().id,
        }
    }

    fn tie_breaker(&self, request: &OpenRequest) -> f64 {
        let arrival = request.arrival();
        let is_write = self.is_write(request);
        let Some(group) = self.cluster.groups().get(request.request().group) else {
            return arrival.arrived_at;
        };
        if is_write && group.replica_set().is_in_failover() {
            // Writes that were buffered during a failover are sent in the order of their deadlines.
            arrival.deadline
        } else if !is_write && group.is_congested(self.now) {
            // In the order of arrival, all reads would be slightly too late. The newest reads have time left.
            -arrival.arrived_at
        } else {
            arrival.arrived_at
        }
    }

    /// Returns whether a request can't be answered in time any more.
    pub fn cannot_finish_in_time(&self, request: &OpenRequest) -> bool {
        let class = self.class(request);
        let arrival = request.arrival();
        let useful_until = if class.late_weight > 0.0 { arrival.deadline } else { arrival.objective_at };
        // The estimate is bounded, because a class whose requests are never sent gets no responses that could
        // lower its estimate, and would be excluded permanently.
        let estimate = self.latencies.class(request.request().class);
        let max_secs = secs(class.latency_objective).min(request.time_limit_secs());
        let mean_secs = estimate.mean.min(MAX_RESPONSE_SHARE * max_secs);
        let min_secs_left = estimate.min_time_left(mean_secs, class.idempotency);
        self.now + min_secs_left >= useful_until || self.has_waited_too_long(request)
    }

    /// Returns whether a read of a congested group has waited for almost half its time limit. The newest
    /// reads go first there, so an early rejection lets the client retry in time.
    fn has_waited_too_long(&self, request: &OpenRequest) -> bool {
        let group = self.cluster.groups().get(request.request().group);
        let is_congested = group.is_some_and(|group| group.is_congested(self.now));
        let max_wait_secs = MAX_CONGESTED_WAIT_SHARE * request.time_limit_secs();
        !self.is_write(request)
            && request.is_unsent()
            && is_congested
            && self.now >= request.arrival().arrived_at + max_wait_secs
    }

    /// Decides whether a write stays buffered. Returns `None` if the write's group takes writes or the
    /// primary of the group is only suspected.
    pub fn buffer_decision(&self, request: &OpenRequest) -> Option<BufferDecision> {
        let set = self.cluster.groups().get(request.request().group)?.replica_set();
        let forecast = set.recovery_forecast(self.now, self.cluster.failover_durations())?;
        let mean_secs = self.latencies.mean_secs(request.request().class);
        let write = BufferedWrite {
            arrived_at: request.arrival().arrived_at,
            deadline: request.arrival().deadline,
            service_secs: MAX_RESPONSE_SHARE * mean_secs.min(request.time_limit_secs()),
            was_declined: request.was_declined(),
            forecast,
        };
        Some(write.decide(self.now, &self.settings.failover))
    }
}
