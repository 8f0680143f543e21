//! Large fleets with dead servers, and endpoint lists of any size.

use std::collections::BTreeSet;

use pipittack_core::api::*;
use pipittack_core::RoutingEngine;

use crate::common::*;

/// Connections that a dead server refuses do not show that connections are scarce.
#[test]
fn connections_to_healthy_servers_stay_open_when_others_die() {
    let mut bench = Bench::new(large_fleet_settings());
    bench.report_all(ms(10));
    let mut served = 0;
    for _ in 0..40 {
        let mut actions = bench.call(EVENTUAL_READ);
        bench.now += ms(20);
        while !bench.sent.is_empty() {
            let is_dead = bench.sent[0].server == ServerId(3);
            let outcome = if is_dead { Outcome::ConnectFailed } else { Outcome::Success };
            served += u32::from(!is_dead);
            actions.extend(bench.end(outcome, Some(false).filter(|_| !is_dead), ms(10)));
        }
        let closes_other = |action: &Action| matches!(action, Action::CloseIdleConnections { server } if *server != ServerId(3));
        assert!(!actions.iter().any(closes_other), "a dead server says nothing of the others: {actions:?}");
    }
    assert!(served >= 40, "{served} served");
}

/// Steps between two endpoint updates.
const UPDATE_STEPS: u64 = 100;

/// Updates with each entry twice, of which half are removed later, and some of groups that no request names.
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

/// What an instance did with the updates and some requests.
#[derive(Default)]
struct InstanceRun {
    /// Requests without a final answer.
    open: BTreeSet<RequestId>,
    has_opened_watch: bool,
}

impl InstanceRun {
    fn run(settings: Settings, server_count: u32) -> Self {
        let mut bench = Bench::new(settings.clone());
        bench.engine = RoutingEngine::new(settings, 3).expect("valid");
        let updates = endpoint_updates(server_count);
        let mut run = Self::default();
        for step in 0..1500u64 {
            bench.now += ms(10);
            let mut events = Vec::new();
            if step % UPDATE_STEPS == 0 {
                let update = updates.get((step / UPDATE_STEPS) as usize);
                events.extend(update.cloned().map(Event::Endpoints));
            }
            if step < 700 && step % 5 == 0 {
                let classes = [BOUNDED_READ, SESSION_READ, UNIQUE_WRITE, EVENTUAL_READ];
                let class = classes[(step / 5 % 4) as usize];
                let request = Request { group: GroupId(1 + step % 60), ..bench.request(class) };
                run.open.insert(request.id);
                events.push(Event::Request(request));
            }
            let mut actions = bench.step(events);
            actions.extend(run.end_attempts(&mut bench));
            run.observe(&actions);
        }
        run
    }

    /// Ends all attempts in flight: a third of the servers refuse connections.
    fn end_attempts(&mut self, bench: &mut Bench) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(SentAttempt { request, server, .. }) = bench.sent.first().copied() {
            let is_dead = server.0 % 3 == 0;
            let outcome = if is_dead { Outcome::ConnectFailed } else { Outcome::Success };
            if !is_dead {
                self.open.remove(&request);
            }
            let is_primary = Some(server.0 % 4 == 0).filter(|_| !is_dead);
            actions.extend(bench.end(outcome, is_primary, ms(5)));
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
            assert!(open.is_empty(), "{} open with {instances} instances, {servers} servers", open.len());
            assert!(has_opened_watch, "no watch was opened with {instances} instances");
        }
    }
    let none = Settings { instance_count: 0, ..settings() };
    assert_eq!(RoutingEngine::new(none, 0).err(), Some(SettingsError::OutOfRange("the number of instances")));
}
