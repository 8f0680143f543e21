//! The figures of a trial.
//!
//! Owns the counters that a trial prints. The stepped simulation and the trial with processes fill in the
//! same figures, except for those that one of them cannot observe. All figures come from clients, servers and
//! the discovery service; none is reported by a proxy.

use std::collections::BTreeMap;

use pipittack_core::api::{Class, Outcome};
use serde::Serialize;

use super::workload::ClientRequest;

/// The start of a process. The times of its first events are in s after the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ProcessStart {
    /// When it started, in s of the trial.
    pub at: f64,
    /// When the discovery service first sent it the endpoint list.
    #[serde(rename = "told")]
    pub notified: Option<f64>,
    /// When it received its first request.
    #[serde(rename = "asked")]
    pub first_request: Option<f64>,
    /// When it first served a request.
    #[serde(rename = "served")]
    pub first_served: Option<f64>,
}

/// Priority weight of requests; printed as a pair.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Weight {
    /// Weight of the requests that clients created.
    pub offered: f64,
    /// Weight of those that were served, with a deduction for late responses.
    pub served: f64,
}

impl From<Weight> for (f64, f64) {
    fn from(weight: Weight) -> Self {
        (weight.offered, weight.served)
    }
}

impl Weight {
    /// The served share.
    pub fn share(&self) -> f64 {
        self.served / self.offered.max(1e-9)
    }
}

/// The figures of a trial.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Priority weight of the requests that clients created.
    pub offered: f64,
    /// Priority weight of those that were served, with a deduction for late responses.
    pub served: f64,
    /// The weights by class.
    pub classes: Vec<Weight>,
    /// The weights by the second in which clients created the requests.
    pub seconds: Vec<Weight>,
    /// Tries of clients.
    pub tries: usize,
    /// Tries that were rejected.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Tries that failed.
    pub failed: usize,
    /// Tries whose proxy was not reachable.
    #[serde(rename = "unheard")]
    pub unreachable: usize,
    /// Attempts.
    pub attempts: usize,
    /// Attempts of reads at primaries.
    pub reads_at_primaries: usize,
    /// New connections to servers.
    pub handshakes: usize,
    /// The largest share of a server's capacity that new connections took within one second.
    pub handshake_share: f64,
    /// Health checks.
    #[serde(rename = "probes")]
    pub health_checks: usize,
    /// Number of attempts by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Polls of the discovery service.
    #[serde(rename = "calls")]
    pub polls: usize,
    /// Polls that timed out while the service was reachable.
    #[serde(rename = "calls_failed")]
    pub failed_polls: usize,
    /// Longest wait in s of an answered poll.
    #[serde(rename = "call_longest_s")]
    pub longest_poll_s: f64,
    /// Starts of processes.
    pub starts: Vec<ProcessStart>,
    /// The largest overload ratio of a server that warmed up; a server crashes above 1.
    #[serde(rename = "cold_most")]
    pub max_overload_ratio: f64,
    /// Servers that crashed on overload.
    #[serde(rename = "fell")]
    pub overload_crashes: usize,
    /// Violations of the service rules.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// An empty report with this number of classes.
    pub fn new(classes: usize) -> Self {
        Self { classes: vec![Weight::default(); classes], ..Self::default() }
    }

    /// Records a new request of a client. `at` is the time of the trial in s.
    pub fn request_offered(&mut self, request: &ClientRequest, class: &Class, at: f64) {
        self.offered += class.priority_weight;
        self.classes[request.class.0].offered += class.priority_weight;
        let second = at.max(0.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Weight::default());
        }
        self.seconds[second].offered += class.priority_weight;
    }

    /// Records a request that was served at `now`. `created_at` is when the client created it, in s of the
    /// trial.
    pub fn request_served(&mut self, request: &ClientRequest, class: &Class, now: f64, created_at: f64) {
        let in_time = now <= request.created_at + class.latency_objective.as_secs_f64();
        let weight = class.priority_weight * if in_time { 1.0 } else { class.late_weight };
        self.served += weight;
        self.classes[request.class.0].served += weight;
        if let Some(second) = self.seconds.get_mut(created_at.max(0.0) as usize) {
            second.served += weight;
        }
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        *self.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
    }

    /// The served share of the offered weight.
    pub fn share(&self) -> f64 {
        Weight { offered: self.offered, served: self.served }.share()
    }

    /// When the last process received the endpoint list, in s after its start; none if one never did.
    pub fn last_notified(&self) -> Option<f64> {
        let mut notified = self.starts.iter().map(|start| start.notified);
        notified.try_fold(0.0, |last, at| Some(f64::max(last, at?)))
    }

    /// The share of the starts that served a request within this time in s after their first request.
    pub fn served_within(&self, seconds: f64) -> f64 {
        let requested: Vec<_> = self.starts.iter().filter(|start| start.first_request.is_some()).collect();
        let in_time = requested.iter().filter(|start| {
            let first_request = start.first_request.unwrap_or_default();
            start.first_served.is_some_and(|served| served - first_request <= seconds)
        });
        in_time.count() as f64 / requested.len().max(1) as f64
    }
}
