//! Exponentially weighted moving average that is shrunk towards a prior while few values have been recorded.
//!
//! Times are seconds on the caller's clock.

/// Weights of an [`Ewma`].
#[derive(Debug)]
pub struct EwmaConfig {
    /// Upper bound of the total weight of the recorded values, as a number of values.
    pub max_weight: f64,
    /// Time constant, in seconds, of the exponential decay of the total weight.
    pub decay_secs: f64,
    /// Weight of the prior, as a number of values.
    pub prior_weight: f64,
}

/// Moving average and its weight.
#[derive(Debug, Default, Clone)]
pub struct Ewma {
    mean: f64,
    weight: f64,
    updated_at: f64,
}

impl Ewma {
    fn weight(&self, now: f64, config: &EwmaConfig) -> f64 {
        self.weight * (-(now - self.updated_at).max(0.0) / config.decay_secs).exp()
    }

    /// Records a value at `now`.
    pub fn record(&mut self, now: f64, value: f64, config: &EwmaConfig) {
        self.weight = (self.weight(now, config) + 1.0).min(config.max_weight);
        self.mean += (value - self.mean) / self.weight;
        self.updated_at = now;
    }

    /// Returns the weighted mean of the recorded values and of `prior`, with the weights at `now`.
    pub fn estimate(&self, now: f64, prior: f64, config: &EwmaConfig) -> f64 {
        let weight = self.weight(now, config);
        (weight * self.mean + config.prior_weight * prior) / (weight + config.prior_weight)
    }
}
