//! Tracks which server is the primary of one replica set, by epochs.
//!
//! Each accepted claim begins an epoch. The primary of the epoch before counts as deposed: its claims are
//! stale until it reports that it is a replica, which shows that it knows of its deposition, or until the
//! primary of the current epoch is lost. Of two servers that claim the role, the later one becomes primary
//! and is tested by a single write. If it falls silent instead of serving that write, it loses the epoch to
//! the other server's next claim. The rules cover the endpoint list, which is late, responses that were
//! already in flight, and a former primary that returns unaware of its deposition.
//!
//! Owns the current claim, and the last role evidence of every other server. Invariant: a deposed server's
//! claim is not accepted if it was in flight at the deposition. Times are seconds on the engine's clock; an
//! attempt that was sent at the time of an observation counts as sent after it.

use std::collections::BTreeMap;

use crate::api::ServerId;

/// After this time a deposed primary that is up has learned of its deposition. It may be asked again then,
/// because it may have been elected again.
const DEPOSITION_NOTICE_SECS: f64 = 2.0;

/// Two responses of one server may overtake each other by up to this time. A response reports the role at the
/// time at which it was written, so beyond this time the later response counts, whenever its attempt was
/// sent.
const MAX_REORDERING_SECS: f64 = 0.02;

/// What is known of the role of a server that is not the primary.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoleEvidence {
    /// The server reported at this time that it is no primary.
    Denied(f64),
    /// Another server's claim was accepted at this time, and this server has not acknowledged it since.
    Deposed(f64),
}

/// A server's report on its role.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoleReport {
    /// The server.
    pub server: ServerId,
    /// When the response arrived or, for a load report, when it was true.
    pub observed_at: f64,
    /// When the attempt was sent that the response answers, where that is known.
    pub sent_at: Option<f64>,
}

/// The primary of the current epoch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrimaryClaim {
    /// The server.
    pub server: ServerId,
    /// When its claim was accepted.
    pub accepted_at: f64,
    /// Since when it counts as lost: it is silent or down.
    pub lost_at: Option<f64>,
}

/// The result of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The server was the primary already.
    Known,
    /// The server is the primary of a new epoch.
    Accepted,
    /// The claim is out of date, and so is everything that the server reported with it.
    Stale,
}

/// The current primary of a replica set and the role evidence of its other members.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrimaryTracker {
    epoch: u64,
    claim: Option<PrimaryClaim>,
    evidence: BTreeMap<ServerId, RoleEvidence>,
    /// When the newest evidence for or against a primary was observed.
    newest_evidence_at: f64,
}

impl PrimaryTracker {
    /// The primary, if one is known. It may be lost.
    pub fn primary(&self) -> Option<ServerId> {
        self.claim.map(|claim| claim.server)
    }

    /// The primary's claim.
    pub fn claim(&self) -> Option<&PrimaryClaim> {
        self.claim.as_ref()
    }

    /// The number of claims that were accepted.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a server was primary and has not acknowledged that it no longer is.
    pub fn is_deposed(&self, server: ServerId) -> bool {
        matches!(self.evidence.get(&server), Some(RoleEvidence::Deposed(_)))
    }

    /// Whether a write may be sent to a server to find out who the primary is. One that was deposed a moment
    /// ago may be unaware of it, and would execute the write.
    pub fn may_be_asked(&self, server: ServerId, now: f64) -> bool {
        !matches!(
            self.evidence.get(&server),
            Some(RoleEvidence::Deposed(at)) if now - at < DEPOSITION_NOTICE_SECS
        )
    }

    /// Whether a primary is known and not lost.
    pub fn has_live_primary(&self) -> bool {
        self.claim.is_some_and(|claim| claim.lost_at.is_none())
    }

    /// A server reports that it is the primary.
    pub fn record_claim(&mut self, report: RoleReport) -> ClaimVerdict {
        if self.primary() == Some(report.server) {
            self.confirm(report);
            return ClaimVerdict::Known;
        }
        if self.is_stale_claim(report) {
            return ClaimVerdict::Stale;
        }
        self.accept(report.server, report.observed_at);
        ClaimVerdict::Accepted
    }

