use super::*;

const SETTINGS: ServerModelSettings = ServerModelSettings {
    cores: 2,
    speed: 1.0,
    max_queue: 2,
    max_connections: 1,
    handshake_work_s: 0.01,
    initial_capacity_share: 0.25,
    warm_up_s: 10.0,
    overload_factor: 2.0,
    overload_duration_s: 1.0,
    mean_work_s: 0.1,
};

#[test]
fn requests_are_executed_in_order_and_rejected_when_the_queue_is_full() {
    let mut model = ServerModel::new(SETTINGS);
    let outcomes: Vec<_> = (0..5).map(|_| model.handle_arrival(1.0, 0.1, true)).collect();
    let is_executing = |outcome: Arrival, start: f64, end: f64| match outcome {
        Arrival::Executing { starts_at, ends_at } => {
            (starts_at - start).abs() < 1e-9 && (ends_at - end).abs() < 1e-9
        }
        _ => false,
    };
    assert!(is_executing(outcomes[1], 1.0, 1.1));
    assert!(is_executing(outcomes[3], 1.1, 1.2));
    assert_eq!((outcomes[4], model.queue_length(1.1)), (Arrival::Rejected, 0));
    assert!(model.connect(2.0) && !model.connect(2.0));
}

#[test]
fn only_a_server_that_warms_up_has_reduced_capacity_and_crashes_on_overload() {
    let mut model = ServerModel::new(SETTINGS);
    model.start(10.0);
    assert!((model.capacity(10.0) - 0.5).abs() < 1e-9 && (model.capacity(15.0) - 1.25).abs() < 1e-9);
    let first = model.handle_arrival(10.0, 0.5, false);
    assert!(matches!(first, Arrival::Executing { ends_at, .. } if (ends_at - 12.0).abs() < 1e-9));
    model.handle_arrival(10.2, 1.8, true);
    let Arrival::Crashed { informed_share } = model.handle_arrival(10.4, 0.3, true) else {
        panic!(
            "26 requests of mean work should exceed the limit of 11.2 requests plus 13 for random variation"
        )
    };
    assert!((informed_share - 2.1 / 2.6).abs() < 1e-9);
    assert_eq!(model.state, ServerState::Dead);
    model.start(20.0);
    assert!((0..9).all(|_| !matches!(model.handle_arrival(31.0, 1.0, true), Arrival::Crashed { .. })));
}
