//! Failover state of one replica set.
//!
//! Combines the primary tracker, the failover phase, the release of buffered writes and the search for the
//! primary. Converts evidence into inputs of the state machine. Tells the caller where writes may be sent,
//! which member may be the primary and when recovery is expected. Server selection for reads is not part of
//! this module.
//!
//! Invariant: [`ReplicaSet::writable_primary`] never returns a primary that is suspected, draining or
//! deposed. Times are seconds on the engine's clock.

mod observation;
mod role_evidence;
mod snapshot;

pub use observation::PrimaryObservation;

use super::primary_search::{FailoverProgress, PrimaryCandidate, PrimarySearch};
use super::{
    BufferRelease, FailoverDurations, Phase, PhaseInput, PrimaryTracker, RecoveryForecast, ResponseTimes,
};
use crate::api::{FailoverKind, Outcome, ServerId};

/// Number of a replica set's own failovers of one kind after which its forecast uses only its own durations.
const MIN_SET_SAMPLES: usize = 4;

/// The primary before the current one.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ReplacedPrimary {
    server: ServerId,
    /// Whether the server was silent or down, so that its attempts in flight will not be answered.
    was_lost: bool,
}

/// Failover state of one replica set.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSet {
    /// Durations of this replica set's failovers.
    durations: FailoverDurations,
    tracker: PrimaryTracker,
    phase: Phase,
    release: BufferRelease,
    search: PrimarySearch,
    /// Response times of the primary.
    response_times: ResponseTimes,
    /// The previous primary, until the current primary has served a write.
    replaced_primary: Option<ReplacedPrimary>,
    /// The last primary, if it drains or was removed and no successor is known.
    withdrawn_primary: Option<ServerId>,
    /// Send time of the newest attempt that the primary has served.
    newest_served_sent_at: f64,
    /// Name of the phase at the last call of [`Self::observe_primary`].
    observed_phase_name: &'static str,
}

impl Default for ReplicaSet {
    fn default() -> Self {
        Self {
            durations: FailoverDurations::empty(),
            tracker: PrimaryTracker::default(),
            phase: Phase::default(),
            release: BufferRelease::default(),
            search: PrimarySearch::default(),
            response_times: ResponseTimes::default(),
            replaced_primary: None,
            withdrawn_primary: None,
            newest_served_sent_at: 0.0,
            observed_phase_name: Phase::default().name(),
        }
    }
}

/// Accessors for the current state.
impl ReplicaSet {
    /// Returns the primary, which may be suspected or lost, or `None` if no primary is known.
    pub fn primary(&self) -> Option<ServerId> {
        self.tracker.primary()
    }

    /// Returns whether a primary is known that is not lost.
    pub fn has_live_primary(&self) -> bool {
        self.tracker.has_live_primary()
    }

    /// Returns the failover phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the server to which writes may be sent now; `None` if the replica set accepts no writes now.
    pub fn writable_primary(&self) -> Option<ServerId> {
        let claim = self.tracker.claim()?;
        (claim.lost_at.is_none() && self.phase.takes_writes()).then_some(claim.server)
    }

    /// Returns the response times of the primary.
    pub fn response_times(&self) -> ResponseTimes {
        self.response_times
    }

    /// Returns whether a server was the primary and may not know of its deposition. The role and the
    /// replication position that such a server reports are stale.
    pub fn is_deposed(&self, server: ServerId) -> bool {
        self.tracker.is_deposed(server)
    }

    /// Returns whether a failover is in progress or buffered writes are being released. Queued writes are
    /// then sent in order of their deadlines, earliest first.
    pub fn is_in_failover(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// Returns whether the release in progress allows one more write to the primary.
    pub fn admits_write(&self) -> bool {
        !matches!(self.phase, Phase::TakingOver { .. } | Phase::Releasing) || self.release.admits()
    }

    /// Returns whether the next request to the primary should be a read while buffered writes are being
    /// released.
    pub fn is_read_turn(&self) -> bool {
        matches!(self.phase, Phase::Releasing) && self.release.is_read_turn()
    }

    /// Returns the forecast of when the replica set accepts writes again; `None` if it accepts writes now or
    /// if its primary is only suspected. `cluster_durations` holds the failover durations of all replica sets
    /// of the cluster.
    pub fn recovery_forecast<'sample>(
        &'sample self,
        now: f64,
        cluster_durations: &'sample FailoverDurations,
    ) -> Option<RecoveryForecast<'sample>> {
        if self.writable_primary().is_some() || matches!(self.phase, Phase::Suspected { .. }) {
            return None;
        }
        // If no primary was ever known, the forecast is that of an unplanned failover that has just begun.
        let kind = self.phase.failover_kind().unwrap_or(FailoverKind::Unplanned);
        let elapsed_secs = self.phase.failover_began_at().map_or(0.0, |began_at| now - began_at);
        Some(self.durations_for(kind, cluster_durations).forecast(kind, elapsed_secs))
    }

    /// Returns the durations of this replica set's failovers if there are enough of `kind`, and those of all
    /// replica sets otherwise.
    fn durations_for<'sample>(
        &'sample self,
        kind: FailoverKind,
        cluster_durations: &'sample FailoverDurations,
    ) -> &'sample FailoverDurations {
        if self.durations.sample(kind).len() >= MIN_SET_SAMPLES {
            &self.durations
        } else {
            cluster_durations
        }
    }
}

