//! The model of a data server: cores, a bounded queue, a warm-up after each start, and a crash on overload.
//!
//! Owns the accepted work and when each part of it ends. Requests are executed first come, first served; a
//! full queue rejects them. Everything that reaches a server that warms up counts towards its overload, also
//! what it rejects. Times are seconds.

use std::collections::VecDeque;

/// The properties of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerModelSettings {
    /// Number of cores.
    pub cores: usize,
    /// Seconds of work that a core does in one second.
    pub speed: f64,
    /// Maximum number of queued requests.
    pub max_queue: usize,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Work of a new connection in s.
    pub handshake_work_s: f64,
    /// Share of its capacity with which a server starts.
    pub initial_capacity_share: f64,
    /// Time in s until it has its full capacity.
    pub warm_up_s: f64,
    /// Multiple of its present capacity that makes a server crash while it warms up.
    pub overload_factor: f64,
    /// Time in s over which the overload is measured.
    pub overload_duration_s: f64,
    /// Mean work of a request in s. Overload allows for the random spread of the number of such requests.
    pub mean_work_s: f64,
}

/// Whether a server works, and how it fails otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It works.
    Up,
    /// It accepts requests and never answers.
    Hung,
    /// It drops all data.
    Unresponsive,
    /// Its process has exited; connections are refused.
    Dead,
}

/// The result of the arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// It is executed between these times.
    Executing {
        /// When the execution starts.
        starts_at: f64,
        /// When the execution ends.
        ends_at: f64,
    },
    /// The queue was full.
    Rejected,
    /// The request overloaded the server, which crashed.
    Crashed {
        /// The share of the load that came from senders that were informed of the server's start.
        informed_share: f64,
    },
}

/// Work that arrived within the period over which overload is measured.
#[derive(Debug, Clone, Copy)]
struct ArrivedWork {
    at: f64,
    work_s: f64,
    sender_informed: bool,
}

/// The model of a server.
#[derive(Debug, Clone)]
pub struct ServerModel {
    settings: ServerModelSettings,
    /// Whether it works.
    pub state: ServerState,
    /// When its process last started, if that was during the trial.
    pub started_at: Option<f64>,
    /// Open connections.
    pub connections: usize,
    /// Incremented by each exit and start of the process; connections and work of earlier incarnations are
    /// lost.
    pub incarnation: u32,
    /// The factor by which it is slower than usual.
    pub slowdown: f64,
    /// When each core becomes idle.
    core_idle_at: Vec<f64>,
    /// When the executions of queued requests start.
    queued_starts: VecDeque<f64>,
    arrived: VecDeque<ArrivedWork>,
    /// The largest overload while it warmed up; it crashes above 1.
    pub max_overload_ratio: f64,
}

impl ServerModel {
    /// A server that started long ago.
    pub fn new(settings: ServerModelSettings) -> Self {
        Self {
            state: ServerState::Up,
            started_at: None,
            connections: 0,
            incarnation: 0,
            slowdown: 1.0,
            core_idle_at: vec![0.0; settings.cores],
            queued_starts: VecDeque::new(),
            arrived: VecDeque::new(),
            max_overload_ratio: 0.0,
            settings,
        }
    }

    /// The share of its full capacity that it has at a time.
    pub fn capacity_share(&self, now: f64) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now - started_at).max(0.0) / self.settings.warm_up_s.max(1e-3);
        let initial = self.settings.initial_capacity_share;
        (initial + (1.0 - initial) * progress).min(1.0)
    }

    /// Seconds of work that all cores together do in one second.
    pub fn capacity(&self, now: f64) -> f64 {
        self.settings.cores as f64 * self.settings.speed * self.capacity_share(now) / self.slowdown
    }

    /// Ends its process.
    pub fn exit(&mut self) {
        self.state = ServerState::Dead;
        self.connections = 0;
        self.incarnation += 1;
    }

    /// Starts its process, which then warms up.
    pub fn start(&mut self, now: f64) {
        self.state = ServerState::Up;
        self.started_at = Some(now);
        self.connections = 0;
        self.max_overload_ratio = 0.0;
        self.incarnation += 1;
        self.core_idle_at.fill(now);
        self.queued_starts.clear();
        self.arrived.clear();
    }

    /// Opens a connection; false if the limit is reached.
    pub fn connect(&mut self, now: f64) -> bool {
        if self.connections >= self.settings.max_connections {
            return false;
        }
        self.connections += 1;
        self.add_work(now, self.settings.handshake_work_s);
        true
    }

    /// Adds work to the core that is idle first, and returns when it is done.
    pub fn add_work(&mut self, now: f64, work_s: f64) -> f64 {
        let time_s = work_s / (self.settings.speed * self.capacity_share(now)) * self.slowdown;
        let core = self.core_idle_at.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("there is a core");
        *core = core.max(now) + time_s;
        *core
    }

    /// Number of queued requests.
    pub fn queued(&mut self, now: f64) -> usize {
        while self.queued_starts.front().is_some_and(|at| *at <= now) {
            self.queued_starts.pop_front();
        }
        self.queued_starts.len()
    }

    /// Handles the arrival of a request. `sender_informed` tells whether its sender was informed of the
    /// server's start.
    pub fn arrive(&mut self, now: f64, work_s: f64, sender_informed: bool) -> Arrival {
        self.arrived.push_back(ArrivedWork { at: now, work_s, sender_informed });
        if self.is_overloaded(now) {
            let total: f64 = self.arrived.iter().map(|arrived| arrived.work_s).sum();
            let informed = self.arrived.iter().filter(|arrived| arrived.sender_informed);
            let informed_share = informed.map(|arrived| arrived.work_s).sum::<f64>() / total;
            self.exit();
            return Arrival::Crashed { informed_share };
        }
        if self.queued(now) >= self.settings.max_queue {
            return Arrival::Rejected;
        }
        let starts_at = self.core_idle_at.iter().copied().fold(f64::INFINITY, f64::min).max(now);
        let ends_at = self.add_work(now, work_s);
        if starts_at > now {
            self.queued_starts.push_back(starts_at);
        }
        Arrival::Executing { starts_at, ends_at }
    }

    /// Whether the work that arrived recently makes a server crash that warms up.
    fn is_overloaded(&mut self, now: f64) -> bool {
        let period = self.settings.overload_duration_s;
        while self.arrived.front().is_some_and(|arrived| now - arrived.at > period) {
            self.arrived.pop_front();
        }
        if self.capacity_share(now) >= 1.0 {
            return false;
        }
        let arrived: f64 = self.arrived.iter().map(|arrived| arrived.work_s).sum();
        // The rule is about the warm-up, so a slowdown for other reasons doesn't count.
        let capacity = self.capacity(now) * self.slowdown;
        let allowed = self.settings.overload_factor * capacity * period / self.settings.mean_work_s;
        let ratio = arrived / self.settings.mean_work_s / (allowed + 3.0 * allowed.sqrt() + 3.0);
        self.max_overload_ratio = self.max_overload_ratio.max(ratio);
        ratio > 1.0
    }
}

#[cfg(test)]
mod tests;
