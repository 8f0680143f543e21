//! The servers and their replica sets.
//!
//! Owns the server table, the groups, the set of servers that operators took out of service, the durations of
//! failovers and the counts of primary losses. Events that concern both a server and its group are applied
//! here, so that the two stay consistent. Times are seconds on the engine's clock.

mod endpoints;
mod maintenance;
mod primary_observation;

pub(super) use endpoints::UpdateScope;

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{GroupId, LoadReport, Outcome, ServerId, Settings};
use crate::failover::{FailoverDurations, Phase, PrimaryCandidate, PrimaryLossCounts, RoleReport};
use crate::time::secs;

use super::group::{Group, GroupTable};
use super::server::{KnownRole, Server, StatusReport};

/// A server and its id.
#[derive(Clone, Copy)]
pub(super) struct Member<'c> {
    /// Id of the server.
    pub id: ServerId,
    /// State of the server.
    pub server: &'c Server,
}

/// A response from a server to an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerResponse {
    /// Server that responded.
    pub server: ServerId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time at which the attempt was sent.
    pub sent_at: f64,
    /// Response time in seconds.
    pub response_secs: f64,
}

/// All servers and groups.
#[derive(Default)]
pub(super) struct Cluster {
    servers: BTreeMap<ServerId, Server>,
    out_of_service: BTreeSet<ServerId>,
    groups: GroupTable,
    failover_durations: FailoverDurations,
    primary_losses: PrimaryLossCounts,
}

impl Cluster {
    /// Returns a server; `None` if the id is unknown.
    pub fn server(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// Returns a mutable server; `None` if the id is unknown.
    pub fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// Returns all servers in the order of their ids.
    pub fn servers(&self) -> impl Iterator<Item = Member<'_>> {
        self.servers.iter().map(|(id, server)| Member { id: *id, server })
    }

    /// Returns the groups.
    pub fn groups(&self) -> &GroupTable {
        &self.groups
    }

    /// Returns the mutable groups.
    pub fn groups_mut(&mut self) -> &mut GroupTable {
        &mut self.groups
    }

    /// Returns the durations of past failovers of all groups.
    pub fn failover_durations(&self) -> &FailoverDurations {
        &self.failover_durations
    }

    /// Returns the members of a group in the order of their ids.
    pub fn members(&self, group: GroupId) -> impl Iterator<Item = Member<'_>> + Clone {
        let ids = self.groups.get(group).map_or(&[][..], Group::members);
        ids.iter().filter_map(|id| Some(Member { id: *id, server: self.servers.get(id)? }))
    }

    /// Returns the group of a server; `None` if the server is unknown.
    pub fn group_of(&self, server: ServerId) -> Option<GroupId> {
        self.servers.get(&server).map(Server::group)
    }

    /// Returns the primary of a group, if one is known.
    pub fn primary(&self, group: GroupId) -> Option<ServerId> {
        self.groups.get(group).and_then(Group::primary)
    }

    /// Returns the primary of a group without a member that is down. If one is down, this proxy instance
    /// sends the other members more than their usual share.
    pub fn primary_if_all_members_up(&self, group: GroupId) -> Option<ServerId> {
        let any_down = self.members(group).any(|member| !member.server.is_up());
        self.primary(group).filter(|_| !any_down)
    }

    /// Returns the mutable group whose primary is this server, if there is one.
    pub fn group_with_primary_mut(&mut self, server: ServerId) -> Option<&mut Group> {
        let group = self.group_of(server)?;
        self.groups.get_mut(group).filter(|group| group.primary() == Some(server))
    }

    /// Returns whether a server is the primary of a group without a failover in progress.
    pub fn is_steady_primary(&self, server: ServerId) -> bool {
        let group = self.group_of(server).and_then(|group| self.groups.get(group));
        group.is_some_and(|group| {
            group.primary() == Some(server) && group.replica_set().phase() == Phase::Steady
        })
    }

    /// Takes a server out of service at the operators' request. The server drains, regardless of its state in
    /// the endpoint list.
    pub fn take_out_of_service(&mut self, id: ServerId, now: f64) {
        self.out_of_service.insert(id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.listing_mut().take_out_of_service();
        }
        self.groups.server_draining(id, now);
    }

    /// Returns a server to service at the operators' request.
    pub fn return_to_service(&mut self, id: ServerId, now: f64, settings: &Settings) {
        if !self.out_of_service.remove(&id) {
            return;
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.return_to_service(now, settings);
        }
    }

    /// Forbids new attempts to a server that drains or was removed according to the peer process.
    pub fn withdraw(&mut self, id: ServerId, now: f64) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.listing_mut().withdraw();
        }
        self.groups.server_draining(id, now);
    }

    /// Records a response from a server.
    pub fn response_received(&mut self, response: ServerResponse, now: f64) {
        if let Some(server) = self.servers.get_mut(&response.server) {
            server.replication_mut().response_received(now);
        }
        for group in self.groups.values_mut() {
            let set = group.replica_set_mut();
            set.response_received(
                response.server,
                response.outcome,
                response.sent_at,
                response.response_secs,
            );
        }
    }

    /// Records the state that a server reported about itself.
    pub fn record_status(&mut self, id: ServerId, report: StatusReport, now: f64) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let set = self.groups.get_or_create(server.group()).replica_set_mut();
        let is_primary = report.is_primary.filter(|is_primary| !(*is_primary && server.is_closed()));
        let durations = &mut self.failover_durations;
        let role = RoleReport { server: id, observed_at: report.valid_at, sent_at: report.sent_at };
        set.role_reported(is_primary, role, now, durations);
        let known = KnownRole { is_primary: set.primary() == Some(id), is_deposed: set.is_deposed(id) };
        server.replication_mut().record(&StatusReport { is_primary, ..report }, known);
    }

    /// Records a server's load report. The reported position serves as the time at which the report was true.
    /// This is exact for a primary; for a replica the report may be newer than its position.
    pub fn record_load_report(&mut self, id: ServerId, report: Option<LoadReport>, now: f64) {
        let Some(report) = report else { return };
        let Some(position) = report.position.map(secs) else { return };
        let is_primary = report.primary.filter(|is_primary| *is_primary);
        let status = StatusReport { valid_at: position, sent_at: None, position: Some(position), is_primary };
        self.record_status(id, status, now);
    }

    /// Returns the member that a write is sent to next in the search for the primary; `None` if the write has
    /// to wait.
    pub fn next_search_target(
        &mut self,
        group: GroupId,
        members: &[PrimaryCandidate],
        now: f64,
    ) -> Option<ServerId> {
        let set = self.groups.get_mut(group)?.replica_set_mut();
        set.next_search_target(members, now, &self.failover_durations)
    }
}
