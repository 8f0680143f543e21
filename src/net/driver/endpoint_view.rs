//! The driver's view of the servers: which servers may get attempts, which are known to be replicas, and the
//! last known replication positions of replicas.
//!
//! The endpoint list says which servers exist and which of them drain. Operators take servers out of service.
//! An update that removes a server drops the server's draining flag, role and position, so that this state does not
//! grow as servers are replaced. A server out of service stays recorded until operators return it to service.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use crate::api::{Endpoint, EndpointState, EndpointUpdate, GroupId, ServerId, ServerStatus};

/// State of the servers as far as the driver needs it.
pub(super) struct EndpointView {
    /// Whether servers that were removed from the list may still get attempts (setting `removed_may_serve`).
    removed_may_serve: bool,
    listed: BTreeSet<ServerId>,
    /// All groups that the list has ever contained.
    groups: HashSet<GroupId>,
    draining: BTreeSet<ServerId>,
    out_of_service: BTreeSet<ServerId>,
    /// Replication positions on the proxy's clock; `None` for a server that is not known to be a replica, and
    /// for a replica whose position is unknown.
    positions: BTreeMap<ServerId, Option<Duration>>,
    /// Servers whose last report of their role said that they are replicas.
    replicas: BTreeSet<ServerId>,
}

impl EndpointView {
    pub(super) fn new(removed_may_serve: bool) -> Self {
        Self {
            removed_may_serve,
            listed: BTreeSet::new(),
            groups: HashSet::new(),
            draining: BTreeSet::new(),
            out_of_service: BTreeSet::new(),
            positions: BTreeMap::new(),
            replicas: BTreeSet::new(),
        }
    }

    /// Applies an update of the endpoint list. Returns the servers that the update removed.
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
            self.replicas.remove(server);
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
        // `remove` is false for a server that was not listed, and for the second entry of a server that the
        // update names twice, so that each removal is reported once.
        removed.retain(|server| !self.removed_may_serve && self.listed.remove(server));
        removed
    }

    /// Returns whether new attempts may be sent to a server.
    pub(super) fn accepts_attempts(&self, server: ServerId) -> bool {
        let is_listed = self.removed_may_serve || self.listed.contains(&server);
        is_listed && !self.draining.contains(&server) && !self.out_of_service.contains(&server)
    }

    /// Returns whether the list has ever contained a group. Returns true for every group until a list with a
    /// server arrives.
    pub(super) fn knows_group(&self, group: GroupId) -> bool {
        self.groups.is_empty() || self.groups.contains(&group)
    }

    pub(super) fn take_out_of_service(&mut self, server: ServerId) {
        self.out_of_service.insert(server);
    }

    pub(super) fn return_to_service(&mut self, server: ServerId) {
        self.out_of_service.remove(&server);
    }

    /// Records a status that a server sent. The position of a replica never decreases. A server whose status
    /// does not say that it is a replica gets no position.
    pub(super) fn record_status(&mut self, server: ServerId, status: ServerStatus) {
        let is_replica = status.primary == Some(false);
        let position = status.position.max(self.position(server));
        self.positions.insert(server, position.filter(|_| is_replica));
        self.record_role(server, status.primary);
    }

    /// Records the status in a load report of a server. A report that names no role changes only the position of a
    /// known replica.
    pub(super) fn record_load_report(&mut self, server: ServerId, status: ServerStatus) {
        let primary = status.primary.or(self.is_replica(server).then_some(false));
        if primary.is_some() {
            self.record_status(server, ServerStatus { primary, ..status });
        }
    }

    /// Records the role that a server reported: whether it is the primary, or `None` if the report does not
    /// say so.
    pub(super) fn record_role(&mut self, server: ServerId, is_primary: Option<bool>) {
        match is_primary {
            Some(true) => drop(self.replicas.remove(&server)),
            Some(false) => drop(self.replicas.insert(server)),
            None => {}
        }
    }

    /// Returns whether a server is known to be a replica.
    pub(super) fn is_replica(&self, server: ServerId) -> bool {
        self.replicas.contains(&server)
    }

    /// Records a position from a state snapshot, unless this process has already recorded a status of the
    /// server.
    pub(super) fn restore_position(&mut self, server: ServerId, position: Option<Duration>) {
        self.positions.entry(server).or_insert(position);
    }

    /// Returns the last known position of a replica; `None` for a primary or an unknown position.
    pub(super) fn position(&self, server: ServerId) -> Option<Duration> {
        self.positions.get(&server).copied().flatten()
    }
}
