//! One database server as this proxy instance sees it.
//!
//! Owns what the endpoint list says of the server, the attempts in flight there, its concurrency limit, its
//! warm-up, its replication state, and the evidence of faults. A server that the list or the operators
//! withdrew takes no new attempts. Times are seconds on the engine's clock.

mod down_state;
mod faults;
mod listing;
mod load;
mod replication;
mod warm_up;

pub(super) use down_state::{DownCause, DownState, TrialPolicy, FIRST_TRIAL_DELAY_SECS};
pub(super) use faults::SuspicionChange;
pub(super) use listing::RemovalRule;
pub(super) use replication::{KnownRole, StatusReport};
pub(super) use warm_up::WarmRate;

use crate::api::{Endpoint, GroupId, ServiceRules, Settings, ZoneId};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::ewma::Ewma;
use listing::Listing;
use load::AttemptLoad;
use replication::ReplicationStatus;
use warm_up::WarmUp;

use super::fleet::instance_share;
use super::ATTEMPT_EWMA;

/// Least relative capacity that is computed with.
const MIN_RELATIVE_CAPACITY: f64 = 1e-3;
/// A single response counts as at most this many times slower than usual.
const MAX_SLOWNESS: f64 = 10.0;

/// A server.
#[derive(Default)]
pub(super) struct Server {
    zone: ZoneId,
    group: GroupId,
    relative_capacity: f64,
    listing: Listing,
    load: AttemptLoad,
    warm_up: WarmUp,
    replication: ReplicationStatus,
    concurrency_limit: ConcurrencyLimit,
    slowness: Ewma,
    errors: Ewma,
    backoff_until: f64,
    /// When it last refused a connection; 0 for never.
    connection_refused_at: f64,
    is_health_check_pending: bool,
    position_checked_at: f64,
    /// Evidence that it does not respond, as log odds.
    suspicion: f64,
    down: Option<DownState>,
}

impl Server {
    /// A server that was listed for the first time.
    pub fn new(entry: &Endpoint, now: f64, settings: &Settings) -> Self {
        let concurrency_limit = ConcurrencyLimit::new(now, instance_share(settings));
        Self { zone: entry.zone, group: entry.group, concurrency_limit, ..Self::default() }
    }

    /// Its zone.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// Its replica set.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Its capacity compared with the others'.
    pub fn relative_capacity(&self) -> f64 {
        self.relative_capacity
    }

    /// What the endpoint list and the operators say of it.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// What the endpoint list and the operators say of it, to be changed.
    pub fn listing_mut(&mut self) -> &mut Listing {
        &mut self.listing
    }

    /// Whether it takes no new attempts, by the endpoint list or by the operators.
    pub fn is_closed(&self) -> bool {
        self.listing.is_closed()
    }

    /// The attempts in flight there.
    pub fn load(&self) -> &AttemptLoad {
        &self.load
    }

    /// Its warm-up after a start.
    pub fn warm_up(&self) -> &WarmUp {
        &self.warm_up
    }

    /// Its warm-up, to be changed.
    pub fn warm_up_mut(&mut self) -> &mut WarmUp {
        &mut self.warm_up
    }

    /// Its replication state.
    pub fn replication(&self) -> &ReplicationStatus {
        &self.replication
    }

    /// Its replication state, to be changed.
    pub fn replication_mut(&mut self) -> &mut ReplicationStatus {
        &mut self.replication
    }

    /// Its state while it does not respond.
    pub fn down(&self) -> Option<&DownState> {
        self.down.as_ref()
    }

    /// Its state while it does not respond, to be changed.
    pub fn down_mut(&mut self) -> Option<&mut DownState> {
        self.down.as_mut()
    }

    /// Whether it counts as responding.
    pub fn is_up(&self) -> bool {
        self.down.is_none()
    }

