//! Controls the graceful shutdown of a process: how long client connections and the listener stay open, and
//! the time limit of requests.
//!
//! This module owns the phases from the start of the shutdown to the end of the process, and the number of
//! client connections. All times are on one clock. Three guarantees hold:
//!
//! - The shutdown never delays a response.
//! - A connection from which any part of a request was read is closed only after that request was answered.
//! - The process ends before the platform kills it, unless a data server still sends a long result. The
//!   caller passes such results on after the deadline.
//!
//! Closing an idle connection is a race with the client: a request that arrives while its connection closes
//! is lost, and the client repeats it once, on a new connection. Connections are therefore closed first, and
//! the listener stays open for the clients that reconnect. The load balancer keeps a session on one proxy
//! instance while that instance runs, and takes a second or more to notice the shutdown. Until then, a client
//! whose connection was closed can't reach another instance, so connections stay open for half of the time
//! until the deadline.

use std::time::Duration;

/// Time after the start of the shutdown for which the load balancer still sends new connections.
pub const NOTICE_PERIOD: Duration = Duration::from_millis(450);
/// Share of the time until the deadline for which idle connections are kept open.
const KEEP_OPEN_SHARE: f64 = 0.5;
/// Time after the close of a connection within which a client whose request was in flight reconnects.
pub const RECONNECT_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Time within which the first request must arrive on a new connection.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of the request deadline that the shutdown waits for.
const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the last request deadline that is left to write the final responses.
const FINAL_WRITE_PERIOD: Duration = Duration::from_millis(150);
/// Margin before the deadline by which the last requests have ended.
const REQUEST_MARGIN: Duration = Duration::from_millis(50);
/// Time between two rejections on one connection at the end of the shutdown. It spreads the retries of their
/// clients.
pub const REJECTION_INTERVAL: Duration = Duration::from_millis(5);
/// Upper bound of the time for which the rejections on one connection are spread.
const MAX_REJECTION_PERIOD: Duration = Duration::from_millis(300);
/// Margin before the deadline from which all requests that still wait are rejected at once.
const REJECTION_MARGIN: Duration = Duration::from_millis(25);

/// Phase of a graceful shutdown. The order of the variants is the order of the phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Connections are served as before.
    Notice,
    /// Connections are closed once they are idle. New connections are accepted for one request each.
    Draining,
    /// The listener must be closed. Connections in its queue are accepted for one request each.
    ListenerClosing,
    /// The shutdown is complete, or its deadline has passed.
    Complete,
}

/// State of a connection without a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// The client has sent no request yet.
    NoRequestYet,
    /// At least one request was read, and all requests were answered.
    BetweenRequests,
    /// A message has arrived in part.
    PartialMessage,
}

/// Graceful shutdown of one process.
#[derive(Debug, Clone)]
pub struct GracefulShutdown {
    started_at: Duration,
    /// Time from which idle connections are closed.
    draining_at: Duration,
    deadline: Duration,
    connections: usize,
    last_closed_at: Duration,
    /// Whether a successor has taken over the listener's queue and accepts new connections.
    is_handed_over: bool,
    /// Whether the listener is closed and its queue is empty.
    is_listener_closed: bool,
}

impl GracefulShutdown {
    /// Starts the shutdown at `started_at`. `connections` is the number of open client connections,
    /// `longest_deadline` the longest request deadline of all classes. `paused` is the duration of a pause of
    /// the process just before `started_at`: the signal may have been pending for as long, so the draining
    /// phase begins earlier by that duration.
    pub fn new(
        started_at: Duration,
        longest_deadline: Duration,
        connections: usize,
        paused: Duration,
    ) -> Self {
        let period = NOTICE_PERIOD + longest_deadline.min(MAX_REQUEST_DEADLINE) + FINAL_WRITE_PERIOD;
        let keep_open = period.mul_f64(KEEP_OPEN_SHARE).max(NOTICE_PERIOD).saturating_sub(paused);
        Self {
            started_at,
            draining_at: started_at + keep_open,
            deadline: started_at + period,
            connections,
            last_closed_at: started_at,
            is_handed_over: false,
            is_listener_closed: false,
        }
    }

