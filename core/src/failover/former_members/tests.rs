//! Tests of `former_members`.

use super::{FormerMembers, MAX_ABSENCE_SECS, MAX_FORMER_MEMBERS};
use crate::api::ServerId;

/// Guards against memory that grows while servers are replaced under ever new ids.
#[test]
fn the_number_of_former_members_is_limited() {
    let mut former_members = FormerMembers::default();
    let mut forgotten = Vec::new();
    for id in 0..3200 {
        former_members.record_leave(ServerId(id), f64::from(id));
        forgotten.extend(former_members.take_forgotten(f64::from(id)));
    }
    assert_eq!(former_members.0.len(), MAX_FORMER_MEMBERS);
    let first_kept = 3200 - MAX_FORMER_MEMBERS as u32;
    assert_eq!(forgotten, (0..first_kept).map(ServerId).collect::<Vec<_>>());
}

/// Guards against evidence that outlives its time, and against an absence that begins anew with each list.
#[test]
fn a_former_member_is_forgotten_an_hour_after_it_left() {
    let mut former_members = FormerMembers::default();
    for now in [0.0, 1.0, MAX_ABSENCE_SECS] {
        former_members.record_leave(ServerId(1), now);
        assert!(former_members.take_forgotten(now).is_empty());
    }
    assert_eq!(former_members.take_forgotten(MAX_ABSENCE_SECS + 0.1), [ServerId(1)]);
}

/// Guards against a member that is forgotten since it was away before.
#[test]
fn a_server_that_returned_is_no_former_member() {
    let mut former_members = FormerMembers::default();
    former_members.record_leave(ServerId(1), 0.0);
    former_members.record_returns(|server| server == ServerId(1));
    assert!(former_members.take_forgotten(2.0 * MAX_ABSENCE_SECS).is_empty());
}
