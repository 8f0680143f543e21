//! The servers and their replica sets.
//!
//! Owns the server table, the groups, the servers that operators took out of service, and how long failovers
//! take. It keeps servers and groups consistent: each event that concerns both is applied here. Times are
//! seconds on the engine's clock.

mod endpoints;
mod primary_watch;
mod upkeep;

pub(super) use endpoints::UpdateScope;

use std::collections::{BTreeMap, BTreeSet};

use crate::api::{GroupId, LoadReport, Outcome, ServerId, Settings};
use crate::failover::{FailoverDurations, Phase, PrimaryCandidate, PrimaryLossCounts, RoleReport};
use crate::time::secs;

use super::group::{Group, GroupTable};
use super::server::{KnownRole, Server, StatusReport};

/// A server with its id.
#[derive(Clone, Copy)]
pub(super) struct Member<'c> {
    /// Its id.
    pub id: ServerId,
    /// The server.
    pub server: &'c Server,
}

/// A response of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerResponse {
    /// The server.
    pub server: ServerId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// When the attempt was sent.
    pub sent_at: f64,
    /// Seconds that it took.
    pub took_secs: f64,
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
    /// A server, where it is known.
    pub fn server(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// A server, where it is known, to be changed.
    pub fn server_mut(&mut self, id: ServerId) -> Option<&mut Server> {
        self.servers.get_mut(&id)
    }

    /// All servers in the order of their ids.
    pub fn servers(&self) -> impl Iterator<Item = Member<'_>> {
        self.servers.iter().map(|(id, server)| Member { id: *id, server })
    }

    /// The groups.
    pub fn groups(&self) -> &GroupTable {
        &self.groups
    }

    /// The groups, to be changed.
    pub fn groups_mut(&mut self) -> &mut GroupTable {
        &mut self.groups
    }

    /// How long failovers take.
    pub fn failover_durations(&self) -> &FailoverDurations {
        &self.failover_durations
    }

    /// The members of a group in the order of their ids.
    pub fn members(&self, group: GroupId) -> impl Iterator<Item = Member<'_>> + Clone {
        let ids = self.groups.get(group).map_or(&[][..], Group::members);
        ids.iter().filter_map(|id| Some(Member { id: *id, server: self.servers.get(id)? }))
    }

    /// The group of a server.
    pub fn group_of(&self, server: ServerId) -> Option<GroupId> {
        self.servers.get(&server).map(Server::group)
    }

    /// The primary of a group.
    pub fn primary(&self, group: GroupId) -> Option<ServerId> {
        self.groups.get(group).and_then(Group::primary)
    }

    /// The primary of a group with no member down. Where one is down, the others get more from this instance
    /// alone.
    pub fn primary_of_complete_group(&self, group: GroupId) -> Option<ServerId> {
        let any_down = self.members(group).any(|member| !member.server.is_up());
        self.primary(group).filter(|_| !any_down)
    }

    /// The group whose primary a server is, to be changed.
    pub fn led_group_mut(&mut self, server: ServerId) -> Option<&mut Group> {
        let group = self.group_of(server)?;
        self.groups.get_mut(group).filter(|group| group.primary() == Some(server))
    }

    /// Whether a server is the primary of a group that is in no failover.
    pub fn is_steady_primary(&self, server: ServerId) -> bool {
        let group = self.group_of(server).and_then(|group| self.groups.get(group));
        group.is_some_and(|group| {
            group.primary() == Some(server) && group.replica_set().phase() == Phase::Steady
        })
    }

    /// Operators took a server out of service: it drains, whatever the endpoint list says.
    pub fn take_out_of_service(&mut self, id: ServerId, now: f64) {
        self.out_of_service.insert(id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.listing_mut().take_out_of_service();
        }
        self.groups.server_draining(id, now);
    }

    /// Operators returned a server to service.
    pub fn return_to_service(&mut self, id: ServerId, now: f64, settings: &Settings) {
        if !self.out_of_service.remove(&id) {
            return;
        }
        if let Some(server) = self.servers.get_mut(&id) {
            server.return_to_service(now, settings);
        }
    }

    /// The peer process learned that a server drains or is removed.
    pub fn withdraw(&mut self, id: ServerId, now: f64) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.listing_mut().withdraw();
        }
        self.groups.server_draining(id, now);
    }

    /// A server responded.
    pub fn response_received(&mut self, response: ServerResponse, now: f64) {
        if let Some(server) = self.servers.get_mut(&response.server) {
            server.replication_mut().response_received(now);
        }
        for group in self.groups.values_mut() {
            let set = group.replica_set_mut();
            set.response_received(response.server, response.outcome, response.sent_at, response.took_secs);
        }
    }

    /// A server reported its state.
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

    /// A server sent a load report. It is as old as a primary's position in it; a replica's may be older
    /// still.
    pub fn record_load_report(&mut self, id: ServerId, report: Option<LoadReport>, now: f64) {
        let Some(report) = report else { return };
        let Some(position) = report.position.map(secs) else { return };
        let is_primary = report.primary.filter(|is_primary| *is_primary);
        let status = StatusReport { valid_at: position, sent_at: None, position: Some(position), is_primary };
        self.record_status(id, status, now);
    }

    /// A write asks a member of a group without a primary which server is the primary. Returns the member, or
    /// `None` where the write has to wait.
    pub fn next_member_to_ask(
        &mut self,
        group: GroupId,
        members: &[PrimaryCandidate],
        now: f64,
    ) -> Option<ServerId> {
        let set = self.groups.get_mut(group)?.replica_set_mut();
        set.next_search_target(members, now, &self.failover_durations)
    }
}