    /// The known primary repeats its claim.
    fn confirm(&mut self, report: RoleReport) {
        if let Some(claim) = &mut self.claim {
            // A response that was in flight when the primary was lost is no sign that it works again.
            let is_fresh = claim.lost_at.is_none_or(|lost_at| {
                report.sent_at.is_some_and(|sent_at| sent_at >= lost_at) || report.observed_at > lost_at
            });
            claim.lost_at = claim.lost_at.filter(|_| !is_fresh);
        }
        self.newest_evidence_at = self.newest_evidence_at.max(report.observed_at);
    }

    /// Whether newer evidence contradicts the claim of a server that is not the primary.
    fn is_stale_claim(&self, report: RoleReport) -> bool {
        if report.observed_at < self.newest_evidence_at {
            return true;
        }
        match self.evidence.get(&report.server) {
            // The denial may have overtaken this claim.
            Some(RoleEvidence::Denied(at)) => {
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

    /// The endpoint list names a server as the primary. The list is late, so it counts only where no primary
    /// is known or the known one is lost, and never against a server's own report.
    pub fn record_listed(&mut self, server: ServerId, now: f64) -> ClaimVerdict {
        if self.primary() == Some(server) {
            return ClaimVerdict::Known;
        }
        if self.evidence.contains_key(&server) || self.has_live_primary() {
            return ClaimVerdict::Stale;
        }
        let newest_evidence_at = self.newest_evidence_at;
        self.accept(server, now);
        // The list is no evidence: even an older report of a server takes precedence over it.
        self.newest_evidence_at = newest_evidence_at;
        ClaimVerdict::Accepted
    }

    /// A server reports at `at` that it is no primary. Returns whether it counted as the primary until now.
    pub fn record_denial(&mut self, server: ServerId, at: f64) -> bool {
        let was_primary = self.primary() == Some(server);
        if was_primary && at < self.newest_evidence_at {
            return false;
        }
        let is_newer = self.evidence.get(&server).is_none_or(|evidence| match evidence {
            RoleEvidence::Denied(known_at) | RoleEvidence::Deposed(known_at) => at > *known_at,
        });
        if is_newer {
            self.evidence.insert(server, RoleEvidence::Denied(at));
        }
        if was_primary {
            self.claim = None;
            self.newest_evidence_at = at;
        }
        was_primary
    }

    /// The primary is silent or down. Stale claims are still rejected, but other servers' fresh claims count.
    pub fn mark_lost(&mut self, now: f64) {
        if let Some(claim) = &mut self.claim {
            claim.lost_at.get_or_insert(now);
        }
    }

    /// The primary responded at this time. Returns whether it counted as lost until then.
    pub fn record_response(&mut self, at: f64) -> bool {
        let lost_at = self.claim.as_mut().and_then(|claim| claim.lost_at.take_if(|lost_at| at > *lost_at));
        lost_at.is_some()
    }

    /// A server drains, is out of service or was removed. Returns whether it was the primary until now.
    pub fn withdraw(&mut self, server: ServerId) -> bool {
        let was_primary = self.primary() == Some(server);
        if was_primary {
            self.claim = None;
        }
        was_primary
    }

    /// Drops the evidence of servers that are no longer members.
    pub fn retain_members(&mut self, is_member: impl Fn(ServerId) -> bool) {
        self.evidence.retain(|server, _| is_member(*server));
    }

    /// Restores from another process's snapshot that a server was deposed, with `at` as the time.
    pub fn restore_deposed(&mut self, server: ServerId, at: f64) {
        if self.primary() != Some(server) {
            self.evidence.entry(server).or_insert(RoleEvidence::Deposed(at));
        }
    }

    /// Restores the epoch from another process's snapshot.
    pub fn restore_epoch(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }
}

#[cfg(test)]
mod tests;
