//! State of one database server as this proxy instance sees it.
//!
//! Owns the server's state in the endpoint list, its load, concurrency limit, warm-up and replication state,
//! and the evidence of faults. A server that the endpoint list or the operators have withdrawn receives no
//! new attempts. Times are seconds on the engine's clock.

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
pub(super) use warm_up::WarmServerRate;

use crate::api::{Endpoint, GroupId, ServiceRules, Settings, ZoneId};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::ewma::Ewma;
use listing::Listing;
use load::AttemptLoad;
use replication::ReplicationStatus;
use warm_up::WarmUp;

use super::fleet::instance_share;
use super::ATTEMPT_EWMA;

/// Lower bound of a server's relative capacity.
const MIN_RELATIVE_CAPACITY: f64 = 1e-3;
/// Upper bound of the slowness ratio that a single response contributes.
const MAX_SLOWNESS_RATIO: f64 = 10.0;

/// A database server.
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
    /// Time at which the server last refused a connection; 0 if never.
    connection_refused_at: f64,
    is_health_check_pending: bool,
    probed_at: f64,
    /// Evidence that the server does not respond, as log odds.
    suspicion: f64,
    down: Option<DownState>,
}

impl Server {
    /// Creates a server from its first entry in the endpoint list.
    pub fn new(entry: &Endpoint, now: f64, settings: &Settings) -> Self {
        let concurrency_limit = ConcurrencyLimit::new(now, instance_share(settings));
        Self { zone: entry.zone, group: entry.group, concurrency_limit, ..Self::default() }
    }

    /// Returns the zone of the server.
    pub fn zone(&self) -> ZoneId {
        self.zone
    }

    /// Returns the group that the server belongs to.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Returns the capacity of the server relative to the other servers.
    pub fn relative_capacity(&self) -> f64 {
        self.relative_capacity
    }

    /// Returns the server's state in the endpoint list, and whether operators took it out of service.
    pub fn listing(&self) -> &Listing {
        &self.listing
    }

    /// Returns a mutable reference to the server's state in the endpoint list, and whether operators took it
    /// out of service.
    pub fn listing_mut(&mut self) -> &mut Listing {
        &mut self.listing
    }

    /// Returns whether the endpoint list or the operators forbid new attempts to the server.
    pub fn is_closed(&self) -> bool {
        self.listing.is_closed()
    }

    /// Returns the load that this proxy instance puts on the server.
    pub fn load(&self) -> &AttemptLoad {
        &self.load
    }

    /// Returns the warm-up state.
    pub fn warm_up(&self) -> &WarmUp {
        &self.warm_up
    }

    /// Returns the mutable warm-up state.
    pub fn warm_up_mut(&mut self) -> &mut WarmUp {
        &mut self.warm_up
    }

    /// Returns the replication state.
    pub fn replication(&self) -> &ReplicationStatus {
        &self.replication
    }

    /// Returns the mutable replication state.
    pub fn replication_mut(&mut self) -> &mut ReplicationStatus {
        &mut self.replication
    }

    /// Returns the down state; `None` if the server is up.
    pub fn down(&self) -> Option<&DownState> {
        self.down.as_ref()
    }

    /// Returns the mutable down state; `None` if the server is up.
    pub fn down_mut(&mut self) -> Option<&mut DownState> {
        self.down.as_mut()
    }

    /// Returns whether the server is not down.
    pub fn is_up(&self) -> bool {
        self.down.is_none()
    }

    /// Returns the maximum number of attempts in flight at the server.
    pub fn concurrency_limit(&self) -> f64 {
        self.concurrency_limit.limit
    }

    /// Returns whether the server has completed its warm-up.
    pub fn is_warm(&self, now: f64, rules: &ServiceRules) -> bool {
        self.warm_up.capacity_share(now, rules) >= 1.0
    }

    /// Returns whether the server can take one more attempt now: it is up, below its concurrency limit and
    /// not in backoff.
    pub fn has_capacity(&self, now: f64) -> bool {
        self.is_up()
            && self.load.in_flight() < self.concurrency_limit.limit.floor()
            && now >= self.backoff_until
    }

    /// Returns the ratio of the server's response times to the usual response times.
    pub fn slowness(&self, now: f64) -> f64 {
        self.slowness.estimate(now, 1.0, &ATTEMPT_EWMA)
    }

    /// Returns the share of the server's attempts that ended with an error of the server, from 0 to 1.
    pub fn error_share(&self, now: f64) -> f64 {
        self.errors.estimate(now, 0.0, &ATTEMPT_EWMA)
    }

