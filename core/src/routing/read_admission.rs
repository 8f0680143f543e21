//! Load shedding of reads in a large fleet.
//!
//! Where the minimum concurrency limits of all instances together exceed what a server should hold, no limit
//! protects the servers. Then the share of reads that is admitted follows the share that is answered within
//! the latency objective, and reads of the highest priority weight per second of work are admitted first.
//! Owns the mix of read classes and the in-time share of all groups; each group has a [`GroupAdmission`].
//! The servers are protected where all of them are late; where reads are late for another cause, such as one
//! faulty server of two, some are rejected needlessly.

use crate::api::{ClassId, GroupId, Settings};
use crate::ewma::Ewma;

use super::fleet::is_large_fleet;
use super::group::GroupTable;
use super::latency_estimates::LatencyEstimates;
use super::ATTEMPT_EWMA;

/// In-time share of reads below which fewer are admitted.
const MIN_IN_TIME_SHARE: f64 = 0.7;
/// Least share of reads that is admitted, so that their responses show when the overload is over.
const MIN_ADMITTED_SHARE: f64 = 0.08;
/// Factor of the admitted share for each response while too few are in time.
const ADMITTED_SHARE_DECREASE: f64 = 0.85;
/// Factor of the admitted share for each response while enough are in time.
const ADMITTED_SHARE_INCREASE: f64 = 1.06;
/// What is left of the class mix with each further read: the last hundred reads count.
const MIX_DECAY: f64 = 0.99;
/// Share of rejected reads above which a group counts as shedding load.
const SHEDDING_THRESHOLD: f64 = 0.05;

/// Load shedding of one group's reads.
#[derive(Default)]
pub(super) struct GroupAdmission {
    in_time: Ewma,
    rejected_share: f64,
}

impl GroupAdmission {
    /// Share of reads that is admitted.
    pub fn admitted_share(&self) -> f64 {
        1.0 - self.rejected_share
    }

    /// Whether more than a few reads are rejected.
    pub fn is_shedding(&self) -> bool {
        self.rejected_share > SHEDDING_THRESHOLD
    }

    /// Moves the admitted share by what is known of the group; `prior` is the in-time share of all groups.
    fn adjust(&mut self, now: f64, prior: f64) {
        let is_in_time = self.in_time.estimate(now, prior, &ATTEMPT_EWMA) >= MIN_IN_TIME_SHARE;
        let step = if is_in_time { ADMITTED_SHARE_INCREASE } else { ADMITTED_SHARE_DECREASE };
        self.rejected_share = 1.0 - ((1.0 - self.rejected_share) * step).clamp(MIN_ADMITTED_SHARE, 1.0);
    }
}

/// Load shedding over all groups.
pub(super) struct ReadAdmission {
    in_time: Ewma,
    /// How often each class of reads arrived recently.
    class_mix: Vec<f64>,
}

impl ReadAdmission {
    /// Admits all reads.
    pub fn new(class_count: usize) -> Self {
        Self { in_time: Ewma::default(), class_mix: vec![0.0; class_count] }
    }

    /// A class, known or new, begins anew.
    pub fn reset_class(&mut self, index: usize) {
        match self.class_mix.get_mut(index) {
            Some(count) => *count = 0.0,
            None => self.class_mix.push(0.0),
        }
    }

    /// Whether a read of a class is admitted to a group with this admitted share. `draw` is a random number
    /// below 1.
    pub fn admits(
        &mut self,
        class: ClassId,
        admitted_share: f64,
        settings: &Settings,
        latencies: &LatencyEstimates,
        draw: f64,
    ) -> bool {
        self.class_mix.iter_mut().for_each(|count| *count *= MIX_DECAY);
        self.class_mix[class.0] += 1.0;
        let value =
            |index: usize| settings.classes[index].priority_weight / latencies.divisor_secs(ClassId(index));
        let ranked_above = |(index, _): &(usize, &f64)| value(*index) > value(class.0);
        let above: f64 = self.class_mix.iter().enumerate().filter(ranked_above).map(|(_, count)| count).sum();
        let all: f64 = self.class_mix.iter().sum();
        draw * self.class_mix[class.0] < admitted_share * all - above || admitted_share >= 1.0
    }

    /// A read of a group ended within its latency objective.
    pub fn read_in_time(&mut self, group: GroupId, groups: &mut GroupTable, settings: &Settings, now: f64) {
        self.record(group, 1.0, groups, settings, now);
    }

    /// A read of a group ended late or was rejected by its server.
    pub fn read_late(&mut self, group: GroupId, groups: &mut GroupTable, settings: &Settings, now: f64) {
        self.record(group, 0.0, groups, settings, now);
    }

    fn record(
        &mut self,
        group: GroupId,
        in_time: f64,
        groups: &mut GroupTable,
        settings: &Settings,
        now: f64,
    ) {
        if !is_large_fleet(settings) {
            return;
        }
        // Without gossip one instance sees too little of a group: then each read moves all groups, each by
        // what is known of it.
        let is_pooled = !settings.limits.allow_gossip;
        self.in_time.record(now, in_time, &ATTEMPT_EWMA);
        let prior = if is_pooled { self.in_time.estimate(now, 1.0, &ATTEMPT_EWMA) } else { 1.0 };
        for (id, entry) in groups.iter_mut().filter(|(id, _)| is_pooled || *id == group) {
            let admission = entry.admission_mut();
            if id == group {
                admission.in_time.record(now, in_time, &ATTEMPT_EWMA);
            }
            admission.adjust(now, prior);
        }
    }
}
