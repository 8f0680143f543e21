//! Where a write goes: to the primary, to a replica that reports its position on the way, or, where no
//! primary is known, to the members in turn, which decline it unless they are the primary.

use crate::api::{GroupId, ServerId};
use crate::failover::{Phase, PrimaryCandidate, ReplicaSet};

use super::cluster::Member;
use super::open_request::OpenRequest;
use super::position_probe::{write_probe_target, PositionDemand};
use super::view::{PlannedAttempt, RoutingView};

/// Attempts that must be left for a write to ask who the primary is.
const MIN_ATTEMPTS_LEFT_TO_ASK: u32 = 2;

/// What is to be done with a write.
pub(super) enum WriteDecision {
    /// It waits.
    Wait,
    /// It is sent.
    Send(PlannedAttempt),
    /// It asks one of the members which server is the primary.
    AskMembers(PrimaryQuery),
}

/// A write that asks members which server is the primary.
pub(super) struct PrimaryQuery {
    /// The group.
    pub group: GroupId,
    /// The eligible members in the order of ids.
    pub members: Vec<PrimaryCandidate>,
    /// Seconds after which the attempt is given up.
    pub timeout_secs: f64,
}

/// Decides where a write goes.
pub(super) fn route_write(view: &RoutingView, write: &OpenRequest) -> WriteDecision {
    let Some(group) = view.cluster.groups().get(write.request().group) else { return WriteDecision::Wait };
    let set = group.replica_set();
    let primary = set.writable_primary().and_then(|id| Some(Member { id, server: view.cluster.server(id)? }));
    match primary {
        Some(primary) => route_to_primary(view, write, set, primary),
        None => ask_for_primary(view, write, set),
    }
}

fn route_to_primary(
    view: &RoutingView,
    write: &OpenRequest,
    set: &ReplicaSet,
    primary: Member,
) -> WriteDecision {
    let is_possible = set.admits_write()
        && primary.server.has_capacity(view.now)
        && view.is_eligible(write, primary.id, primary.server);
    if !is_possible {
        return WriteDecision::Wait;
    }
    let server = position_check(view, write, set, primary.id).unwrap_or(primary.id);
    let timeout_secs = view.attempt_timeout_secs(write, primary.server);
    WriteDecision::Send(PlannedAttempt { server, timeout_secs })
}

/// The replica that a fresh write visits first: it declines the write and reports its position.
fn position_check(
    view: &RoutingView,
    write: &OpenRequest,
    set: &ReplicaSet,
    primary: ServerId,
) -> Option<ServerId> {
    let has_attempts = write.is_fresh() && write.arrival().max_attempts > MIN_ATTEMPTS_LEFT_TO_ASK;
    if !has_attempts || set.phase() != Phase::Steady {
        return None;
    }
    let demand = PositionDemand::new(view.settings, view.now)?;
    let replicas = view.cluster.members(write.request().group).filter(|member| member.id != primary);
    let may_send = |member: Member| {
        !set.is_deposed(member.id)
            && member.server.has_capacity(view.now)
            && view.is_eligible(write, member.id, member.server)
    };
    write_probe_target(replicas, demand, view.now, may_send, write.request().id.0)
}

/// One write at a time asks the members in the order of ids; after a round the next one waits.
fn ask_for_primary(view: &RoutingView, write: &OpenRequest, set: &ReplicaSet) -> WriteDecision {
    let max_attempts = write.arrival().max_attempts;
    let has_attempts = write.attempts_sent() + MIN_ATTEMPTS_LEFT_TO_ASK <= max_attempts;
    if !set.may_search_for_primary(view.now) || !has_attempts {
        return WriteDecision::Wait;
    }
    let group = write.request().group;
    let is_able = |member: &Member| {
        member.server.has_capacity(view.now) && view.is_eligible(write, member.id, member.server)
    };
    let able = view.cluster.members(group).filter(is_able);
    let candidate = |member: Member| PrimaryCandidate {
        server: member.id,
        silence_secs: member.server.silence_secs(view.now),
    };
    let members = able.map(candidate).collect();
    WriteDecision::AskMembers(PrimaryQuery { group, members, timeout_secs: write.secs_left(view.now) })
}
