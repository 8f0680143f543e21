//! Bounds retries to a share of the requests, so that retries can't multiply an overload.
//!
//! Owns the tokens: each request adds a part of one, each retry takes one.

/// Retries that one request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Largest budget of all instances together.
const MAX_RETRY_BURST: f64 = 20.0;

/// A proxy instance's retry budget.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(instance_count: u32) -> Self {
        Self { tokens: max_tokens(instance_count) }
    }

    /// A request arrived.
    pub fn request_arrived(&mut self, instance_count: u32) {
        self.tokens = (self.tokens + RETRIES_PER_REQUEST).min(max_tokens(instance_count));
    }

    /// Whether one more retry is within the budget.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A request that may have been executed is sent again.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

fn max_tokens(instance_count: u32) -> f64 {
    (MAX_RETRY_BURST / f64::from(instance_count)).max(1.0)
}
