//! The expected response time of each class of requests.
//!
//! Owns one estimate per class. Timeouts count as well: an estimate that only quick responses enter would
//! lower the timeouts, which would lower the estimate again.

use crate::api::{Class, ClassId};
use crate::latency_estimate::LatencyEstimate;

/// Weight of one response.
const RESPONSE_WEIGHT: f64 = 0.03;
/// A single response counts as at most this many times the mean: a few costly requests don't speak for their
/// class.
const MAX_RATIO_TO_MEAN: f64 = 6.0;
/// Least mean in seconds that is divided by.
const MIN_MEAN_SECS: f64 = 1e-3;

/// The estimates of all classes.
pub(super) struct LatencyEstimates {
    classes: Vec<LatencyEstimate>,
}

impl LatencyEstimates {
    /// Estimates by the classes' latency objectives.
    pub fn new(classes: &[Class]) -> Self {
        Self { classes: classes.iter().map(LatencyEstimate::initial).collect() }
    }

    /// A class, known or new, begins anew.
    pub fn reset_class(&mut self, index: usize, class: &Class) {
        match self.classes.get_mut(index) {
            Some(estimate) => *estimate = LatencyEstimate::initial(class),
            None => self.classes.push(LatencyEstimate::initial(class)),
        }
    }

    /// The estimate of a class.
    pub fn class(&self, class: ClassId) -> &LatencyEstimate {
        &self.classes[class.0]
    }

    /// Mean response time of a class in seconds.
    pub fn mean_secs(&self, class: ClassId) -> f64 {
        self.classes[class.0].mean
    }

    /// Mean response time of a class in seconds, large enough to divide by.
    pub fn divisor_secs(&self, class: ClassId) -> f64 {
        self.mean_secs(class).max(MIN_MEAN_SECS)
    }

    /// Mean deviation of a class's response times in seconds.
    pub fn deviation_secs(&self, class: ClassId) -> f64 {
        self.classes[class.0].deviation
    }

    /// The mean response time of the slowest class, in seconds.
    pub fn slowest_mean_secs(&self) -> Option<f64> {
        let slowest = self.classes.iter().max_by(|a, b| a.mean.total_cmp(&b.mean));
        slowest.map(|estimate| estimate.mean)
    }

    /// An attempt took so many seconds.
    pub fn record(&mut self, class: ClassId, took_secs: f64) {
        let estimate = &mut self.classes[class.0];
        let mean = estimate.mean;
        let counted = took_secs.min(MAX_RATIO_TO_MEAN * mean);
        estimate.deviation += RESPONSE_WEIGHT * ((counted - mean).abs() - estimate.deviation);
        estimate.mean += RESPONSE_WEIGHT * (counted - mean);
    }
}
