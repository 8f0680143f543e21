//! Report of a failover trial: counts, latencies and violations of the rules on writes. The serialized names
//! are stable.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::round::Round;
use super::{Observations, Trial, WeightTotals};
use crate::client::{RequestRecord, Response};
use crate::write_checker::{check_writes, Violations};

/// Maximum number of violations of one rule that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// Number of significant decimal digits that the histograms keep.
const HISTOGRAM_DIGITS: u8 = 3;

/// Counts of the rounds that injected one kind of fault, and of the writes sent during these rounds.
#[derive(Debug, Default, Clone, Serialize)]
pub struct FaultTally {
    /// Number of rounds.
    pub rounds: u64,
    /// Number of writes sent, retries included.
    pub writes: u64,
    /// Number of writes served.
    pub served: u64,
    /// Number of writes rejected before execution.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of failed writes, which may have been executed.
    pub failed: u64,
}

/// Result of a failover trial.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Report {
    /// Number of rounds run.
    pub rounds: u64,
    /// Seed of the trial.
    pub seed: u64,
    /// Number of writes sent, retries included.
    pub writes: u64,
    /// Number of writes served.
    pub served: u64,
    /// Number of writes rejected before execution.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of failed writes, which may have been executed.
    pub failed: u64,
    /// Number of writes whose client closed its connection before a response.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Number of writes that were executed more than once.
    #[serde(rename = "doubles")]
    pub duplicates: u64,
    /// Number of writes that were served, but not executed or not in the log of the current primary.
    #[serde(rename = "silent_losses")]
    pub lost_writes: u64,
    /// Number of writes that were rejected, but executed.
    #[serde(rename = "false_refusals")]
    pub false_rejections: u64,
    /// Number of requests without a final response in time, reads included.
    pub unanswered: u64,
    /// Median latency, in milliseconds, of served writes that were sent in a round before its last promotion.
    #[serde(rename = "held_p50_ms")]
    pub buffered_p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds, of the same writes.
    #[serde(rename = "held_p99_ms")]
    pub buffered_p99_ms: f64,
    /// Median time, in milliseconds, from a promotion to the new primary's first write.
    #[serde(rename = "first_write_after_takeover_p50_ms")]
    pub time_to_first_write_p50_ms: f64,
    /// 90th percentile of the time, in milliseconds, from a promotion to the new primary's first write.
    #[serde(rename = "first_write_after_takeover_p90_ms")]
    pub time_to_first_write_p90_ms: f64,
    /// Served share of the offered weight over all requests, from 0 to 1; a request and its retries count as
    /// one.
    #[serde(rename = "worth_kept")]
    pub served_weight_share: f64,
    /// Served share of the offered weight over writes only, from 0 to 1.
    #[serde(rename = "write_worth_kept")]
    pub write_served_weight_share: f64,
    /// Whether the proxy was still running at the end of the trial.
    #[serde(rename = "survived")]
    pub proxy_survived: bool,
    /// Counts by the serialized name of the injected fault.
    #[serde(rename = "kinds")]
    pub by_fault: BTreeMap<String, FaultTally>,
    /// Report of the same trial with another build, or `None` without the flag `--beside`.
    #[serde(rename = "beside", skip_serializing_if = "Option::is_none")]
    pub comparison: Option<Box<Report>>,
}

impl Report {
    /// Returns whether no rule was violated and the proxy ran to the end.
    pub fn is_clean(&self) -> bool {
        let violations = self.duplicates + self.lost_writes + self.false_rejections + self.unanswered;
        self.proxy_survived && violations == 0
    }
}

