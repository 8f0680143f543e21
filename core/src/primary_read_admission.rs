//! Decides whether a read may be sent to a primary. The concurrency limit of one proxy instance does not
//! bound the load that the instances of a large fleet together put on a primary.
//!
//! Writes can only go to the primary, and each read at the primary delays the writes that are queued behind
//! it. In a large fleet, a single proxy instance sends a primary one request every few seconds, so it has few
//! observations of that primary, while the decisions of all instances add up. The share of late responses of
//! a primary is therefore combined with the share over all primaries (partial pooling): the fewer
//! observations there are of one primary, the higher is the weight of the share over all primaries.
//!
//! This module owns the share of late responses over all primaries; the caller owns the share of each replica
//! set. The module limits neither writes nor reads that a replica may serve.

use crate::api::{Class, Consistency, Outcome};
use crate::ewma::{Ewma, EwmaConfig};
use crate::time::secs;

/// Share of the latency objective of its class beyond which a response counts as late. It is well below 1,
/// because the other proxy instances act on similar observations at the same time.
const LATE_SHARE: f64 = 0.5;
/// Weights of the share of late responses over all primaries. Responses of all primaries are far more
/// frequent than responses of one primary.
const ALL_PRIMARIES: EwmaConfig = EwmaConfig { max_weight: 50.0, decay_secs: 2.0, prior_weight: 5.0 };
/// Prior share of late responses in a large fleet. With a prior of 0, instances that start together would all
/// send their reads to the primaries before any primary responds late.
const LARGE_FLEET_PRIOR_LATE_SHARE: f64 = 0.3;
/// A timeout counts towards the share over all primaries only while the share of late responses of its own
/// primary is below this, so that the failure of a single primary counts once.
const MAX_SHARE_OF_FIRST_TIMEOUT: f64 = 0.25;

/// Completed attempt at a primary.
pub(crate) struct PrimaryAttempt<'class> {
    /// Class of the request.
    pub class: &'class Class,
    /// Time from the start of the attempt to its end, in seconds.
    pub elapsed_secs: f64,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

/// Share of late responses over the primaries of all replica sets.
#[derive(Debug, Default, Clone)]
pub(crate) struct PrimaryReadAdmission {
    late_share: Ewma,
    /// Share that is assumed before the first response.
    prior_late_share: f64,
}

impl PrimaryReadAdmission {
    /// Creates the admission of one instance of a large fleet, with
    /// [`LARGE_FLEET_PRIOR_LATE_SHARE`] as prior.
    pub fn for_large_fleet() -> Self {
        Self { prior_late_share: LARGE_FLEET_PRIOR_LATE_SHARE, ..Self::default() }
    }

    /// Returns the observed share of late responses over all primaries, shrunk towards 0 if
    /// there are few observations.
    pub fn observed_late_share(&self, now: f64) -> f64 {
        self.late_share.estimate(now, 0.0, &ALL_PRIMARIES)
    }

    /// Records an attempt. `replica_set_late_share` is the share of late responses of the replica set's
    /// primary, and `config` contains its weights. Early timeouts and other failures are ignored, because
    /// they give no information about the load of the primary.
    pub fn record(
        &mut self,
        replica_set_late_share: &mut Ewma,
        now: f64,
        attempt: &PrimaryAttempt<'_>,
        config: &EwmaConfig,
    ) {
        let is_late = attempt.elapsed_secs > LATE_SHARE * secs(attempt.class.latency_objective);
        let is_response = attempt.outcome == Outcome::Success;
        if is_response || (is_late && attempt.outcome == Outcome::Timeout) {
            let late = f64::from(u8::from(is_late));
            let is_first = replica_set_late_share.estimate(now, 0.0, config) < MAX_SHARE_OF_FIRST_TIMEOUT;
            replica_set_late_share.record(now, late, config);
            // Repeated timeouts at one primary may be due to its failure, which gives no information about
            // other replica sets. Timeouts at many primaries show that primaries are overloaded.
            if is_response || is_first {
                self.late_share.record(now, late, &ALL_PRIMARIES);
            }
        }
    }

    /// Returns whether a replica set's primary has capacity for reads of a class besides its writes: its
    /// share of late responses must be at most the ratio of the read's priority weight to the highest
    /// priority weight of a write.
    pub fn admits(
        &self,
        replica_set_late_share: &Ewma,
        now: f64,
        class: &Class,
        classes: &[Class],
        config: &EwmaConfig,
    ) -> bool {
        let writes = classes.iter().filter(|class| class.consistency == Consistency::Write);
        let Some(write_weight) = writes.map(|class| class.priority_weight).max_by(f64::total_cmp) else {
            return true;
        };
        let late_share_of_all = self.late_share.estimate(now, self.prior_late_share, &ALL_PRIMARIES);
        replica_set_late_share.estimate(now, late_share_of_all, config) * write_weight
            <= class.priority_weight
    }
}

#[cfg(test)]
mod tests;
