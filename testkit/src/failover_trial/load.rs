//! Load of a failover trial: clients that send requests at a constant rate and retry rejected requests.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::options::{ClassTimes, READ_TIMES, SESSION_READ_TIMES, WRITE_TIMES};
use super::Trial;
use crate::client::{Client, Request, RequestRecord, Response};

/// Number of writing clients of each replica set.
const WRITERS_PER_SET: usize = 40;
/// Total request rate of the writing clients of a replica set.
const WRITES_PER_SECOND: f64 = 25.0;
/// Number of reading clients of each replica set.
const READERS_PER_SET: usize = 20;
/// Total request rate of the reading clients of a replica set.
const READS_PER_SECOND: f64 = 60.0;
/// One in this many readers sends causal reads. Their sessions have written nothing, so any replica can serve
/// these reads.
const READERS_PER_SESSION_READER: usize = 5;
/// Probability that the client of a write closes its connection before the response.
const ABANDONED_SHARE: f64 = 0.02;
/// Time from sending an abandoned write until its client closes the connection, in platform milliseconds.
const ABANDON_MS: Range<f64> = 20.0..600.0;
/// Maximum number of retries of a rejected request.
const MAX_RETRIES: u32 = 2;
/// Delay before a retry if the rejection gives none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Minimum time left until the deadline for a request to be sent.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);
/// Maximum sleep between two checks of whether the trial has stopped.
const MAX_STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Total priority weight of requests. A request and its retries count as one.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct WeightTotals {
    /// Weight of all requests, without those that clients abandon.
    pub(super) offered: f64,
    /// Weight of the served requests. A request that was served after its latency objective counts with the
    /// late weight of its class.
    pub(super) served: f64,
}

impl WeightTotals {
    pub(super) fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.served += other.served;
    }

    /// Returns the served share of the offered weight, from 0 to 1. Returns 0 if no weight was offered.
    pub(super) fn served_share(self) -> f64 {
        self.served / self.offered.max(1e-9)
    }
}

/// Requests of one client and their weight.
#[derive(Default)]
pub(super) struct LoadResult {
    /// All requests that the client sent, retries included.
    pub(super) records: Vec<RequestRecord>,
    pub(super) weight: WeightTotals,
}

/// Name, weights and times of a request class.
struct RequestClass {
    name: &'static str,
    priority_weight: f64,
    /// Share of `priority_weight` that a response earns after the latency objective, from 0 to 1.
    late_weight: f64,
    times: ClassTimes,
}

/// A client that sends either reads or writes to one replica set.
pub(super) struct LoadClient {
    client: Client,
    /// Index of the replica set.
    set: usize,
    /// Index of the client among the writers or the readers of the replica set.
    number: usize,
    pub(super) is_write: bool,
    /// Time from the start of the client until its first request.
    start_delay: Duration,
    /// Time between two requests.
    interval: Duration,
    next_id: u32,
}

impl LoadClient {
    /// Returns all clients of a replica set.
    pub(super) fn of_set(set: usize, proxy: SocketAddr) -> Vec<Self> {
        let writers = Self::evenly_spaced(set, proxy, true, WRITERS_PER_SET, WRITES_PER_SECOND);
        let readers = Self::evenly_spaced(set, proxy, false, READERS_PER_SET, READS_PER_SECOND);
        writers.chain(readers).collect()
    }

    /// Returns `count` clients that send either reads or writes, at evenly spaced times.
    fn evenly_spaced(
        set: usize,
        proxy: SocketAddr,
        is_write: bool,
        count: usize,
        requests_per_second: f64,
    ) -> impl Iterator<Item = Self> {
        let interval = Duration::from_secs_f64(count as f64 / requests_per_second);
        (0..count).map(move |number| Self {
            client: Client::new(proxy),
            set,
            number,
            is_write,
            start_delay: interval.mul_f64(number as f64 / count as f64),
            interval,
            next_id: 0,
        })
    }

    /// Sends requests until the trial stops. Skips the requests whose time passes while another request is
    /// open.
    pub(super) fn run(mut self, trial: &Trial) -> LoadResult {
        let client_seed = ((self.set * 1000 + self.number) as u64) << 20;
        let kind_seed = u64::from(self.is_write) << 50;
        let mut rng = Pcg64Mcg::seed_from_u64(trial.options.seed ^ client_seed ^ kind_seed);
        let mut result = LoadResult::default();
        let mut next_request_at = Instant::now() + self.start_delay;
        loop {
            while Instant::now() < next_request_at && !trial.stop.load(Ordering::Relaxed) {
                thread::sleep(
                    next_request_at.saturating_duration_since(Instant::now()).min(MAX_STOP_CHECK_INTERVAL),
                );
            }
            if trial.stop.load(Ordering::Relaxed) {
                return result;
            }
            while next_request_at <= Instant::now() {
                next_request_at += self.interval;
            }
            self.send_with_retries(trial, &mut rng, &mut result);
        }
    }

    /// Sends one request and retries it while it is rejected and time is left. An abandoned request is not
    /// retried and has no weight.
    fn send_with_retries(&mut self, trial: &Trial, rng: &mut Pcg64Mcg, result: &mut LoadResult) {
        let started_at = Instant::now();
        let class = self.class();
        let objective = trial.options.scaled(class.times.objective_ms);
        let max_wait = trial.options.scaled(class.times.deadline_ms);
        let is_abandoned = self.is_write && rng.random_bool(ABANDONED_SHARE);
        let abandon_after = is_abandoned.then(|| trial.options.random_duration(rng, ABANDON_MS));
        if !is_abandoned {
            result.weight.offered += class.priority_weight;
        }
        for _ in 0..=MAX_RETRIES {
            let time_left = max_wait.saturating_sub(started_at.elapsed());
            if time_left < MIN_TIME_LEFT {
                return;
            }
            let id = self.new_id();
            let request = Request {
                id: &id,
                class: class.name,
                is_write: self.is_write,
                group: self.set as u64,
                max_wait: time_left,
                response_slack: trial.options.response_slack,
            };
            let record = match abandon_after {
                Some(abandon_after) => self.client.send_and_abandon(&request, abandon_after),
                None => self.client.send(&request),
            };
            let response = record.response.clone();
            result.records.push(record);
            match response {
                Response::Served if !is_abandoned => {
                    let within_objective = started_at.elapsed() <= objective;
                    result.weight.served +=
                        class.priority_weight * if within_objective { 1.0 } else { class.late_weight };
                    return;
                }
                Response::Rejected(retry_after) if !is_abandoned => {
                    thread::sleep(retry_after.unwrap_or(DEFAULT_RETRY_AFTER));
                }
                _ => return,
            }
        }
    }

    fn new_id(&mut self) -> String {
        let kind = if self.is_write { 'w' } else { 'r' };
        let id = format!("{kind}{}-{}-{}", self.set, self.number, self.next_id);
        self.next_id += 1;
        id
    }

    fn class(&self) -> RequestClass {
        if self.is_write {
            RequestClass { name: "usage-write", priority_weight: 4.0, late_weight: 0.5, times: WRITE_TIMES }
        } else if self.number.is_multiple_of(READERS_PER_SESSION_READER) {
            RequestClass {
                name: "own-changes",
                priority_weight: 2.0,
                late_weight: 0.2,
                times: SESSION_READ_TIMES,
            }
        } else {
            RequestClass { name: "font-lookup", priority_weight: 1.0, late_weight: 0.0, times: READ_TIMES }
        }
    }
}
