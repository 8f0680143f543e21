//! The model of replication within a replica set, and of its primary.
//!
//! Owns the commits of a set and how far each member has applied them. A replica receives a commit after a
//! shipping delay and applies commits in one thread, which a blocking request can stop. A position is a time
//! up to which a member has all commits; the position of the primary is the present. Reported positions are
//! rounded down to milliseconds, so that they never exceed the true position.

use std::collections::VecDeque;

/// How a replica set replicates and fails over.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicationSettings {
    /// Time in s after which a replica receives a commit.
    pub shipping_delay_s: f64,
    /// Work in s to apply a commit.
    pub apply_work_s: f64,
    /// Writes are acknowledged only after a replica has received them.
    pub synchronous: bool,
    /// Time in s to detect the loss of a primary.
    pub detection_s: f64,
    /// Time in s of an election after that.
    pub election_s: f64,
    /// Time in s of a planned switchover.
    pub switchover_s: f64,
}

/// How far a replica has applied the log.
#[derive(Debug, Clone, Copy, Default)]
struct Follower {
    /// Index of the next commit to apply, counted from the first commit of the set.
    next: usize,
    /// When its apply thread becomes idle.
    idle_at: f64,
    /// Its position as far as it has been computed.
    position: f64,
}

/// A replica set. Members are identified by their index.
#[derive(Debug, Clone)]
pub struct ReplicaSet {
    settings: ReplicationSettings,
    followers: Vec<Follower>,
    primary: Option<usize>,
    /// When the last primary was lost, while there is none.
    primary_lost_at: Option<f64>,
    commits: VecDeque<f64>,
    /// Number of commits that were removed from the front of `commits`.
    pruned: usize,
    /// The factor by which replicas apply commits more slowly than usual.
    pub slowdown: f64,
}

/// Number of commits above which those that all replicas have applied are removed.
const MAX_COMMITS: usize = 4096;

impl ReplicaSet {
    /// A replica set whose first member is the primary.
    pub fn new(members: usize, settings: ReplicationSettings, now: f64) -> Self {
        let follower = Follower { next: 0, idle_at: now, position: now };
        Self {
            settings,
            followers: vec![follower; members],
            primary: Some(0),
            primary_lost_at: None,
            commits: VecDeque::new(),
            pruned: 0,
            slowdown: 1.0,
        }
    }

    /// Number of members, including former ones.
    pub fn members(&self) -> usize {
        self.followers.len()
    }

    /// The primary, if one accepts writes.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// Records a commit of the primary.
    pub fn commit(&mut self, now: f64) {
        self.commits.push_back(now);
        if self.commits.len() > MAX_COMMITS {
            self.prune();
        }
    }

    /// Removes the commits that all replicas have applied.
    fn prune(&mut self) {
        let replicas = self.followers.iter().enumerate().filter(|(member, _)| Some(*member) != self.primary);
        let oldest_next = replicas.map(|(_, follower)| follower.next).min().unwrap_or(0);
        while self.pruned < oldest_next {
            self.commits.pop_front();
            self.pruned += 1;
        }
    }

    /// The position of a member.
    pub fn position(&mut self, member: usize, now: f64) -> f64 {
        if self.primary == Some(member) {
            return now;
        }
        let settings = self.settings;
        let received = self.primary_lost_at.map_or(now, |lost| lost.min(now)) - settings.shipping_delay_s;
        let follower = &mut self.followers[member];
        loop {
            let index = follower.next.checked_sub(self.pruned);
            let next = index.and_then(|index| self.commits.get(index)).copied();
            let Some(commit) = next.filter(|commit| *commit <= received) else {
                follower.position = follower.position.max(received);
                return follower.position;
            };
            let applied_at = follower.idle_at.max(commit + settings.shipping_delay_s)
                + settings.apply_work_s * self.slowdown;
            follower.position = follower.position.max(commit - 1e-6);
            if applied_at > now {
                return follower.position;
            }
            follower.next += 1;
            follower.idle_at = applied_at;
            follower.position = commit;
        }
    }

    /// The position that a member reports.
    pub fn reported_position(&mut self, member: usize, now: f64) -> f64 {
        (self.position(member, now) * 1e3).floor() / 1e3
    }

    /// Stops a replica from applying commits until a time.
    pub fn block(&mut self, member: usize, now: f64, until: f64) {
        self.position(member, now);
        let follower = &mut self.followers[member];
        follower.idle_at = follower.idle_at.max(until);
    }

    /// Removes the primary. Without synchronous replication, commits that no replica has received are lost.
    pub fn lose_primary(&mut self, now: f64) {
        let Some(primary) = self.primary.take() else { return };
        self.primary_lost_at = Some(now);
        if !self.settings.synchronous {
            let received = now - self.settings.shipping_delay_s;
            while self.commits.back().is_some_and(|commit| *commit > received) {
                self.commits.pop_back();
            }
        }
        let next = self.pruned + self.commits.len();
        self.followers[primary] = Follower { next, idle_at: now, position: now };
    }

    /// Elects the eligible replica with the highest position, and returns it.
    pub fn elect(&mut self, now: f64, eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let candidates: Vec<usize> = (0..self.followers.len()).filter(|member| eligible(*member)).collect();
        let best = candidates.into_iter().max_by(|a, b| {
            let position_a = self.position(*a, now);
            let position_b = self.position(*b, now);
            position_a.total_cmp(&position_b).then(b.cmp(a))
        })?;
        self.primary = Some(best);
        self.primary_lost_at = None;
        Some(best)
    }

    /// Adds a member, or resets one, from a snapshot of this age in s.
    pub fn restore_member(&mut self, member: usize, now: f64, snapshot_age_s: f64) {
        let position = now - snapshot_age_s;
        let next = self.pruned + self.commits.iter().take_while(|commit| **commit <= position).count();
        let restored = Follower { next, idle_at: now, position };
        match self.followers.get_mut(member) {
            Some(follower) => *follower = restored,
            None => self.followers.push(restored),
        }
    }
}

#[cfg(test)]
mod tests;
