//! Servers that left the endpoint list and whose role evidence is still kept.
//!
//! Times are seconds on the engine's clock.

use std::collections::BTreeMap;

use crate::api::ServerId;

/// Time for which a server that left the endpoint list is remembered, in seconds.
const MAX_ABSENCE_SECS: f64 = 3600.0;
/// Largest number of former members that one replica set remembers.
const MAX_FORMER_MEMBERS: usize = 64;

/// The former members of a replica set, with the times at which they left.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct FormerMembers(BTreeMap<ServerId, f64>);

impl FormerMembers {
    /// Records that a server is not a member at `now`. Keeps the time at which it left if that is known.
    pub fn record_leave(&mut self, server: ServerId, now: f64) {
        self.0.entry(server).or_insert(now);
    }

    /// Removes the servers that are members again.
    pub fn record_returns(&mut self, is_member: impl Fn(ServerId) -> bool) {
        self.0.retain(|server, _| !is_member(*server));
    }

    /// Removes and returns the servers that left too long ago, and those that left first if there are too
    /// many.
    pub fn take_forgotten(&mut self, now: f64) -> Vec<ServerId> {
        let mut by_leave: Vec<_> = self.0.iter().map(|(server, left_at)| (*left_at, *server)).collect();
        by_leave.sort_by(|a, b| a.0.total_cmp(&b.0));
        let excess = by_leave.len().saturating_sub(MAX_FORMER_MEMBERS);
        let is_forgotten = |(index, (left_at, _)): &(usize, (f64, ServerId))| {
            *index < excess || now - left_at > MAX_ABSENCE_SECS
        };
        let forgotten: Vec<_> =
            by_leave.into_iter().enumerate().filter(is_forgotten).map(|(_, (_, server))| server).collect();
        for server in &forgotten {
            self.0.remove(server);
        }
        forgotten
    }
}

#[cfg(test)]
mod tests;
