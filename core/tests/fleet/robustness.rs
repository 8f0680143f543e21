//! Tests of large fleets with dead servers, and of endpoint lists of any size.

use std::collections::BTreeSet;

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

use crate::common::*;

/// Connections that a dead server refuses do not show that servers have reached their connection limits.
#[test]
fn connections_to_healthy_servers_stay_open_when_another_server_is_dead() {
    let mut harness = Harness::new(large_fleet_settings());
    harness.report_all(ms(10));
    let mut served = 0;
    for _ in 0..40 {
        let mut actions = harness.submit(EVENTUAL_READ);
        harness.now += ms(20);
        while !harness.in_flight.is_empty() {
            let is_dead = harness.in_flight[0].server == ServerId(3);
            let outcome = if is_dead { Outcome::ConnectFailed } else { Outcome::Success };
            served += u32::from(!is_dead);
            actions.extend(harness.end_oldest(outcome, Some(false).filter(|_| !is_dead), ms(10)));
        }
        let closes_other = |action: &Action| matches!(action, Action::CloseIdleConnections { server } if *server != ServerId(3));
        assert!(
            !actions.iter().any(closes_other),
            "a dead server must not close connections to other servers: {actions:?}"
        );
    }
    assert!(served >= 40, "{served} served");
}

/// Number of steps between two endpoint updates.
const UPDATE_STEPS: u64 = 100;

/// Returns updates with each endpoint twice, of which half are removed later. Some are of groups that no
/// request belongs to.
fn endpoint_updates(server_count: u32) -> Vec<EndpointUpdate> {
    let group = |server: u32| GroupId(u64::from(server / 4));
    let list: Vec<_> = (0..server_count)
        .chain(0..server_count)
        .map(|server| Endpoint { group: group(server), ..endpoint(server, server % 4 == 0) })
        .collect();
    let removed = list
        .iter()
        .skip(1)
        .step_by(2)
        .map(|entry| Endpoint { state: EndpointState::Removed, ..entry.clone() });
    let unknown = Endpoint { state: EndpointState::Removed, ..endpoint(9999, true) };
    vec![
        EndpointUpdate::Cached(list.clone()),
        EndpointUpdate::Full(list.clone()),
        EndpointUpdate::Failed,
        EndpointUpdate::Changes(removed.chain([unknown]).collect()),
        EndpointUpdate::Full(Vec::new()),
        EndpointUpdate::Failed,
    ]
}

/// Results of an instance that received the updates and some requests.
#[derive(Default)]
struct InstanceRun {
    /// Requests without a final answer yet.
    open: BTreeSet<RequestId>,
    has_opened_watch: bool,
}

impl InstanceRun {
    fn run(settings: Settings, server_count: u32) -> Self {
        let mut harness = Harness::new(settings.clone());
        harness.engine = RoutingEngine::new(settings, 3).expect("valid");
        let updates = endpoint_updates(server_count);
        let mut run = Self::default();
        for step in 0..1500u64 {
            harness.now += ms(10);
            let mut events = Vec::new();
            if step % UPDATE_STEPS == 0 {
                let update = updates.get((step / UPDATE_STEPS) as usize);
                events.extend(update.cloned().map(Event::Endpoints));
            }
            if step < 700 && step % 5 == 0 {
                let classes = [BOUNDED_READ, SESSION_READ, UNIQUE_WRITE, EVENTUAL_READ];
                let class = classes[(step / 5 % 4) as usize];
                let request = Request { group: GroupId(1 + step % 60), ..harness.new_request(class) };
                run.open.insert(request.id);
                events.push(Event::Request(request));
            }
            let mut actions = harness.step(events);
            actions.extend(run.end_attempts(&mut harness));
            run.observe(&actions);
        }
        run
    }

    /// Ends all attempts in flight. A third of the servers refuse connections.
    fn end_attempts(&mut self, harness: &mut Harness) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(SentAttempt { request, server, .. }) = harness.in_flight.first().copied() {
            let is_dead = server.0 % 3 == 0;
            let outcome = if is_dead { Outcome::ConnectFailed } else { Outcome::Success };
            if !is_dead {
                self.open.remove(&request);
            }
            let is_primary = Some(server.0 % 4 == 0).filter(|_| !is_dead);
            actions.extend(harness.end_oldest(outcome, is_primary, ms(5)));
        }
        actions
    }

    fn observe(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Reject { request, .. } | Action::Fail { request } => {
                    self.open.remove(request);
                }
                Action::Watch { .. } => self.has_opened_watch = true,
                _ => {}
            }
        }
    }
}

#[test]
fn fleets_and_endpoint_lists_of_any_size_neither_panic_nor_stall() {
    for instances in [1, 21, 1000, u32::MAX] {
        for servers in [0u32, 1, 200] {
            let discovery = DiscoveryMode::Subscribe;
            let settings = Settings { instance_count: instances, discovery, ..settings() };
            let InstanceRun { open, has_opened_watch } = InstanceRun::run(settings, servers);
            assert!(
                open.is_empty(),
                "{} requests open with {instances} instances, {servers} servers",
                open.len()
            );
            assert!(has_opened_watch, "no watch was opened with {instances} instances");
        }
    }
    let none = Settings { instance_count: 0, ..settings() };
    assert_eq!(RoutingEngine::new(none, 0).err(), Some(SettingsError::OutOfRange("the number of instances")));
}
