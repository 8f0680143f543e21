use super::*;
use pipittack_core::api::{GroupId, MachineKindId, ServerId, ZoneId};

fn endpoint(server: u32, state: EndpointState) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId(0),
        machine_kind: MachineKindId(0),
        group: GroupId(0),
        listed_primary: false,
        state,
        relative_capacity: 1.0,
        started_at: None,
    }
}

const SETTINGS: DiscoverySettings = DiscoverySettings {
    polls_per_s: 10.0,
    timeout_s: 0.35,
    publication_delay_s: 2.0,
    notification_spread_s: 0.2,
};

#[test]
fn polls_are_processed_in_order_including_polls_that_timed_out() {
    let answered_at = |outcome: PollOutcome, expected: f64| match outcome {
        PollOutcome::Answered { at } => (at - expected).abs() < 1e-9,
        PollOutcome::Failed { .. } => false,
    };
    let mut discovery = DiscoveryModel::new(SETTINGS, vec![]);
    let outcomes: Vec<_> = (0..5).map(|_| discovery.poll(1.0)).collect();
    assert!(answered_at(outcomes[2], 1.3));
    assert_eq!((outcomes[4], discovery.failed_polls), (PollOutcome::Failed { at: 1.35 }, 2));
    assert!(answered_at(discovery.poll(1.4), 1.6));
    discovery.take_down(5.0, 1.0);
    assert!(matches!(discovery.poll(5.5), PollOutcome::Failed { .. }) && !discovery.is_down(6.0));
}

#[test]
fn a_change_is_published_after_a_delay_and_restoring_a_backup_loses_later_changes() {
    use EndpointState::{Draining, Healthy, Removed};
    let mut discovery = DiscoveryModel::new(SETTINGS, vec![endpoint(1, Healthy), endpoint(2, Healthy)]);
    assert_eq!(discovery.record_change(2.0, endpoint(1, Draining)), Publication { version: 1, at: 4.0 });
    assert_eq!(discovery.record_change(2.5, endpoint(1, Removed)).version, 2);
    assert_eq!((discovery.version(3.9), discovery.version(4.0)), (0, 1));
    assert_eq!(discovery.full_list(1)[0].state, Draining);
    let removed = vec![endpoint(1, Removed)];
    assert_eq!((discovery.full_list(2).len(), discovery.changes_since(0, 2)), (1, removed));
    discovery.restore_backup(6.0, 1.8);
    assert_eq!((discovery.version(9.0), discovery.changes_since(2, 1)), (1, vec![]));
}
