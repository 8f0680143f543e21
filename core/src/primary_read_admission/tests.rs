//! Tests of `primary_read_admission`.

use super::*;
use crate::api::{ClassId, Idempotency};
use std::time::Duration;

const CONFIG: EwmaConfig = EwmaConfig { max_weight: 10.0, decay_secs: 10.0, prior_weight: 2.0 };
const READ: usize = 0;
const WRITE: usize = 1;

fn classes() -> Vec<Class> {
    let class = |priority_weight, idempotency, consistency| Class {
        priority_weight,
        latency_objective: Duration::from_millis(500),
        latency_objective_work_factor: 0.0,
        deadline: Duration::from_millis(2000),
        late_weight: 0.0,
        idempotency,
        consistency,
        streaming: false,
    };
    let read = class(1.0, Idempotency::Idempotent, Consistency::BoundedStaleness(Duration::from_secs(3)));
    vec![read, class(4.0, Idempotency::NonIdempotent, Consistency::Write)]
}

fn attempt(class: &Class, elapsed_secs: f64, outcome: Outcome) -> PrimaryAttempt<'_> {
    PrimaryAttempt { class, elapsed_secs, outcome }
}

/// Whether reads are admitted, by primary.
#[derive(Debug, PartialEq)]
struct Admitted {
    /// Whether the primary that the attempts were sent to admits reads.
    to_observed: bool,
    /// Whether the primary of a replica set without attempts admits reads.
    to_other: bool,
}

const TO_BOTH: Admitted = Admitted { to_observed: true, to_other: true };
const TO_OTHER: Admitted = Admitted { to_observed: false, to_other: true };
const TO_NONE: Admitted = Admitted { to_observed: false, to_other: false };

fn admitted_after(attempts: &[(f64, Outcome)]) -> Admitted {
    let (classes, mut admission, mut late_share) =
        (classes(), PrimaryReadAdmission::default(), Ewma::default());
    for (elapsed_secs, outcome) in attempts {
        admission.record(&mut late_share, 1.0, &attempt(&classes[WRITE], *elapsed_secs, *outcome), &CONFIG);
    }
    let admits = |late_share| admission.admits(late_share, 1.0, &classes[ClassId(READ).0], &classes, &CONFIG);
    Admitted { to_observed: admits(&late_share), to_other: admits(&Ewma::default()) }
}

#[test]
fn late_responses_exclude_reads_from_their_primary_and_several_from_all_primaries() {
    const SUCCESS: Outcome = Outcome::Success;
    const TIMEOUT: Outcome = Outcome::Timeout;
    assert_eq!(admitted_after(&[]), TO_BOTH, "without attempts, reads are admitted");
    assert_eq!(admitted_after(&[(0.1, SUCCESS); 8]), TO_BOTH);
    assert_eq!(
        admitted_after(&[(0.4, SUCCESS)]),
        TO_OTHER,
        "a single late response excludes no other primary"
    );
    assert_eq!(admitted_after(&[(0.4, SUCCESS); 8]), TO_NONE);
    assert_eq!(
        admitted_after(&[(0.4, TIMEOUT); 8]),
        TO_OTHER,
        "timeouts of one primary say nothing about other replica sets"
    );
    assert_eq!(admitted_after(&[(0.1, TIMEOUT); 8]), TO_BOTH, "early timeouts are ignored");
}

#[test]
fn reads_are_admitted_after_late_responses_expire_and_if_their_weight_is_that_of_a_write() {
    let (classes, mut admission, mut late_share) =
        (classes(), PrimaryReadAdmission::default(), Ewma::default());
    for _ in 0..20 {
        admission.record(&mut late_share, 1.0, &attempt(&classes[WRITE], 1.0, Outcome::Success), &CONFIG);
    }
    assert!(!admission.admits(&late_share, 2.0, &classes[READ], &classes, &CONFIG));
    assert!(admission.admits(&late_share, 60.0, &classes[READ], &classes, &CONFIG));
    let read_with_write_weight = Class { priority_weight: 4.0, ..classes[READ].clone() };
    assert!(admission.admits(&late_share, 2.0, &read_with_write_weight, &classes, &CONFIG));
    assert!(
        admission.admits(&late_share, 2.0, &classes[READ], &classes[..1], &CONFIG),
        "without a write class, reads are admitted"
    );
}

/// Returns the admission of a large fleet after these attempts, each at the primary of another replica set.
fn large_fleet_after(attempts: &[(f64, Outcome)]) -> PrimaryReadAdmission {
    let (classes, mut admission) = (classes(), PrimaryReadAdmission::for_large_fleet());
    for (elapsed_secs, outcome) in attempts {
        let attempt = attempt(&classes[WRITE], *elapsed_secs, *outcome);
        admission.record(&mut Ewma::default(), 1.0, &attempt, &CONFIG);
    }
    admission
}

fn admits_read(admission: &PrimaryReadAdmission) -> bool {
    let classes = classes();
    admission.admits(&Ewma::default(), 1.0, &classes[READ], &classes, &CONFIG)
}

/// Guards against instances that start together and send all their reads to the
/// primaries, which overloaded them.
#[test]
fn an_instance_of_a_large_fleet_sends_reads_to_primaries_only_after_responses_in_time() {
    assert!(!admits_read(&large_fleet_after(&[])), "before any response, no read is admitted");
    assert!(admits_read(&large_fleet_after(&[(0.1, Outcome::Success); 2])));
    assert!(!admits_read(&large_fleet_after(&[(0.4, Outcome::Success); 2])));
}

/// Guards against reads at primaries that are so overloaded that all attempts there time out.
#[test]
fn timeouts_at_many_primaries_exclude_reads_from_all_primaries() {
    let mut attempts = vec![(0.1, Outcome::Success); 4];
    assert!(admits_read(&large_fleet_after(&attempts)));
    attempts.extend([(0.4, Outcome::Timeout); 4]);
    assert!(!admits_read(&large_fleet_after(&attempts)));
}
