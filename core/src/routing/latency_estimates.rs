//! The expected response time of each class of requests.
//!
//! Owns one estimate per class. Timeouts are counted as well. Otherwise only quick responses would enter the
//! estimate, which would lower the timeouts, which would lower the estimate further.

use crate::api::{Class, ClassId};
use crate::latency_estimate::LatencyEstimate;

/// Weight of one response in the moving averages.
const RESPONSE_WEIGHT: f64 = 0.03;
/// Upper bound of a single response time, as a multiple of the mean. A few expensive requests are not
/// representative of their class.
const MAX_RATIO_TO_MEAN: f64 = 6.0;
/// Lower bound of the mean in seconds as a divisor.
const MIN_MEAN_SECS: f64 = 1e-3;

/// Response time estimates of all classes.
pub(super) struct LatencyEstimates {
    classes: Vec<LatencyEstimate>,
}

impl LatencyEstimates {
    /// Creates initial estimates from the latency objectives of the classes.
    pub fn new(classes: &[Class]) -> Self {
        Self { classes: classes.iter().map(LatencyEstimate::initial).collect() }
    }

    /// Resets the estimate of an existing class, or adds a new class.
    pub fn reset_class(&mut self, index: usize, class: &Class) {
        match self.classes.get_mut(index) {
            Some(estimate) => *estimate = LatencyEstimate::initial(class),
            None => self.classes.push(LatencyEstimate::initial(class)),
        }
    }

    /// Returns the estimate of a class.
    pub fn class(&self, class: ClassId) -> &LatencyEstimate {
        &self.classes[class.0]
    }

    /// Returns the mean response time of a class in seconds.
    pub fn mean_secs(&self, class: ClassId) -> f64 {
        self.classes[class.0].mean
    }

    /// Returns the mean response time of a class in seconds, with a lower bound that makes it safe as a
    /// divisor.
    pub fn divisor_secs(&self, class: ClassId) -> f64 {
        self.mean_secs(class).max(MIN_MEAN_SECS)
    }

    /// Returns the mean deviation of a class's response times in seconds.
    pub fn deviation_secs(&self, class: ClassId) -> f64 {
        self.classes[class.0].deviation
    }

    /// Returns the mean response time of the slowest class in seconds; `None` without classes.
    pub fn slowest_mean_secs(&self) -> Option<f64> {
        let slowest = self.classes.iter().max_by(|a, b| a.mean.total_cmp(&b.mean));
        slowest.map(|estimate| estimate.mean)
    }

    /// Records the duration of an attempt in seconds.
    pub fn record(&mut self, class: ClassId, duration_secs: f64) {
        let estimate = &mut self.classes[class.0];
        let mean = estimate.mean;
        let counted = duration_secs.min(MAX_RATIO_TO_MEAN * mean);
        estimate.deviation += RESPONSE_WEIGHT * ((counted - mean).abs() - estimate.deviation);
        estimate.mean += RESPONSE_WEIGHT * (counted - mean);
    }
}
