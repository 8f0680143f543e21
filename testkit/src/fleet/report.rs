//! The results of a trial.
//!
//! Owns the counters that a trial prints. The simulation and the trial with processes fill in the same
//! results, except for those that one of them cannot observe. All results come from clients, servers and the
//! discovery service. A proxy reports none of them.

use std::collections::BTreeMap;

use pipittack_core::api::{Class, Outcome};
use serde::Serialize;

use super::workload::ClientRequest;

/// The start of a proxy process, and the times in seconds from the start to its first events. A time is
/// `None` if the event did not occur.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ProcessStart {
    /// Time of the start, in seconds since the start of the trial.
    #[serde(rename = "at")]
    pub started_at: f64,
    /// Time until the discovery service first answered a poll of the process.
    #[serde(rename = "told")]
    pub notified: Option<f64>,
    /// Time until clients sent the first request to the process.
    #[serde(rename = "asked")]
    pub first_request: Option<f64>,
    /// Time until the process first served a request.
    #[serde(rename = "served")]
    pub first_served: Option<f64>,
}

/// Total priority weight of the requests of one class or of one second. Serialized as the pair of `offered`
/// and `served`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct WeightTotals {
    /// Weight of all requests that clients created.
    pub offered: f64,
    /// Weight of the served requests. A request that was served after its latency objective counts with the
    /// late weight of its class.
    pub served: f64,
}

impl From<WeightTotals> for (f64, f64) {
    fn from(weight: WeightTotals) -> Self {
        (weight.offered, weight.served)
    }
}

impl WeightTotals {
    /// Returns the served share of the offered weight, from 0 to 1. Returns 0 if no weight was offered.
    pub fn served_share(&self) -> f64 {
        self.served / self.offered.max(1e-9)
    }
}

/// Results of a trial.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Priority weight of all requests that clients created.
    pub offered: f64,
    /// Priority weight of the served requests, with a deduction for late responses.
    pub served: f64,
    /// Weights by class, in the order of the classes in the settings.
    pub classes: Vec<WeightTotals>,
    /// Weights by the second of the trial in which clients created the requests.
    pub seconds: Vec<WeightTotals>,
    /// Tries of client requests, including retries.
    pub tries: usize,
    /// Tries that a proxy rejected without executing them.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Tries that a proxy answered with an error other than a rejection.
    pub failed: usize,
    /// Tries without an answer: the proxy was unreachable, closed the connection or did not respond in time.
    #[serde(rename = "unheard")]
    pub unreachable: usize,
    /// Tries among the unreachable ones whose connection ended after the statement was written. Their outcome
    /// is unknown to the client, which sent those again that may be executed twice.
    pub closed_unanswered: usize,
    /// Attempts that proxies sent to servers.
    pub attempts: usize,
    /// Attempts of reads that proxies sent to primaries.
    pub reads_at_primaries: usize,
    /// New connections from proxies to servers.
    pub handshakes: usize,
    /// Maximum share of a server's capacity that new connections used within one second, as a ratio.
    pub handshake_share: f64,
    /// Health checks that proxies sent to servers.
    #[serde(rename = "probes")]
    pub health_checks: usize,
    /// Number of attempts by the `Debug` name of their outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Polls of the discovery service, including the opening of watches.
    #[serde(rename = "calls")]
    pub polls: usize,
    /// Polls that timed out while the service was reachable.
    #[serde(rename = "calls_failed")]
    pub failed_polls: usize,
    /// Longest time in seconds for which an answered poll waited.
    #[serde(rename = "call_longest_s")]
    pub longest_poll_s: f64,
    /// Starts of proxy processes, in the order of their times.
    pub starts: Vec<ProcessStart>,
    /// Maximum overload ratio of a server during its warm-up. A server crashes above 1.
    #[serde(rename = "cold_most")]
    pub max_overload_ratio: f64,
    /// Crashes of servers that were overloaded during their warm-up.
    #[serde(rename = "fell")]
    pub overload_crashes: usize,
    /// Descriptions of violations of the service rules, and errors of the trial, such as a process that did
    /// not start.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

impl Report {
    /// Returns an empty report for a number of classes.
    pub fn new(class_count: usize) -> Self {
        Self { classes: vec![WeightTotals::default(); class_count], ..Self::default() }
    }

    /// Records a new request of a client. `at` is the time of its creation, in seconds since the start of the
    /// trial.
    pub fn request_offered(&mut self, request: &ClientRequest, class: &Class, at: f64) {
        self.offered += class.priority_weight;
        self.classes[request.class.0].offered += class.priority_weight;
        let second = at.max(0.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, WeightTotals::default());
        }
        self.seconds[second].offered += class.priority_weight;
    }

    /// Records a request that was served at `now`. `created_at` is the time of its creation, in seconds since
    /// the start of the trial. `now` is on the same clock as the times of `request`.
    pub fn request_served(&mut self, request: &ClientRequest, class: &Class, now: f64, created_at: f64) {
        let in_time = now <= request.created_at + class.latency_objective.as_secs_f64();
        let weight = class.priority_weight * if in_time { 1.0 } else { class.late_weight };
        self.served += weight;
        self.classes[request.class.0].served += weight;
        if let Some(second) = self.seconds.get_mut(created_at.max(0.0) as usize) {
            second.served += weight;
        }
    }

    /// Counts an ended attempt by its outcome.
    pub fn attempt_ended(&mut self, outcome: Outcome) {
        *self.outcomes.entry(format!("{outcome:?}")).or_default() += 1;
    }

    /// Returns the served share of the offered weight over all requests, from 0 to 1.
    pub fn served_share(&self) -> f64 {
        WeightTotals { offered: self.offered, served: self.served }.served_share()
    }

    /// Returns the longest time in seconds from the start of a process to its first answered poll. Returns
    /// `None` if the poll of a process was never answered.
    pub fn last_notified(&self) -> Option<f64> {
        let mut notified = self.starts.iter().map(|start| start.notified);
        notified.try_fold(0.0, |last, at| Some(f64::max(last, at?)))
    }

    /// Returns the share of the processes with a request that served one within `seconds` of their first
    /// request, from 0 to 1. Returns 0 if no process received a request.
    pub fn served_within(&self, seconds: f64) -> f64 {
        let requested: Vec<_> = self.starts.iter().filter(|start| start.first_request.is_some()).collect();
        let in_time = requested.iter().filter(|start| {
            let first_request = start.first_request.unwrap_or_default();
            start.first_served.is_some_and(|served| served - first_request <= seconds)
        });
        in_time.count() as f64 / requested.len().max(1) as f64
    }
}
