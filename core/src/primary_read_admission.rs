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
mod tests {
    use super::*;
    use crate::api::{ClassId, Idempotency};
    use std::time::Duration;

    const MEMORY: EwmaConfig = EwmaConfig { max_weight: 10.0, decay_secs: 10.0, prior_weight: 2.0 };
    const READ: usize = 0;
    const WRITE: usize = 1;

    fn classes() -> Vec<Class> {
        let class = |credit, effect, need| Class {
            priority_weight: credit,
            latency_objective: Duration::from_millis(500),
            latency_objective_stretch: 0.0,
            deadline: Duration::from_millis(2000),
            late_weight: 0.0,
            idempotency: effect,
            consistency: need,
            streaming: false,
        };
        let read = class(1.0, Idempotency::Idempotent, Consistency::BoundedStaleness(Duration::from_secs(3)));
        vec![read, class(4.0, Idempotency::NonIdempotent, Consistency::Write)]
    }

    /// Ends of one set at a time: whether its primary then spares room for a read, and whether that of an
    /// unseen set does.
    fn after(ends: &[(f64, bool)]) -> (bool, bool) {
        let (classes, mut relief, mut set) = (classes(), PrimaryReadAdmission::default(), Ewma::default());
        for (took, ok) in ends {
            let outcome = if *ok { Outcome::Success } else { Outcome::Timeout };
            relief.record(&mut set, 1.0, &classes[WRITE], *took, outcome, &MEMORY);
        }
        let spares = |set| relief.admits(set, 1.0, &classes[ClassId(READ).0], &classes, &MEMORY);
        (spares(&set), spares(&Ewma::default()))
    }

    #[test]
    fn late_answers_of_one_primary_keep_reads_from_it_and_those_of_many_from_all() {
        assert_eq!(after(&[]), (true, true), "nothing is known against it");
        assert_eq!(after(&[(0.1, true); 8]), (true, true));
        assert_eq!(after(&[(0.4, true)]), (false, true), "one that is late is no proof against others");
        assert_eq!(after(&[(0.4, true); 8]), (false, false));
        assert_eq!(after(&[(0.4, false); 8]), (false, true), "what never came says nothing of others");
        assert_eq!(after(&[(0.1, false); 8]), (true, true), "given up early, which tells nothing");
    }

    #[test]
    fn what_was_late_is_forgotten_and_what_is_worth_a_write_is_never_kept_away() {
        let (classes, mut relief, mut set) = (classes(), PrimaryReadAdmission::default(), Ewma::default());
        for _ in 0..20 {
            relief.record(&mut set, 1.0, &classes[WRITE], 1.0, Outcome::Success, &MEMORY);
        }
        assert!(!relief.admits(&set, 2.0, &classes[READ], &classes, &MEMORY));
        assert!(relief.admits(&set, 60.0, &classes[READ], &classes, &MEMORY));
        let dear = Class { priority_weight: 4.0, ..classes[READ].clone() };
        assert!(relief.admits(&set, 2.0, &dear, &classes, &MEMORY));
        assert!(
            relief.admits(&set, 2.0, &classes[READ], &classes[..1], &MEMORY),
            "no writes to keep room for"
        );
    }
}
