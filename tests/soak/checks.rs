//! Rules that a soak checks, and its report.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::clients::{Departure, Ending, Outcome, TIMEOUT};
use crate::events::Schedule;
use crate::instance::{memory_mb, Instance};
use crate::servers::Arrival;
use crate::timeline::Timeline;

/// A response up to half a second after its time is late; a later one is lost.
const MAX_LATE_TIME: Duration = Duration::from_millis(500);
/// Time after the close of a client within which an attempt for it may begin.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(100);
/// Time by which the proxy may tell a server more than is left to the client.
const MAX_TIME_LEFT_EXCESS: Duration = Duration::from_millis(150);
/// Time by which this program may be held up between an event and its time stamp.
const MEASURING_ERROR: Duration = Duration::from_millis(50);
/// Time around a kill in which requests may end without a response.
const KILL_PERIOD: Duration = Duration::from_millis(1500);
const BYTES_PER_MEGABYTE: u64 = 1_000_000;

/// Result of a soak.
pub struct SoakReport {
    seed: u64,
    events: usize,
    processes: usize,
    requests: usize,
    served: usize,
    longest: Duration,
    peak_memory: u64,
    delayed_steps: usize,
    pub violations: Vec<String>,
    pub timeline: Timeline,
}

impl SoakReport {
    pub fn new(seed: u64, schedule: &Schedule, instance: Instance, outcomes: Vec<Outcome>) -> Self {
        let arrivals = instance.servers.arrivals();
        let departures = instance.requests.departures.lock().expect("no thread panics").clone();
        let mut log = instance.log;
        let mut violations = std::mem::take(&mut log.violations);
        violations.extend(lost_requests(&outcomes, &log.kills, &log.timeline));
        violations.extend(repeated_writes(&arrivals, &outcomes, &log.timeline));
        violations.extend(attempts_after_departures(&arrivals, &departures));
        violations.extend(excessive_times(&arrivals, &outcomes, &log.timeline));
        if log.peak_memory > u64::from(memory_mb()) * BYTES_PER_MEGABYTE {
            violations.push(format!("memory: {} bytes", log.peak_memory));
        }
        if !violations.is_empty() {
            let path = write_log_lines(seed, &log.lines);
            log.timeline.record(format!("log lines of all processes: {path}"));
        }
        Self {
            seed,
            events: schedule.events.len(),
            processes: log.started,
            requests: outcomes.len(),
            served: outcomes.iter().filter(|outcome| outcome.ending == Ending::Served).count(),
            longest: outcomes
                .iter()
                .map(|outcome| outcome.ended_at - outcome.sent_at)
                .max()
                .unwrap_or_default(),
            peak_memory: log.peak_memory,
            delayed_steps: log.lines.iter().filter(|line| is_delayed_step(line)).count(),
            violations,
            timeline: log.timeline,
        }
    }
}

/// Returns whether a log line tells of steps that were delayed by 100 ms or more.
fn is_delayed_step(line: &str) -> bool {
    line.contains("steps delayed by other tasks")
}

/// Writes log lines to a file and returns its path.
fn write_log_lines(seed: u64, lines: &[String]) -> String {
    let path = format!("{}/soak-{seed}-{}.log", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, lines.join("\n")).expect("the file can be written");
    path
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} events, {} processes, {} requests, {} served, longest {} ms, {} lines of delayed steps, \
             peak memory {:.1} MB, {} violations {:?}",
            self.seed,
            self.events,
            self.processes,
            self.requests,
            self.served,
            self.longest.as_millis(),
            self.delayed_steps,
            self.peak_memory as f64 / BYTES_PER_MEGABYTE as f64,
            self.violations.len(),
            self.violations,
        )
    }
}

/// Requests without a response in time. A kill excuses those that were open then.
pub fn lost_requests(outcomes: &[Outcome], kills: &[Instant], timeline: &Timeline) -> Vec<String> {
    let is_excused = |outcome: &Outcome| {
        kills
            .iter()
            .any(|kill| outcome.sent_at < *kill + KILL_PERIOD && outcome.ended_at + KILL_PERIOD > *kill)
    };
    let is_lost = |outcome: &&Outcome| match outcome.ending {
        Ending::ConnectionEnded { .. } => true,
        Ending::Unreachable => false, // the time between two processes, or after the last one
        Ending::Served | Ending::Error => outcome.ended_at - outcome.sent_at > TIMEOUT + MAX_LATE_TIME,
    };
    let lost = outcomes.iter().filter(is_lost).filter(|outcome| !is_excused(outcome));
    lost.map(|outcome| {
        let time_ms = (outcome.ended_at - outcome.sent_at).as_millis();
        let sent_secs = timeline.since_start(outcome.sent_at).as_secs_f64();
        format!("lost: {} of {sent_secs:.3} s ended as {:?} after {time_ms} ms", outcome.id, outcome.ending)
    })
    .collect()
}

