//! The load of a failover trial: clients that send requests at a constant rate and retry rejected ones.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::plan::{ClassTimes, READ_TIMES, SESSION_READ_TIMES, WRITE_TIMES};
use super::Trial;
use crate::client::{Client, Request, RequestRecord, Response};

/// Writers of each set, and the requests that they send together.
const WRITERS: usize = 40;
const WRITES_PER_SECOND: f64 = 25.0;
/// Readers of each set, and the requests that they send together.
const READERS: usize = 20;
const READS_PER_SECOND: f64 = 60.0;
/// One of so many readers sends causal reads. Their session has written nothing, so that any replica will do.
const SESSION_READER_INTERVAL: usize = 5;
/// Share of writes whose client closes its connection before the response.
const ABANDONED_SHARE: f64 = 0.02;
/// When such a client closes its connection, in platform milliseconds.
const ABANDON_MS: Range<f64> = 20.0..600.0;
/// Retries of a rejected request.
const MAX_RETRIES: u32 = 2;
/// Wait before a retry where the rejection names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Least time left for which a request is still sent.
const MIN_WAIT: Duration = Duration::from_millis(20);
/// Longest time between two looks at the end of the trial.
const MAX_SLEEP: Duration = Duration::from_millis(100);

/// Value of requests, by their class and their latency. Retries of a request count as one.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct ServedValue {
    pub(super) offered: f64,
    pub(super) served: f64,
}

impl ServedValue {
    pub(super) fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.served += other.served;
    }

    pub(super) fn ratio(self) -> f64 {
        self.served / self.offered.max(1e-9)
    }
}

/// What a client observed.
#[derive(Default)]
pub(super) struct LoadResult {
    /// Every request that was sent, retries included.
    pub(super) records: Vec<RequestRecord>,
    pub(super) value: ServedValue,
}

/// A request class as its clients see it.
struct RequestClass {
    name: &'static str,
    value: f64,
    /// Share of the value of a response past the latency objective.
    late_value_share: f64,
    times: ClassTimes,
}

/// A client that sends requests until the trial stops.
pub(super) struct LoadClient {
    client: Client,
    set: usize,
    number: usize,
    pub(super) is_write: bool,
    /// Time before its first request.
    start_delay: Duration,
    interval: Duration,
    next_id: u32,
}

impl LoadClient {
    /// All clients of a set.
    pub(super) fn of_set(set: usize, proxy: SocketAddr) -> Vec<Self> {
        let writers = Self::group(set, proxy, true, WRITERS, WRITES_PER_SECOND);
        let readers = Self::group(set, proxy, false, READERS, READS_PER_SECOND);
        writers.chain(readers).collect()
    }

    /// Clients that send requests of one kind at evenly spaced times.
    fn group(
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

    /// Sends requests until the trial stops.
    pub(super) fn run(mut self, trial: &Trial) -> LoadResult {
        let client_seed = ((self.set * 1000 + self.number) as u64) << 20;
        let kind_seed = u64::from(self.is_write) << 50;
        let mut rng = Pcg64Mcg::seed_from_u64(trial.plan.seed ^ client_seed ^ kind_seed);
        let mut result = LoadResult::default();
        let mut due = Instant::now() + self.start_delay;
        loop {
            while Instant::now() < due && !trial.stop.load(Ordering::Relaxed) {
                thread::sleep(due.saturating_duration_since(Instant::now()).min(MAX_SLEEP));
            }
            if trial.stop.load(Ordering::Relaxed) {
                return result;
            }
            while due <= Instant::now() {
                due += self.interval;
            }
            self.send_with_retries(trial, &mut rng, &mut result);
        }
    }

    /// Sends one request, and again where it is rejected and time is left.
    fn send_with_retries(&mut self, trial: &Trial, rng: &mut Pcg64Mcg, result: &mut LoadResult) {
        let started = Instant::now();
        let class = self.class();
        let objective = trial.plan.scaled(class.times.objective_ms);
        let max_wait = trial.plan.scaled(class.times.max_wait_ms);
        let is_abandoned = self.is_write && rng.random_bool(ABANDONED_SHARE);
        let patience = is_abandoned.then(|| trial.plan.draw(rng, ABANDON_MS));
        if !is_abandoned {
            result.value.offered += class.value;
        }
        for _ in 0..=MAX_RETRIES {
            let wait_left = max_wait.saturating_sub(started.elapsed());
            if wait_left < MIN_WAIT {
                return;
            }
            let id = self.new_id();
            let request = Request {
                id: &id,
                class: class.name,
                is_write: self.is_write,
                group: self.set as u64,
                max_wait: wait_left,
                response_slack: trial.plan.response_slack,
            };
            let record = match patience {
                Some(patience) => self.client.send_and_abandon(&request, patience),
                None => self.client.send(&request),
            };
            let response = record.response.clone();
            result.records.push(record);
            match response {
                Response::Served if !is_abandoned => {
                    let in_time = started.elapsed() <= objective;
                    result.value.served += class.value * if in_time { 1.0 } else { class.late_value_share };
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
            RequestClass { name: "usage-write", value: 4.0, late_value_share: 0.5, times: WRITE_TIMES }
        } else if self.number.is_multiple_of(SESSION_READER_INTERVAL) {
            RequestClass { name: "own-changes", value: 2.0, late_value_share: 0.2, times: SESSION_READ_TIMES }
        } else {
            RequestClass { name: "font-lookup", value: 1.0, late_value_share: 0.0, times: READ_TIMES }
        }
    }
}
