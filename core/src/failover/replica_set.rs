//! The failover state of one replica set.
//!
//! Composes the primary tracker, the phase, the release of buffered writes and the inquiry schedule: it turns
//! evidence into inputs of the state machine, and answers where writes may go, which member to ask, and when
//! to expect recovery. It chooses no server for a read.
//!
//! Invariant: no write goes by [`ReplicaSet::writable_primary`] to a primary that is suspected, draining or
//! deposed. Times are seconds on the engine's clock.

mod observation;
mod role_evidence;
mod snapshot;

pub use observation::PrimaryObservation;

use super::primary_inquiry::{FailoverProgress, InquiryCandidate, PrimaryInquiry};
use super::{
    BufferRelease, FailoverDurations, Phase, PhaseInput, PrimaryTracker, RecoveryForecast, ResponseTimes,
};
use crate::api::{FailoverKind, Outcome, ServerId};

/// Failovers of a kind from which on a set's forecast rests on its own durations alone.
const MIN_SET_SAMPLES: usize = 4;

/// A primary that was replaced.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ReplacedPrimary {
    server: ServerId,
    /// Whether it was silent or down, so that its attempts in flight will not be answered.
    was_lost: bool,
}

/// The failover state of one replica set.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSet {
    /// Durations of this set's failovers.
    durations: FailoverDurations,
    tracker: PrimaryTracker,
    phase: Phase,
    release: BufferRelease,
    inquiry: PrimaryInquiry,
    /// How long the primary takes to respond.
    response_times: ResponseTimes,
    /// The primary before the current one, until the current one has served a write.
    replaced_primary: Option<ReplacedPrimary>,
    /// The last primary, if it drains or was removed and has no successor yet.
    withdrawn_primary: Option<ServerId>,
    /// When the newest attempt was sent that the primary has served.
    newest_served_sent_at: f64,
    /// The name of the phase at the last observation.
    observed_phase_name: &'static str,
}

impl Default for ReplicaSet {
    fn default() -> Self {
        Self {
            durations: FailoverDurations::empty(),
            tracker: PrimaryTracker::default(),
            phase: Phase::default(),
            release: BufferRelease::default(),
            inquiry: PrimaryInquiry::default(),
            response_times: ResponseTimes::default(),
            replaced_primary: None,
            withdrawn_primary: None,
            newest_served_sent_at: 0.0,
            observed_phase_name: Phase::default().name(),
        }
    }
}

/// The current state.
impl ReplicaSet {
    /// The primary, if one is known. It may be suspected or lost.
    pub fn primary(&self) -> Option<ServerId> {
        self.tracker.primary()
    }

    /// The phase of the set.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The server that writes may be sent to now.
    pub fn writable_primary(&self) -> Option<ServerId> {
        let claim = self.tracker.claim()?;
        (claim.lost_at.is_none() && self.phase.takes_writes()).then_some(claim.server)
    }

    /// How long the primary takes to respond.
    pub fn response_times(&self) -> ResponseTimes {
        self.response_times
    }

    /// Whether a server was primary and may be unaware that it no longer is. What it reports of its role and
    /// its position is stale.
    pub fn is_deposed(&self, server: ServerId) -> bool {
        self.tracker.is_deposed(server)
    }

    /// Whether a failover is in progress or its buffered writes are being released. Queued writes are sent by
    /// deadline then, oldest first.
    pub fn is_releasing(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// Whether the release in progress lets one more write go to the primary.
    pub fn admits_write(&self) -> bool {
        !matches!(self.phase, Phase::TakingOver { .. } | Phase::Releasing) || self.release.admits()
    }

    /// Whether the next slot at the primary is for a read, while buffered writes are being released.
    pub fn is_read_turn(&self) -> bool {
        matches!(self.phase, Phase::Releasing) && self.release.is_reads_turn()
    }

    /// When the set takes writes again. None if it takes writes now, or if the primary is only suspected.
    /// `all_sets` holds the durations of all replica sets together.
    pub fn recovery_forecast<'sample>(
        &'sample self,
        now: f64,
        all_sets: &'sample FailoverDurations,
    ) -> Option<RecoveryForecast<'sample>> {
        if self.writable_primary().is_some() || matches!(self.phase, Phase::Suspected { .. }) {
            return None;
        }
        // A set whose primary was never known is treated as if it had just been lost.
        let kind = self.phase.failover_kind().unwrap_or(FailoverKind::Unplanned);
        let elapsed_secs = self.phase.failover_began_at().map_or(0.0, |began_at| now - began_at);
        Some(self.durations_of(kind, all_sets).forecast(kind, elapsed_secs))
    }

    /// The durations of this set's failovers if there are enough of a kind, else those of all sets together.
    fn durations_of<'sample>(
        &'sample self,
        kind: FailoverKind,
        all_sets: &'sample FailoverDurations,
    ) -> &'sample FailoverDurations {
        if self.durations.sample(kind).len() >= MIN_SET_SAMPLES {
            &self.durations
        } else {
            all_sets
        }
    }
}