/// Writes that the primary has received more than once.
pub fn repeated_writes(arrivals: &[Arrival], outcomes: &[Outcome], timeline: &Timeline) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.is_write && arrival.is_at_primary) {
        *counts.entry(&arrival.id).or_default() += 1;
    }
    let by_id: HashMap<_, _> = outcomes.iter().map(|outcome| (&*outcome.id, outcome)).collect();
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    let message = |(id, count)| {
        let sent = by_id.get(id).map_or_else(String::new, |outcome| sending_times(outcome, timeline));
        format!("duplicate: write {id}{sent} reached the primary {count} times")
    };
    repeated.map(message).collect()
}

/// Describes when a client has sent its request, and sent it once more.
fn sending_times(outcome: &Outcome, timeline: &Timeline) -> String {
    let seconds = |at| timeline.since_start(at).as_secs_f64();
    let first = format!(" of {:.3} s", seconds(outcome.sent_at));
    match outcome.sent_again_at {
        Some(again) => format!("{first}, sent again at {:.3} s,", seconds(again)),
        None => first,
    }
}

/// Attempts that began too long after their client had left.
pub fn attempts_after_departures(arrivals: &[Arrival], departures: &[Departure]) -> Vec<String> {
    let late = departures.iter().flat_map(|departure| {
        let allowed_until = departure.at + MAX_NOTICE_TIME + MEASURING_ERROR;
        let is_late = move |arrival: &&Arrival| {
            arrival.id.starts_with(&departure.id_prefix) && arrival.at > allowed_until
        };
        arrivals.iter().filter(is_late).map(|arrival| (arrival, arrival.at - departure.at))
    });
    late.map(|(arrival, after)| format!("lost: attempt of {} {after:?} after its client left", arrival.id))
        .collect()
}

/// Attempts that told their server more time than was left to the client.
pub fn excessive_times(arrivals: &[Arrival], outcomes: &[Outcome], timeline: &Timeline) -> Vec<String> {
    let by_id: HashMap<_, _> = outcomes.iter().map(|outcome| (&*outcome.id, outcome)).collect();
    let excess = arrivals.iter().filter_map(|arrival| {
        let outcome = *by_id.get(&*arrival.id)?;
        let ends_at = outcome.sent_at + TIMEOUT;
        let allowed = ends_at + MAX_TIME_LEFT_EXCESS + MEASURING_ERROR;
        let is_excessive = arrival.at + arrival.time_left > allowed;
        is_excessive.then(|| (outcome, arrival.at + arrival.time_left - ends_at))
    });
    let message = |(outcome, by): (&Outcome, Duration)| {
        let sent = sending_times(outcome, timeline);
        format!("deadline: a server was told {by:?} more than was left of {}{sent}", outcome.id)
    };
    excess.map(message).collect()
}

#[cfg(test)]
mod planted_faults {
    use super::*;

    fn outcome(ending: Ending, time_ms: u64) -> Outcome {
        let sent_at = Instant::now();
        let ended_at = sent_at + Duration::from_millis(time_ms);
        Outcome { id: "a".to_owned(), sent_at, sent_again_at: None, ended_at, ending }
    }

    fn arrival(id: &str, at: Instant, time_left_ms: u64) -> Arrival {
        Arrival {
            id: id.to_owned(),
            at,
            time_left: Duration::from_millis(time_left_ms),
            is_write: true,
            is_at_primary: true,
        }
    }

    #[test]
    fn each_planted_fault_is_reported() {
        let ended = outcome(Ending::ConnectionEnded { is_new: true }, 5);
        let kill = ended.sent_at;
        let timeline = Timeline::start();
        let lost = |outcome: &Outcome, kills: &[Instant]| {
            lost_requests(std::slice::from_ref(outcome), kills, &timeline).len()
        };
        assert_eq!(lost(&ended, &[]), 1);
        assert_eq!(lost(&ended, &[kill]), 0, "a kill excuses it");
        assert_eq!(lost(&outcome(Ending::Served, 1299), &[]), 0);
        assert_eq!(lost(&outcome(Ending::Served, 1301), &[]), 1);
        let now = Instant::now();
        assert_eq!(repeated_writes(&[arrival("a", now, 1), arrival("b", now, 1)], &[], &timeline).len(), 0);
        assert_eq!(repeated_writes(&[arrival("a", now, 1), arrival("a", now, 1)], &[], &timeline).len(), 1);
        let departure = Departure { id_prefix: "a".to_owned(), at: now };
        let late = arrival("a1", now + Duration::from_millis(160), 1);
        let in_time = arrival("a2", now + Duration::from_millis(90), 1);
        assert_eq!(attempts_after_departures(&[late, in_time], &[departure]).len(), 1);
        let request = outcome(Ending::Served, 5);
        let told = |time_left_ms| {
            excessive_times(
                &[arrival("a", request.sent_at, time_left_ms)],
                std::slice::from_ref(&request),
                &timeline,
            )
        };
        assert_eq!((told(800).len(), told(1001).len()), (0, 1));
    }
}
