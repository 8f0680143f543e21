//! A gateway's loop in miniature: one group of three servers that answer everything after 20 ms.

use std::time::Duration;

use pipittack::api::*;
use pipittack::RoutingEngine;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn class(effect: Idempotency, need: Consistency) -> Class {
    let (aim, deadline) = (ms(400), ms(1500));
    Class {
        priority_weight: 1.0,
        latency_objective: aim,
        latency_objective_stretch: 0.0,
        deadline,
        late_weight: 0.0,
        idempotency: effect,
        consistency: need,
        streaming: false,
    }
}

fn settings() -> Settings {
    Settings {
        instance_index: 0,
        instance_count: 1,
        zone: ZoneId(0),
        min_step_interval: ms(5),
        classes: vec![
            class(Idempotency::Idempotent, Consistency::BoundedStaleness(ms(1000))),
            class(Idempotency::NonIdempotent, Consistency::Write),
        ],
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        stale_read_policy: StaleReadPolicy::Decline,
        responses_carry_position: true,
        session_tokens: SessionTokens::FromClient,
        listed_role: ListedRole::Delayed,
        load_reports: LoadReports::Never,
        discovery: DiscoveryMode::Push,
        limits: Limits {
            max_attempts: 4,
            allow_cancel: true,
            allow_gossip: false,
            allow_health_checks: false,
            allow_hedging: false,
            send_retry_after: false,
            max_retry_after: ms(0),
            connect_timeout: ms(250),
            max_streams_per_connection: 8,
        },
        rules: ServiceRules {
            answer_grace_period: ms(20),
            poll_interval: ms(10_000),
            initial_capacity_share: 0.2,
            warm_up: ms(15_000),
            overload_factor: 2.5,
            overload_duration: ms(1500),
            drain_grace_period: ms(250),
            removed_may_serve: false,
        },
        prices: Prices {
            cross_zone: 0.0,
            health_check: 0.0,
            gossip: 0.0,
            wasted_work: 0.0,
            late_failure: 0.0,
        },
        failover: Default::default(),
    }
}

fn entry(server: u32) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId(0),
        machine_kind: MachineKindId(0),
        group: GroupId(0),
        listed_primary: server == 1,
        state: EndpointState::Healthy,
        relative_capacity: 1.0,
        started_at: None,
    }
}

fn main() -> Result<(), SettingsError> {
    let mut gateway = RoutingEngine::new(settings(), 42)?;
    let mut actions = Vec::new();
    let mut now = ms(1_000_000); // any clock will do that only advances
    let mut events = vec![Event::Endpoints(EndpointUpdate::Cached((1..=3).map(entry).collect()))];
    for id in 0..12 {
        events.push(Event::Request(Request {
            id: RequestId(id),
            class: ClassId(usize::from(id % 4 == 3)),
            group: GroupId(0),
            tenant: None,
            time_left: ms(1500),
            is_retry: false,
            statement_bytes: 0,
            expected_work: None,
            session: None,
            last_write_age: None,
        }));
        gateway.step(now, events.drain(..), &mut actions);
        now += ms(20);
        for action in actions.drain(..) {
            match action {
                Action::Forward { request, server, .. } => {
                    println!("request {} -> server {}", request.0, server.0);
                    let primary = server == ServerId(1);
                    events.push(Event::AttemptEnded(AttemptEnded {
                        request,
                        attempt: AttemptNumber(0),
                        server,
                        outcome: Outcome::Success,
                        round_trip: ms(20),
                        request_complete: true,
                        status: Some(ServerStatus { position: Some(now), primary: Some(primary) }),
                        load_report: None,
                    }));
                }
                Action::SetTimer { .. } => {} // this loop steps every 20 ms anyway
                other => println!("{other:?}"),
            }
        }
    }
    Ok(())
}
