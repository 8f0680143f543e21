//! A read-only view of the engine's state that routing decisions are made from.
//!
//! A decision is a value: the engine applies it. Times are seconds on the engine's clock.

use crate::api::{Class, Consistency, Idempotency, ServerId, Settings};
use crate::primary_read_admission::PrimaryReadAdmission;
use crate::request_cost::RequestCosts;
use crate::time::secs;

use super::cluster::Cluster;
use super::latency_estimates::LatencyEstimates;
use super::open_request::OpenRequest;
use super::retry_budget::RetryBudget;
use super::server::Server;

/// Weight of another zone's price in the expected response time.
const CROSS_ZONE_WEIGHT: f64 = 2.0;
/// A response counts as overdue after this many mean response times.
const OVERDUE_RATIO: f64 = 2.0;
/// Least success share that the expected response time is computed with.
const MIN_SUCCESS_SHARE: f64 = 0.05;
/// Power of the success share by which errors lengthen the expected response time.
const ERROR_EXPONENT: i32 = 3;
/// An attempt is given up after the mean response time and this many deviations.
const TIMEOUT_DEVIATIONS: f64 = 6.0;
/// Largest slowness of a server that lengthens its timeouts.
const MAX_TIMEOUT_SLOWNESS: f64 = 3.0;
/// Attempts after which a request waits until its deadline.
const MAX_TIMED_ATTEMPTS: u32 = 1;

/// An attempt that is to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlannedAttempt {
    /// The server.
    pub server: ServerId,
    /// Seconds after which the attempt is given up.
    pub timeout_secs: f64,
}

/// The state that decisions are made from.
#[derive(Clone, Copy)]
pub(super) struct RoutingView<'e> {
    /// The time.
    pub now: f64,
    /// The settings.
    pub settings: &'e Settings,
    /// Servers and groups.
    pub cluster: &'e Cluster,
    /// Response times.
    pub latencies: &'e LatencyEstimates,
    /// Work of each class.
    pub costs: &'e RequestCosts,
    /// Retries that may be sent.
    pub retry_budget: &'e RetryBudget,
    /// Lateness of primaries.
    pub primary_reads: &'e PrimaryReadAdmission,
    /// Position that reads of sessions without a token must see.
    pub session_floor: f64,
}

impl<'e> RoutingView<'e> {
    /// The class of a request.
    pub fn class(&self, request: &OpenRequest) -> &'e Class {
        &self.settings.classes[request.request().class.0]
    }

    /// Whether a request is a write.
    pub fn is_write(&self, request: &OpenRequest) -> bool {
        self.class(request).consistency == Consistency::Write
    }

    /// The replication position that a request must see.
    pub fn required_position(&self, request: &OpenRequest) -> f64 {
        match self.class(request).consistency {
            Consistency::BoundedStaleness(max_age) => self.now - secs(max_age),
            _ => request.arrival().required_position,
        }
    }

    /// Seconds that one more request would take at a server, with the price of another zone.
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

    /// Seconds after which a response of a server is so unlikely that the request had better go elsewhere.
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
