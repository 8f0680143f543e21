//! A read-only view of the engine's state for routing decisions.
//!
//! A decision is returned as a value, which the engine applies. Times are seconds on the engine's clock.

use crate::api::{Class, Consistency, Idempotency, ServerId, Settings};
use crate::primary_read_admission::PrimaryReadAdmission;
use crate::request_cost::RequestCosts;
use crate::time::secs;

use super::cluster::Cluster;
use super::latency_estimates::LatencyEstimates;
use super::open_request::OpenRequest;
use super::retry_budget::RetryBudget;
use super::server::Server;

/// Factor of the cross-zone price in the expected response time.
const CROSS_ZONE_WEIGHT: f64 = 2.0;
/// Mean response times after which an unanswered attempt counts as overdue.
const OVERDUE_RATIO: f64 = 2.0;
/// Lower bound of the success share from which the expected response time is computed.
const MIN_SUCCESS_SHARE: f64 = 0.05;
/// Exponent of the success share by which the expected response time is divided.
const ERROR_EXPONENT: i32 = 3;
/// Deviations above the mean response time after which an attempt times out.
const TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Upper bound of the slowness by which an attempt's timeout is multiplied.
const MAX_TIMEOUT_SLOWNESS: f64 = 3.0;
/// Largest number of earlier attempts at which an attempt still times out before the deadline. Later attempts
/// wait until the deadline.
const MAX_TIMED_ATTEMPTS: u32 = 1;

/// An attempt that is to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedAttempt {
    /// Server that the attempt is sent to.
    pub server: ServerId,
    /// Timeout of the attempt in seconds.
    pub timeout_secs: f64,
}

/// The state that routing decisions are computed from.
#[derive(Clone, Copy)]
pub(super) struct RoutingView<'e> {
    /// Current time.
    pub now: f64,
    /// Settings of the engine.
    pub settings: &'e Settings,
    /// Servers and groups.
    pub cluster: &'e Cluster,
    /// Response times of the classes.
    pub latencies: &'e LatencyEstimates,
    /// Work per request of each class.
    pub costs: &'e RequestCosts,
    /// Budget of retries that may be sent.
    pub retry_budget: &'e RetryBudget,
    /// Share of late responses over all primaries, which decides whether primaries admit reads.
    pub primary_reads: &'e PrimaryReadAdmission,
    /// Position that reads of sessions without a token must see.
    pub session_floor: f64,
}

impl<'e> RoutingView<'e> {
    /// Returns the class of a request.
    pub fn class(&self, request: &OpenRequest) -> &'e Class {
        &self.settings.classes[request.request().class.0]
    }

    /// Returns whether a request is a write.
    pub fn is_write(&self, request: &OpenRequest) -> bool {
        self.class(request).consistency == Consistency::Write
    }

    /// Returns the replication position that a request must see.
    pub fn required_position(&self, request: &OpenRequest) -> f64 {
        match self.class(request).consistency {
            Consistency::BoundedStaleness(max_age) => self.now - secs(max_age),
            _ => request.arrival().required_position,
        }
    }

    /// Returns the expected response time of one more request at a server, in seconds. The price of a request
    /// to another zone is included as time.
    pub fn expected_response_secs(&self, server: &Server, request: &OpenRequest) -> f64 {
        let mean = self.latencies.mean_secs(request.request().class);
        let capacity_share = server.warm_up().capacity_share(self.now, &self.settings.rules);
        let load = server.load();
        let overdue = if load.oldest_sent_at().is_finite() {
            let waiting_since = load.oldest_sent_at().max(server.replication().last_response_at());
            (self.now - waiting_since) / (OVERDUE_RATIO * mean)
        } else {
            0.0
        };
        let slowness = server.slowness(self.now).max(overdue).max(1.0) / capacity_share;
        let success_share = (1.0 - server.error_share(self.now)).max(MIN_SUCCESS_SHARE).powi(ERROR_EXPONENT);
        let is_local = server.zone() == self.settings.zone;
        let zone_price = if is_local { 0.0 } else { self.settings.prices.cross_zone };
        (load.expected_secs() + mean) * slowness / success_share
            + CROSS_ZONE_WEIGHT * zone_price * secs(self.class(request).latency_objective)
    }

    /// Returns the timeout of an attempt in seconds. Beyond it, a response is so unlikely that the request is
    /// better retried at another server. Where a retry is not possible, the timeout is the time until the
    /// deadline.
    pub fn attempt_timeout_secs(&self, request: &OpenRequest, server: &Server) -> f64 {
        let secs_left = request.secs_left(self.now);
        let class = self.class(request);
        let estimate = self.latencies.class(request.request().class);
        let usual_slowness = server.slowness(self.now).clamp(1.0, MAX_TIMEOUT_SLOWNESS);
        let timeout = (estimate.mean + TIMEOUT_DEVIATIONS * estimate.deviation) * usual_slowness;
        let group = self.cluster.groups().get(server.group());
        let is_shedding = group.is_some_and(|group| group.admission().is_shedding());
        let may_retry = class.idempotency != Idempotency::NonIdempotent
            && request.attempts_sent() <= MAX_TIMED_ATTEMPTS
            && self.retry_budget.allows_retry()
            && !is_shedding
            && !class.streaming;
        if may_retry {
            timeout.min(secs_left)
        } else {
            secs_left
        }
    }
}
