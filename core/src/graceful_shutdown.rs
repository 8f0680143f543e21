//! How a process that was told to end lets its clients go.
//!
//! Owns the phases between that word and the end of the process, how long a connection may stand in each, and
//! how much of its time a request that still comes may take. Times are those of one clock. It must never hold
//! an answer back, end a connection of which something was read and not answered, nor outlast the time after
//! which the platform kills what has not ended.
//!
//! A connection can't be closed without a race: a query that is on its way while its connection closes comes
//! again, once, on a new one. So connections go first and the door last, and the door stays open for those
//! that return. A session belongs to its proxy for as long as that runs: whoever is let go early has nowhere
//! to go before the front has noticed, which takes it a second and more. So connections are kept for half of
//! the time that there is.

use std::time::Duration;

/// Time after the word for which the front still sends new connections.
pub const NOTICE_PERIOD: Duration = Duration::from_millis(450);
/// Part of the time between the word and the end for which connections are kept as before.
const KEPT: f64 = 0.5;
/// Time after a connection was let go in which a client whose query crossed that comes again.
pub const RETURN_GRACE_PERIOD: Duration = Duration::from_millis(250);
/// Time in which a connection that has asked nothing yet is owed the chance to, from when it came.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// What the platform waits for at the most, beside the notice and the time to settle: the longest deadline,
/// counted as this where it is longer.
const LONGEST: Duration = Duration::from_secs(3);
/// Time past the last deadline in which final answers are still written.
const SETTLE: Duration = Duration::from_millis(150);

/// How far a process that was told to end has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// All goes on as before.
    Notice,
    /// Connections end as soon as they stand between requests. New ones are taken, each for a request.
    Draining,
    /// The door is to be closed; what stands in its queue is taken in, each for a request.
    ListenerClosing,
    /// Nothing is owed any more, or the time is up.
    AttemptEnded,
}

/// What a connection without an open request stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// It has asked nothing yet.
    NoRequestYet,
    /// All that it asked was answered.
    BetweenRequests,
    /// A part of a message has come.
    PartialMessage,
}

/// The course of one process's end.
#[derive(Debug, Clone)]
pub struct GracefulShutdown {
    told: Duration,
    /// When connections begin to be let go.
    leaves: Duration,
    deadline: Duration,
    connected: usize,
    /// When the last connection was let go.
    last_left: Duration,
    /// A successor has the door's queue and takes over connections.
    handed: bool,
    /// The door is closed, and what stood in its queue was taken in.
    listener_closed: bool,
}

impl GracefulShutdown {
    /// The word came with so many clients connected; `longest` is the longest deadline of a class. Before it
    /// the process had stood still for a while: the word may have waited for as long, and so long less is
    /// left.
    pub fn new(told: Duration, longest: Duration, connected: usize, stood: Duration) -> Self {
        let ends = told + NOTICE_PERIOD + longest.min(LONGEST) + SETTLE;
        let kept = (ends - told).mul_f64(KEPT).max(NOTICE_PERIOD).saturating_sub(stood);
        Self {
            told,
            leaves: told + kept,
            deadline: ends,
            connected,
            last_left: told,
            handed: false,
            listener_closed: false,
        }
    }

    /// When the time is up.
    pub fn deadline(&self) -> Duration {
        self.deadline
    }

    /// A connection was taken in.
    pub fn connection_opened(&mut self) {
        self.connected += 1;
    }

    /// A connection is gone.
    pub fn connection_closed(&mut self, now: Duration) {
        self.connected = self.connected.saturating_sub(1);
        self.last_left = now;
    }

    /// Whether a successor has the queue and takes connections over.
    pub fn set_handed_over(&mut self, handed: bool) {
        self.handed = handed;
    }

    /// The door is closed, and its queue is empty.
    pub fn listener_closed(&mut self) {
        self.listener_closed = true;
    }

    /// How far it has come.
    pub fn phase(&self, now: Duration) -> ShutdownPhase {
        match () {
            () if now >= self.deadline || (self.listener_closed && self.connected == 0) => {
                ShutdownPhase::AttemptEnded
            }
            () if self.handed || self.listener_closed => ShutdownPhase::ListenerClosing,
            () if self.connected == 0 && now >= self.quiet() => ShutdownPhase::ListenerClosing,
            () if now < self.leaves => ShutdownPhase::Notice,
            () => ShutdownPhase::Draining,
        }
    }

    /// When the phase changes without anything else happening.
    pub fn next_transition(&self, now: Duration) -> Duration {
        let times = [self.leaves, self.quiet(), self.deadline];
        times.into_iter().filter(|at| *at > now).min().unwrap_or(self.deadline)
    }

    /// Until when a connection may stand so that came at `since`; past it, it ends, but only once it was seen
    /// that nothing of it lies unread. None where only the rules of service bound it.
    pub fn idle_deadline(&self, standing: IdleState, since: Duration) -> Option<Duration> {
        match standing {
            IdleState::PartialMessage => None,
            // A successor goes on with what has asked nothing as well.
            _ if self.handed => Some(self.told),
            IdleState::BetweenRequests => Some(self.leaves),
            IdleState::NoRequestYet => {
                Some((since + FIRST_REQUEST_TIMEOUT).max(self.leaves).min(self.deadline))
            }
        }
    }

    /// How much of the time that its client waits a request may take that comes now: it is over before the
    /// process is.
    pub fn request_time_left(&self, now: Duration, wanted: Duration) -> Duration {
        wanted.min((self.deadline - SETTLE / 3).saturating_sub(now))
    }

    /// When nobody returns any more, if none comes before.
    fn quiet(&self) -> Duration {
        self.last_left.max(self.told + NOTICE_PERIOD.min(self.leaves - self.told)) + RETURN_GRACE_PERIOD
    }
}
