//! Estimates the work of a request of each class, relative to the usual request.
//!
//! A server that is warming up is allowed an amount of work, and a request of one class may be a dozen times
//! the work of another. A response time consists of work and waiting. The lowest mean response time of a
//! class is nearly work alone, so the lowest one is stored and rises slowly towards the present one.
//!
//! Owns these times, in seconds. A class without responses has the cost that follows from its latency
//! objective.

use crate::api::Class;
use crate::latency_estimate::LatencyEstimate;

/// Time constant, in seconds, with which the lowest mean of a class rises to the present mean.
const RISE_SECS: f64 = 300.0;
/// Least cost of a request, in usual requests: the response times of an idle server say little about work.
const MIN_COST: f64 = 0.5;
/// Weight that the count of responses keeps with each further one: some hundred responses count.
const COUNT_DECAY: f64 = 0.99;
/// Lower bound of a class's mean response time, in seconds.
const MIN_MEAN_SECS: f64 = 1e-4;

/// The cost of each class.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RequestCosts {
    classes: Vec<ClassCost>,
    /// Mean over recent responses of their classes' lowest means.
    usual_secs: f64,
}

/// What is known of one class.
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
    /// Costs by the classes' latency objectives. The class with the least one counts as usual until responses
    /// arrive.
    pub fn new(classes: &[Class]) -> Self {
        let classes: Vec<_> = classes.iter().map(ClassCost::initial).collect();
        let usual_secs = classes.iter().map(|class| class.lowest_mean_secs).fold(f64::INFINITY, f64::min);
        Self { classes, usual_secs }
    }

    /// Replaces or adds a class, by its index in the settings.
    pub fn reset_class(&mut self, index: usize, class: &Class) {
        match self.classes.get_mut(index) {
            Some(cost) => *cost = ClassCost::initial(class),
            None => self.classes.push(ClassCost::initial(class)),
        }
    }

    /// Records a response to a request of a class whose present mean response time is `mean_secs`.
    pub fn record_response(&mut self, index: usize, mean_secs: f64, now: f64) {
        self.classes.iter_mut().for_each(|class| class.recent_responses *= COUNT_DECAY);
        let Some(class) = self.classes.get_mut(index) else { return };
        let elapsed_secs =
            if class.last_response_at > 0.0 { (now - class.last_response_at).max(0.0) } else { 0.0 };
        let rise_share = 1.0 - (-elapsed_secs / RISE_SECS).exp();
        let risen_secs = class.lowest_mean_secs + (mean_secs - class.lowest_mean_secs) * rise_share;
        class.lowest_mean_secs = mean_secs.min(risen_secs).max(MIN_MEAN_SECS);
        class.last_response_at = now;
        class.recent_responses += 1.0;
        self.update_usual();
    }

    fn update_usual(&mut self) {
        let responses: f64 = self.classes.iter().map(|class| class.recent_responses).sum();
        let weighted = self.classes.iter().map(|class| class.recent_responses * class.lowest_mean_secs);
        self.usual_secs = weighted.sum::<f64>() / responses;
    }

    /// The work of a request of a class, in usual requests.
    pub fn cost(&self, index: usize) -> f64 {
        let class = self.classes.get(index);
        class.map_or(1.0, |class| (class.lowest_mean_secs / self.usual_secs).max(MIN_COST))
    }
}

#[cfg(test)]
mod tests;