    /// Returns the seconds since the oldest attempt in flight was sent or the server last responded,
    /// whichever is later; 0 if no attempt is in flight.
    pub fn silence_secs(&self, now: f64) -> f64 {
        (now - self.load.oldest_sent_at().max(self.replication.last_response_at())).max(0.0)
    }

    /// Applies an entry of the endpoint list, except its role and start time.
    pub fn apply_entry(&mut self, entry: &Endpoint, removal: RemovalRule) {
        self.listing.apply_state(entry.state, removal);
        self.zone = entry.zone;
        self.relative_capacity = entry.relative_capacity.max(MIN_RELATIVE_CAPACITY);
    }

    /// Starts the warm-up of a restarted process with an initial `budget`, in average requests.
    pub fn process_started(&mut self, started_at: f64, budget: f64) {
        self.warm_up.restart(started_at, budget);
        self.replication.restarted();
    }

    /// Starts a warm-up and resets the concurrency limit, because the process may have restarted while the
    /// server was down.
    pub fn recovered_after_restart(&mut self, now: f64, settings: &Settings) {
        self.warm_up.restart(now, 0.0);
        self.concurrency_limit = ConcurrencyLimit::new(now, instance_share(settings));
    }

    /// Returns the server to service after the operators' request. Its process may have restarted in the
    /// meantime.
    pub fn return_to_service(&mut self, now: f64, settings: &Settings) {
        self.listing.return_to_service();
        self.down = None;
        self.suspicion = 0.0;
        self.process_started(now, 1.0);
        self.concurrency_limit = ConcurrencyLimit::new(now, instance_share(settings));
    }

    /// Records that an attempt is sent. `cost` is its work in average requests.
    pub fn attempt_sent(&mut self, now: f64, expected_secs: f64, cost: f64, rules: &ServiceRules) {
        self.load.start(now, expected_secs);
        let peak = self.concurrency_limit.peak_in_flight.max(self.load.in_flight());
        self.concurrency_limit.peak_in_flight = peak;
        if !self.is_warm(now, rules) {
            self.warm_up.spend(cost);
        }
    }

    /// Records the end of an attempt, which occupies the server until `expires_at`.
    pub fn attempt_ended(&mut self, now: f64, expires_at: f64, expected_secs: f64) {
        self.load.end(now, expires_at, expected_secs);
    }

    /// Releases expired reservations and resets the send time of the oldest attempt. The caller then passes
    /// each attempt in flight to [`Self::observe_in_flight`].
    pub fn refresh_load(&mut self, now: f64) {
        self.load.refresh(now);
    }

    /// Updates the send time of the oldest attempt with an attempt in flight.
    pub fn observe_in_flight(&mut self, sent_at: f64) {
        self.load.observe_sent_at(sent_at);
    }

    /// Records the ratio of a response time to the usual response time of its class.
    pub fn record_slowness(&mut self, now: f64, ratio: f64) {
        self.slowness.record(now, ratio.min(MAX_SLOWNESS_RATIO), &ATTEMPT_EWMA);
    }

    /// Records a completion that was early enough to count as throughput.
    pub fn record_completion_in_time(&mut self) {
        self.concurrency_limit.record_completion(true);
    }

    /// Records a completion that was too late to count as throughput.
    pub fn record_late_completion(&mut self) {
        self.concurrency_limit.record_completion(false);
    }

    /// Records an attempt that ended with an error of the server.
    pub fn record_error(&mut self, now: f64) {
        self.errors.record(now, 1.0, &ATTEMPT_EWMA);
    }

    /// Records an attempt that ended without an error of the server.
    pub fn record_no_error(&mut self, now: f64) {
        self.errors.record(now, 0.0, &ATTEMPT_EWMA);
    }

    /// Ends the period of the concurrency limit if it is due. `queued` is the number of requests that wait
    /// for the server's group. A period in which the server was down or warming up does not count.
    pub fn end_limit_period_if_due(&mut self, now: f64, queued: usize, rules: &ServiceRules) {
        if !self.is_up() || !self.is_warm(now, rules) {
            self.concurrency_limit.is_period_valid = false;
        }
        self.concurrency_limit.end_period_if_due(now, self.load.in_flight(), queued as f64);
    }

    /// Restores the concurrency limit from the snapshot of the predecessor process.
    pub fn restore_concurrency_limit(&mut self, now: f64, limit: f64) {
        self.concurrency_limit = ConcurrencyLimit::with_limit(now, limit);
    }
}

#[cfg(test)]
mod test_support;
