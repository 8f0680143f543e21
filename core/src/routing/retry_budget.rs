//! Limits retries to a share of the requests, so that retries can't multiply an overload.
//!
//! Owns the token bucket: each request adds a fraction of a token, and each retry of a request that may have
//! been executed takes one token.

/// Tokens that one request adds to the budget.
const TOKENS_PER_REQUEST: f64 = 0.2;
/// Upper bound of the budgets of all instances together, in retries. Each instance may hold at least one.
const MAX_RETRY_BURST: f64 = 20.0;

/// Retry budget of one proxy instance.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(instance_count: u32) -> Self {
        Self { tokens: max_tokens(instance_count) }
    }

    /// Adds the tokens of one request.
    pub fn request_arrived(&mut self, instance_count: u32) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(max_tokens(instance_count));
    }

    /// Returns whether one more retry is within the budget.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token for a retry of a request that may have been executed.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}

fn max_tokens(instance_count: u32) -> f64 {
    (MAX_RETRY_BURST / f64::from(instance_count)).max(1.0)
}
