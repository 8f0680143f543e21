//! Decides whether a read may be sent to a primary, where no concurrency limit bounds what all proxy
//! instances send there together.
//!
//! Writes can only go to the primary, and each read there delays the writes behind it. A single proxy
//! instance sends a primary a request every few seconds, so its own observations of that primary are few,
//! while the decisions of all instances add up. The late responses of a replica set's primary are therefore
//! combined with those of all primaries (partial pooling): the less was observed of one, the more the others
//! count.
//!
//! Owns the share of late responses of all primaries; the caller owns that of each replica set. It bounds
//! neither writes nor reads that a replica may serve.

use crate::api::{Class, Consistency, Outcome};
use crate::ewma::{Ewma, EwmaConfig};
use crate::time::secs;

/// A response counts as late beyond this share of its class's latency objective. It is well below 1, because
/// the other proxy instances act on similar observations at the same time.
const LATE_SHARE: f64 = 0.5;
/// The share of late responses over all primaries. Responses are far more frequent than those of one primary.
const ALL_PRIMARIES: EwmaConfig = EwmaConfig { max_weight: 50.0, decay_secs: 2.0, prior_weight: 5.0 };
/// The share of late responses that is assumed before any response.
const PRIOR_LATE_SHARE: f64 = 0.0;

/// An attempt at a primary that has ended.
pub(crate) struct PrimaryAttempt<'class> {
    /// The class of the request.
    pub class: &'class Class,
    /// The time from when it was sent until it ended, in seconds.
    pub elapsed_secs: f64,
    /// Its outcome.
    pub outcome: Outcome,
}

/// The share of late responses of the primaries of all replica sets.
#[derive(Debug, Default, Clone)]
pub(crate) struct PrimaryReadAdmission {
    late: Ewma,
}

impl PrimaryReadAdmission {
    /// Records an attempt. `set_late` is the share of late responses of the primary's set, and `config` its
    /// configuration. Early timeouts and failures are ignored: they show nothing of the primary's load.
    pub fn record(
        &mut self,
        set_late: &mut Ewma,
        now: f64,
        attempt: &PrimaryAttempt<'_>,
        config: &EwmaConfig,
    ) {
        let is_late = attempt.elapsed_secs > LATE_SHARE * secs(attempt.class.latency_objective);
        let is_response = attempt.outcome == Outcome::Success;
        if is_response || (is_late && attempt.outcome == Outcome::Timeout) {
            let late = f64::from(u8::from(is_late));
            set_late.record(now, late, config);
            // A timeout may be due to a failure of this primary, which shows nothing of other sets.
            if is_response {
                self.late.record(now, late, &ALL_PRIMARIES);
            }
        }
    }

    /// Whether a replica set's primary has capacity for reads of a class beside its writes: the share of its
    /// late responses may be at most the ratio of the read's priority weight to the highest one of a write.
    pub fn admits(
        &self,
        set_late: &Ewma,
        now: f64,
        class: &Class,
        classes: &[Class],
        config: &EwmaConfig,
    ) -> bool {
        let writes = classes.iter().filter(|class| class.consistency == Consistency::Write);
        let Some(write_weight) = writes.map(|class| class.priority_weight).max_by(f64::total_cmp) else {
            return true;
        };
        let late_of_all = self.late.estimate(now, PRIOR_LATE_SHARE, &ALL_PRIMARIES);
        set_late.estimate(now, late_of_all, config) * write_weight <= class.priority_weight
    }
}

#[cfg(test)]
mod tests;
