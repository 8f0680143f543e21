//! Tests of `primary_read_admission`.

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
    assert!(relief.admits(&set, 2.0, &classes[READ], &classes[..1], &MEMORY), "no writes to keep room for");
}