    /// Returns the latest time at which the shutdown ends.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// Records that a connection was accepted.
    pub fn connection_opened(&mut self) {
        self.connections += 1;
    }

    /// Records that a connection was closed at `now`.
    pub fn connection_closed(&mut self, now: Duration) {
        self.connections = self.connections.saturating_sub(1);
        self.last_closed_at = now;
    }

    /// Sets whether a successor has taken over the listener's queue and accepts new connections.
    pub fn set_handed_over(&mut self, is_handed_over: bool) {
        self.is_handed_over = is_handed_over;
    }

    /// Records that the listener was closed and that its queue is empty.
    pub fn listener_closed(&mut self) {
        self.is_listener_closed = true;
    }

    /// Returns the phase at `now`.
    pub fn phase(&self, now: Duration) -> ShutdownPhase {
        let has_no_connections = self.connections == 0;
        if now >= self.deadline || (self.is_listener_closed && has_no_connections) {
            ShutdownPhase::Complete
        } else if self.is_handed_over
            || self.is_listener_closed
            || (has_no_connections && now >= self.reconnects_end_at())
        {
            ShutdownPhase::ListenerClosing
        } else if now < self.draining_at {
            ShutdownPhase::Notice
        } else {
            ShutdownPhase::Draining
        }
    }

    /// Returns the next time after `now` at which the phase may change without a further event, or the
    /// deadline if there is none.
    pub fn next_transition(&self, now: Duration) -> Duration {
        let times = [self.draining_at, self.reconnects_end_at(), self.deadline];
        times.into_iter().filter(|at| *at > now).min().unwrap_or(self.deadline)
    }

    /// Returns the time until which a connection in this state, accepted at `accepted_at`, is kept open.
    /// After that time the caller closes the connection as soon as all received data has been read. `None` if
    /// the shutdown sets no bound.
    pub fn idle_deadline(&self, state: IdleState, accepted_at: Duration) -> Option<Duration> {
        match state {
            IdleState::PartialMessage => None,
            // The client can reconnect to the successor, even if it has sent no request yet.
            _ if self.is_handed_over => Some(self.started_at),
            IdleState::BetweenRequests => Some(self.draining_at),
            IdleState::NoRequestYet => {
                Some((accepted_at + FIRST_REQUEST_TIMEOUT).max(self.draining_at).min(self.deadline))
            }
        }
    }

    /// Returns the time at which the last request on a connection has ended. Requests that are received
    /// later, or that still wait then, are to be rejected. `waiting` is the number of requests that wait on
    /// the connection; the time is early enough to reject them one by one.
    pub fn requests_end_at(&self, waiting: usize) -> Duration {
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let rejection_period = REJECTION_INTERVAL.saturating_mul(waiting).min(MAX_REJECTION_PERIOD);
        (self.deadline - REQUEST_MARGIN).saturating_sub(rejection_period)
    }

    /// Returns whether the rejections on a connection are still spread at `now`. If not, all requests that
    /// still wait are to be rejected at once.
    pub fn spreads_rejections(&self, now: Duration) -> bool {
        now + REJECTION_MARGIN < self.deadline
    }

    /// Returns the time limit of a request that arrives at `now`: `timeout`, shortened so that the request
    /// and the `waiting` requests behind it on its connection end before the process.
    pub fn request_time_left(&self, now: Duration, timeout: Duration, waiting: usize) -> Duration {
        timeout.min(self.requests_end_at(waiting).saturating_sub(now))
    }

    /// Returns the time after which no client reconnects, unless another connection is closed before.
    fn reconnects_end_at(&self) -> Duration {
        let notice_period = NOTICE_PERIOD.min(self.draining_at - self.started_at);
        self.last_closed_at.max(self.started_at + notice_period) + RECONNECT_GRACE_PERIOD
    }
}
