//! Selects the server for a write: the primary, or a replica that declines the write and reports its
//! position. If no primary is known, the members are tried in turn, because every member except the primary
//! declines a write.

use crate::api::{GroupId, ServerId};
use crate::failover::{Phase, PrimaryCandidate, ReplicaSet};

use super::cluster::Member;
use super::open_request::OpenRequest;
use super::position_probe::{write_probe_target, WriteProbePolicy};
use super::view::{PlannedAttempt, RoutingView};

/// Attempts that a write must have left for a search attempt: one that a member may decline, and one for the
/// primary. A position probe requires one more.
const MIN_ATTEMPTS_FOR_SEARCH: u32 = 2;

/// Routing decision for a write.
pub(super) enum WriteDecision {
    /// The write stays queued.
    Wait,
    /// The write is sent to a server.
    Send(PlannedAttempt),
    /// The write may be sent to one of the members in the search for the primary.
    SearchForPrimary(PrimarySearchPlan),
}

/// The data for sending a write to a member in the search for the primary.
pub(super) struct PrimarySearchPlan {
    /// Group of the write.
    pub group: GroupId,
    /// Eligible members in the order of their ids.
    pub members: Vec<PrimaryCandidate>,
    /// Timeout of the attempt in seconds.
    pub timeout_secs: f64,
}

/// Selects the server for a write.
pub(super) fn route_write(view: &RoutingView, write: &OpenRequest) -> WriteDecision {
    let Some(group) = view.cluster.groups().get(write.request().group) else { return WriteDecision::Wait };
    let set = group.replica_set();
    let primary = set.writable_primary().and_then(|id| Some(Member { id, server: view.cluster.server(id)? }));
    match primary {
        Some(primary) => route_to_primary(view, write, set, primary),
        None => search_for_primary(view, write, set),
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
    let server = position_probe_target(view, write, set, primary.id).unwrap_or(primary.id);
    let timeout_secs = view.attempt_timeout_secs(write, primary.server);
    WriteDecision::Send(PlannedAttempt { server, timeout_secs })
}

/// Returns the replica that a write without earlier attempts is sent to first. The replica declines the write
/// and reports its position.
fn position_probe_target(
    view: &RoutingView,
    write: &OpenRequest,
    set: &ReplicaSet,
    primary: ServerId,
) -> Option<ServerId> {
    let has_attempts_left = write.is_unsent() && write.arrival().max_attempts > MIN_ATTEMPTS_FOR_SEARCH;
    if !has_attempts_left || set.phase() != Phase::Steady {
        return None;
    }
    let policy = WriteProbePolicy::new(view.settings, view.now)?;
    let replicas = view.cluster.members(write.request().group).filter(|member| member.id != primary);
    let may_send = |member: Member| {
        !set.is_deposed(member.id)
            && member.server.has_capacity(view.now)
            && view.is_eligible(write, member.id, member.server)
    };
    write_probe_target(replicas, policy, view.now, may_send, write.request().id.0)
}

/// Decides whether the write is sent to a member in the search for the primary. One write at a time is sent
/// to the members in the order of their ids. After a full round the next write waits for a pause.
fn search_for_primary(view: &RoutingView, write: &OpenRequest, set: &ReplicaSet) -> WriteDecision {
    let max_attempts = write.arrival().max_attempts;
    let has_attempts_left = write.attempts_sent() + MIN_ATTEMPTS_FOR_SEARCH <= max_attempts;
    if !set.may_search_for_primary(view.now) || !has_attempts_left {
        return WriteDecision::Wait;
    }
    let group = write.request().group;
    let can_receive = |member: &Member| {
        member.server.has_capacity(view.now) && view.is_eligible(write, member.id, member.server)
    };
    let available = view.cluster.members(group).filter(can_receive);
    let candidate = |member: Member| PrimaryCandidate {
        server: member.id,
        silence_secs: member.server.silence_secs(view.now),
    };
    let members = available.map(candidate).collect();
    WriteDecision::SearchForPrimary(PrimarySearchPlan {
        group,
        members,
        timeout_secs: write.secs_left(view.now),
    })
}
