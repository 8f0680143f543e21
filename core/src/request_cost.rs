//! How much work a request of each class is, beside the usual one.
//!
//! What a cold server is allowed is work, and a report may be a dozen times the work of a look-up. The time
//! of an answer is its work and its wait; the mean of a class at its lowest is nearly work alone, so the
//! lowest is kept, and forgotten slowly. Owns these figures, in s, and the cost that follows from them. It
//! must never take a class that was not seen for a light one.

use crate::api::Class;
use crate::latency_estimate::LatencyEstimate;

/// Time in s in which the lowest mean of a class rises most of the way to the present one.
const FORGET: f64 = 300.0;
/// The least that a request counts for, in usual ones: answers tell times, and those of a calm server little.
const COST_LEAST: f64 = 0.5;
/// What is left of the count of answers with each further one: what is usual goes by the last hundred.
const KEPT: f64 = 0.99;

/// The work of each class.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct RequestCosts {
    classes: Vec<Lowest>,
    usual: f64,
}

/// The lowest mean of a class, when it was last answered, and how often of late.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Lowest {
    mean: f64,
    at: f64,
    count: f64,
}

impl Lowest {
    fn guess(class: &Class) -> Self {
        Self { mean: LatencyEstimate::initial(class).mean, at: 0.0, count: 0.0 }
    }
}

impl RequestCosts {
    /// A guess by what the classes aim at; the lightest counts as usual until answers tell.
    pub fn new(classes: &[Class]) -> Self {
        let classes: Vec<_> = classes.iter().map(Lowest::guess).collect();
        let usual = classes.iter().map(|class| class.mean).fold(f64::INFINITY, f64::min);
        Self { classes, usual }
    }

    /// A class is another one from now on.
    pub fn reset_class(&mut self, place: usize, class: &Class) {
        match self.classes.get_mut(place) {
            Some(known) => *known = Lowest::guess(class),
            None => self.classes.push(Lowest::guess(class)),
        }
    }

    /// A request of a class was answered, whose answers take `mean` of late.
    pub fn record_response(&mut self, place: usize, mean: f64, now: f64) {
        self.classes.iter_mut().for_each(|class| class.count *= KEPT);
        let Some(class) = self.classes.get_mut(place) else { return };
        let passed = if class.at > 0.0 { (now - class.at).max(0.0) } else { 0.0 };
        let risen = class.mean + (mean - class.mean) * (1.0 - (-passed / FORGET).exp());
        *class = Lowest { mean: mean.min(risen).max(1e-4), at: now, count: class.count + 1.0 };
        let count: f64 = self.classes.iter().map(|class| class.count).sum();
        self.usual = self.classes.iter().map(|class| class.count * class.mean).sum::<f64>() / count;
    }

    /// The work of a class, in usual requests.
    pub fn cost(&self, place: usize) -> f64 {
        self.classes.get(place).map_or(1.0, |class| (class.mean / self.usual).max(COST_LEAST))
    }
}

#[cfg(test)]
mod tests;
