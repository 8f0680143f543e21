//! Which servers may get attempts, and how far replicas are known to have replicated.
//!
//! The endpoint list says which servers exist and which are draining; operators take servers out of service.
//! An update that removes a server drops its draining flag and its position, so that they do not pile up while
//! servers come and go. Servers out of service are kept until the operators return them.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use crate::api::{Endpoint, EndpointState, EndpointUpdate, GroupId, ServerId, ServerStatus};

/// The driver's view of the servers.
pub(super) struct EndpointView {
    /// Servers that were removed from the list may still get attempts.
    keeps_removed: bool,
    listed: BTreeSet<ServerId>,
    /// All groups that the list has ever named.
    groups: HashSet<GroupId>,
    draining: BTreeSet<ServerId>,
    out_of_service: BTreeSet<ServerId>,
    /// Replication positions on the proxy's clock; `None` for a primary or an unknown position.
    positions: BTreeMap<ServerId, Option<Duration>>,
}

impl EndpointView {
    pub(super) fn new(keeps_removed: bool) -> Self {
        Self {
            keeps_removed,
            listed: BTreeSet::new(),
            groups: HashSet::new(),
            draining: BTreeSet::new(),
            out_of_service: BTreeSet::new(),
            positions: BTreeMap::new(),
        }
    }

    /// Applies an update of the endpoint list. Returns the servers that it removed.
    pub(super) fn apply(&mut self, update: &EndpointUpdate) -> Vec<ServerId> {
        let (entries, is_complete): (&[Endpoint], bool) = match update {
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => (entries, true),
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Failed => (&[], false),
        };
        self.groups.extend(entries.iter().map(|entry| entry.group));
        let removed = self.update_listed(entries, is_complete);
        for server in &removed {
            self.positions.remove(server);
            self.draining.remove(server);
        }
        removed
    }

    fn update_listed(&mut self, entries: &[Endpoint], is_complete: bool) -> Vec<ServerId> {
        let (removed, present): (Vec<&Endpoint>, Vec<&Endpoint>) =
            entries.iter().partition(|entry| entry.state == EndpointState::Removed);
        let present: BTreeSet<_> = present.iter().map(|entry| entry.server).collect();
        let mut removed: Vec<_> = removed.iter().map(|entry| entry.server).collect();
        if is_complete {
            removed.extend(self.listed.difference(&present));
        }
        self.listed.extend(present);
        for entry in entries {
            if entry.state == EndpointState::Draining {
                self.draining.insert(entry.server);
            } else {
                self.draining.remove(&entry.server);
            }
        }
        // A server that was not listed, or that is here twice, is not reported again.
        removed.retain(|server| !self.keeps_removed && self.listed.remove(server));
        removed
    }

    /// Whether new attempts may go to a server.
    pub(super) fn accepts_attempts(&self, server: ServerId) -> bool {
        let is_listed = self.keeps_removed || self.listed.contains(&server);
        is_listed && !self.draining.contains(&server) && !self.out_of_service.contains(&server)
    }

    /// Whether the list has ever named a group. Before the first list, every group may exist.
    pub(super) fn knows_group(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }

    pub(super) fn take_out_of_service(&mut self, server: ServerId) {
        self.out_of_service.insert(server);
    }

    pub(super) fn return_to_service(&mut self, server: ServerId) {
        self.out_of_service.remove(&server);
    }

    /// Records what a server reported of itself. A replica's position never goes back; a server that is not
    /// known to be a replica has none.
    pub(super) fn record_status(&mut self, server: ServerId, status: ServerStatus) {
        let is_replica = status.primary == Some(false);
        let position = status.position.max(self.position(server));
        self.positions.insert(server, position.filter(|_| is_replica));
    }

    /// Records a position from a state snapshot, unless this process has heard from the server itself.
    pub(super) fn restore_position(&mut self, server: ServerId, position: Option<Duration>) {
        self.positions.entry(server).or_insert(position);
    }

    /// A replica's last known position.
    pub(super) fn position(&self, server: ServerId) -> Option<Duration> {
        self.positions.get(&server).copied().flatten()
    }
}
