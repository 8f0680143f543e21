//! Takes and restores the state that a process hands over to its successor.
//!
//! Times in a snapshot are seconds on the engine's clock. A restored time is used only if it is finite and
//! lies in the past.

use crate::api::{ServerId, ServerSnapshot, Settings, StateSnapshot};
use crate::session_tokens::SessionTokenStore;

use super::cluster::{Cluster, Member};
use super::server::{DownCause, Server, StatusReport};

/// Returns the state for the successor process of this proxy instance.
pub(super) fn take(cluster: &Cluster, sessions: &SessionTokenStore, now: f64) -> StateSnapshot {
    let tokens = sessions.snapshot();
    StateSnapshot {
        session_floor: Some(tokens.floor),
        session_tokens: tokens.tokens.map(|(session, commit)| (session.to_owned(), commit)).collect(),
        servers: cluster.servers().map(|member| take_server(cluster, member, now)).collect(),
    }
}

fn take_server(cluster: &Cluster, member: Member, now: f64) -> ServerSnapshot {
    let Member { id, server } = member;
    let set = cluster.groups().get(server.group()).map(|group| group.replica_set());
    let replication = server.replication();
    let has_responded = replication.last_response_at() > 0.0;
    ServerSnapshot {
        server: id.0,
        position: Some(replication.position()).filter(|position| *position > 0.0),
        last_response: replication.last_response_at(),
        primary: has_responded && set.is_some_and(|set| set.primary() == Some(id)),
        replica_at: replication.reported_replica_at(),
        started: server.warm_up().started_at(),
        warm_up_budget: server.warm_up().budget(),
        concurrency_limit: Some(server.concurrency_limit()),
        down: server.down().map(|down| (down.since(), down.cause() == DownCause::Dead)),
        replica_set: set.map(|set| set.snapshot(id, now)).unwrap_or_default(),
    }
}

/// Restores the state of the predecessor process.
pub(super) fn restore(
    snapshot: StateSnapshot,
    cluster: &mut Cluster,
    sessions: &mut SessionTokenStore,
    settings: &Settings,
    now: f64,
) {
    sessions.restore(snapshot.session_floor, now);
    for (session, commit) in snapshot.session_tokens {
        sessions.record_write(session, commit.min(now));
    }
    for server in &snapshot.servers {
        restore_status(server, cluster, now);
        restore_server(server, cluster, settings, now);
    }
}

/// Returns a time if it is finite and lies in the past.
fn valid_past_time(time: f64, now: f64) -> Option<f64> {
    Some(time).filter(|time| time.is_finite() && *time > 0.0 && *time <= now)
}

fn restore_status(snapshot: &ServerSnapshot, cluster: &mut Cluster, now: f64) {
    let Some(valid_at) = valid_past_time(snapshot.last_response, now) else { return };
    let was_replica = snapshot.replica_at.is_some();
    let is_primary = (snapshot.primary || was_replica).then_some(snapshot.primary);
    let position = snapshot.position.and_then(|position| valid_past_time(position, now));
    let report = StatusReport { valid_at, sent_at: None, position, is_primary };
    cluster.record_status(ServerId(snapshot.server), report, now);
}

fn restore_server(snapshot: &ServerSnapshot, cluster: &mut Cluster, settings: &Settings, now: f64) {
    let id = ServerId(snapshot.server);
    let Some(server) = cluster.server_mut(id) else { return };
    if let Some(started_at) = snapshot.started.and_then(|started_at| valid_past_time(started_at, now)) {
        server.warm_up_mut().observe_start(started_at);
    }
    if !server.is_warm(now, &settings.rules) {
        let budget = Some(snapshot.warm_up_budget).filter(|budget| budget.is_finite()).unwrap_or(0.0);
        server.warm_up_mut().cap_budget(budget);
    }
    if let Some(limit) = snapshot.concurrency_limit {
        server.restore_concurrency_limit(now, limit);
    }
    restore_down(snapshot, server, now);
    let group = server.group();
    let set = cluster.groups_mut().get_or_create(group).replica_set_mut();
    set.restore(id, &snapshot.replica_set, now);
}

fn restore_down(snapshot: &ServerSnapshot, server: &mut Server, now: f64) {
    let Some((since, was_dead)) = snapshot.down.filter(|(since, _)| valid_past_time(*since, now).is_some())
    else {
        return;
    };
    let cause = if was_dead { DownCause::Dead } else { DownCause::Unresponsive };
    server.restore_down(since, now, cause);
}
