use super::*;

fn probe_target(positions: &[f64], may_send: impl Fn(ServerId) -> bool, turn: u64) -> Option<ServerId> {
    let servers: Vec<_> = positions.iter().map(|position| Server::at_position(*position)).collect();
    let replicas = servers.iter().enumerate().map(|(id, server)| Member { id: ServerId(id as u32), server });
    let demand = PositionDemand { sufficient_position: Some(98.8), asks_unreported: false };
    write_probe_target(replicas, demand, 100.0, |replica| may_send(replica.id), turn)
}

#[test]
fn a_write_asks_for_a_position_only_where_no_replica_is_known_to_be_fresh() {
    let any = |_| true;
    assert_eq!(probe_target(&[0.0, 90.0], any, 7), Some(ServerId(1)));
    assert_eq!(probe_target(&[0.0, 99.2], any, 7), None, "reads can go there");
    assert_eq!(probe_target(&[0.0, 98.7], any, 0), Some(ServerId(0)), "its position expires soon");
    assert_eq!(probe_target(&[0.0, 90.0], |id| id == ServerId(0), 7), Some(ServerId(0)));
    assert_eq!(probe_target(&[0.0, 90.0], |_| false, 7), None);
    assert_eq!(probe_target(&[], any, 7), None);
}
