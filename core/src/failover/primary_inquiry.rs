//! Schedules how a replica set's members are asked who the primary is, while none is known to work.
//!
//! A buffered write is sent to one member after another: a replica declines it without executing it, and the
//! primary executes it. The lost primary itself is tested by a read, the canary, and only rarely by a write,
//! because the outcome of a write that it does not answer is unknown.
//!
//! Owns the times of the next canary, test write and inquiry, and the member that is asked next. Members are
//! asked in the order of their ids, in rounds with a pause in between. Times are seconds on the engine's
//! clock.

use super::PrimaryTracker;
use crate::api::ServerId;

/// A member that has left an attempt unanswered for this long is not asked, in seconds: the inquiry might
/// hang as well.
pub(crate) const MAX_SILENCE_TO_ASK: f64 = 0.15;
/// Time between two inquiries within a round.
const INQUIRY_INTERVAL_SECS: f64 = 0.01;
/// Pause between two rounds of inquiries.
const ROUND_PAUSE_SECS: f64 = 0.1;
/// Pause between two rounds once the failover may end soon.
const SHORT_ROUND_PAUSE_SECS: f64 = 0.03;
/// Share of the shortest known failover's duration after which this one may end soon.
const NEAR_END_SHARE: f64 = 0.8;
/// Time between two canaries.
const CANARY_INTERVAL_SECS: f64 = 0.25;
/// Time until the first test write to a silent primary. Each further one waits twice as long.
const INITIAL_TEST_WRITE_INTERVAL_SECS: f64 = 0.6;

/// A member that an inquiry may be sent to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InquiryCandidate {
    /// The member.
    pub server: ServerId,
    /// How long it has left its oldest attempt in flight unanswered, in seconds.
    pub silence_secs: f64,
}

/// How far the failover in progress has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailoverProgress {
    /// When it began, if one is in progress.
    pub began_at: Option<f64>,
    /// The shortest known duration of such failovers, in seconds; infinite if none is known.
    pub shortest_secs: f64,
}

impl FailoverProgress {
    /// Whether failovers of this kind have been known to end after the time that has passed.
    fn is_near_end(&self, now: f64) -> bool {
        self.began_at.is_some_and(|began_at| now - began_at >= NEAR_END_SHARE * self.shortest_secs)
    }
}

/// The schedule of canaries, test writes and inquiries.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PrimaryInquiry {
    next_canary_at: f64,
    next_test_write_at: f64,
    test_write_interval_secs: f64,
    next_inquiry_at: f64,
    /// The least id that the next inquiry goes to; none at the beginning of a round.
    next_member: Option<ServerId>,
}

impl Default for PrimaryInquiry {
    fn default() -> Self {
        Self {
            next_canary_at: 0.0,
            next_test_write_at: 0.0,
            test_write_interval_secs: INITIAL_TEST_WRITE_INTERVAL_SECS,
            next_inquiry_at: 0.0,
            next_member: None,
        }
    }
}

impl PrimaryInquiry {
    /// Starts the schedule anew for a failover that began at this time.
    pub fn restart(&mut self, failover_began_at: f64) {
        self.next_inquiry_at = 0.0;
        self.next_canary_at = 0.0;
        self.next_test_write_at = failover_began_at + INITIAL_TEST_WRITE_INTERVAL_SECS;
        self.test_write_interval_secs = INITIAL_TEST_WRITE_INTERVAL_SECS;
    }

    /// A read was sent to the primary: it shows as much as a test write, and nothing is lost if it fails.
    pub fn read_sent(&mut self, now: f64) {
        self.next_canary_at = now + CANARY_INTERVAL_SECS;
        self.next_test_write_at = self.next_test_write_at.max(now + INITIAL_TEST_WRITE_INTERVAL_SECS);
    }

    /// A write was sent to the primary.
    pub fn write_sent(&mut self, now: f64) {
        self.next_canary_at = now + CANARY_INTERVAL_SECS;
    }

    /// Whether a canary may be sent to the silent primary.
    pub fn is_canary_due(&self, now: f64) -> bool {
        now >= self.next_canary_at
    }

    /// Whether a member may be asked.
    pub fn is_inquiry_due(&self, now: f64) -> bool {
        now >= self.next_inquiry_at
    }

    /// Takes the turn of a test write to the lost primary, if one is due.
    pub fn try_test_write(&mut self, now: f64) -> bool {
        if now < self.next_test_write_at {
            return false;
        }
        self.next_test_write_at = now + self.test_write_interval_secs;
        self.test_write_interval_secs *= 2.0;
        true
    }

    /// Asks a member next that is said to be the primary.
    pub fn ask_next(&mut self, server: ServerId) {
        self.next_member = Some(server);
    }

    /// Begins a new round.
    pub fn restart_round(&mut self) {
        self.next_member = None;
    }

    /// The member to ask now, in id order; none at the end of a round. Members that are silent are not asked,
    /// nor one that may be unaware of its deposition, since it would execute the write.
    pub fn next_member(
        &mut self,
        candidates: &[InquiryCandidate],
        tracker: &PrimaryTracker,
        progress: FailoverProgress,
        now: f64,
    ) -> Option<ServerId> {
        let first = self.next_member.unwrap_or_default();
        let candidate = candidates.iter().find(|candidate| {
            candidate.server >= first
                && tracker.primary() != Some(candidate.server)
                && candidate.silence_secs < MAX_SILENCE_TO_ASK
                && tracker.may_be_asked(candidate.server, now)
        });
        let member = candidate.map(|candidate| candidate.server);
        let pause_secs = match member {
            Some(_) => INQUIRY_INTERVAL_SECS,
            None if progress.is_near_end(now) => SHORT_ROUND_PAUSE_SECS,
            None => ROUND_PAUSE_SECS,
        };
        self.next_member = member.map(|member| ServerId(member.0.saturating_add(1)));
        self.next_inquiry_at = now + pause_secs;
        member
    }
}
