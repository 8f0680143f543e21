//! Embeds the routing engine in an event loop, with one replica set of three simulated servers that respond
//! after 20 ms.

use std::time::Duration;

use pipittack::api::{
    Action, AttemptEnded, AttemptNumber, Class, ClassId, Consistency, DiscoveryMode, Endpoint, EndpointState,
    EndpointUpdate, Event, FailoverSettings, GroupId, Idempotency, Limits, ListedRole, LoadReports,
    MachineKindId, Outcome, Prices, Request, RequestId, ServerId, ServerStatus, ServiceRules, SessionTokens,
    Settings, SettingsError, StaleReadPolicy, ZoneId,
};
use pipittack::RoutingEngine;

const PRIMARY: ServerId = ServerId(1);
const SERVER_COUNT: u32 = 3;
const RESPONSE_TIME: Duration = ms(20);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn class(idempotency: Idempotency, consistency: Consistency) -> Class {
    Class {
        priority_weight: 1.0,
        latency_objective: ms(400),
        latency_objective_work_factor: 0.0,
        deadline: ms(1500),
        late_weight: 0.0,
        idempotency,
        consistency,
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
        health_checks_tell_role: false,
        discovery: DiscoveryMode::Push,
        limits: limits(),
        rules: rules(),
        prices: prices(),
        failover: FailoverSettings::default(),
    }
}

fn limits() -> Limits {
    Limits {
        max_attempts: 4,
        allow_cancel: true,
        allow_gossip: false,
        allow_health_checks: false,
        allow_hedging: false,
        send_retry_after: false,
        max_retry_after: ms(0),
        connect_timeout: ms(250),
        max_streams_per_connection: 8,
    }
}

fn rules() -> ServiceRules {
    ServiceRules {
        answer_grace_period: ms(20),
        poll_interval: ms(10_000),
        initial_capacity_share: 0.2,
        warm_up: ms(15_000),
        overload_factor: 2.5,
        overload_duration: ms(1500),
        drain_grace_period: ms(250),
        removed_may_serve: false,
    }
}

fn prices() -> Prices {
    Prices { cross_zone: 0.0, health_check: 0.0, gossip: 0.0, wasted_work: 0.0, late_failure: 0.0 }
}

fn endpoint(server: ServerId) -> Endpoint {
    Endpoint {
        server,
        zone: ZoneId(0),
        machine_kind: MachineKindId(0),
        group: GroupId(0),
        listed_primary: server == PRIMARY,
        state: EndpointState::Healthy,
        relative_capacity: 1.0,
        started_at: None,
    }
}

/// Creates a request. Every fourth request is a write.
fn request(id: u64) -> Request {
    Request {
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
    }
}

/// Creates the event for a server's successful response to a forwarded request.
fn response(request: RequestId, server: ServerId, now: Duration) -> AttemptEnded {
    AttemptEnded {
        request,
        attempt: AttemptNumber(0),
        server,
        outcome: Outcome::Success,
        round_trip: RESPONSE_TIME,
        request_complete: true,
        status: Some(ServerStatus { position: Some(now), primary: Some(server == PRIMARY) }),
        load_report: None,
    }
}

fn main() -> Result<(), SettingsError> {
    let mut engine = RoutingEngine::new(settings(), 42)?;
    let mut actions = Vec::new();
    let mut now = ms(1_000_000); // time on any monotonic clock
    let endpoints = (1..=SERVER_COUNT).map(|number| endpoint(ServerId(number))).collect();
    let mut events = vec![Event::Endpoints(EndpointUpdate::Cached(endpoints))];
    for id in 0..12 {
        events.push(Event::Request(request(id)));
        engine.step(now, events.drain(..), &mut actions);
        now += RESPONSE_TIME;
        for action in actions.drain(..) {
            match action {
                Action::Forward { request, server, .. } => {
                    println!("request {} -> server {}", request.0, server.0);
                    events.push(Event::AttemptEnded(response(request, server, now)));
                }
                Action::SetTimer { .. } => {} // not needed: this loop steps the engine every 20 ms
                other => println!("{other:?}"),
            }
        }
    }
    Ok(())
}
