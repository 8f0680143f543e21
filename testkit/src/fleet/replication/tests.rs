use super::*;

const SETTINGS: ReplicationSettings = ReplicationSettings {
    shipping_delay_s: 0.01,
    apply_work_s: 0.1,
    synchronous: false,
    detection_s: 1.0,
    election_s: 1.0,
    switchover_s: 0.5,
};

#[test]
fn replicas_apply_commits_in_order_stop_while_blocked_and_can_be_elected() {
    let mut set = ReplicaSet::new(3, SETTINGS, 0.0);
    (1..=5).for_each(|n| set.commit(f64::from(n) * 0.01));
    assert_eq!(set.position(0, 1.0), 1.0);
    let position = set.position(1, 0.25);
    assert!(
        (0.02..0.03).contains(&position),
        "the replica should have applied two of five commits: {position}"
    );
    set.block(2, 0.02, 1.0);
    assert!(set.position(2, 0.9) <= 0.01 && set.position(2, 2.0) > 1.9);
    assert!(
        (set.position(1, 1.0) - 0.99).abs() < 1e-9,
        "the replica should have applied all commits that it received"
    );
    set.commit(2.0);
    set.lose_primary(2.005);
    assert_eq!(set.elect(3.0, |member| member > 0), Some(1));
    set.commit(3.5);
    assert!(
        set.position(0, 3.52) < 3.5 && set.position(0, 4.0) > 3.9,
        "the former primary should apply commits as a replica"
    );
    set.restore_member(2, 4.0, 2.0);
    assert!(
        (set.position(2, 4.0) - 3.5).abs() < 0.01,
        "the restored member should lack only the last commit"
    );
}
