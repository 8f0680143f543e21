//! Counts of actions and events, with which the test checks what the cases cover.

use pipittack_core::api::Action;

/// Counts of one case or of all cases.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counters {
    pub steps: u64,
    pub attempts: u64,
    pub retries: u64,
    pub rejections: u64,
    pub rejected_writes: u64,
    pub failures: u64,
    pub cancels: u64,
    pub health_checks: u64,
    pub watches: u64,
    pub polls: u64,
    pub idle_closes: u64,
    pub gossip: u64,
    pub timers: u64,
    pub log_lines: u64,
    pub served: u64,
    /// Writes that arrived while their replica set could not serve writes, and were served after a failover.
    pub buffered_writes: u64,
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
            Action::Forward { .. } => &mut self.attempts,
            Action::Reject { .. } => &mut self.rejections,
            Action::Fail { .. } => &mut self.failures,
            Action::Cancel { .. } => &mut self.cancels,
            Action::HealthCheck { .. } => &mut self.health_checks,
            Action::Watch { .. } => &mut self.watches,
            Action::Poll => &mut self.polls,
            Action::CloseIdleConnections { .. } => &mut self.idle_closes,
            Action::Gossip { .. } => &mut self.gossip,
            Action::SetTimer { .. } => &mut self.timers,
            Action::Log(_) => &mut self.log_lines,
        };
        *count += 1;
    }

    /// Adds the counts of another case.
    pub fn add(&mut self, other: &Self) {
        self.steps += other.steps;
        self.attempts += other.attempts;
        self.retries += other.retries;
        self.rejections += other.rejections;
        self.rejected_writes += other.rejected_writes;
        self.failures += other.failures;
        self.cancels += other.cancels;
        self.health_checks += other.health_checks;
        self.watches += other.watches;
        self.polls += other.polls;
        self.idle_closes += other.idle_closes;
        self.gossip += other.gossip;
        self.timers += other.timers;
        self.log_lines += other.log_lines;
        self.served += other.served;
        self.buffered_writes += other.buffered_writes;
        self.promotions += other.promotions;
        self.snapshots += other.snapshots;
        self.pauses += other.pauses;
        self.reloads += other.reloads;
        self.streams += other.streams;
    }
}
