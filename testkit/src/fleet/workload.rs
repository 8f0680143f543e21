//! The requests of clients: class mix, arrival times, sessions and retries.
//!
//! Owns the generator of requests and the sessions that have written recently. Reads of a session often
//! follow its writes. Each proxy has clients of its own, and some proxies receive several times the mean
//! rate. The only feedback from a proxy is the responses that its clients receive.

use std::time::Duration;

use pipittack_core::api::{Class, ClassId, Consistency, Idempotency, Settings};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// The load of one class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    /// Weight of the class among all requests.
    pub share: f64,
    /// Mean work of a request in s.
    pub work_s: f64,
    /// A replica applies no commits while it executes such a request.
    pub blocks_replication: bool,
}

/// How clients behave.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkloadSettings {
    /// The classes, in the order of the proxy's settings.
    pub class_loads: Vec<ClassLoad>,
    /// Share of causal reads that follow a write of their session.
    pub read_after_write_share: f64,
    /// Typical time in s between such a write and its read.
    pub read_after_write_gap_s: f64,
    /// Retries after the first try.
    pub retries: u32,
    /// Delay in s before a retry, if the response has no `Retry-After`.
    pub retry_delay_s: f64,
}

/// A client's request over all its tries.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// The proxy that receives it.
    pub proxy: usize,
    /// Its class.
    pub class: ClassId,
    /// Its replica set.
    pub set: usize,
    /// Its session.
    pub session: u64,
    /// When the client created it, in s.
    pub created_at: f64,
    /// When the client gives up, in s.
    pub deadline: f64,
    /// Its work in s.
    pub work_s: f64,
    /// Tries so far.
    pub tries: u32,
    /// The last commit that its session has seen.
    pub session_commit: Option<f64>,
}

/// Why a try of a request was not served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TryFailure {
    /// The proxy rejected the request without executing it.
    Rejected {
        /// The `Retry-After` of the response.
        retry_after: Option<Duration>,
    },
    /// The request failed and may have been executed.
    Failed,
}

/// A write of a session.
#[derive(Debug, Clone, Copy)]
struct SessionWrite {
    session: u64,
    set: usize,
    commit: f64,
    at: f64,
}

/// Generates requests. Times are seconds.
#[derive(Debug)]
pub struct Workload {
    settings: WorkloadSettings,
    /// Requests per second of each proxy.
    rates: Vec<f64>,
    sets: usize,
    rng: Pcg64Mcg,
    sessions: u64,
    /// Recent writes, by proxy.
    recent_writes: Vec<Vec<SessionWrite>>,
}

impl Workload {
    /// A workload of `rate` requests per second, spread unevenly over the proxies.
    pub fn new(
        settings: WorkloadSettings,
        rate: f64,
        proxies: usize,
        sets: usize,
        mut rng: Pcg64Mcg,
    ) -> Self {
        let weights: Vec<f64> = (0..proxies).map(|_| -rng.random::<f64>().max(1e-6).ln() + 0.1).collect();
        let total: f64 = weights.iter().sum();
        let rates = weights.iter().map(|weight| rate * weight / total).collect();
        Self { settings, rates, sets, rng, sessions: 0, recent_writes: vec![Vec::new(); proxies] }
    }

    /// Time in s until the next request of a proxy, at a multiple of its usual rate.
    pub fn next_interval(&mut self, proxy: usize, factor: f64) -> f64 {
        -self.rng.random::<f64>().max(1e-9).ln() / (self.rates[proxy] * factor)
    }

    /// Draws a request of a proxy's clients.
    pub fn draw_request(&mut self, proxy: usize, now: f64, settings: &Settings) -> ClientRequest {
        let index = self.draw_class();
        let class = &settings.classes[index];
        let work_s = self.settings.class_loads[index].work_s * -self.rng.random::<f64>().max(1e-6).ln();
        let write = match class.consistency {
            Consistency::Causal => self.draw_recent_write(proxy, now),
            _ => None,
        };
        let (session, set) = match write {
            Some(write) => (write.session, write.set),
            None => self.draw_new_session(),
        };
        ClientRequest {
            proxy,
            class: ClassId(index),
            set,
            session,
            created_at: now,
            deadline: now + class.deadline.as_secs_f64() * self.rng.random_range(0.5..=1.0),
            work_s,
            tries: 0,
            session_commit: write.map(|write| write.commit),
        }
    }

    /// Draws a class by its share, and returns its index.
    fn draw_class(&mut self) -> usize {
        let total: f64 = self.settings.class_loads.iter().map(|load| load.share).sum();
        let mut rest = self.rng.random::<f64>() * total;
        let drawn = self.settings.class_loads.iter().position(|load| {
            rest -= load.share;
            rest < 0.0
        });
        drawn.unwrap_or(0)
    }

    /// The write that a causal read follows, or none for the read of a new session.
    fn draw_recent_write(&mut self, proxy: usize, now: f64) -> Option<SessionWrite> {
        if self.rng.random::<f64>() >= self.settings.read_after_write_share {
            return None;
        }
        let max_age = 3.0 * self.settings.read_after_write_gap_s;
        self.recent_writes[proxy].retain(|write| now - write.at < max_age);
        let count = self.recent_writes[proxy].len();
        (count > 0).then(|| self.recent_writes[proxy][self.rng.random_range(0..count)])
    }

    /// A new session and its replica set.
    fn draw_new_session(&mut self) -> (u64, usize) {
        self.sessions += 1;
        (self.sessions, self.rng.random_range(0..self.sets))
    }

    /// Records that a write was acknowledged to its client.
    pub fn write_acknowledged(&mut self, request: &ClientRequest, commit: f64, now: f64) {
        let write = SessionWrite { session: request.session, set: request.set, commit, at: now };
        self.recent_writes[request.proxy].push(write);
    }

    /// When a client tries a request again, if it does.
    pub fn retry_at(
        &self,
        request: &ClientRequest,
        class: &Class,
        failure: TryFailure,
        now: f64,
    ) -> Option<f64> {
        let (retryable, retry_after) = match failure {
            TryFailure::Rejected { retry_after } => (true, retry_after),
            TryFailure::Failed => (class.idempotency == Idempotency::Idempotent, None),
        };
        let at = now + retry_after.map_or(self.settings.retry_delay_s, |delay| delay.as_secs_f64());
        let retries_left = request.tries < self.settings.retries;
        (retryable && retries_left && at < request.deadline).then_some(at)
    }
}