/// Histogram of durations in microseconds.
struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    fn new() -> Self {
        Self(Histogram::new(HISTOGRAM_DIGITS).expect("three significant digits are supported"))
    }

    fn record(&mut self, latency: Duration) {
        let _ = self.0.record(latency.as_micros() as u64);
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Builds the report of a trial and prints violations to standard error.
pub(super) fn build(trial: &Trial, observations: &Observations) -> Report {
    let mut report = Report { seed: trial.options.seed, ..Report::default() };
    report.proxy_survived = observations.proxy_survived;
    let mut violations = Violations::default();
    let mut buffered_latencies = DurationHistogram::new();
    let mut times_to_first_write = DurationHistogram::new();
    let by_set = observations.records.iter().zip(&observations.rounds).zip(&trial.replica_sets);
    for ((records, rounds), replica_set) in by_set {
        violations.extend(check_writes(records, &replica_set.write_log()));
        for round in rounds {
            report.count_round(round);
            let time_to_first_write = round.failover.as_ref().and_then(|f| f.time_to_first_write);
            if let Some(time) = time_to_first_write {
                times_to_first_write.record(time);
            }
        }
        for record in records.iter().filter(|record| record.is_write) {
            let round = rounds.iter().rev().find(|round| round.contains(record.sent_at));
            report.count_write(record, round);
            if was_buffered(record, round) {
                buffered_latencies.record(record.latency);
            }
        }
    }
    report.buffered_p50_ms = buffered_latencies.quantile_ms(0.5);
    report.buffered_p99_ms = buffered_latencies.quantile_ms(0.99);
    report.time_to_first_write_p50_ms = times_to_first_write.quantile_ms(0.5);
    report.time_to_first_write_p90_ms = times_to_first_write.quantile_ms(0.9);
    let mut total = WeightTotals::default();
    total.add(observations.read_weight);
    total.add(observations.write_weight);
    report.served_weight_share = total.served_share();
    report.write_served_weight_share = observations.write_weight.served_share();
    print_violations(&violations, observations);
    report.duplicates = violations.duplicates.len() as u64;
    report.lost_writes = violations.lost_writes.len() as u64;
    report.false_rejections = violations.false_rejections.len() as u64;
    report.unanswered = violations.unanswered.len() as u64;
    report
}

/// Returns whether the write was served and was sent before the last promotion of its round.
fn was_buffered(record: &RequestRecord, round: Option<&Round>) -> bool {
    let failover = round.and_then(|round| round.failover.as_ref());
    record.response == Response::Served && failover.is_some_and(|f| record.sent_at < f.promoted_at)
}

impl Report {
    fn count_round(&mut self, round: &Round) {
        self.rounds += 1;
        self.by_fault.entry(round.kind.name()).or_default().rounds += 1;
    }

    fn count_write(&mut self, record: &RequestRecord, round: Option<&Round>) {
        let mut outside_rounds = FaultTally::default();
        let tally = match round {
            Some(round) => self.by_fault.entry(round.kind.name()).or_default(),
            None => &mut outside_rounds,
        };
        self.writes += 1;
        tally.writes += 1;
        match record.response {
            Response::Served => {
                self.served += 1;
                tally.served += 1;
            }
            Response::Rejected(_) => {
                self.rejected += 1;
                tally.rejected += 1;
            }
            Response::Failed(_) => {
                self.failed += 1;
                tally.failed += 1;
            }
            Response::Abandoned => self.abandoned += 1,
            Response::Unanswered => {}
        }
    }
}

fn print_violations(violations: &Violations, observations: &Observations) {
    for (ids, rule) in [
        (&violations.duplicates, "executed more than once"),
        (&violations.lost_writes, "served but lost"),
        (&violations.false_rejections, "rejected but executed"),
        (&violations.unanswered, "unanswered"),
    ] {
        for id in ids.iter().take(MAX_PRINTED_VIOLATIONS) {
            let record = observations.records.iter().flatten().find(|record| record.id == *id);
            let kind = record.and_then(|record| {
                let mut rounds = observations.rounds.iter().flatten();
                rounds.find(|round| round.contains(record.sent_at)).map(|round| round.kind)
            });
            let response = record.map(|record| (&record.response, record.latency));
            eprintln!("violation: request {id} {rule}: response {response:?}, fault {kind:?}");
        }
    }
}
