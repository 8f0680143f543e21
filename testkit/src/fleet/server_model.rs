//! Model of a data server: cores, a bounded queue, a warm-up after each start, and a crash on overload.
//!
//! Owns the schedule of the accepted work on the cores. Requests are executed in the order of their arrival,
//! and rejected if the queue is full. While a server warms up, all arriving requests count towards its
//! overload, including rejected ones. Times and durations are in seconds; work is measured as the seconds
//! that one core of a warm server with speed 1 takes for it.

use std::collections::VecDeque;

/// Parameters of a data server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerModelSettings {
    /// Number of cores.
    pub cores: usize,
    /// Speed of a warm core, in seconds of work per second.
    pub speed: f64,
    /// Maximum number of queued requests.
    pub max_queue: usize,
    /// Maximum number of connections.
    pub max_connections: usize,
    /// Work to establish a connection, in seconds.
    pub handshake_work_s: f64,
    /// Share of the full capacity that a server has when it starts, between 0 and 1.
    pub initial_capacity_share: f64,
    /// Time from the start of a server until it has its full capacity, in seconds.
    pub warm_up_s: f64,
    /// Multiple of the current capacity at which a server that warms up crashes.
    pub overload_factor: f64,
    /// Length of the sliding window over which the overload is measured, in seconds.
    pub overload_duration_s: f64,
    /// Mean work of a request, in seconds. The overload limit allows for the random variation of the number
    /// of requests of this size.
    pub mean_work_s: f64,
}

/// State of a server process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// The server executes requests.
    Up,
    /// The server accepts connections and requests, but never responds.
    Hung,
    /// The server drops all data that it receives, and sends none.
    Unresponsive,
    /// The process has exited, and connections are refused.
    Dead,
}

/// Result of the arrival of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// The server executes the request between these times.
    Executing {
        /// Start of the execution, in seconds.
        starts_at: f64,
        /// End of the execution, in seconds.
        ends_at: f64,
    },
    /// The server rejected the request because the queue is full.
    Rejected,
    /// The request overloaded the server, which crashed.
    Crashed {
        /// Share of the work in the window that came from senders that were informed of the server's start.
        informed_share: f64,
    },
}

/// A request that arrived within the window over which the overload is measured.
#[derive(Debug, Clone, Copy)]
struct ArrivedRequest {
    at: f64,
    work_s: f64,
    sender_informed: bool,
}

/// Model of a data server.
#[derive(Debug, Clone)]
pub struct ServerModel {
    settings: ServerModelSettings,
    /// State of the process.
    pub state: ServerState,
    /// Time of the last start of the process, in seconds; `None` if the server started before the trial.
    pub started_at: Option<f64>,
    /// Number of open connections.
    pub connections: usize,
    /// Number that each exit and each start of the process increments. Connections and work of earlier
    /// incarnations are lost.
    pub incarnation: u32,
    /// Factor by which the execution time grows; 1 without a fault.
    pub slowdown: f64,
    /// Time at which each core becomes idle.
    core_idle_at: Vec<f64>,
    /// Start of the execution of each queued request, in ascending order.
    queued_execution_starts: VecDeque<f64>,
    arrived_requests: VecDeque<ArrivedRequest>,
    /// Largest ratio of the arrived work to the overload limit since the last start. The server crashes when
    /// the ratio exceeds 1.
    pub max_overload_ratio: f64,
}

impl ServerModel {
    /// Creates a server that started before the trial and has its full capacity.
    pub fn new(settings: ServerModelSettings) -> Self {
        Self {
            state: ServerState::Up,
            started_at: None,
            connections: 0,
            incarnation: 0,
            slowdown: 1.0,
            core_idle_at: vec![0.0; settings.cores],
            queued_execution_starts: VecDeque::new(),
            arrived_requests: VecDeque::new(),
            max_overload_ratio: 0.0,
            settings,
        }
    }

    /// Returns the share of the full capacity that the server has at `now`, between 0 and 1.
    pub fn capacity_share(&self, now: f64) -> f64 {
        let Some(started_at) = self.started_at else { return 1.0 };
        let progress = (now - started_at).max(0.0) / self.settings.warm_up_s.max(1e-3);
        let initial_share = self.settings.initial_capacity_share;
        (initial_share + (1.0 - initial_share) * progress).min(1.0)
    }

