//! Estimates the work of a request of each class, relative to the average request.
//!
//! The budget of a server that is warming up is an amount of work, and a request of one class may need a
//! dozen times the work of a request of another class. A response time consists of service time and queueing
//! time. The lowest mean response time of a class is nearly service time alone, so this module stores the
//! lowest mean, which rises slowly towards the current mean.
//!
//! This module owns the lowest means, in seconds. The cost of a class without responses is derived from its
//! latency objective.

use crate::api::Class;
use crate::latency_estimate::LatencyEstimate;

/// Time constant, in seconds, with which the lowest mean of a class rises towards the current mean.
const RISE_TIME_CONSTANT_SECS: f64 = 300.0;
/// Lower bound of the cost of a request, in average requests: the response times of an idle
/// server say little about work.
const MIN_COST: f64 = 0.5;
/// Factor by which the response counts decay with each further response, so that about the last hundred
/// responses count.
const COUNT_DECAY: f64 = 0.99;
/// Lower bound of a class's mean response time, in seconds.
const MIN_MEAN_SECS: f64 = 1e-4;

/// Cost of each class.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RequestCosts {
    classes: Vec<ClassCost>,
    /// Lowest mean response time, in seconds, averaged over the classes by their recent responses.
    average_secs: f64,
}

/// Observations of one class.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ClassCost {
    lowest_mean_secs: f64,
    last_response_at: f64,
    recent_responses: f64,
}

impl ClassCost {
    fn initial(class: &Class) -> Self {
        Self {
            lowest_mean_secs: LatencyEstimate::initial(class).mean,
            last_response_at: 0.0,
            recent_responses: 0.0,
        }
    }
}

impl RequestCosts {
    /// Creates costs from the latency objectives of the classes. Until responses arrive, the class with the
    /// shortest objective has a cost of 1.
    pub fn new(classes: &[Class]) -> Self {
        let classes: Vec<_> = classes.iter().map(ClassCost::initial).collect();
        let average_secs = classes.iter().map(|class| class.lowest_mean_secs).fold(f64::INFINITY, f64::min);
        Self { classes, average_secs }
    }

    /// Resets the class with this index in the settings, or adds it.
    pub fn reset_class(&mut self, index: usize, class: &Class) {
        match self.classes.get_mut(index) {
            Some(cost) => *cost = ClassCost::initial(class),
            None => self.classes.push(ClassCost::initial(class)),
        }
    }

    /// Records a response to a request of the class with this index. `mean_secs` is the current mean response
    /// time of the class.
    pub fn record_response(&mut self, index: usize, mean_secs: f64, now: f64) {
        self.classes.iter_mut().for_each(|class| class.recent_responses *= COUNT_DECAY);
        let Some(class) = self.classes.get_mut(index) else { return };
        let elapsed_secs =
            if class.last_response_at > 0.0 { (now - class.last_response_at).max(0.0) } else { 0.0 };
        let rise_share = 1.0 - (-elapsed_secs / RISE_TIME_CONSTANT_SECS).exp();
        let risen_secs = class.lowest_mean_secs + (mean_secs - class.lowest_mean_secs) * rise_share;
        class.lowest_mean_secs = mean_secs.min(risen_secs).max(MIN_MEAN_SECS);
        class.last_response_at = now;
        class.recent_responses += 1.0;
        self.update_average();
    }

    fn update_average(&mut self) {
        let responses: f64 = self.classes.iter().map(|class| class.recent_responses).sum();
        let weighted_secs = self.classes.iter().map(|class| class.recent_responses * class.lowest_mean_secs);
        self.average_secs = weighted_secs.sum::<f64>() / responses;
    }

    /// Returns the work of a request of the class with this index, in average requests;
    /// 1 if the class is unknown.
    pub fn cost(&self, index: usize) -> f64 {
        let class = self.classes.get(index);
        class.map_or(1.0, |class| (class.lowest_mean_secs / self.average_secs).max(MIN_COST))
    }
}

#[cfg(test)]
mod tests;
