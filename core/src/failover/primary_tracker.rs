//! Who is the primary: claims of servers, ordered by epochs.
//!
//! Each claim that is accepted begins an epoch. A server that was primary in an earlier one counts as
//! deposed: its word that it is the primary is stale until it has said that it is a replica, which shows that
//! it has heard of its deposition, or until the primary of the present epoch is lost. Of two that claim at
//! once the later one is put to the test by a single write; it keeps the epoch once it has served that, and
//! loses it to the other if it falls silent instead. Guards against the late list, answers in flight, and an
//! old primary that returns and does not know. It must never go by a claim that was already on its way when
//! another one was accepted.

use std::collections::BTreeMap;

use crate::api::ServerId;

/// Time in s after which a deposed primary that is up has heard of it: then it may be asked as any other, for
/// it may have been chosen again.
const KNOWS_AFTER: f64 = 2.0;

/// Time in s by which two answers of one server may overtake each other on their way. An answer tells a role
/// as it was when it was written, so a later one counts, also to an older question.
const IN_FLIGHT: f64 = 0.02;

/// What a server last said of itself beside being the primary, or what was found out of it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RoleEvidence {
    /// It said that it is no primary, at this time.
    Denied(f64),
    /// Another one's claim was accepted at this time, and it has not been heard to know of it.
    Deposed(f64),
}

/// The primary of the present epoch.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrimaryClaim {
    /// The server.
    pub server: ServerId,
    /// When its claim was accepted.
    pub since: f64,
    /// It has served a write in this epoch.
    pub proven: bool,
    /// Nothing has been heard of it for long, or its ways broke: since when.
    pub lost: Option<f64>,
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// It is the primary's own, again.
    Known,
    /// A new epoch has begun.
    Accepted,
    /// It is stale, and nothing that came with it is to be believed.
    Stale,
}

/// The claims of one set. What is sent at the time at which something was heard was sent after that.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrimaryTracker {
    epoch: u64,
    claim: Option<PrimaryClaim>,
    words: BTreeMap<ServerId, RoleEvidence>,
    /// When the newest evidence for or against a primary was true.
    evidence: f64,
}

impl PrimaryTracker {
    /// The primary, if one is known.
    pub fn primary(&self) -> Option<ServerId> {
        self.claim.map(|claim| claim.server)
    }

    /// Its claim.
    pub fn claim(&self) -> Option<&PrimaryClaim> {
        self.claim.as_ref()
    }

    /// How many claims have been accepted.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether a server was primary and has not been heard to know that it is no longer.
    pub fn is_deposed(&self, server: ServerId) -> bool {
        matches!(self.words.get(&server), Some(RoleEvidence::Deposed(_)))
    }

    /// Whether a write may ask a server who the primary is. One that was deposed a moment ago may not know,
    /// and would take it.
    pub fn may_be_asked(&self, server: ServerId, now: f64) -> bool {
        !matches!(self.words.get(&server), Some(RoleEvidence::Deposed(when)) if now - when < KNOWS_AFTER)
    }

    /// A server says that it is the primary. `at` is when that was heard or, for a report, when it was true;
    /// `sent` when the attempt went out whose answer says so, where that is known.
    pub fn claims(&mut self, server: ServerId, at: f64, sent: Option<f64>) -> ClaimVerdict {
        if self.primary() == Some(server) {
            if let Some(claim) = &mut self.claim {
                // What was on its way when it was lost shows nothing; what was asked since does.
                let fresh = claim.lost.is_none_or(|lost| sent.is_some_and(|sent| sent >= lost) || at > lost);
                claim.lost = claim.lost.filter(|_| !fresh);
            }
            self.evidence = self.evidence.max(at);
            return ClaimVerdict::Known;
        }
        if at < self.evidence {
            return ClaimVerdict::Stale;
        }
        match self.words.get(&server) {
            // It has said the opposite, and this may be older.
            Some(RoleEvidence::Denied(when))
                if sent.is_some_and(|sent| sent < *when) && at - when < IN_FLIGHT =>
            {
                return ClaimVerdict::Stale;
            }
            Some(RoleEvidence::Deposed(when)) => {
                let fresh = sent.is_some_and(|sent| sent >= *when);
                let holds = self.claim.is_some_and(|claim| claim.lost.is_none());
                if !fresh || holds {
                    return ClaimVerdict::Stale;
                }
            }
            _ => {}
        }
        self.accept(server, at);
        ClaimVerdict::Accepted
    }

    fn accept(&mut self, server: ServerId, at: f64) {
        if let Some(old) = self.claim {
            self.words.insert(old.server, RoleEvidence::Deposed(at));
        }
        self.words.remove(&server);
        self.epoch += 1;
        self.claim = Some(PrimaryClaim { server, since: at, proven: false, lost: None });
        self.evidence = self.evidence.max(at);
    }

    /// The list names a server. It is late, so it counts only where no primary is known, or the one that was
    /// is lost, and never against a server's own word.
    pub fn listed(&mut self, server: ServerId, now: f64) -> ClaimVerdict {
        if self.primary() == Some(server) {
            return ClaimVerdict::Known;
        }
        if self.words.contains_key(&server) || self.claim.is_some_and(|claim| claim.lost.is_none()) {
            return ClaimVerdict::Stale;
        }
        let evidence = self.evidence;
        self.accept(server, now);
        self.evidence = evidence; // a server's word, also an older one, counts for more
        ClaimVerdict::Accepted
    }

    /// A server says that it is no primary. True if it was taken for the primary until now.
    pub fn denies(&mut self, server: ServerId, at: f64) -> bool {
        let was = self.primary() == Some(server);
        if was && at < self.evidence {
            return false;
        }
        let later = |word: &RoleEvidence| match word {
            RoleEvidence::Denied(when) | RoleEvidence::Deposed(when) => at > *when,
        };
        if self.words.get(&server).is_none_or(later) {
            self.words.insert(server, RoleEvidence::Denied(at));
        }
        if was {
            (self.claim, self.evidence) = (None, at);
        }
        was
    }

    /// It served a write.
    pub fn served(&mut self, server: ServerId) {
        if let Some(claim) = self.claim.as_mut().filter(|claim| claim.server == server) {
            claim.proven = true;
        }
    }

    /// The primary is silent, or the way to it broke; its claim stands against stale word, but not against
    /// others.
    pub fn lose(&mut self, now: f64) {
        if let Some(claim) = &mut self.claim {
            claim.lost.get_or_insert(now);
        }
    }

    /// The primary was heard at this time; true if it was lost until then.
    pub fn find(&mut self, heard: f64) -> bool {
        let lost = self.claim.as_mut().and_then(|claim| claim.lost.take_if(|lost| heard > *lost));
        lost.is_some()
    }

    /// A server drains, is out by hand or gone: it is the primary no longer. True if it was until now.
    pub fn withdraw(&mut self, server: ServerId) -> bool {
        let was = self.primary() == Some(server);
        if was {
            self.claim = None;
        }
        was
    }

    /// Drops the words of servers that are no members any more.
    pub fn retain(&mut self, is_member: impl Fn(ServerId) -> bool) {
        self.words.retain(|server, _| is_member(*server));
    }

    /// Takes over what another process knew: that a server was deposed, at a time.
    pub fn recall_deposed(&mut self, server: ServerId, at: f64) {
        if self.primary() != Some(server) {
            self.words.entry(server).or_insert(RoleEvidence::Deposed(at));
        }
    }

    /// Takes over its epoch.
    pub fn recall_epoch(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }
}

#[cfg(test)]
mod tests;
