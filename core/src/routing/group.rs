//! The replica sets and what waits for them.
//!
//! Owns, for each group, its members in the order of their ids, the state of its failovers, its load shedding
//! and the requests that wait for it.

use std::collections::BTreeMap;

use crate::api::{GroupId, ServerId};
use crate::ewma::Ewma;
use crate::failover::ReplicaSet;

use super::read_admission::GroupAdmission;

/// Seconds for which a request that expired in the queue shows that the queue is too long.
const CONGESTION_SECS: f64 = 1.0;

/// A group of servers that hold the same data.
#[derive(Default)]
pub(super) struct Group {
    members: Vec<ServerId>,
    replica_set: ReplicaSet,
    admission: GroupAdmission,
    late_at_primary: Ewma,
    queued: usize,
    queued_writes: usize,
    request_expired_at: f64,
}

impl Group {
    /// Its members in the order of their ids.
    pub fn members(&self) -> &[ServerId] {
        &self.members
    }

    /// Its primary, where one is known.
    pub fn primary(&self) -> Option<ServerId> {
        self.replica_set.primary()
    }

    /// Its primary and failovers.
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.replica_set
    }

    /// Its primary and failovers, to be changed.
    pub fn replica_set_mut(&mut self) -> &mut ReplicaSet {
        &mut self.replica_set
    }

    /// Its load shedding.
    pub fn admission(&self) -> &GroupAdmission {
        &self.admission
    }

    /// Its load shedding, to be changed.
    pub fn admission_mut(&mut self) -> &mut GroupAdmission {
        &mut self.admission
    }

    /// Share of its primary's responses that came late.
    pub fn late_at_primary(&self) -> &Ewma {
        &self.late_at_primary
    }

    /// Share of its primary's responses that came late, to be changed.
    pub fn late_at_primary_mut(&mut self) -> &mut Ewma {
        &mut self.late_at_primary
    }

    /// Requests that wait for one of its servers.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Writes among them.
    pub fn queued_writes(&self) -> usize {
        self.queued_writes
    }

    /// Counts the queue anew.
    pub fn reset_queue(&mut self) {
        self.queued = 0;
        self.queued_writes = 0;
    }

    /// Counts a read that waits.
    pub fn count_queued_read(&mut self) {
        self.queued += 1;
    }

    /// Counts a write that waits.
    pub fn count_queued_write(&mut self) {
        self.queued += 1;
        self.queued_writes += 1;
    }

    /// A request expired in the queue.
    pub fn request_expired(&mut self, now: f64) {
        self.request_expired_at = now;
    }

    /// Whether a request expired in the queue a moment ago.
    pub fn is_congested(&self, now: f64) -> bool {
        now - self.request_expired_at < CONGESTION_SECS
    }

    /// Forgets its members.
    pub fn clear_members(&mut self) {
        self.members.clear();
    }

    /// Adds a member; to be called in the order of ids.
    pub fn add_member(&mut self, server: ServerId) {
        self.members.push(server);
    }

    /// Forgets the failover state of servers that are no members.
    pub fn retain_members(&mut self, now: f64) {
        let members = &self.members;
        self.replica_set.retain_members(now, |server| members.contains(&server));
    }
}

/// All groups.
#[derive(Default)]
pub(super) struct GroupTable {
    groups: BTreeMap<GroupId, Group>,
}

impl GroupTable {
    /// A group, where it is known.
    pub fn get(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(&id)
    }

    /// A group, where it is known, to be changed.
    pub fn get_mut(&mut self, id: GroupId) -> Option<&mut Group> {
        self.groups.get_mut(&id)
    }

    /// A group, which is created if it is new.
    pub fn get_or_create(&mut self, id: GroupId) -> &mut Group {
        self.groups.entry(id).or_default()
    }

    /// All groups in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (GroupId, &Group)> {
        self.groups.iter().map(|(id, group)| (*id, group))
    }

    /// All groups in the order of their ids, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (GroupId, &mut Group)> {
        self.groups.iter_mut().map(|(id, group)| (*id, group))
    }

    /// All groups in the order of their ids, to be changed.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Group> {
        self.groups.values_mut()
    }

    /// A server takes no new attempts; it still drains.
    pub fn server_draining(&mut self, server: ServerId, now: f64) {
        self.values_mut().for_each(|group| group.replica_set.server_draining(server, now));
    }
}
