//! Takes up evidence of who the primary is: servers' reports, the endpoint list, drains and removals.
//!
//! The primary tracker decides whether a claim is accepted; this module passes the consequences on to the
//! phase, the durations of failovers, the release of buffered writes and the schedule of inquiries.

use super::{ReplacedPrimary, ReplicaSet};
use crate::api::{FailoverKind, ServerId};
use crate::failover::{
    BufferRelease, ClaimVerdict, FailoverDurations, Phase, PhaseInput, PrimaryClaim, RoleReport,
};

impl ReplicaSet {
    /// A server responded; `is_primary` is what it reports of its role, if anything. `all_sets` learns the
    /// duration of a failover that ends with this report.
    pub fn role_reported(
        &mut self,
        is_primary: Option<bool>,
        report: RoleReport,
        now: f64,
        all_sets: &mut FailoverDurations,
    ) {
        match is_primary {
            Some(true) => {
                self.primary_claimed(report, now, all_sets);
            }
            Some(false) => self.primary_denied(report.server, report.observed_at),
            None => {}
        }
    }

    /// A server reports that it is the primary; see `PrimaryTracker::record_claim`.
    pub fn primary_claimed(
        &mut self,
        report: RoleReport,
        now: f64,
        all_sets: &mut FailoverDurations,
    ) -> ClaimVerdict {
        let old = self.tracker.claim().copied();
        let verdict = self.tracker.record_claim(report);
        match verdict {
            ClaimVerdict::Known => self.primary_responded(now),
            ClaimVerdict::Accepted => self.primary_changed(old, now, all_sets),
            ClaimVerdict::Stale => {}
        }
        verdict
    }

    /// The endpoint list names a server as the primary; see `PrimaryTracker::record_listed`.
    pub fn primary_listed(
        &mut self,
        server: ServerId,
        now: f64,
        all_sets: &mut FailoverDurations,
    ) -> ClaimVerdict {
        let old = self.tracker.claim().copied();
        let is_first = old.is_none() && self.tracker.epoch() == 0;
        let verdict = self.tracker.record_listed(server, now);
        match verdict {
            ClaimVerdict::Accepted if is_first => {}
            ClaimVerdict::Accepted => self.primary_changed(old, now, all_sets),
            ClaimVerdict::Stale if self.writable_primary().is_none() => self.inquiry.ask_next(server),
            _ => {}
        }
        verdict
    }

    /// A server reports at `at` that it is no primary.
    pub fn primary_denied(&mut self, server: ServerId, at: f64) {
        if self.tracker.record_denial(server, at) {
            self.apply(PhaseInput::RoleDenied(at));
        }
    }

    /// A server drains, by the endpoint list or by the operators.
    pub fn server_draining(&mut self, server: ServerId, now: f64) {
        self.withdraw(server, PhaseInput::DrainStarted(now));
    }

    /// A server was removed from the endpoint list.
    pub fn server_removed(&mut self, server: ServerId, now: f64) {
        self.withdraw(server, PhaseInput::Lost(now));
    }

    fn withdraw(&mut self, server: ServerId, input: PhaseInput) {
        if self.tracker.withdraw(server) {
            self.withdrawn_primary = Some(server);
            self.apply(input);
        }
    }

    /// Drops the evidence of servers that are no longer members. A primary that is no member is removed.
    pub fn retain_members(&mut self, now: f64, is_member: impl Fn(ServerId) -> bool) {
        if let Some(former_member) = self.primary().filter(|primary| !is_member(*primary)) {
            self.server_removed(former_member, now);
        }
        self.tracker.retain_members(is_member);
    }

    /// The known primary responded, perhaps after a silence.
    pub(super) fn primary_responded(&mut self, now: f64) {
        match self.phase {
            Phase::Suspected { .. } => self.release = BufferRelease::to_known(now),
            Phase::NoPrimary { .. } if self.tracker.has_live_primary() => {
                self.release = BufferRelease::new(now);
            }
            _ => return,
        }
        self.apply(PhaseInput::Responded);
    }

    /// Another server became primary.
    fn primary_changed(&mut self, old: Option<PrimaryClaim>, now: f64, all_sets: &mut FailoverDurations) {
        let kind = self.phase.failover_kind();
        if let Some((kind, began_at)) = kind.zip(self.phase.failover_began_at()) {
            all_sets.record(kind, now - began_at);
            self.durations.record(kind, now - began_at);
        }
        if let Some(old) = old {
            let was_lost = old.lost_at.is_some();
            self.replaced_primary = Some(ReplacedPrimary { server: old.server, was_lost });
        }
        self.release = if kind == Some(FailoverKind::Unplanned) {
            BufferRelease::new(now)
        } else {
            // The former primary stepped down by itself, so its successor is not in doubt.
            BufferRelease::after_handover(now)
        };
        // The first primary that is ever known takes over from no other.
        if self.tracker.epoch() > 1 || self.phase != Phase::Steady {
            self.apply(PhaseInput::ClaimAccepted(now));
        }
        self.inquiry.restart_round();
        self.withdrawn_primary = None;
    }
}