impl ReplicaSet {
    /// Passes an input to the state machine. Restarts the search for the primary if the new phase no longer
    /// accepts writes.
    fn apply(&mut self, input: PhaseInput) {
        let took_writes = self.phase.takes_writes();
        self.phase = self.phase.transition(input);
        if took_writes && !self.phase.takes_writes() {
            self.search.restart(self.phase.failover_began_at().unwrap_or(0.0));
        }
    }
}

/// Attempts and their outcomes.
impl ReplicaSet {
    /// Records that a read was sent to a server.
    pub fn read_sent(&mut self, server: ServerId, now: f64) {
        if self.primary() == Some(server) {
            self.search.read_sent(now);
            self.release.read_sent();
        }
    }

    /// Records that a write was sent to a server.
    pub fn write_sent(&mut self, server: ServerId, now: f64) {
        if self.primary() == Some(server) {
            self.search.write_sent(now);
            self.release.write_sent();
        }
    }

    /// Records that a server responded after `response_secs` to an attempt that was sent at `sent_at`.
    pub fn response_received(
        &mut self,
        server: ServerId,
        outcome: Outcome,
        sent_at: f64,
        response_secs: f64,
    ) {
        if outcome == Outcome::Success && self.primary() == Some(server) {
            self.response_times.record(response_secs);
            self.newest_served_sent_at = self.newest_served_sent_at.max(sent_at);
        }
    }

    /// Returns whether an attempt in flight at the primary that was sent at `sent_at` counts as unanswered.
    /// It does not if the primary has served an attempt that was sent later, because then the request is slow
    /// and the primary does not hang.
    pub fn counts_as_unanswered(&self, sent_at: f64) -> bool {
        sent_at > self.newest_served_sent_at
    }

    /// Records that a server served a write that was sent at `sent_at`. If this is the first write served
    /// after a failover and the previous primary was lost, returns the previous primary, whose attempts in
    /// flight will not be answered.
    pub fn write_served(&mut self, server: ServerId, sent_at: f64) -> Option<ServerId> {
        self.release.write_served(sent_at);
        if self.primary() != Some(server) {
            return None;
        }
        self.apply(PhaseInput::WriteServed);
        let replaced = self.replaced_primary.take()?;
        replaced.was_lost.then_some(replaced.server)
    }

    /// Records that a write that was sent at `sent_at` ended without being served.
    pub fn write_failed(&mut self, sent_at: f64) {
        self.release.write_failed(sent_at);
    }
}

/// Search for the primary.
impl ReplicaSet {
    /// Returns the silent primary if a read may be sent to it now to test whether it responds.
    pub fn test_read_target(&self, now: f64) -> Option<ServerId> {
        let is_silent = matches!(self.phase, Phase::Suspected { .. } | Phase::NoPrimary { .. });
        self.primary().filter(|_| is_silent && self.search.is_test_read_due(now))
    }

    /// Returns whether a search attempt may be sent to a member now: a write that shows whether the member is
    /// the primary.
    pub fn may_search_for_primary(&self, now: f64) -> bool {
        !self.tracker.has_live_primary() && self.search.is_attempt_due(now)
    }

    /// Returns the member that receives the next search attempt, or the lost primary if a test write to it is
    /// due; `None` if the write has to wait. `candidates` is sorted by server id.
    pub fn next_search_target(
        &mut self,
        candidates: &[PrimaryCandidate],
        now: f64,
        cluster_durations: &FailoverDurations,
    ) -> Option<ServerId> {
        if !self.may_search_for_primary(now) {
            return None;
        }
        let is_candidate = |server| candidates.iter().any(|candidate| candidate.server == server);
        if let Some(primary) = self.primary().filter(|primary| is_candidate(*primary)) {
            if self.search.try_test_write(now) {
                return Some(primary);
            }
        }
        let shortest_of = |kind| self.durations_for(kind, cluster_durations).shortest(kind);
        let progress = FailoverProgress {
            began_at: self.phase.failover_began_at(),
            shortest_duration_secs: self.phase.failover_kind().map_or(f64::INFINITY, shortest_of),
        };
        self.search.next_member(candidates, &self.tracker, progress, now)
    }
}

#[cfg(test)]
mod tests;