    /// Returns the capacity of all cores at `now`, in seconds of work per second.
    pub fn capacity(&self, now: f64) -> f64 {
        self.settings.cores as f64 * self.settings.speed * self.capacity_share(now) / self.slowdown
    }

    /// Ends the process of the server.
    pub fn exit(&mut self) {
        self.state = ServerState::Dead;
        self.connections = 0;
        self.incarnation += 1;
    }

    /// Starts the process of the server, which then warms up.
    pub fn start(&mut self, now: f64) {
        self.state = ServerState::Up;
        self.started_at = Some(now);
        self.connections = 0;
        self.max_overload_ratio = 0.0;
        self.incarnation += 1;
        self.core_idle_at.fill(now);
        self.queued_execution_starts.clear();
        self.arrived_requests.clear();
    }

    /// Opens a connection. Returns false if the connection limit is reached.
    pub fn connect(&mut self, now: f64) -> bool {
        if self.connections >= self.settings.max_connections {
            return false;
        }
        self.connections += 1;
        self.add_work(now, self.settings.handshake_work_s);
        true
    }

    /// Schedules work on the core that becomes idle first, and returns the time at which the work is done.
    pub fn add_work(&mut self, now: f64, work_s: f64) -> f64 {
        let duration_s = work_s / (self.settings.speed * self.capacity_share(now)) * self.slowdown;
        let core = self.core_idle_at.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("there is a core");
        *core = core.max(now) + duration_s;
        *core
    }

    /// Returns the number of requests that are queued at `now`.
    pub fn queue_length(&mut self, now: f64) -> usize {
        while self.queued_execution_starts.front().is_some_and(|at| *at <= now) {
            self.queued_execution_starts.pop_front();
        }
        self.queued_execution_starts.len()
    }

    /// Executes, queues or rejects an arriving request, or crashes the server on overload. `sender_informed`
    /// says whether the sender was informed of the server's last start.
    pub fn handle_arrival(&mut self, now: f64, work_s: f64, sender_informed: bool) -> Arrival {
        self.arrived_requests.push_back(ArrivedRequest { at: now, work_s, sender_informed });
        if self.is_overloaded(now) {
            let total_work_s: f64 = self.arrived_requests.iter().map(|request| request.work_s).sum();
            let informed = self.arrived_requests.iter().filter(|request| request.sender_informed);
            let informed_share = informed.map(|request| request.work_s).sum::<f64>() / total_work_s;
            self.exit();
            return Arrival::Crashed { informed_share };
        }
        if self.queue_length(now) >= self.settings.max_queue {
            return Arrival::Rejected;
        }
        let starts_at = self.core_idle_at.iter().copied().fold(f64::INFINITY, f64::min).max(now);
        let ends_at = self.add_work(now, work_s);
        if starts_at > now {
            self.queued_execution_starts.push_back(starts_at);
        }
        Arrival::Executing { starts_at, ends_at }
    }

    /// Returns whether the server warms up and the work that arrived within the window exceeds the overload
    /// limit.
    fn is_overloaded(&mut self, now: f64) -> bool {
        let window_s = self.settings.overload_duration_s;
        while self.arrived_requests.front().is_some_and(|request| now - request.at > window_s) {
            self.arrived_requests.pop_front();
        }
        if self.capacity_share(now) >= 1.0 {
            return false;
        }
        let arrived_work_s: f64 = self.arrived_requests.iter().map(|request| request.work_s).sum();
        // The limit depends only on the warm-up, so a slowdown by a fault is factored out.
        let capacity = self.capacity(now) * self.slowdown;
        let max_requests = self.settings.overload_factor * capacity * window_s / self.settings.mean_work_s;
        let ratio =
            arrived_work_s / self.settings.mean_work_s / (max_requests + 3.0 * max_requests.sqrt() + 3.0);
        self.max_overload_ratio = self.max_overload_ratio.max(ratio);
        ratio > 1.0
    }
}

#[cfg(test)]
mod tests;
