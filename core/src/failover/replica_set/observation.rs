//! Monitors the primary for silence and passes the result to the state machine.
//!
//! The engine calls [`ReplicaSet::observe_primary`] once per step. Silence longer than the failure detector's
//! threshold raises a suspicion. Silence longer than the longest expected process pause marks the primary as
//! lost. Any response ends either state. Times are seconds on the engine's clock.

use super::ReplicaSet;
use crate::api::ServerId;
use crate::failover::{BufferRelease, Phase, PhaseInput, SilenceThreshold};

/// Lower bound of the longest silence that is attributed to a paused process, in seconds.
const MAX_PAUSE_LOWER_BOUND_SECS: f64 = 0.6;
/// Longest silence that is attributed to a paused process, as a multiple of the failure detector's threshold.
const MAX_PAUSE_THRESHOLD_FACTOR: f64 = 1.4;

/// Observed state of the primary in one step of the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrimaryObservation {
    /// Time of the primary's last response.
    pub last_response_at: f64,
    /// Send time of the oldest unanswered attempt; `None` if no attempt is unanswered.
    pub oldest_unanswered_at: Option<f64>,
    /// Whether the primary is marked as down.
    pub is_down: bool,
    /// Parameters of the silence threshold beyond which the primary is suspected.
    pub silence_threshold: SilenceThreshold,
    /// Number of writes that wait for the primary.
    pub queued_writes: usize,
}

/// Silence of the primary in one step of the engine.
struct Silence {
    last_response_at: f64,
    since: f64,
    is_suspected: bool,
    /// Longest silence that is attributed to a paused process, in seconds.
    max_pause_secs: f64,
}

impl ReplicaSet {
    /// Returns the server whose silence is monitored: the primary, or the last primary if it drains or was
    /// removed and has no successor yet.
    pub fn observed_primary(&self) -> Option<ServerId> {
        self.primary().or(self.withdrawn_primary)
    }

    /// Evaluates the observed state of [`Self::observed_primary`]. Returns the name of the phase if the phase
    /// has changed since the last call.
    pub fn observe_primary(&mut self, now: f64, observation: &PrimaryObservation) -> Option<&'static str> {
        let silence = self.measure_silence(now, observation);
        if observation.is_down || (silence.is_suspected && now - silence.since > silence.max_pause_secs) {
            self.tracker.mark_lost(now);
            self.apply(PhaseInput::Lost(silence.since));
        } else if silence.is_suspected {
            self.suspect(silence.since, now);
        } else if self.tracker.record_response(silence.last_response_at)
            || self.phase.failover_began_at().is_some_and(|began_at| silence.last_response_at > began_at)
        {
            // Even a response that does not report a role shows that the primary works.
            self.primary_responded(now);
        } else if observation.oldest_unanswered_at.is_none() {
            self.resume_after_timeouts(now, &silence);
        }
        let is_released = observation.queued_writes == 0 || self.release.is_complete();
        if self.phase == Phase::Releasing && is_released {
            self.apply(PhaseInput::ReleaseCompleted);
        }
        let phase_name = self.phase.name();
        let last_phase_name = std::mem::replace(&mut self.observed_phase_name, phase_name);
        (last_phase_name != phase_name).then_some(phase_name)
    }

    fn measure_silence(&self, now: f64, observation: &PrimaryObservation) -> Silence {
        let threshold = &observation.silence_threshold;
        let oldest_unanswered_at = observation.oldest_unanswered_at;
        // If the primary has not responded since its claim, its silence is measured from the claim.
        let last_response_at = match self.tracker.claim() {
            Some(claim) => claim.accepted_at.max(observation.last_response_at),
            None => observation.last_response_at,
        };
        let since = oldest_unanswered_at.map_or(last_response_at, |sent_at| sent_at.max(last_response_at));
        let suspected_at =
            threshold.suspicion_time(self.response_times, last_response_at, oldest_unanswered_at);
        let max_pause_secs = MAX_PAUSE_LOWER_BOUND_SECS
            .max(MAX_PAUSE_THRESHOLD_FACTOR * threshold.threshold_secs(self.response_times));
        Silence {
            last_response_at,
            since,
            is_suspected: suspected_at.is_some_and(|suspected_at| now >= suspected_at),
            max_pause_secs,
        }
    }

    fn suspect(&mut self, since: f64, now: f64) {
        self.apply(PhaseInput::ResponseOverdue(since));
        if matches!(self.phase, Phase::NoPrimary { .. }) {
            // A successor fell silent before it served a write.
            self.tracker.mark_lost(now);
        }
    }

    /// Ends a suspicion after all attempts in flight have timed out. A single write then tests the primary.
    fn resume_after_timeouts(&mut self, now: f64, silence: &Silence) {
        let Phase::Suspected { since } = self.phase else { return };
        if now - since > silence.max_pause_secs {
            self.apply(PhaseInput::Responded);
            self.release = BufferRelease::new(now);
        }
    }
}
