//! Processes evidence of which server is the primary: servers' reports, the endpoint list, drains and
//! removals.
//!
//! The primary tracker decides whether a claim is accepted. This module updates the failover phase, the
//! failover durations, the release of buffered writes and the search for the primary accordingly.

use super::{ReplacedPrimary, ReplicaSet};
use crate::api::{FailoverKind, ServerId};
use crate::failover::{
    BufferRelease, ClaimVerdict, FailoverDurations, Phase, PhaseInput, PrimaryClaim, RoleReport,
};

impl ReplicaSet {
    /// Records the role that a server reports in a response; `is_primary` is `None` if the response reports
    /// no role. Adds the duration of a failover that ends with this report to `cluster_durations`.
    pub fn role_reported(
        &mut self,
        is_primary: Option<bool>,
        report: RoleReport,
        now: f64,
        cluster_durations: &mut FailoverDurations,
    ) {
        match is_primary {
            Some(true) => {
                self.primary_claimed(report, now, cluster_durations);
            }
            Some(false) => self.not_primary_reported(report.server, report.observed_at),
            None => {}
        }
    }

    /// Records that a server claims to be the primary; see `PrimaryTracker::record_claim`.
    pub fn primary_claimed(
        &mut self,
        report: RoleReport,
        now: f64,
        cluster_durations: &mut FailoverDurations,
    ) -> ClaimVerdict {
        let old = self.tracker.claim().copied();
        let verdict = self.tracker.record_claim(report);
        match verdict {
            ClaimVerdict::Confirmed => self.primary_responded(now),
            ClaimVerdict::Accepted => self.primary_changed(old, now, cluster_durations),
            ClaimVerdict::Stale => {}
        }
        verdict
    }

    /// Records that the endpoint list names a server as the primary; see `PrimaryTracker::record_listed`.
    pub fn primary_listed(
        &mut self,
        server: ServerId,
        now: f64,
        cluster_durations: &mut FailoverDurations,
    ) -> ClaimVerdict {
        let old = self.tracker.claim().copied();
        let is_first = old.is_none() && self.tracker.epoch() == 0;
        let verdict = self.tracker.record_listed(server, now);
        match verdict {
            ClaimVerdict::Accepted if is_first => {}
            ClaimVerdict::Accepted => self.primary_changed(old, now, cluster_durations),
            ClaimVerdict::Stale if self.writable_primary().is_none() => self.search.start_round_at(server),
            _ => {}
        }
        verdict
    }

    /// Records that a server reported at `at` that it is not the primary.
    pub fn not_primary_reported(&mut self, server: ServerId, at: f64) {
        if self.tracker.record_not_primary(server, at) {
            self.apply(PhaseInput::SteppedDown(at));
        }
    }

    /// Records that a server drains, as reported by the endpoint list, an operator or the peer process.
    pub fn server_draining(&mut self, server: ServerId, now: f64) {
        self.withdraw(server, PhaseInput::DrainStarted(now));
    }

    /// Records that a server was removed.
    pub fn server_removed(&mut self, server: ServerId, now: f64) {
        self.withdraw(server, PhaseInput::Lost(now));
    }

    fn withdraw(&mut self, server: ServerId, input: PhaseInput) {
        if self.tracker.withdraw(server) {
            self.withdrawn_primary = Some(server);
            self.apply(input);
        }
    }

    /// Records which servers are members. Treats a primary that is not a member as removed.
    pub fn retain_members(&mut self, now: f64, is_member: impl Fn(ServerId) -> bool) {
        if let Some(former_member) = self.primary().filter(|primary| !is_member(*primary)) {
            self.server_removed(former_member, now);
        }
        self.tracker.retain_members(now, is_member);
    }

    /// Records that the current primary responded, possibly after a silence.
    pub(super) fn primary_responded(&mut self, now: f64) {
        match self.phase {
            Phase::Suspected { .. } => self.release = BufferRelease::completed(now),
            Phase::NoPrimary { .. } if self.tracker.has_live_primary() => {
                self.release = BufferRelease::new(now);
            }
            _ => return,
        }
        self.apply(PhaseInput::Responded);
    }

    /// Updates the state after the claim of another server was accepted. `old` is the previous claim.
    fn primary_changed(
        &mut self,
        old: Option<PrimaryClaim>,
        now: f64,
        cluster_durations: &mut FailoverDurations,
    ) {
        let kind = self.phase.failover_kind();
        if let Some((kind, began_at)) = kind.zip(self.phase.failover_began_at()) {
            cluster_durations.record(kind, now - began_at);
            self.durations.record(kind, now - began_at);
        }
        if let Some(old) = old {
            let was_lost = old.lost_at.is_some();
            self.replaced_primary = Some(ReplacedPrimary { server: old.server, was_lost });
        }
        self.release = if kind == Some(FailoverKind::Unplanned) {
            BufferRelease::new(now)
        } else {
            // The previous primary stepped down in a planned handover, so its successor needs no test.
            BufferRelease::after_handover(now)
        };
        // The first primary that becomes known at startup is not the result of a failover.
        if self.tracker.epoch() > 1 || self.phase != Phase::Steady {
            self.apply(PhaseInput::ClaimAccepted(now));
        }
        self.search.restart_round();
        self.withdrawn_primary = None;
    }
}
