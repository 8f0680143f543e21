//! Detects pauses of the trial's own thread, which delay the responses of all servers and clients.

use std::time::Duration;

use super::super::rule_checker::TrialPause;
use super::state::SharedTrial;

/// Interval at which the monitor runs.
const INTERVAL: Duration = Duration::from_millis(5);
/// Smallest delay of a run, in seconds, that counts as a pause of the thread.
const MIN_PAUSE_S: f64 = 0.02;
/// The kernel's account of the calling thread: nanoseconds on a processor, nanoseconds for which the thread was
/// ready and waited for a processor, and the number of time slices.
const SCHEDULER_STATISTICS: &str = "/proc/thread-self/schedstat";

/// Total times of the trial's thread, in seconds.
#[derive(Debug, Clone, Copy, Default)]
struct ThreadTimes {
    running_s: f64,
    waiting_for_processor_s: f64,
}

impl ThreadTimes {
    /// Reads the times from the kernel. Returns zeros if the kernel does not provide them.
    fn read() -> Self {
        let text = std::fs::read_to_string(SCHEDULER_STATISTICS).unwrap_or_default();
        let mut seconds = text.split_whitespace().map(|ns| ns.parse::<f64>().unwrap_or_default() / 1e9);
        let running_s = seconds.next().unwrap_or_default();
        let waiting_for_processor_s = seconds.next().unwrap_or_default();
        Self { running_s, waiting_for_processor_s }
    }
}

/// Reports each pause of the trial's thread to the rule checker. Never returns.
pub async fn run(shared: SharedTrial) {
    let clock = shared.clock();
    let mut before = ThreadTimes::read();
    loop {
        let due_at = clock.now() + INTERVAL.as_secs_f64();
        clock.sleep_until(due_at).await;
        let length_s = clock.now() - due_at;
        let times = ThreadTimes::read();
        if length_s >= MIN_PAUSE_S {
            let pause = TrialPause {
                ended_at: clock.now(),
                length_s,
                running_s: times.running_s - before.running_s,
                waiting_for_processor_s: times.waiting_for_processor_s - before.waiting_for_processor_s,
            };
            shared.with(|trial| trial.fleet.checker.trial_paused(pause));
        }
        before = times;
    }
}
