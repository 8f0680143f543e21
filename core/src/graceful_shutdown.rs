//! Controls the graceful shutdown of a process: how long connections, the listener and requests go on.
//!
//! Owns the phases from the start of the shutdown to the end of the process, and the number of client
//! connections. Times are those of one clock. Three guarantees hold:
//!
//! - Responses are not held back.
//! - A connection from which something was read is closed only after it was answered.
//! - The process ends before the platform kills it.
//!
//! A connection can't be closed without a race: a request that is in flight when its connection closes is
//! repeated once, on a new connection. So connections are closed first, and the listener stays open for the
//! clients that return. A session is sticky to its proxy instance while that runs, and the load balancer
//! takes a second or more to notice the shutdown. A client whose connection is closed before that has no
//! other instance to go to, so connections are kept open for half of the time that there is.

use std::time::Duration;

/// Time after the start of the shutdown in which the load balancer still sends new connections.
pub const NOTICE_PERIOD: Duration = Duration::from_millis(450);
/// Share of the time until the deadline for which connections are kept open.
const KEEP_OPEN_SHARE: f64 = 0.5;
/// Time after a connection was closed within which a client whose request was in flight returns.
pub const RETURN_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Time that a new connection has for its first request.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Upper bound of the longest request deadline that the shutdown waits for.
const MAX_REQUEST_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the last request deadline in which final responses are written.
const FINAL_WRITE_PERIOD: Duration = Duration::from_millis(150);
/// Time before the deadline at which the last requests have ended.
const REQUEST_MARGIN: Duration = Duration::from_millis(50);

/// The phase of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Connections are served as before.
    Notice,
    /// Connections are closed once they are idle. New ones are accepted for one request each.
    Draining,
    /// The listener is to be closed. Connections in its queue are accepted for one request each.
    ListenerClosing,
    /// The shutdown is complete, or its deadline has passed.
    AttemptEnded,
}

/// The state of a connection without a request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// The client has sent no request yet.
    NoRequestYet,
    /// All requests were answered.
    BetweenRequests,
    /// A part of a message has arrived.
    PartialMessage,
}

/// The graceful shutdown of one process.
#[derive(Debug, Clone)]
pub struct GracefulShutdown {
    started_at: Duration,
    /// When idle connections begin to be closed.
    draining_at: Duration,
    deadline: Duration,
    connections: usize,
    last_closed_at: Duration,
    /// Whether a successor has the listener's queue and takes over connections.
    is_handed_over: bool,
    /// Whether the listener is closed and its queue is empty.
    is_listener_closed: bool,
}

impl GracefulShutdown {
    /// Starts the shutdown at `started_at` with so many client connections. `longest_deadline` is the longest
    /// request deadline of a class. `paused` is how long the process was paused just before: the signal may
    /// have waited for as long, so the time to the draining phase is shorter by that.
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

    /// When the shutdown ends at the latest.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// A connection was accepted.
    pub fn connection_opened(&mut self) {
        self.connections += 1;
    }

    /// A connection was closed.
    pub fn connection_closed(&mut self, now: Duration) {
        self.connections = self.connections.saturating_sub(1);
        self.last_closed_at = now;
    }

    /// Sets whether a successor has the listener's queue and takes over connections.
    pub fn set_handed_over(&mut self, is_handed_over: bool) {
        self.is_handed_over = is_handed_over;
    }

    /// The listener was closed, and its queue is empty.
    pub fn listener_closed(&mut self) {
        self.is_listener_closed = true;
    }

    /// The phase at `now`.
    pub fn phase(&self, now: Duration) -> ShutdownPhase {
        let has_no_connections = self.connections == 0;
        if now >= self.deadline || (self.is_listener_closed && has_no_connections) {
            ShutdownPhase::AttemptEnded
        } else if self.is_handed_over
            || self.is_listener_closed
            || (has_no_connections && now >= self.returns_end_at())
        {
            ShutdownPhase::ListenerClosing
        } else if now < self.draining_at {
            ShutdownPhase::Notice
        } else {
            ShutdownPhase::Draining
        }
    }

    /// When the phase changes next if no other event occurs.
    pub fn next_transition(&self, now: Duration) -> Duration {
        let times = [self.draining_at, self.returns_end_at(), self.deadline];
        times.into_iter().filter(|at| *at > now).min().unwrap_or(self.deadline)
    }

    /// Until when a connection in this state, which was accepted at `accepted_at`, is kept open. After that
    /// it is closed once nothing unread is left on it. None if the shutdown sets no bound.
    pub fn idle_deadline(&self, state: IdleState, accepted_at: Duration) -> Option<Duration> {
        match state {
            IdleState::PartialMessage => None,
            // The successor takes over connections without a request as well.
            _ if self.is_handed_over => Some(self.started_at),
            IdleState::BetweenRequests => Some(self.draining_at),
            IdleState::NoRequestYet => {
                Some((accepted_at + FIRST_REQUEST_TIMEOUT).max(self.draining_at).min(self.deadline))
            }
        }
    }

    /// The time that a request which arrives at `now` may take, out of the `wanted` time: it has to end
    /// before the process does.
    pub fn request_time_left(&self, now: Duration, wanted: Duration) -> Duration {
        wanted.min((self.deadline - REQUEST_MARGIN).saturating_sub(now))
    }

    /// When no client returns any more, unless a connection is opened before.
    fn returns_end_at(&self) -> Duration {
        let notice_period = NOTICE_PERIOD.min(self.draining_at - self.started_at);
        self.last_closed_at.max(self.started_at + notice_period) + RETURN_GRACE_PERIOD
    }
}
