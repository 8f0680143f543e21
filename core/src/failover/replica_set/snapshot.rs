//! Creates and restores snapshots of a replica set's state for another process of the proxy instance.

use super::ReplicaSet;
use crate::api::{FailoverKind, ReplicaSetSnapshot, ServerId};
use crate::failover::Phase;

impl ReplicaSet {
    /// Returns the snapshot for one member. It contains durations instead of times, because the clocks of the
    /// processes differ.
    pub fn snapshot(&self, server: ServerId, now: f64) -> ReplicaSetSnapshot {
        let failover = self.phase.failover_kind().zip(self.phase.failover_began_at());
        ReplicaSetSnapshot {
            epoch: self.tracker.epoch(),
            deposed: self.tracker.is_deposed(server),
            failover: failover.map(|(kind, began_at)| (kind, (now - began_at).max(0.0))),
        }
    }

    /// Restores the snapshot for one member. A failover in progress is restored only if this process knows of
    /// no failover and of no primary.
    pub fn restore(&mut self, server: ServerId, snapshot: &ReplicaSetSnapshot, now: f64) {
        self.tracker.restore_epoch(snapshot.epoch);
        if snapshot.deposed {
            self.tracker.restore_deposed(server, now);
        }
        let Some((kind, elapsed_secs)) = snapshot.failover else { return };
        let knows_failover_or_primary = self.phase != Phase::Steady || self.writable_primary().is_some();
        if knows_failover_or_primary || !elapsed_secs.is_finite() {
            return;
        }
        let since = now - elapsed_secs.max(0.0);
        self.phase = match kind {
            FailoverKind::Planned => Phase::HandingOver { since },
            FailoverKind::Unplanned => Phase::NoPrimary { since },
        };
    }
}
