//! What occurred in the scripts, so that the test can prove that they reach what they are meant to reach.

use pipittack_core::api::Action;

/// Counts over one case or all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    pub steps: u64,
    pub sends: u64,
    pub retries: u64,
    pub rejections: u64,
    pub rejected_writes: u64,
    pub failures: u64,
    pub cancels: u64,
    pub probes: u64,
    pub watches: u64,
    pub fetches: u64,
    pub closes: u64,
    pub gossip: u64,
    pub timers: u64,
    pub logs: u64,
    pub served: u64,
    /// Writes that arrived while their replica set had no primary, and were served by a later one.
    pub writes_held: u64,
    pub promotions: u64,
    pub snapshots: u64,
    pub pauses: u64,
    pub reloads: u64,
    pub streams: u64,
}

impl Counters {
    /// Counts an action by its variant.
    pub fn action(&mut self, action: &Action) {
        let count = match action {
            Action::Forward { .. } => &mut self.sends,
            Action::Reject { .. } => &mut self.rejections,
            Action::Fail { .. } => &mut self.failures,
            Action::Cancel { .. } => &mut self.cancels,
            Action::HealthCheck { .. } => &mut self.probes,
            Action::Watch { .. } => &mut self.watches,
            Action::Poll => &mut self.fetches,
            Action::CloseIdleConnections { .. } => &mut self.closes,
            Action::Gossip { .. } => &mut self.gossip,
            Action::SetTimer { .. } => &mut self.timers,
            Action::Log(_) => &mut self.logs,
        };
        *count += 1;
    }

    /// Adds the counts of another case.
    pub fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.sends += other.sends;
        self.retries += other.retries;
        self.rejections += other.rejections;
        self.rejected_writes += other.rejected_writes;
        self.failures += other.failures;
        self.cancels += other.cancels;
        self.probes += other.probes;
        self.watches += other.watches;
        self.fetches += other.fetches;
        self.closes += other.closes;
        self.gossip += other.gossip;
        self.timers += other.timers;
        self.logs += other.logs;
        self.served += other.served;
        self.writes_held += other.writes_held;
        self.promotions += other.promotions;
        self.snapshots += other.snapshots;
        self.pauses += other.pauses;
        self.reloads += other.reloads;
        self.streams += other.streams;
    }
}
