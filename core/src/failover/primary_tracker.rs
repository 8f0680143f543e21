//! Tracks which server is the primary of one replica set.
//!
//! Each accepted claim starts a new epoch and deposes the primary of the previous epoch. The claims of a
//! deposed server are stale until the server reports that it is a replica, which shows that the server knows
//! of its deposition, or until the primary of the current epoch is lost or withdrawn. If two servers claim to
//! be the primary, the server with the later claim becomes the primary and is tested with a single write. If
//! that server does not respond to the write, it is marked as lost, and the next fresh claim of the other
//! server is accepted. These rules also handle an outdated endpoint list, responses that were in flight
//! during the failover, and a former primary that returns without knowing of its deposition.
//!
//! The tracker owns the current claim and the last role evidence of every other server. Invariant: a claim of
//! a deposed server is not accepted if the claim was in flight at the deposition. Times are seconds on the
//! engine's clock. An attempt with the same timestamp as an observation counts as sent after the observation.

use std::collections::BTreeMap;

use super::former_members::FormerMembers;
use crate::api::ServerId;

/// Time after which a running server has learned of its deposition, in seconds. The server may then receive
/// search attempts again, because it may have been elected again.
const MAX_DEPOSITION_NOTICE_DELAY_SECS: f64 = 2.0;

/// Longest time by which two responses of one server may arrive out of order, in seconds. A response reports
/// the role that the server had when it wrote the response. Of two responses further apart than this, the
/// later one therefore counts, regardless of when their attempts were sent.
const MAX_REORDERING_SECS: f64 = 0.02;

/// Last evidence of the role of a server that is not the current primary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoleEvidence {
    /// The server reported at this time that it is not the primary.
    NotPrimary(f64),
    /// A claim of another server was accepted at this time, and this server has not reported since then that
    /// it is a replica.
    Deposed(f64),
}

/// A server's report of its own role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleReport {
    /// Server that sent the report.
    pub server: ServerId,
    /// Arrival time of the response or, for a load report, the time for which the report is valid.
    pub observed_at: f64,
    /// Time at which the attempt was sent that the response answers; `None` if unknown.
    pub sent_at: Option<f64>,
}

/// The claim of the current epoch's primary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrimaryClaim {
    /// Server that made the claim.
    pub server: ServerId,
    /// Time at which the claim was accepted.
    pub accepted_at: f64,
    /// Time at which the primary was marked as lost because it was silent or down; `None` if it is not lost.
    pub lost_at: Option<f64>,
}

/// Result of a server's claim to be the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The server already was the primary.
    Confirmed,
    /// The server became the primary, and a new epoch started.
    Accepted,
    /// Newer evidence contradicts the claim. The rest of the server's report is outdated as well.
    Stale,
}

/// Current primary of a replica set and the role evidence of the other members.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrimaryTracker {
    epoch: u64,
    claim: Option<PrimaryClaim>,
    evidence: BTreeMap<ServerId, RoleEvidence>,
    /// Servers whose evidence is kept although they are no members now: the endpoint list may name them
    /// again, with a role that is older than the evidence.
    former_members: FormerMembers,
    /// Time of the newest evidence for or against a primary.
    newest_evidence_at: f64,
}

impl PrimaryTracker {
    /// Returns the primary, which may be lost, or `None` if no primary is known.
    pub fn primary(&self) -> Option<ServerId> {
        self.claim.map(|claim| claim.server)
    }

    /// Returns the claim of the primary, or `None` if no primary is known.
    pub fn claim(&self) -> Option<&PrimaryClaim> {
        self.claim.as_ref()
    }

    /// Returns the current epoch. It rises by 1 with each accepted claim; 0 before the first.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns whether a server was the primary and has not acknowledged its deposition.
    pub fn is_deposed(&self, server: ServerId) -> bool {
        matches!(self.evidence.get(&server), Some(RoleEvidence::Deposed(_)))
    }

    /// Returns whether a write may be sent to a server to find out whether the server is the primary. A
    /// recently deposed server is excluded, because it may not know of its deposition and would execute the
    /// write.
    pub fn is_eligible_for_search(&self, server: ServerId, now: f64) -> bool {
        !matches!(
            self.evidence.get(&server),
            Some(RoleEvidence::Deposed(at)) if now - at < MAX_DEPOSITION_NOTICE_DELAY_SECS
        )
    }

    /// Returns whether a primary is known and not lost.
    pub fn has_live_primary(&self) -> bool {
        self.claim.is_some_and(|claim| claim.lost_at.is_none())
    }

    /// Records that a server claims to be the primary.
    pub fn record_claim(&mut self, report: RoleReport) -> ClaimVerdict {
        if self.primary() == Some(report.server) {
            self.confirm(report);
            return ClaimVerdict::Confirmed;
        }
        if self.is_stale_claim(report) {
            return ClaimVerdict::Stale;
        }
        self.accept(report.server, report.observed_at);
        ClaimVerdict::Accepted
    }

