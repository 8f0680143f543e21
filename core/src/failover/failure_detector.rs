//! Early suspicion: how long a primary may be silent before writes are held.
//!
//! Holding a write costs little, sending it into a primary that hangs costs its fate. So the bound lies far
//! under the one at which a server is taken to be down, and a word from the primary lifts the suspicion at
//! once. It must never be taken for proof: a server that pauses is no dead one.

/// The least bound in s: under it, silence is the noise of a scheduler.
const LEAST: f64 = 0.03;
/// The greatest bound in s: whatever a server's usual time, writes don't follow each other into silence for
/// longer.
const MOST: f64 = 0.8;
/// Deviations of the usual time that are waited for as well.
const DEVIATIONS: f64 = 3.0;
/// Attempts that must all be late for that bound to hold: where fewer are out, the lateness of each is
/// likelier to be its own work, and silence has to last for longer to say as much. With exponential times, n
/// of them are all later than t with a chance of exp(-n t / mean).
const WITNESSES: f64 = 3.0;
/// Answers of its own from which on what is usual elsewhere says nothing of a set any more.
const OWN_AFTER: f64 = 10.0;
/// Weights of one answer in the mean and in the deviation.
const GAIN: (f64, f64) = (1.0 / 8.0, 1.0 / 4.0);

/// How long a set's primary takes to answer: the smoothed time and its mean deviation, as RFC 6298 keeps them
/// for TCP's retransmission timer. It learns from answers alone, so that no outage makes it patient.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ResponseTimes {
    mean: f64,
    dev: f64,
    /// Answers that it rests on.
    answers: f64,
}

impl ResponseTimes {
    /// An answer came after so many seconds.
    pub fn record(&mut self, took: f64) {
        if !took.is_finite() || took < 0.0 {
            return;
        }
        if self.answers == 0.0 {
            (self.mean, self.dev) = (took, took / 2.0);
        }
        let off = (took - self.mean).abs();
        self.mean += GAIN.0 * (took - self.mean);
        self.dev += GAIN.1 * (off - self.dev);
        self.answers += 1.0;
    }
}

/// The bound on a primary's silence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SilenceThreshold {
    /// How long an answer takes as a rule where none has come yet, in s.
    pub typical_response_secs: f64,
    /// How much slower it is than its set is as a rule, because it is cold.
    pub slowdown: f64,
    /// Usual times that are waited for.
    pub suspicion_factor: f64,
    /// Attempts whose answers it owes.
    pub unanswered: usize,
}

impl SilenceThreshold {
    /// Silence in s from which on writes are held.
    pub fn threshold_secs(&self, pulse: ResponseTimes) -> f64 {
        let own = (pulse.answers / OWN_AFTER).min(1.0);
        let mean = self.typical_response_secs + own * (pulse.mean - self.typical_response_secs);
        let dev = self.typical_response_secs / 2.0 + own * (pulse.dev - self.typical_response_secs / 2.0);
        let alone = (WITNESSES / self.unanswered.max(1) as f64).max(1.0);
        (self.slowdown * alone * (self.suspicion_factor * mean + DEVIATIONS * dev)).clamp(LEAST, MOST)
    }

    /// When, if nothing is heard, the primary is suspected: it was last heard at `heard`, and the oldest
    /// attempt that it has not answered was sent at `oldest`. Never where it owes nothing.
    pub fn suspects_at(&self, pulse: ResponseTimes, heard: f64, oldest: Option<f64>) -> Option<f64> {
        Some(oldest?.max(heard) + self.threshold_secs(pulse))
    }
}

#[cfg(test)]
mod tests;
