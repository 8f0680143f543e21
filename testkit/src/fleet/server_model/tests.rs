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
fn queued_requests_are_executed_in_order_and_a_full_queue_rejects() {
    let mut model = ServerModel::new(SETTINGS);
    let arrivals: Vec<_> = (0..5).map(|_| model.arrive(1.0, 0.1, true)).collect();
    let executing = |arrival: Arrival, start: f64, end: f64| match arrival {
        Arrival::Executing { starts_at, ends_at } => {
            (starts_at - start).abs() < 1e-9 && (ends_at - end).abs() < 1e-9
        }
        _ => false,
    };
    assert!(executing(arrivals[1], 1.0, 1.1));
    assert!(executing(arrivals[3], 1.1, 1.2));
    assert_eq!((arrivals[4], model.queued(1.1)), (Arrival::Rejected, 0));
    assert!(model.connect(2.0) && !model.connect(2.0));
}

#[test]
fn a_server_that_warms_up_is_slow_and_crashes_on_overload_and_a_warm_one_does_not() {
    let mut model = ServerModel::new(SETTINGS);
    model.start(10.0);
    assert!((model.capacity(10.0) - 0.5).abs() < 1e-9 && (model.capacity(15.0) - 1.25).abs() < 1e-9);
    let first = model.arrive(10.0, 0.5, false);
    assert!(matches!(first, Arrival::Executing { ends_at, .. } if (ends_at - 12.0).abs() < 1e-9));
    model.arrive(10.2, 1.8, true);
    let Arrival::Crashed { informed_share } = model.arrive(10.4, 0.3, true) else {
        panic!("26 requests of mean work where 11.2 are allowed, and 13 more for their spread")
    };
    assert!((informed_share - 2.1 / 2.6).abs() < 1e-9);
    assert_eq!(model.state, ServerState::Dead);
    model.start(20.0);
    assert!((0..9).all(|_| !matches!(model.arrive(31.0, 1.0, true), Arrival::Crashed { .. })));
}
