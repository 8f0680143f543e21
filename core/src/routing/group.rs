//! The groups of servers and the requests that wait for them.
//!
//! Owns, for each group, its members in the order of their ids, its failover state, its load shedding and the
//! number of its queued requests.

use std::collections::BTreeMap;

use crate::api::{GroupId, ServerId};
use crate::ewma::Ewma;
use crate::failover::ReplicaSet;

use super::read_admission::GroupAdmission;

/// Time in seconds for which a group counts as congested after a request was dropped from its queue.
const CONGESTION_SECS: f64 = 1.0;

/// A group of servers that hold the same data.
#[derive(Default)]
pub(super) struct Group {
    members: Vec<ServerId>,
    replica_set: ReplicaSet,
    admission: GroupAdmission,
    primary_late_share: Ewma,
    queued: usize,
    queued_writes: usize,
    last_dropped_at: f64,
}

impl Group {
    /// Returns the members in the order of their ids.
    pub fn members(&self) -> &[ServerId] {
        &self.members
    }

    /// Returns the primary, if one is known.
    pub fn primary(&self) -> Option<ServerId> {
        self.replica_set.primary()
    }

    /// Returns the primary and the failover state.
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.replica_set
    }

    /// Returns a mutable reference to the primary and the failover state.
    pub fn replica_set_mut(&mut self) -> &mut ReplicaSet {
        &mut self.replica_set
    }

    /// Returns the load shedding state of the group's reads.
    pub fn admission(&self) -> &GroupAdmission {
        &self.admission
    }

    /// Returns a mutable reference to the load shedding state of the group's reads.
    pub fn admission_mut(&mut self) -> &mut GroupAdmission {
        &mut self.admission
    }

    /// Returns the share of late responses of the primary.
    pub fn primary_late_share(&self) -> &Ewma {
        &self.primary_late_share
    }

    /// Returns a mutable reference to the share of late responses of the primary.
    pub fn primary_late_share_mut(&mut self) -> &mut Ewma {
        &mut self.primary_late_share
    }

    /// Returns the number of requests that wait for a server of the group.
    pub fn queued(&self) -> usize {
        self.queued
    }

    /// Returns the number of writes among the queued requests.
    pub fn queued_writes(&self) -> usize {
        self.queued_writes
    }

    /// Resets the number of queued requests to 0.
    pub fn reset_queued_counts(&mut self) {
        self.queued = 0;
        self.queued_writes = 0;
    }

    /// Counts a queued read.
    pub fn count_queued_read(&mut self) {
        self.queued += 1;
    }

    /// Counts a queued write.
    pub fn count_queued_write(&mut self) {
        self.queued += 1;
        self.queued_writes += 1;
    }

    /// Records that a request was dropped from the queue, because it must not be sent again or can't be
    /// answered in time.
    pub fn request_dropped(&mut self, now: f64) {
        self.last_dropped_at = now;
    }

    /// Returns whether a request was dropped from the queue less than `CONGESTION_SECS` ago.
    pub fn is_congested(&self, now: f64) -> bool {
        now - self.last_dropped_at < CONGESTION_SECS
    }

    /// Removes all members.
    pub fn clear_members(&mut self) {
        self.members.clear();
    }

    /// Adds a member. Members must be added in the order of their ids.
    pub fn add_member(&mut self, server: ServerId) {
        self.members.push(server);
    }

    /// Discards the failover state of servers that are no longer members.
    pub fn discard_former_members(&mut self, now: f64) {
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
    /// Returns a group, if it is known.
    pub fn get(&self, id: GroupId) -> Option<&Group> {
        self.groups.get(&id)
    }

    /// Returns a mutable reference to a group, if the group is known.
    pub fn get_mut(&mut self, id: GroupId) -> Option<&mut Group> {
        self.groups.get_mut(&id)
    }

    /// Returns a group, and creates it if it is new.
    pub fn get_or_create(&mut self, id: GroupId) -> &mut Group {
        self.groups.entry(id).or_default()
    }

    /// Returns all groups in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (GroupId, &Group)> {
        self.groups.iter().map(|(id, group)| (*id, group))
    }

    /// Returns mutable references to all groups with their ids, in the order of the ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (GroupId, &mut Group)> {
        self.groups.iter_mut().map(|(id, group)| (*id, group))
    }

    /// Returns mutable references to all groups in the order of their ids.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Group> {
        self.groups.values_mut()
    }

    /// Records that a server drains and takes no new attempts.
    pub fn server_draining(&mut self, server: ServerId, now: f64) {
        self.values_mut().for_each(|group| group.replica_set.server_draining(server, now));
    }
}