    /// How many attempts may be in flight there.
    pub fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.limit
    }

    /// Whether it has all of its capacity.
    pub fn is_warm(&self, now: f64, rules: &ServiceRules) -> bool {
        self.warm_up.capacity_share(now, rules) >= 1.0
    }

    /// Whether one more attempt fits its concurrency limit now.
    pub fn has_capacity(&self, now: f64) -> bool {
        self.is_up()
            && self.load.in_flight() < self.concurrency_limit.limit.floor()
            && now >= self.backoff_until
    }

    /// How many times slower than usual it responds.
    pub fn slowness(&self, now: f64) -> f64 {
        self.slowness.estimate(now, 1.0, &ATTEMPT_EWMA)
    }

    /// Share of its responses that are errors.
    pub fn error_share(&self, now: f64) -> f64 {
        self.errors.estimate(now, 0.0, &ATTEMPT_EWMA)
    }

    /// Seconds for which it has owed a response and sent none.
    pub fn silence_secs(&self, now: f64) -> f64 {
        (now - self.load.oldest_sent_at().max(self.replication.last_response_at())).max(0.0)
    }

    /// Takes over an entry of the endpoint list, all but its role and start time.
    pub fn apply_entry(&mut self, entry: &Endpoint, removal: RemovalRule) {
        self.listing.apply_state(entry.state, removal);
        self.zone = entry.zone;
        self.relative_capacity = entry.relative_capacity.max(MIN_RELATIVE_CAPACITY);
    }

    /// The endpoint list says when its process started.
    pub fn process_started(&mut self, started_at: f64, budget: f64) {
        self.warm_up.restart(started_at, budget);
        self.replication.restarted();
    }

    /// It responds again after its process was dead for long enough to have restarted.
    pub fn recovered_from_death(&mut self, now: f64, settings: &Settings) {
        self.warm_up.restart(now, 0.0);
        self.concurrency_limit = ConcurrencyLimit::new(now, instance_share(settings));
    }

    /// Operators return it to service. Its process may have restarted meanwhile.
    pub fn return_to_service(&mut self, now: f64, settings: &Settings) {
        self.listing.return_to_service();
        self.down = None;
        self.suspicion = 0.0;
        self.process_started(now, 1.0);
        self.concurrency_limit = ConcurrencyLimit::new(now, instance_share(settings));
    }

    /// An attempt is sent to it.
    pub fn attempt_sent(&mut self, now: f64, expected_secs: f64, cost: f64, rules: &ServiceRules) {
        self.load.start(now, expected_secs);
        let peak = self.concurrency_limit.peak_in_flight.max(self.load.in_flight());
        self.concurrency_limit.peak_in_flight = peak;
        if !self.is_warm(now, rules) {
            self.warm_up.spend(cost);
        }
    }

    /// An attempt ended, which occupies it until `expires_at`.
    pub fn attempt_ended(&mut self, now: f64, expires_at: f64, expected_secs: f64) {
        self.load.end(now, expires_at, expected_secs);
    }

    /// Releases expired reservations; [`Self::observe_in_flight`] finds the oldest attempt anew.
    pub fn refresh_load(&mut self, now: f64) {
        self.load.refresh(now);
    }

    /// An attempt that was sent at this time is in flight.
    pub fn observe_in_flight(&mut self, sent_at: f64) {
        self.load.observe_sent_at(sent_at);
    }

    /// A response took this many times the usual time of its class.
    pub fn record_slowness(&mut self, now: f64, ratio: f64) {
        self.slowness.record(now, ratio.min(MAX_SLOWNESS), &ATTEMPT_EWMA);
    }

    /// An attempt completed early enough to count in the throughput of the present limit.
    pub fn record_completion_in_time(&mut self) {
        self.concurrency_limit.record_completion(true);
    }

    /// An attempt completed late.
    pub fn record_late_completion(&mut self) {
        self.concurrency_limit.record_completion(false);
    }

    /// An attempt ended with an error that is the server's.
    pub fn record_error(&mut self, now: f64) {
        self.errors.record(now, 1.0, &ATTEMPT_EWMA);
    }

    /// An attempt ended without an error of the server's.
    pub fn record_no_error(&mut self, now: f64) {
        self.errors.record(now, 0.0, &ATTEMPT_EWMA);
    }

    /// Ends the period of the concurrency limit where it is due; `queued` requests wait for its group.
    pub fn end_limit_period_if_due(&mut self, now: f64, queued: usize, rules: &ServiceRules) {
        if !self.is_up() || !self.is_warm(now, rules) {
            self.concurrency_limit.is_period_valid = false;
        }
        self.concurrency_limit.end_period_if_due(now, self.load.in_flight(), queued as f64);
    }

    /// Takes over the concurrency limit of another process.
    pub fn restore_concurrency_limit(&mut self, now: f64, limit: f64) {
        self.concurrency_limit = ConcurrencyLimit::with_limit(now, limit);
    }
}

#[cfg(test)]
mod test_support;
