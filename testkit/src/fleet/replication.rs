//! Model of a replica set: replication from the primary to the replicas, and election of a primary.
//!
//! Owns the commits of a replica set and the apply progress of each member. A replica receives a commit after
//! a shipping delay and applies commits in one thread, which a blocking read can stop. The replication
//! position of a member is the time up to which the member has applied all commits; the position of the
//! primary is the current time. Reported positions are rounded down to milliseconds, so that they never
//! exceed the true position. Times and durations are in seconds.

use std::collections::VecDeque;

/// Parameters of the replication and failover of a replica set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReplicationSettings {
    /// Time from a commit until a replica receives it, in seconds.
    pub shipping_delay_s: f64,
    /// Time that a replica takes to apply a commit, in seconds, unless it is slowed down.
    pub apply_work_s: f64,
    /// Whether replication is synchronous. If not, the loss of the primary also loses the commits that no
    /// replica has received.
    pub synchronous: bool,
    /// Time from the loss of a primary to its detection, in seconds.
    pub detection_s: f64,
    /// Time from the detection to the election of a new primary, in seconds.
    pub election_s: f64,
    /// Duration of a planned switchover, in seconds.
    pub switchover_s: f64,
}

/// Apply progress of a member. Not updated while the member is primary.
#[derive(Debug, Clone, Copy, Default)]
struct ApplyProgress {
    /// Index of the next commit to apply, counted from the first commit of the replica set.
    next_commit: usize,
    /// Time at which the apply thread becomes idle.
    idle_at: f64,
    /// Last computed replication position.
    position: f64,
}

/// Model of a replica set. Members are identified by their index.
#[derive(Debug, Clone)]
pub struct ReplicaSet {
    settings: ReplicationSettings,
    apply_progress: Vec<ApplyProgress>,
    primary: Option<usize>,
    /// Time at which the last primary was lost; `None` while there is a primary.
    primary_lost_at: Option<f64>,
    commits: VecDeque<f64>,
    /// Number of commits that have been removed from the front of `commits`.
    pruned_commits: usize,
    /// Factor by which the time to apply a commit grows; 1 without a fault.
    pub slowdown: f64,
}

/// Number of stored commits above which the commits that all replicas have applied are removed.
const MAX_COMMITS: usize = 4096;

impl ReplicaSet {
    /// Creates a replica set whose first member is the primary and whose replicas are up to date.
    pub fn new(member_count: usize, settings: ReplicationSettings, now: f64) -> Self {
        let progress = ApplyProgress { next_commit: 0, idle_at: now, position: now };
        Self {
            settings,
            apply_progress: vec![progress; member_count],
            primary: Some(0),
            primary_lost_at: None,
            commits: VecDeque::new(),
            pruned_commits: 0,
            slowdown: 1.0,
        }
    }

    /// Returns the number of members, including removed members.
    pub fn member_count(&self) -> usize {
        self.apply_progress.len()
    }

    /// Returns the primary; `None` between the loss of a primary and the election of the next.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// Records that the primary commits a write at `now`.
    pub fn commit(&mut self, now: f64) {
        self.commits.push_back(now);
        if self.commits.len() > MAX_COMMITS {
            self.prune();
        }
    }

    /// Removes the oldest commits, up to the first that some replica has not applied.
    fn prune(&mut self) {
        let replicas =
            self.apply_progress.iter().enumerate().filter(|(member, _)| Some(*member) != self.primary);
        let oldest_next_commit = replicas.map(|(_, progress)| progress.next_commit).min().unwrap_or(0);
        while self.pruned_commits < oldest_next_commit {
            self.commits.pop_front();
            self.pruned_commits += 1;
        }
    }

    /// Advances a member to `now`, and returns its replication position.
    pub fn position(&mut self, member: usize, now: f64) -> f64 {
        if self.primary == Some(member) {
            return now;
        }
        let settings = self.settings;
        let received_until =
            self.primary_lost_at.map_or(now, |lost| lost.min(now)) - settings.shipping_delay_s;
        let progress = &mut self.apply_progress[member];
        loop {
            let index = progress.next_commit.checked_sub(self.pruned_commits);
            let next_commit = index.and_then(|index| self.commits.get(index)).copied();
            let Some(commit) = next_commit.filter(|commit| *commit <= received_until) else {
                progress.position = progress.position.max(received_until);
                return progress.position;
            };
            let applied_at = progress.idle_at.max(commit + settings.shipping_delay_s)
                + settings.apply_work_s * self.slowdown;
            // All commits before this one are applied, so the position is just below its commit time.
            progress.position = progress.position.max(commit - 1e-6);
            if applied_at > now {
                return progress.position;
            }
            progress.next_commit += 1;
            progress.idle_at = applied_at;
            progress.position = commit;
        }
    }

    /// Returns the replication position that a member reports, rounded down to milliseconds.
    pub fn reported_position(&mut self, member: usize, now: f64) -> f64 {
        (self.position(member, now) * 1e3).floor() / 1e3
    }

    /// Stops a replica from applying commits until the time `until`.
    pub fn block(&mut self, member: usize, now: f64, until: f64) {
        self.position(member, now);
        let progress = &mut self.apply_progress[member];
        progress.idle_at = progress.idle_at.max(until);
    }

    /// Ends the role of the primary, which becomes a replica. Without synchronous replication, the commits
    /// that no replica has received are lost.
    pub fn lose_primary(&mut self, now: f64) {
        let Some(primary) = self.primary.take() else { return };
        self.primary_lost_at = Some(now);
        if !self.settings.synchronous {
            let received_until = now - self.settings.shipping_delay_s;
            while self.commits.back().is_some_and(|commit| *commit > received_until) {
                self.commits.pop_back();
            }
        }
        let next_commit = self.pruned_commits + self.commits.len();
        self.apply_progress[primary] = ApplyProgress { next_commit, idle_at: now, position: now };
    }

    /// Elects the eligible member with the highest replication position, the lowest index among equals, and
    /// returns its index; `None` if no member is eligible.
    pub fn elect(&mut self, now: f64, eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let candidates: Vec<usize> =
            (0..self.apply_progress.len()).filter(|member| eligible(*member)).collect();
        let elected = candidates.into_iter().max_by(|a, b| {
            let position_a = self.position(*a, now);
            let position_b = self.position(*b, now);
            position_a.total_cmp(&position_b).then(b.cmp(a))
        })?;
        self.primary = Some(elected);
        self.primary_lost_at = None;
        Some(elected)
    }

    /// Restores a member from a snapshot that is `snapshot_age_s` seconds old. Adds the member if its index
    /// is new.
    pub fn restore_member(&mut self, member: usize, now: f64, snapshot_age_s: f64) {
        let position = now - snapshot_age_s;
        let next_commit =
            self.pruned_commits + self.commits.iter().take_while(|commit| **commit <= position).count();
        let restored = ApplyProgress { next_commit, idle_at: now, position };
        match self.apply_progress.get_mut(member) {
            Some(progress) => *progress = restored,
            None => self.apply_progress.push(restored),
        }
    }
}

#[cfg(test)]
mod tests;
