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
/// The share of late responses that a large fleet assumes where little was observed: instances that start
/// together would otherwise all send their reads to the primaries before any of them responds late.
const LARGE_FLEET_PRIOR_LATE_SHARE: f64 = 0.3;
/// A timeout counts for all primaries where its own primary's share of late responses is still below this, so
/// that a single primary that fails counts once.
const MAX_SHARE_OF_FIRST_TIMEOUT: f64 = 0.25;

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
    /// The share that is assumed before any response.
    prior_late_share: f64,
}

impl PrimaryReadAdmission {
    /// The admission of one instance of a large fleet.
    pub fn of_large_fleet() -> Self {
        Self { prior_late_share: LARGE_FLEET_PRIOR_LATE_SHARE, ..Self::default() }
    }

    /// The share of late responses of all primaries that was observed, towards 0 where little was.
    pub fn observed_late_share(&self, now: f64) -> f64 {
        self.late.estimate(now, 0.0, &ALL_PRIMARIES)
    }

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
            let is_first = set_late.estimate(now, 0.0, config) < MAX_SHARE_OF_FIRST_TIMEOUT;
            set_late.record(now, late, config);
            // Timeouts of one primary may be due to its failure, which shows nothing of other sets; those of
            // many show that primaries are overloaded.
            if is_response || is_first {
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
        let late_of_all = self.late.estimate(now, self.prior_late_share, &ALL_PRIMARIES);
        set_late.estimate(now, late_of_all, config) * write_weight <= class.priority_weight
    }
}

#[cfg(test)]
mod tests;
