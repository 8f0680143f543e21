//! Slow start: how much work a server may be sent after its process has started.
//!
//! Owns the start time and the budget, which is counted in average requests. The upkeep refills the budget in
//! proportion to the capacity that the service rules grant; each forwarded request spends its cost.

use crate::api::ServiceRules;
use crate::time::secs;

/// Part of the permitted work that is used, as a safety margin.
const BUDGET_MARGIN: f64 = 0.7;
/// The budget may grow to this many average requests even where the permitted rate is lower: otherwise an
/// instance that sends little could never use its part.
const MIN_BUDGET_CAP: f64 = 2.0;
/// Part of the overload duration for which the budget accumulates.
const ACCUMULATION_SHARE: f64 = 0.5;
/// Least capacity share that is computed with.
const MIN_CAPACITY_SHARE: f64 = 0.01;

/// A server's warm-up; times are seconds on the engine's clock.
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
    /// When the process started, where that is known.
    pub fn started_at(&self) -> Option<f64> {
        self.started_at
    }

    /// Work that may be sent, in average requests.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// The process started at this time.
    pub fn restart(&mut self, started_at: f64, budget: f64) {
        self.started_at = Some(started_at);
        self.budget = budget;
    }

    /// Takes over a start time that is later than the known one.
    pub fn observe_start(&mut self, started_at: f64) {
        if self.is_newer_start(started_at) {
            self.started_at = Some(started_at);
        }
    }

    /// Whether this start is later than the known one.
    pub fn is_newer_start(&self, started_at: f64) -> bool {
        self.started_at.is_none_or(|known| started_at > known)
    }

    /// Lowers the budget to this value.
    pub fn cap_budget(&mut self, budget: f64) {
        self.budget = self.budget.min(budget);
    }

    /// Spends budget for a request of this cost, in average requests.
    pub fn spend(&mut self, cost: f64) {
        self.budget -= cost;
    }

    /// The share of its capacity that the server has at least.
    pub fn capacity_share(&self, now: f64, rules: &ServiceRules) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        rules.min_capacity_share(now - started_at).max(MIN_CAPACITY_SHARE)
    }

    /// Refills the budget after `elapsed_secs`. `warm_rate` is the rate in requests a second that this
    /// instance sends a warm server of the same size.
    pub fn refill(&mut self, now: f64, elapsed_secs: f64, rules: &ServiceRules, warm_rate: WarmRate) {
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

/// The rate that a warm server of some size serves for this instance.
#[derive(Clone, Copy)]
pub(in crate::routing) struct WarmRate {
    /// Requests a second of a server of relative capacity 1.
    pub requests_per_s: f64,
    /// The server's capacity compared with the others'.
    pub relative_capacity: f64,
}
