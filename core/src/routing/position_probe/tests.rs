use super::*;

fn probe_target(positions: &[f64], may_send: impl Fn(ServerId) -> bool, selector: u64) -> Option<ServerId> {
    let servers: Vec<_> = positions.iter().map(|position| Server::at_position(*position)).collect();
    let replicas = servers.iter().enumerate().map(|(id, server)| Member { id: ServerId(id as u32), server });
    let policy = WriteProbePolicy { sufficient_position: Some(98.8), probes_unreported: false };
    write_probe_target(replicas, policy, 100.0, |replica| may_send(replica.id), selector)
}

#[test]
fn a_write_probes_a_replica_only_if_no_replica_is_known_to_be_fresh() {
    let any = |_| true;
    assert_eq!(probe_target(&[0.0, 90.0], any, 7), Some(ServerId(1)));
    assert_eq!(probe_target(&[0.0, 99.2], any, 7), None, "replica 1 is fresh enough for reads");
    assert_eq!(
        probe_target(&[0.0, 98.7], any, 0),
        Some(ServerId(0)),
        "position 98.7 of replica 1 does not stay sufficient"
    );
    assert_eq!(probe_target(&[0.0, 90.0], |id| id == ServerId(0), 7), Some(ServerId(0)));
    assert_eq!(probe_target(&[0.0, 90.0], |_| false, 7), None);
    assert_eq!(probe_target(&[], any, 7), None);
}