impl ReplicaSet {
    /// Passes an input to the state machine. When it stops writes, the schedule of inquiries begins anew.
    fn apply(&mut self, input: PhaseInput) {
        let took_writes = self.phase.takes_writes();
        self.phase = self.phase.after(input);
        if took_writes && !self.phase.takes_writes() {
            self.inquiry.restart(self.phase.failover_began_at().unwrap_or(0.0));
        }
    }
}

/// Attempts and their outcomes.
impl ReplicaSet {
    /// A read was sent to a server.
    pub fn read_sent(&mut self, server: ServerId, now: f64) {
        if self.primary() == Some(server) {
            self.inquiry.read_sent(now);
            self.release.read_sent();
        }
    }

    /// A write was sent to a server.
    pub fn write_sent(&mut self, server: ServerId, now: f64) {
        if self.primary() == Some(server) {
            self.inquiry.write_sent(now);
            self.release.write_sent();
        }
    }

    /// A server responded to an attempt that was sent at `sent_at`, after `response_secs`.
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

    /// Whether an attempt in flight at the primary that was sent at `sent_at` counts as unanswered. It does
    /// not if the primary has served a later one: then the request is slow, and the primary does not hang.
    pub fn is_response_owed(&self, sent_at: f64) -> bool {
        sent_at > self.newest_served_sent_at
    }

    /// A server served a write that was sent at `sent_at`. If this is the first one after a failover and the
    /// replaced primary was lost, returns the latter: its attempts in flight will not be answered.
    pub fn write_served(&mut self, server: ServerId, sent_at: f64) -> Option<ServerId> {
        self.release.write_served(sent_at);
        if self.primary() != Some(server) {
            return None;
        }
        self.apply(PhaseInput::WriteServed);
        let replaced = self.replaced_primary.take()?;
        replaced.was_lost.then_some(replaced.server)
    }

    /// A write that was sent at `sent_at` ended without being served.
    pub fn write_failed(&mut self, sent_at: f64) {
        self.release.write_failed(sent_at);
    }
}

/// Inquiries after the primary.
impl ReplicaSet {
    /// The silent primary, if a read may be sent to it now to see whether it responds.
    pub fn canary_target(&self, now: f64) -> Option<ServerId> {
        let is_silent = matches!(self.phase, Phase::Suspected { .. } | Phase::NoPrimary { .. });
        self.primary().filter(|_| is_silent && self.inquiry.is_canary_due(now))
    }

    /// Whether a write may be sent to a member now to find out who the primary is.
    pub fn may_ask_for_primary(&self, now: f64) -> bool {
        !self.tracker.has_live_primary() && self.inquiry.is_inquiry_due(now)
    }

    /// The member that a write is sent to next to find out who the primary is, out of `candidates` in the
    /// order of their ids. None if the write has to wait.
    pub fn next_to_ask(
        &mut self,
        candidates: &[InquiryCandidate],
        now: f64,
        all_sets: &FailoverDurations,
    ) -> Option<ServerId> {
        if !self.may_ask_for_primary(now) {
            return None;
        }
        let is_candidate = |server| candidates.iter().any(|candidate| candidate.server == server);
        if let Some(primary) = self.primary().filter(|primary| is_candidate(*primary)) {
            if self.inquiry.try_test_write(now) {
                return Some(primary);
            }
        }
        let shortest_of = |kind| self.durations_of(kind, all_sets).shortest(kind);
        let progress = FailoverProgress {
            began_at: self.phase.failover_began_at(),
            shortest_secs: self.phase.failover_kind().map_or(f64::INFINITY, shortest_of),
        };
        self.inquiry.next_member(candidates, &self.tracker, progress, now)
    }
}

#[cfg(test)]
mod tests;
