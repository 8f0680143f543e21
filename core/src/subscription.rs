//! When discovery is asked to tell of changes.
//!
//! All gateways share one discovery, which works through their calls one after another. Calls that wait for too long
//! fail, but their work is still done: once more come in a while than it can answer, all that wait behind them fail as
//! well, their retries keep the queue long, and nobody learns anything. So where there are many gateways, first calls
//! and retries are spread over a time that grows with their number, as far as the contract lets a gateway go without
//! news. Owns the times of calls. It must never ask twice at once, nor stop asking.

use crate::interface::Settings;
use crate::state::secs;

/// Calls at once that discovery answers in time; a fleet of no more gateways spreads nothing.
const BURST: f64 = 20.0;
/// Time in s that each further gateway's call is given.
const EACH: f64 = 0.07;
/// Part of the longest time without a question that calls are spread over at most.
const SPREAD_MOST: f64 = 0.8;
/// The first pause in s after a failure; doubles...
const PAUSE_FIRST: f64 = 0.5;
/// ...up to this part of the longest time without a question.
const PAUSE_MOST: f64 = 0.25;
/// Part of the longest time without a question after which a call that nothing came of is made anew.
const AGAIN_AFTER: f64 = 0.5;

/// One gateway's subscription.
#[derive(Debug, Default, Clone, PartialEq)]
pub(crate) struct Subscription {
    watching: bool,
    ask_at: Option<f64>,
    failures: i32,
}

/// How much later in s than at once a gateway calls: a random part of what the calls of all are spread over.
fn apart(settings: &Settings, chance: impl FnOnce() -> f64) -> f64 {
    let rest = f64::from(settings.gateways) - BURST;
    if rest <= 0.0 {
        return 0.0;
    }
    (rest * EACH).min(SPREAD_MOST * secs(settings.contract.ask_every)) * chance()
}

impl Subscription {
    /// Discovery told something.
    pub fn heard(&mut self) {
        (self.watching, self.failures) = (true, 0);
    }

    /// The list is known from elsewhere.
    pub fn remembered(&mut self) {
        self.watching = false;
    }

    /// A call failed, or what was subscribed to broke. `chance` gives random numbers up to 1.
    pub fn refused(&mut self, now: f64, settings: &Settings, mut chance: impl FnMut() -> f64) {
        let most = PAUSE_MOST * secs(settings.contract.ask_every);
        let pause = (PAUSE_FIRST * 2f64.powi(self.failures)).min(most).max(PAUSE_FIRST);
        let apart = apart(settings, &mut chance);
        (self.watching, self.failures) = (false, (self.failures + 1).min(16));
        self.ask_at = Some(now + pause * (0.5 + chance()) + apart);
    }

    /// Whether a call is due; it is made then. The first one comes at once only where all may.
    pub fn asks(&mut self, now: f64, settings: &Settings, chance: impl FnOnce() -> f64) -> bool {
        if self.watching {
            return false;
        }
        let due = now >= *self.ask_at.get_or_insert_with(|| now + apart(settings, chance));
        if due {
            self.ask_at = Some(now + AGAIN_AFTER * secs(settings.contract.ask_every));
        }
        due
    }
}
