//! Slow start: limits the work that a server receives after its process has started.
//!
//! Owns the start time and the budget, which is counted in average requests. The periodic maintenance refills
//! the budget in proportion to the capacity that the service rules guarantee; each forwarded request consumes
//! its cost.

use crate::api::ServiceRules;
use crate::time::secs;

/// Share of the permitted work that the proxy uses; the rest is a safety margin.
const BUDGET_MARGIN: f64 = 0.7;
/// Minimum of the budget's cap, in average requests. Without it, an instance with a low request rate could
/// never use its part of the permitted work.
const MIN_BUDGET_CAP: f64 = 2.0;
/// Share of the overload duration for which the budget accumulates.
const ACCUMULATION_SHARE: f64 = 0.5;
/// Lower bound of the capacity share.
const MIN_CAPACITY_SHARE: f64 = 0.01;

/// Warm-up state of a server. Times are seconds on the engine's clock.
pub(in crate::routing) struct WarmUp {
    started_at: Option<f64>,
    budget: f64,
}

impl Default for WarmUp {
    fn default() -> Self {
        Self { started_at: None, budget: 1.0 }
    }
}

impl WarmUp {
    /// Returns when the process started; `None` if unknown.
    pub fn started_at(&self) -> Option<f64> {
        self.started_at
    }

    /// Returns the work that the server may still be sent, in average requests.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// Starts a warm-up of a process that started at `started_at`, with this initial budget in average
    /// requests.
    pub fn restart(&mut self, started_at: f64, budget: f64) {
        self.started_at = Some(started_at);
        self.budget = budget;
    }

    /// Sets the start time if this one is later than the known one.
    pub fn observe_start(&mut self, started_at: f64) {
        if self.is_newer_start(started_at) {
            self.started_at = Some(started_at);
        }
    }

    /// Returns whether `started_at` is later than the known start time, or none is known.
    pub fn is_newer_start(&self, started_at: f64) -> bool {
        self.started_at.is_none_or(|known| started_at > known)
    }

    /// Lowers the budget to at most `budget`.
    pub fn cap_budget(&mut self, budget: f64) {
        self.budget = self.budget.min(budget);
    }

    /// Subtracts the cost of a request, in average requests, from the budget.
    pub fn spend(&mut self, cost: f64) {
        self.budget -= cost;
    }

    /// Returns the share of its full capacity that the server has at least; 1 if its start time is unknown.
    pub fn capacity_share(&self, now: f64, rules: &ServiceRules) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        rules.min_capacity_share(now - started_at).max(MIN_CAPACITY_SHARE)
    }

    /// Refills the budget for `elapsed_secs` seconds. `warm_rate` is the rate at which this proxy instance
    /// sends requests to a warm server of the same capacity.
    pub fn refill(&mut self, now: f64, elapsed_secs: f64, rules: &ServiceRules, warm_rate: WarmServerRate) {
        let capacity_share = self.capacity_share(now, rules);
        let rate = BUDGET_MARGIN
            * rules.overload_factor
            * capacity_share
            * warm_rate.requests_per_s
            * warm_rate.relative_capacity;
        let cap = (rate * secs(rules.overload_duration) * ACCUMULATION_SHARE).max(MIN_BUDGET_CAP);
        self.budget = (self.budget + rate * elapsed_secs).min(cap);
    }
}

/// Request rate of a warm server, from this proxy instance alone.
#[derive(Clone, Copy)]
pub(in crate::routing) struct WarmServerRate {
    /// Requests per second to a warm server of relative capacity 1.
    pub requests_per_s: f64,
    /// Capacity of the server relative to the other servers.
    pub relative_capacity: f64,
}
