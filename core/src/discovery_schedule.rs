//! When discovery is asked to tell of changes.
//!
//! All gateways share one discovery, which works through their calls one after another. Calls that wait for
//! too long fail, but their work is still done: once more come in a while than it can answer, all that wait
//! behind them fail as well, their retries keep the queue long, and nobody learns anything. None hears of the
//! others' calls, so each calls at a time of its own, drawn over a window that has room for the calls of all.
//! How much room one call needs is what its own calls tell: the window doubles when one fails after a wait
//! (the others' calls were before it), and shrinks by a step when one is answered at once; a call that is
//! refused at once costs nothing and tells nothing of the queue. Who holds a list is bound to hear of its
//! changes, so it calls in time for that, until a call has waited in vain; who holds none is bound by nothing
//! and only wants an answer, so it keeps to the window. Sources: additive increase and multiplicative
//! decrease of a shared resource's use by those who can't talk (Chiu and Jain 1989), slotted random access.
//!
//! Owns the times of calls. It must never ask twice at once, nor stop asking.

use crate::api::Settings;
use crate::time::secs;

/// Calls at once that discovery answers in time; a fleet of no more gateways spreads nothing.
const BURST: f64 = 20.0;
/// Calls a second that discovery is taken to bear before any call tells more.
const RATE: f64 = 12.5;
/// Bounds of that, as parts of it.
const RATE_BOUNDS: (f64, f64) = (1.0 / 64.0, 16.0);
/// Calls a second more that it is taken to bear for each that is answered at once.
const RATE_STEP: f64 = 2.5;
/// Time in s within which a call is answered where none waits before it, and after which it has waited.
const AT_ONCE: f64 = 0.15;
const WAITED: f64 = 0.5;
/// Time in s over which calls are spread at the most, however many gateways there are said to be.
const MAX_WINDOW_SECS: f64 = 300.0;
/// Part of the longest time without a question over which those who hold a list spread their calls at most.
const SPREAD_MOST: f64 = 0.8;
/// Parts of the mean gap at which a call is made again: from the first, by chance up to one gap later.
const GAP_FROM: f64 = 0.5;
/// The first pause in s after a failure; doubles...
const PAUSE_FIRST: f64 = 0.5;
/// ...up to this part of the longest time without a question...
const PAUSE_MOST: f64 = 0.25;
/// ...and of the time after which a change counts as told once discovery can be reached: two calls must fit
/// into it, each after a pause and half of one, for one of them may fail in the moment of its return.
const TOLD_WITHIN: f64 = 6.0;
const PAUSE_OF_TOLD: f64 = 0.25;
/// Part of the longest time without a question after which a call that nothing came of is made anew.
const AGAIN_AFTER: f64 = 0.5;

/// One gateway's subscription.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct DiscoverySchedule {
    watching: bool,
    /// It holds a list, from now or from before.
    holds: bool,
    /// When the call that is out was made.
    called: Option<f64>,
    ask_at: Option<f64>,
    failures: i32,
    /// The call's window was shorter than the calls of all need.
    cut: bool,
    /// Calls a second that discovery is taken to bear, from all gateways.
    rate: f64,
}

impl Default for DiscoverySchedule {
    fn default() -> Self {
        Self {
            watching: false,
            holds: false,
            called: None,
            ask_at: None,
            failures: 0,
            cut: false,
            rate: RATE,
        }
    }
}

impl DiscoverySchedule {
    /// Discovery told something.
    pub fn update_received(&mut self, now: f64) {
        if self.called.take().is_some_and(|called| now - called < AT_ONCE) {
            self.rate = (self.rate + RATE_STEP).min(RATE * RATE_BOUNDS.1);
        }
        (self.watching, self.holds, self.failures) = (true, true, 0);
    }

    /// The list is known from elsewhere.
    pub fn list_cached(&mut self) {
        (self.watching, self.holds) = (false, true);
    }

    /// A call failed, or what was subscribed to broke. `chance` gives random numbers up to 1.
    pub fn call_failed(&mut self, now: f64, settings: &Settings, mut chance: impl FnMut() -> f64) {
        let waited = self.called.take().is_some_and(|called| now - called >= WAITED);
        // Where all had to call sooner than the queue bears, that was to be expected.
        if waited && !self.cut {
            self.rate = (self.rate / 2.0).max(RATE * RATE_BOUNDS.0);
        }
        let most = (PAUSE_MOST * secs(settings.rules.poll_interval)).min(PAUSE_OF_TOLD * TOLD_WITHIN);
        let pause = (PAUSE_FIRST * 2f64.powi(self.failures)).min(most).max(PAUSE_FIRST);
        let (window, cut) = self.window(settings, waited);
        let gap = if cut { window / (GAP_FROM + 1.0) } else { window };
        self.cut = cut;
        (self.watching, self.failures) = (false, (self.failures + 1).min(16));
        self.ask_at = Some(now + pause.max(gap) * (GAP_FROM + chance()));
    }

    /// Whether a call is due; it is made then. The first one comes at once only where all may.
    pub fn is_call_due(&mut self, now: f64, settings: &Settings, chance: impl FnOnce() -> f64) -> bool {
        if self.watching {
            return false;
        }
        if self.ask_at.is_none() {
            let (window, cut) = self.window(settings, false);
            (self.ask_at, self.cut) = (Some(now + window * chance()), cut);
        }
        let due = self.ask_at.is_some_and(|at| now >= at);
        if due {
            self.called = Some(now);
            self.ask_at = Some(now + AGAIN_AFTER * secs(settings.rules.poll_interval));
        }
        due
    }

    /// Time in s over which the calls of all are spread, and whether they need more. Once a call has `waited`
    /// in vain there is more time (a failed call counts as a question for four times as long), and what the
    /// queue bears goes first: calls that fail tell nobody anything.
    fn window(&self, settings: &Settings, waited: bool) -> (f64, bool) {
        let needed = ((f64::from(settings.instance_count) - BURST).max(0.0) / self.rate).min(MAX_WINDOW_SECS);
        let bound = SPREAD_MOST * secs(settings.rules.poll_interval);
        let cut = self.holds && !waited && needed > bound;
        (if cut { bound } else { needed }, cut)
    }
}

#[cfg(test)]
mod tests;
