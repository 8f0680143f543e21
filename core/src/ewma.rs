//! An exponentially weighted moving average that is drawn to a prior where it rests on little evidence.

/// How a [`Gauge`] weighs what it is told.
#[derive(Debug)]
pub struct EwmaConfig {
    /// Values that it averages over at most.
    pub max_weight: f64,
    /// Time in s in which its evidence loses most of its weight.
    pub decay_secs: f64,
    /// Values of its own that what is usual weighs like.
    pub prior_weight: f64,
}

/// A mean over recent values, and how many of them it rests on.
#[derive(Debug, Default, Clone)]
pub struct Ewma {
    mean: f64,
    weight: f64,
    at: f64,
}

impl Ewma {
    fn weight(&self, now: f64, memory: &EwmaConfig) -> f64 {
        self.weight * (-(now - self.at).max(0.0) / memory.decay_secs).exp()
    }

    /// Learns a value, at a time in seconds.
    pub fn record(&mut self, now: f64, value: f64, memory: &EwmaConfig) {
        self.weight = (self.weight(now, memory) + 1.0).min(memory.max_weight);
        self.mean += (value - self.mean) / self.weight;
        self.at = now;
    }

    /// The mean, drawn to `usual` where it has seen little of late.
    pub fn estimate(&self, now: f64, usual: f64, memory: &EwmaConfig) -> f64 {
        let weight = self.weight(now, memory);
        (weight * self.mean + memory.prior_weight * usual) / (weight + memory.prior_weight)
    }
}
