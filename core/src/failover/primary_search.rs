//! Schedules the search for the primary of a replica set while no working primary is known.
//!
//! The search sends a buffered write to one member after another; such a write is a search attempt. A replica
//! declines the write without executing it, and the primary executes it. The lost primary itself is tested
//! with reads, and only rarely with a write, because the outcome of a write without a response is unknown.
//!
//! Owns the times of the next test read, test write and search attempt, and the member that receives the next
//! search attempt. Members receive search attempts in the order of their ids, in rounds with a pause in
//! between. Times are seconds on the engine's clock.

use super::PrimaryTracker;
use crate::api::ServerId;

/// Silence after which a member receives no search attempts or position probes, in seconds. A member that has
/// left an attempt unanswered for this long might leave further attempts unanswered as well.
pub(crate) const MAX_RESPONSIVE_SILENCE_SECS: f64 = 0.15;
/// Time between two search attempts within a round, in seconds.
const SEARCH_ATTEMPT_INTERVAL_SECS: f64 = 0.01;
/// Pause between two rounds of search attempts, in seconds.
const ROUND_PAUSE_SECS: f64 = 0.1;
/// Pause between two rounds if the failover may end soon, in seconds.
const SHORT_ROUND_PAUSE_SECS: f64 = 0.03;
/// Share of the shortest known failover duration after which a failover may end soon.
const NEAR_END_DURATION_SHARE: f64 = 0.8;
/// Minimum time between two test reads, in seconds.
const TEST_READ_INTERVAL_SECS: f64 = 0.25;
/// Time until the first test write to a silent primary, in seconds. The interval doubles after each test
/// write.
const INITIAL_TEST_WRITE_INTERVAL_SECS: f64 = 0.6;

/// A member of the replica set that may receive a search attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrimaryCandidate {
    /// Id of the member.
    pub server: ServerId,
    /// Silence of the member in seconds: the time since its last response, or since its oldest attempt in
    /// flight was sent if that was later. 0 if no attempt is in flight.
    pub silence_secs: f64,
}

/// Elapsed time of the failover in progress and the durations of earlier ones.
#[derive(Debug, Clone, Copy)]
pub(super) struct FailoverProgress {
    /// Time at which the failover began; `None` if no failover is in progress.
    pub began_at: Option<f64>,
    /// Shortest known duration of failovers of this kind, in seconds; infinite if none is known.
    pub shortest_duration_secs: f64,
}

impl FailoverProgress {
    /// Returns whether the failover may end soon, compared with the shortest known failover of this kind.
    fn is_near_end(&self, now: f64) -> bool {
        self.began_at
            .is_some_and(|began_at| now - began_at >= NEAR_END_DURATION_SHARE * self.shortest_duration_secs)
    }
}

/// Schedule of test reads, test writes and search attempts.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct PrimarySearch {
    next_test_read_at: f64,
    next_test_write_at: f64,
    test_write_interval_secs: f64,
    next_attempt_at: f64,
    /// Lowest id that the next search attempt may be sent to; `None` at the beginning of a round.
    next_member: Option<ServerId>,
}

impl Default for PrimarySearch {
    fn default() -> Self {
        Self {
            next_test_read_at: 0.0,
            next_test_write_at: 0.0,
            test_write_interval_secs: INITIAL_TEST_WRITE_INTERVAL_SECS,
            next_attempt_at: 0.0,
            next_member: None,
        }
    }
}

impl PrimarySearch {
    /// Restarts the schedule for a failover that began at `failover_began_at`.
    pub fn restart(&mut self, failover_began_at: f64) {
        self.next_attempt_at = 0.0;
        self.next_test_read_at = 0.0;
        self.next_test_write_at = failover_began_at + INITIAL_TEST_WRITE_INTERVAL_SECS;
        self.test_write_interval_secs = INITIAL_TEST_WRITE_INTERVAL_SECS;
    }

    /// Records that a read was sent to the primary, and postpones the next test read and test write. A read
    /// tests the primary as well as a write does, and does no harm if its outcome is unknown.
    pub fn read_sent(&mut self, now: f64) {
        self.next_test_read_at = now + TEST_READ_INTERVAL_SECS;
        self.next_test_write_at = self.next_test_write_at.max(now + INITIAL_TEST_WRITE_INTERVAL_SECS);
    }

    /// Records that a write was sent to the primary, and postpones the next test read.
    pub fn write_sent(&mut self, now: f64) {
        self.next_test_read_at = now + TEST_READ_INTERVAL_SECS;
    }

    /// Returns whether a test read may be sent to the silent primary.
    pub fn is_test_read_due(&self, now: f64) -> bool {
        now >= self.next_test_read_at
    }

    /// Returns whether a search attempt may be sent to a member.
    pub fn is_attempt_due(&self, now: f64) -> bool {
        now >= self.next_attempt_at
    }

    /// Returns whether a test write to the lost primary is due. If so, schedules the next one.
    pub fn try_test_write(&mut self, now: f64) -> bool {
        if now < self.next_test_write_at {
            return false;
        }
        self.next_test_write_at = now + self.test_write_interval_secs;
        self.test_write_interval_secs *= 2.0;
        true
    }

    /// Starts a round at `server`, which the endpoint list names as the primary. Members with lower ids have
    /// to wait for the next round.
    pub fn start_round_at(&mut self, server: ServerId) {
        self.next_member = Some(server);
    }

    /// Starts a new round of search attempts.
    pub fn restart_round(&mut self) {
        self.next_member = None;
    }

    /// Returns the member that receives the next search attempt, in the order of ids; `None` at the end of a
    /// round. Skips silent members, and deposed members that may not know of their deposition, because those
    /// would execute the write.
    pub fn next_member(
        &mut self,
        candidates: &[PrimaryCandidate],
        tracker: &PrimaryTracker,
        progress: FailoverProgress,
        now: f64,
    ) -> Option<ServerId> {
        let first = self.next_member.unwrap_or_default();
        let candidate = candidates.iter().find(|candidate| {
            candidate.server >= first
                && tracker.primary() != Some(candidate.server)
                && candidate.silence_secs < MAX_RESPONSIVE_SILENCE_SECS
                && tracker.is_eligible_for_search(candidate.server, now)
        });
        let member = candidate.map(|candidate| candidate.server);
        let pause_secs = match member {
            Some(_) => SEARCH_ATTEMPT_INTERVAL_SECS,
            None if progress.is_near_end(now) => SHORT_ROUND_PAUSE_SECS,
            None => ROUND_PAUSE_SECS,
        };
        self.next_member = member.map(|member| ServerId(member.0.saturating_add(1)));
        self.next_attempt_at = now + pause_secs;
        member
    }
}
