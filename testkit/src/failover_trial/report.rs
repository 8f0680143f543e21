//! The report of a failover trial: counts, latencies and violated rules. Serialized names are stable.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::round::Round;
use super::{Observations, ServedValue, Trial};
use crate::client::{RequestRecord, Response};
use crate::write_checker::{check_writes, Violations};

/// Violations of one rule that are printed.
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Writes sent during rounds of one kind.
#[derive(Debug, Default, Clone, Serialize)]
pub struct FaultTally {
    /// Rounds.
    pub rounds: u64,
    /// Writes sent.
    pub writes: u64,
    /// Served.
    pub served: u64,
    /// Rejected before execution.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed: may have run.
    pub failed: u64,
}

/// The result of a trial.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Report {
    /// Rounds run.
    pub rounds: u64,
    /// Seed of the plan.
    pub seed: u64,
    /// Writes sent, retries included.
    pub writes: u64,
    /// Served.
    pub served: u64,
    /// Rejected before execution.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed: may have run.
    pub failed: u64,
    /// Writes whose client closed its connection before the response.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Writes that were executed twice.
    #[serde(rename = "doubles")]
    pub duplicates: u64,
    /// Served, but not in the log of the present primary.
    #[serde(rename = "silent_losses")]
    pub lost_writes: u64,
    /// Rejected, but executed.
    #[serde(rename = "false_refusals")]
    pub false_rejections: u64,
    /// Requests without a final response in time, reads included.
    pub unanswered: u64,
    /// Median latency of served writes that were sent during a failover.
    #[serde(rename = "held_p50_ms")]
    pub buffered_p50_ms: f64,
    /// 99th percentile of the same.
    #[serde(rename = "held_p99_ms")]
    pub buffered_p99_ms: f64,
    /// Median time from a promotion to the new primary's first write.
    #[serde(rename = "first_write_after_takeover_p50_ms")]
    pub time_to_first_write_p50_ms: f64,
    /// 90th percentile of the same.
    #[serde(rename = "first_write_after_takeover_p90_ms")]
    pub time_to_first_write_p90_ms: f64,
    /// Value served over value offered, retries of a request counted as one.
    #[serde(rename = "worth_kept")]
    pub served_value_ratio: f64,
    /// The same, for writes alone.
    #[serde(rename = "write_worth_kept")]
    pub write_served_value_ratio: f64,
    /// Whether the program ran to the end.
    #[serde(rename = "survived")]
    pub proxy_survived: bool,
    /// Writes by the fault during which they were sent.
    #[serde(rename = "kinds")]
    pub by_fault: BTreeMap<String, FaultTally>,
    /// The same trial with another build.
    #[serde(rename = "beside", skip_serializing_if = "Option::is_none")]
    pub comparison: Option<Box<Report>>,
}

impl Report {
    /// Whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        let violations = self.duplicates + self.lost_writes + self.false_rejections + self.unanswered;
        self.proxy_survived && violations == 0
    }
}

/// Latencies in microseconds.
struct Latencies(Histogram<u64>);

impl Latencies {
    fn new() -> Self {
        Self(Histogram::new(HISTOGRAM_DIGITS).expect("three digits are within its range"))
    }

    fn record(&mut self, latency: Duration) {
        let _ = self.0.record(latency.as_micros() as u64);
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Builds the report and prints violations to standard error.
pub(super) fn build(trial: &Trial, observations: &Observations) -> Report {
    let mut report = Report { seed: trial.plan.seed, ..Report::default() };
    report.proxy_survived = observations.proxy_survived;
    let mut violations = Violations::default();
    let mut buffered = Latencies::new();
    let mut first_writes = Latencies::new();
    let by_set = observations.records.iter().zip(&observations.rounds).zip(&trial.sets);
    for ((records, rounds), replica_set) in by_set {
        violations.extend(check_writes(records, &replica_set.write_log()));
        for round in rounds {
            report.count_round(round);
            let time_to_first_write = round.failover.as_ref().and_then(|f| f.time_to_first_write);
            if let Some(time) = time_to_first_write {
                first_writes.record(time);
            }
        }
        for record in records.iter().filter(|record| record.is_write) {
            let round = rounds.iter().rev().find(|round| round.contains(record.sent_at));
            report.count_write(record, round);
            if was_buffered(record, round) {
                buffered.record(record.latency);
            }
        }
    }
    report.buffered_p50_ms = buffered.quantile_ms(0.5);
    report.buffered_p99_ms = buffered.quantile_ms(0.99);
    report.time_to_first_write_p50_ms = first_writes.quantile_ms(0.5);
    report.time_to_first_write_p90_ms = first_writes.quantile_ms(0.9);
    let mut total = ServedValue::default();
    total.add(observations.read_value);
    total.add(observations.write_value);
    report.served_value_ratio = total.ratio();
    report.write_served_value_ratio = observations.write_value.ratio();
    print_violations(&violations, observations);
    report.duplicates = violations.duplicates.len() as u64;
    report.lost_writes = violations.lost_writes.len() as u64;
    report.false_rejections = violations.false_rejections.len() as u64;
    report.unanswered = violations.unanswered.len() as u64;
    report
}

/// Whether a write was served that was sent before the round's new primary was promoted.
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
        (&violations.duplicates, "executed twice"),
        (&violations.lost_writes, "served and lost"),
        (&violations.false_rejections, "rejected and executed"),
        (&violations.unanswered, "unanswered"),
    ] {
        for id in ids.iter().take(MAX_PRINTED_VIOLATIONS) {
            let record = observations.records.iter().flatten().find(|record| record.id == *id);
            let kind = record.and_then(|record| {
                let mut rounds = observations.rounds.iter().flatten();
                rounds.find(|round| round.contains(record.sent_at)).map(|round| round.kind)
            });
            let response = record.map(|record| (&record.response, record.latency));
            eprintln!("{rule}: {id} {response:?} in a round of {kind:?}");
        }
    }
}
