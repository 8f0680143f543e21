//! Watches the primary for silence and turns what is observed into inputs of the state machine.
//!
//! Called once in each step of the engine. Silence beyond the failure detector's threshold raises a
//! suspicion; beyond the longest process pause, the primary counts as lost. Any response lifts both. Times
//! are seconds on the engine's clock.

use super::ReplicaSet;
use crate::api::ServerId;
use crate::failover::{BufferRelease, Phase, PhaseInput, SilenceThreshold};

/// Lower bound of the longest silence that is still taken for a process pause.
const MIN_MAX_PAUSE_SECS: f64 = 0.6;
/// The longest silence that is taken for a process pause, as a multiple of the failure detector's threshold.
const MAX_PAUSE_THRESHOLDS: f64 = 1.4;

/// What is observed of the primary in one step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrimaryObservation {
    /// When it last responded.
    pub last_response: f64,
    /// When the oldest unanswered attempt was sent.
    pub oldest_unanswered: Option<f64>,
    /// Whether it counts as down.
    pub is_down: bool,
    /// How long it may be silent before it is suspected.
    pub silence_threshold: SilenceThreshold,
    /// The number of writes that wait for it.
    pub queued_writes: usize,
}

/// The primary's silence in one step.
struct Silence {
    last_response_at: f64,
    since: f64,
    is_suspected: bool,
    /// The longest silence that is taken for a process pause.
    max_pause_secs: f64,
}

impl ReplicaSet {
    /// The server whose silence counts: the primary, or the former one that drains.
    pub fn watched_primary(&self) -> Option<ServerId> {
        self.primary().or(self.withdrawn_primary)
    }

    /// Evaluates what is observed of [`Self::watched_primary`]. Returns the name of the phase if it differs
    /// from the one at the last call.
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
            // A response that reports no role shows as well that the primary works.
            self.primary_responded(now);
        } else if observation.oldest_unanswered.is_none() {
            self.resume_after_timeouts(now, &silence);
        }
        let is_released = observation.queued_writes == 0 || self.release.is_done();
        if self.phase == Phase::Releasing && is_released {
            self.apply(PhaseInput::ReleaseCompleted);
        }
        let phase_name = self.phase.name();
        let last_phase_name = std::mem::replace(&mut self.observed_phase_name, phase_name);
        (last_phase_name != phase_name).then_some(phase_name)
    }

    fn measure_silence(&self, now: f64, observation: &PrimaryObservation) -> Silence {
        let threshold = &observation.silence_threshold;
        let oldest_unanswered_at = observation.oldest_unanswered;
        // A primary that has not responded yet counts as heard from at its claim.
        let last_response_at = match self.tracker.claim() {
            Some(claim) => claim.accepted_at.max(observation.last_response),
            None => observation.last_response,
        };
        let since = oldest_unanswered_at.map_or(last_response_at, |sent_at| sent_at.max(last_response_at));
        let suspected_at = threshold.suspects_at(self.response_times, last_response_at, oldest_unanswered_at);
        let max_pause_secs =
            MIN_MAX_PAUSE_SECS.max(MAX_PAUSE_THRESHOLDS * threshold.threshold_secs(self.response_times));
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

    /// Ends a suspicion after all attempts in flight have timed out: a single write tests the primary.
    fn resume_after_timeouts(&mut self, now: f64, silence: &Silence) {
        let Phase::Suspected { since } = self.phase else { return };
        if now - since > silence.max_pause_secs {
            self.apply(PhaseInput::Responded);
            self.release = BufferRelease::new(now);
        }
    }
}
