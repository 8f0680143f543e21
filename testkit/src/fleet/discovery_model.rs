//! Model of the discovery service, with a queue of polls and a delay before a change of the endpoint list is
//! published.
//!
//! Owns the poll queue and the versions of the endpoint list with their publication times. Polls are
//! processed one after another, including polls whose callers have timed out. A change is visible only from
//! its publication time on. Times and durations are in seconds.

use std::collections::BTreeMap;

use pipittack_core::api::{Endpoint, EndpointState};

/// Parameters of the discovery service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DiscoverySettings {
    /// Rate at which the service processes polls, in polls per second.
    pub polls_per_s: f64,
    /// Time after which the caller of a poll gives up, in seconds.
    pub timeout_s: f64,
    /// Time from a change to its publication, in seconds.
    pub publication_delay_s: f64,
    /// Maximum time from a publication until a watcher is notified, in seconds.
    pub notification_spread_s: f64,
}

/// Result of a poll.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PollOutcome {
    /// The service answers the poll.
    Answered {
        /// Time at which the answer is sent, in seconds.
        at: f64,
    },
    /// The poll times out, or the service is unreachable.
    Failed {
        /// Time at which the caller notices the failure, in seconds.
        at: f64,
    },
}

/// A version of the endpoint list with its publication time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Publication {
    /// Version number, counted from 0, the initial list.
    pub version: usize,
    /// Time of the publication, in seconds.
    pub at: f64,
}

/// The change that a version makes to the endpoint list.
#[derive(Debug, Clone)]
struct VersionChange {
    published_at: f64,
    endpoints: Vec<Endpoint>,
}

/// Model of the discovery service.
#[derive(Debug, Clone)]
pub struct DiscoveryModel {
    settings: DiscoverySettings,
    /// Time at which the service has processed all queued polls.
    idle_at: f64,
    down_until: f64,
    /// Changed endpoints of each version, by version number. Version 0 contains the initial list.
    versions: Vec<VersionChange>,
    /// Number of polls and watches, including failed ones.
    pub polls: usize,
    /// Number of polls that timed out while the service was reachable.
    pub failed_polls: usize,
    /// Longest time from an answered poll to its answer, in seconds.
    pub longest_wait_s: f64,
}

/// Time until a poll of an unreachable service fails, in seconds.
const UNREACHABLE_S: f64 = 0.001;

impl DiscoveryModel {
    /// Creates a service whose initial list was published before the trial.
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

    /// Makes the service unreachable for `duration_s` seconds, or longer if an earlier outage lasts longer.
    pub fn take_down(&mut self, now: f64, duration_s: f64) {
        self.down_until = self.down_until.max(now + duration_s);
    }

    /// Returns whether the service is unreachable at `now`.
    pub fn is_down(&self, now: f64) -> bool {
        now < self.down_until
    }

    /// Adds a version with one changed endpoint, and returns its publication. Versions are published in
    /// order.
    pub fn record_change(&mut self, now: f64, endpoint: Endpoint) -> Publication {
        let at = now + self.settings.publication_delay_s;
        let published_at = self.versions.last().map_or(at, |last| at.max(last.published_at));
        self.versions.push(VersionChange { published_at, endpoints: vec![endpoint] });
        Publication { version: self.versions.len() - 1, at: published_at }
    }

    /// Adds a version that was published before the trial.
    pub fn record_past_changes(&mut self, endpoints: Vec<Endpoint>) {
        self.versions.push(VersionChange { published_at: 0.0, endpoints });
    }

    /// Restores the service from a backup that is `age_s` seconds old. Versions that were published later are
    /// lost; the initial list is never lost.
    pub fn restore_backup(&mut self, now: f64, age_s: f64) {
        let retained = self.versions.iter().take_while(|version| version.published_at <= now - age_s).count();
        self.versions.truncate(retained.max(1));
    }

    /// Returns the latest version that is published at `now`.
    pub fn version(&self, now: f64) -> usize {
        self.versions.iter().rposition(|version| version.published_at <= now).unwrap_or(0)
    }

    /// Returns the complete endpoint list of a version, without removed endpoints.
    pub fn full_list(&self, version: usize) -> Vec<Endpoint> {
        let versions = &self.versions[..=version.min(self.versions.len() - 1)];
        let mut endpoints = latest_states(versions);
        endpoints.retain(|endpoint| endpoint.state != EndpointState::Removed);
        endpoints
    }

    /// Returns the endpoints that changed after the version `after`, up to and including `version`, in their
    /// last state.
    pub fn changes_since(&self, after: usize, version: usize) -> Vec<Endpoint> {
        latest_states(self.versions.get(after + 1..=version).unwrap_or_default())
    }

    /// Queues a poll, or the first request of a watch, and returns when it ends.
    pub fn poll(&mut self, now: f64) -> PollOutcome {
        self.polls += 1;
        if self.is_down(now) {
            return PollOutcome::Failed { at: now + UNREACHABLE_S };
        }
        let at = self.idle_at.max(now) + 1.0 / self.settings.polls_per_s;
        self.idle_at = at;
        let wait_s = at - now;
        if wait_s > self.settings.timeout_s {
            self.failed_polls += 1;
            return PollOutcome::Failed { at: now + self.settings.timeout_s };
        }
        self.longest_wait_s = self.longest_wait_s.max(wait_s);
        PollOutcome::Answered { at }
    }

    /// Returns the parameters of the service.
    pub fn settings(&self) -> DiscoverySettings {
        self.settings
    }
}

/// Returns the last state of each endpoint in these versions, ordered by server id.
fn latest_states(versions: &[VersionChange]) -> Vec<Endpoint> {
    let mut endpoints = BTreeMap::new();
    for endpoint in versions.iter().flat_map(|version| &version.endpoints) {
        endpoints.insert(endpoint.server, endpoint.clone());
    }
    endpoints.into_values().collect()
}

#[cfg(test)]
mod tests;
