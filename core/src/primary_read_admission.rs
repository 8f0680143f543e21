//! When a read may be served by its set's primary, in a fleet where no window bounds what all gateways send
//! there.
//!
//! Writes have nowhere else to go, and each read at a primary makes the writes behind it wait. A gateway
//! sends one primary a request every few seconds, so what it saw there by itself says little, and what all do
//! adds up: three hundred that each take it for calm jam it. So what a set's primary did is drawn to what all
//! primaries did of late (partial pooling: the less was seen of one, the more the others count). Owns the
//! share of primaries' answers that came late, of all sets and of each, and what was given up of each. It
//! must never bound a write, nor a read where a replica can take it.

use crate::api::{Class, Consistency, Outcome};
use crate::ewma::{Ewma, EwmaConfig};
use crate::time::secs;

/// Part of a class's aim within which an answer shows that there was room: what waits behind it takes its
/// time as well, and what one gateway sends next all others do.
const AMPLE: f64 = 0.5;
/// Of all primaries together, far more answers come than of one: some 50 tell, over 2 s, and 5 of no late
/// answer stand in for what has not been seen.
const ALL: EwmaConfig = EwmaConfig { max_weight: 50.0, decay_secs: 2.0, prior_weight: 5.0 };

/// How late the primaries of all sets answered.
#[derive(Debug, Default, Clone)]
pub(crate) struct PrimaryReadAdmission {
    late: Ewma,
}

impl PrimaryReadAdmission {
    /// An attempt at a primary ended after so many s. `set` is what is known of its set alone. What was given
    /// up early, or ended in another way than by its time, says nothing.
    pub fn record(
        &mut self,
        set: &mut Ewma,
        now: f64,
        class: &Class,
        took: f64,
        outcome: Outcome,
        memory: &EwmaConfig,
    ) {
        let over = took > AMPLE * secs(class.latency_objective);
        if outcome == Outcome::Success || (over && outcome == Outcome::Timeout) {
            let late = f64::from(u8::from(over));
            set.record(now, late, memory);
            // What never came may be cut off or dead, which says nothing of other sets.
            if outcome == Outcome::Success {
                self.late.record(now, late, &ALL);
            }
        }
    }

    /// Whether a set's primary has room for reads of a class beside its writes: no larger a share of its
    /// answers came late than what a read is worth of a write.
    pub fn admits(
        &self,
        set: &Ewma,
        now: f64,
        class: &Class,
        classes: &[Class],
        memory: &EwmaConfig,
    ) -> bool {
        let writes = classes.iter().filter(|class| class.consistency == Consistency::Write);
        let Some(write) = writes.map(|class| class.priority_weight).max_by(f64::total_cmp) else {
            return true;
        };
        set.estimate(now, self.late.estimate(now, 0.0, &ALL), memory) * write <= class.priority_weight
    }
}

#[cfg(test)]
mod tests;
