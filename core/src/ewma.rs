//! An exponentially weighted moving average that is drawn towards a prior while it rests on little evidence.
//!
//! Times are seconds on the caller's clock.

/// How an [`Ewma`] weighs its values.
#[derive(Debug)]
pub struct EwmaConfig {
    /// Upper bound of the weight of past values, in values.
    pub max_weight: f64,
    /// Time constant of the decay of that weight, in seconds.
    pub decay_secs: f64,
    /// Weight of the prior, in values.
    pub prior_weight: f64,
}

/// A moving average and its weight.
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

    /// Adds a value.
    pub fn record(&mut self, now: f64, value: f64, config: &EwmaConfig) {
        self.weight = (self.weight(now, config) + 1.0).min(config.max_weight);
        self.mean += (value - self.mean) / self.weight;
        self.updated_at = now;
    }

    /// The mean of the values and of `prior`, by their weights at `now`.
    pub fn estimate(&self, now: f64, prior: f64, config: &EwmaConfig) -> f64 {
        let weight = self.weight(now, config);
        (weight * self.mean + config.prior_weight * prior) / (weight + config.prior_weight)
    }
}