    /// Records that the current primary repeated its claim.
    fn confirm(&mut self, report: RoleReport) {
        if let Some(claim) = &mut self.claim {
            // A report from before the loss does not show that the primary works again. A response that
            // arrives after the loss does, also if its attempt was sent before: the loss means silence.
            let is_fresh = claim.lost_at.is_none_or(|lost_at| {
                report.sent_at.is_some_and(|sent_at| sent_at >= lost_at) || report.observed_at > lost_at
            });
            claim.lost_at = claim.lost_at.filter(|_| !is_fresh);
        }
        self.newest_evidence_at = self.newest_evidence_at.max(report.observed_at);
    }

    /// Returns whether newer evidence contradicts the claim of a server that is not the current primary.
    fn is_stale_claim(&self, report: RoleReport) -> bool {
        if report.observed_at < self.newest_evidence_at {
            return true;
        }
        match self.evidence.get(&report.server) {
            // The server may have written this claim before the report that it is not the primary.
            Some(RoleEvidence::NotPrimary(at)) => {
                report.sent_at.is_some_and(|sent_at| sent_at < *at)
                    && report.observed_at - at < MAX_REORDERING_SECS
            }
            Some(RoleEvidence::Deposed(at)) => {
                let is_fresh = report.sent_at.is_some_and(|sent_at| sent_at >= *at);
                !is_fresh || self.has_live_primary()
            }
            None => false,
        }
    }

    fn accept(&mut self, server: ServerId, at: f64) {
        if let Some(old) = self.claim {
            self.evidence.insert(old.server, RoleEvidence::Deposed(at));
        }
        self.evidence.remove(&server);
        self.epoch += 1;
        self.claim = Some(PrimaryClaim { server, accepted_at: at, lost_at: None });
        self.newest_evidence_at = self.newest_evidence_at.max(at);
    }

    /// Records that the endpoint list names a server as the primary. The endpoint list lags behind, so the
    /// entry is ignored if a primary is known that is not lost, or if the tracker has role evidence of the
    /// server.
    pub fn record_listed(&mut self, server: ServerId, now: f64) -> ClaimVerdict {
        if self.primary() == Some(server) {
            return ClaimVerdict::Confirmed;
        }
        if self.evidence.contains_key(&server) || self.has_live_primary() {
            return ClaimVerdict::Stale;
        }
        let newest_evidence_at = self.newest_evidence_at;
        self.accept(server, now);
        // The endpoint list is not evidence: even an older report of a server takes precedence over it.
        self.newest_evidence_at = newest_evidence_at;
        ClaimVerdict::Accepted
    }

    /// Records that a server reported at `at` that it is not the primary. Returns whether the server was the
    /// primary until now.
    pub fn record_not_primary(&mut self, server: ServerId, at: f64) -> bool {
        let was_primary = self.primary() == Some(server);
        if was_primary && at < self.newest_evidence_at {
            return false;
        }
        let is_newer = self.evidence.get(&server).is_none_or(|evidence| match evidence {
            RoleEvidence::NotPrimary(known_at) | RoleEvidence::Deposed(known_at) => at > *known_at,
        });
        if is_newer {
            self.evidence.insert(server, RoleEvidence::NotPrimary(at));
        }
        if was_primary {
            self.claim = None;
            self.newest_evidence_at = at;
        }
        was_primary
    }

    /// Marks the primary as lost because it is silent or down. Stale claims are still rejected, but fresh
    /// claims of other servers are accepted.
    pub fn mark_lost(&mut self, now: f64) {
        if let Some(claim) = &mut self.claim {
            claim.lost_at.get_or_insert(now);
        }
    }

    /// Records that the primary responded at `at`. Returns whether the primary was lost until then.
    pub fn record_response(&mut self, at: f64) -> bool {
        let lost_at = self.claim.as_mut().and_then(|claim| claim.lost_at.take_if(|lost_at| at > *lost_at));
        lost_at.is_some()
    }

    /// Clears the primary if it is `server`, which drains, is out of service or was removed. Returns whether
    /// `server` was the primary.
    pub fn withdraw(&mut self, server: ServerId) -> bool {
        let was_primary = self.primary() == Some(server);
        if was_primary {
            self.claim = None;
        }
        was_primary
    }

    /// Records which servers are members. The evidence of former members is kept for a limited time, and of a
    /// limited number of them.
    pub fn retain_members(&mut self, now: f64, is_member: impl Fn(ServerId) -> bool) {
        for server in self.evidence.keys().copied().filter(|server| !is_member(*server)) {
            self.former_members.record_leave(server, now);
        }
        self.former_members.record_returns(is_member);
        for forgotten in self.former_members.take_forgotten(now) {
            self.evidence.remove(&forgotten);
        }
    }

    /// Restores from another process's snapshot that a server was deposed. `at` becomes the time of the
    /// deposition.
    pub fn restore_deposed(&mut self, server: ServerId, at: f64) {
        if self.primary() != Some(server) {
            self.evidence.entry(server).or_insert(RoleEvidence::Deposed(at));
        }
    }

    /// Raises the epoch to the epoch in another process's snapshot.
    pub fn restore_epoch(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }
}

#[cfg(test)]
mod tests;
