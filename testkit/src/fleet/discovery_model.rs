//! The model of the discovery service: queued polls, and changes of the endpoint list that are published
//! late.
//!
//! Owns the poll queue and the versions of the endpoint list with their publication times. Polls are
//! processed one after another, also those whose callers have timed out. A change is visible only from its
//! publication time on. Times are seconds.

use std::collections::BTreeMap;

use pipittack_core::api::{Endpoint, EndpointState};

/// The properties of the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DiscoverySettings {
    /// Polls that it answers per second.
    pub polls_per_s: f64,
    /// Time in s after which a poll times out.
    pub timeout_s: f64,
    /// Time in s after which the service publishes a change.
    pub publication_delay_s: f64,
    /// Maximum time in s from the publication until a watcher is notified.
    pub notification_spread_s: f64,
}

/// The result of a poll.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PollOutcome {
    /// It is answered at this time.
    Answered {
        /// The time.
        at: f64,
    },
    /// It fails at this time.
    Failed {
        /// The time.
        at: f64,
    },
}

/// A version of the endpoint list and its publication.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Publication {
    /// The version.
    pub version: usize,
    /// When it is published.
    pub at: f64,
}

#[derive(Debug, Clone)]
struct VersionChange {
    published_at: f64,
    endpoints: Vec<Endpoint>,
}

/// The discovery service.
#[derive(Debug, Clone)]
pub struct DiscoveryModel {
    settings: DiscoverySettings,
    /// When all queued polls are done.
    idle_at: f64,
    down_until: f64,
    /// The changes of each version. The first version is the initial list.
    versions: Vec<VersionChange>,
    /// Number of polls.
    pub polls: usize,
    /// Number of polls that timed out while the service was reachable.
    pub failed_polls: usize,
    /// Longest wait in s of an answered poll.
    pub longest_wait_s: f64,
}

/// Time in s in which a poll of an unreachable service fails.
const UNREACHABLE_S: f64 = 0.001;

impl DiscoveryModel {
    /// A service that has published this list long ago.
    pub fn new(settings: DiscoverySettings, endpoints: Vec<Endpoint>) -> Self {
        Self {
            settings,
            idle_at: 0.0,
            down_until: 0.0,
            versions: vec![VersionChange { published_at: 0.0, endpoints }],
            polls: 0,
            failed_polls: 0,
            longest_wait_s: 0.0,
        }
    }

    /// Makes the service unreachable for a time in s.
    pub fn take_down(&mut self, now: f64, duration_s: f64) {
        self.down_until = self.down_until.max(now + duration_s);
    }

    /// Whether the service is unreachable.
    pub fn is_down(&self, now: f64) -> bool {
        now < self.down_until
    }

    /// Records a change of an endpoint, and returns its publication.
    pub fn record_change(&mut self, now: f64, endpoint: Endpoint) -> Publication {
        let at = now + self.settings.publication_delay_s;
        let published_at = self.versions.last().map_or(at, |last| at.max(last.published_at));
        self.versions.push(VersionChange { published_at, endpoints: vec![endpoint] });
        Publication { version: self.versions.len() - 1, at: published_at }
    }

    /// Records a version that was published long ago.
    pub fn record_past_changes(&mut self, endpoints: Vec<Endpoint>) {
        self.versions.push(VersionChange { published_at: 0.0, endpoints });
    }

    /// Restores the service from a backup of this age in s: later versions are lost.
    pub fn restore_backup(&mut self, now: f64, age_s: f64) {
        let backed_up =
            self.versions.iter().take_while(|version| version.published_at <= now - age_s).count();
        self.versions.truncate(backed_up.max(1));
    }

    /// The version that is published at a time.
    pub fn version(&self, now: f64) -> usize {
        self.versions.iter().rposition(|version| version.published_at <= now).unwrap_or(0)
    }

    /// The complete endpoint list of a version.
    pub fn full_list(&self, version: usize) -> Vec<Endpoint> {
        let versions = &self.versions[..=version.min(self.versions.len() - 1)];
        let mut endpoints = merge(versions);
        endpoints.retain(|endpoint| endpoint.state != EndpointState::Removed);
        endpoints
    }

    /// The endpoints that changed after one version up to another, in their last state.
    pub fn changes_since(&self, after: usize, version: usize) -> Vec<Endpoint> {
        merge(self.versions.get(after + 1..=version).unwrap_or_default())
    }

    /// Polls the list, or opens a watch.
    pub fn poll(&mut self, now: f64) -> PollOutcome {
        self.polls += 1;
        if self.is_down(now) {
            return PollOutcome::Failed { at: now + UNREACHABLE_S };
        }
        let at = self.idle_at.max(now) + 1.0 / self.settings.polls_per_s;
        self.idle_at = at;
        let waited = at - now;
        if waited > self.settings.timeout_s {
            self.failed_polls += 1;
            return PollOutcome::Failed { at: now + self.settings.timeout_s };
        }
        self.longest_wait_s = self.longest_wait_s.max(waited);
        PollOutcome::Answered { at }
    }

    /// The properties of the service.
    pub fn settings(&self) -> DiscoverySettings {
        self.settings
    }
}

/// The last state of each endpoint in these versions, ordered by server.
fn merge(versions: &[VersionChange]) -> Vec<Endpoint> {
    let mut endpoints = BTreeMap::new();
    for endpoint in versions.iter().flat_map(|version| &version.endpoints) {
        endpoints.insert(endpoint.server, endpoint.clone());
    }
    endpoints.into_values().collect()
}

#[cfg(test)]
mod tests;
