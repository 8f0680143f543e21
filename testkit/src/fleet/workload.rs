//! Generator of the clients' requests: class mix, arrival times, sessions and retries.
//!
//! Owns the random number generator of the workload and the recent writes of sessions, which causal reads
//! often follow. Each proxy has its own clients, and some proxies receive several times the mean request
//! rate. Responses are the only feedback that the workload gets from a proxy.
//!
//! A try is one transmission of a request from its client to a proxy: the first one or a retry. An attempt is
//! one transmission of the request from the proxy to a data server. Times and durations are in seconds.

use std::time::Duration;

use pipittack_core::api::{Class, ClassId, Consistency, Idempotency, Settings};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Load of one class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassLoad {
    /// Weight of the class in the random choice of a request's class. The weights need not add up to 1.
    pub share: f64,
    /// Mean work of a request, in seconds. The work is distributed exponentially.
    pub work_s: f64,
    /// Whether a replica stops applying commits while it executes a request of this class.
    pub blocks_replication: bool,
}

/// Parameters of the clients.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkloadSettings {
    /// Load of each class, in the order of the classes in the proxies' settings.
    pub class_loads: Vec<ClassLoad>,
    /// Share of the causal reads that follow a recent write of their session, between 0 and 1.
    pub read_after_write_share: f64,
    /// Typical time between a write and the causal read that follows it, in seconds. A read can follow a
    /// write whose age is less than 3 times this value.
    pub read_after_write_gap_s: f64,
    /// Number of tries, including the first one, after which a client gives up. The first try is always sent.
    pub max_tries: u32,
    /// Delay before a retry if the response has no `Retry-After`, in seconds.
    pub retry_delay_s: f64,
}

/// A client's request, with its state over all tries.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Index of the proxy to which the client sends the request.
    pub proxy: usize,
    /// Class of the request.
    pub class: ClassId,
    /// Index of the replica set that holds the data.
    pub set: usize,
    /// Id of the session. A read that follows a write has the id of the write's session.
    pub session: u64,
    /// Time at which the client created the request, in seconds.
    pub created_at: f64,
    /// Time at which the client gives up, in seconds.
    pub deadline: f64,
    /// Work of the request at a server, in seconds.
    pub work_s: f64,
    /// Number of tries so far.
    pub tries: u32,
    /// Commit time of the write that a causal read follows, in seconds; `None` if the request follows no
    /// write.
    pub session_commit: Option<f64>,
}

/// Reason why a try was not served.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TryFailure {
    /// The proxy rejected the request, which was not executed.
    Rejected {
        /// The `Retry-After` of the response, if any.
        retry_after: Option<Duration>,
    },
    /// The try failed, and the request may have been executed.
    Failed,
}

/// An acknowledged write of a session.
#[derive(Debug, Clone, Copy)]
struct SessionWrite {
    session: u64,
    set: usize,
    /// Commit time, in seconds.
    commit: f64,
    /// Time at which the client received the acknowledgement, in seconds.
    acknowledged_at: f64,
}

/// Generator of the clients' requests.
#[derive(Debug)]
pub struct Workload {
    settings: WorkloadSettings,
    /// Request rate of each proxy, in requests per second.
    rates: Vec<f64>,
    replica_set_count: usize,
    rng: Pcg64Mcg,
    session_count: u64,
    /// Recent writes by proxy.
    recent_writes: Vec<Vec<SessionWrite>>,
}

impl Workload {
    /// Creates a workload of `rate` requests per second, which are spread unevenly over the proxies.
    pub fn new(
        settings: WorkloadSettings,
        rate: f64,
        proxy_count: usize,
        replica_set_count: usize,
        mut rng: Pcg64Mcg,
    ) -> Self {
        let weights: Vec<f64> = (0..proxy_count).map(|_| -rng.random::<f64>().max(1e-6).ln() + 0.1).collect();
        let total: f64 = weights.iter().sum();
        let rates = weights.iter().map(|weight| rate * weight / total).collect();
        Self {
            settings,
            rates,
            replica_set_count,
            rng,
            session_count: 0,
            recent_writes: vec![Vec::new(); proxy_count],
        }
    }

    /// Draws the time until a proxy's next new request, in seconds. `factor` multiplies the usual rate of the
    /// proxy.
    pub fn draw_interarrival_time(&mut self, proxy: usize, factor: f64) -> f64 {
        -self.rng.random::<f64>().max(1e-9).ln() / (self.rates[proxy] * factor)
    }

    /// Draws a new request of a proxy's clients, created at `now`.
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

    /// Draws the index of a class, weighted by the shares of the classes.
    fn draw_class(&mut self) -> usize {
        let total: f64 = self.settings.class_loads.iter().map(|load| load.share).sum();
        let mut remaining = self.rng.random::<f64>() * total;
        let class = self.settings.class_loads.iter().position(|load| {
            remaining -= load.share;
            remaining < 0.0
        });
        class.unwrap_or(0)
    }

    /// Draws the write that a causal read follows; `None` if the read belongs to a new session. Forgets
    /// writes that are no longer recent.
    fn draw_recent_write(&mut self, proxy: usize, now: f64) -> Option<SessionWrite> {
        if self.rng.random::<f64>() >= self.settings.read_after_write_share {
            return None;
        }
        let max_age = 3.0 * self.settings.read_after_write_gap_s;
        self.recent_writes[proxy].retain(|write| now - write.acknowledged_at < max_age);
        let count = self.recent_writes[proxy].len();
        (count > 0).then(|| self.recent_writes[proxy][self.rng.random_range(0..count)])
    }

    /// Creates a session, and returns its id and the index of a random replica set.
    fn draw_new_session(&mut self) -> (u64, usize) {
        self.session_count += 1;
        (self.session_count, self.rng.random_range(0..self.replica_set_count))
    }

    /// Records that a client received the acknowledgement of a write. `commit` is its commit time.
    pub fn write_acknowledged(&mut self, request: &ClientRequest, commit: f64, now: f64) {
        let write = SessionWrite { session: request.session, set: request.set, commit, acknowledged_at: now };
        self.recent_writes[request.proxy].push(write);
    }

    /// Returns the time at which a client retries a request after a failed try; `None` if the client gives up
    /// because a retry is unsafe, no try is left, or the deadline would have passed.
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
        let has_tries_left = request.tries < self.settings.max_tries;
        (retryable && has_tries_left && at < request.deadline).then_some(at)
    }
}
