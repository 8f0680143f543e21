//! Load shedding of reads in a large fleet.
//!
//! In a large fleet the minimum concurrency limits of all instances together exceed what a server can hold,
//! so the limits do not protect the servers. Instead, the share of admitted reads follows the share of reads
//! that are answered within the latency objective. Reads with the highest priority weight per second of work
//! are admitted first. Owns the mix of read classes and the in-time share of all groups; each group has a
//! [`GroupAdmission`]. Load shedding protects the servers when all of them are late. When reads are late for
//! another reason, such as one faulty server of two, some reads are rejected needlessly.

use crate::api::{ClassId, GroupId, Settings};
use crate::ewma::Ewma;

use super::fleet::is_large_fleet;
use super::group::GroupTable;
use super::latency_estimates::LatencyEstimates;
use super::ATTEMPT_EWMA;

/// In-time share of reads below which the share of admitted reads is reduced.
const MIN_IN_TIME_SHARE: f64 = 0.7;
/// Lower bound of the share of admitted reads. The responses to these reads show when the overload is over.
const MIN_ADMITTED_SHARE: f64 = 0.08;
/// Factor of the admitted share for each response while the in-time share is too low.
const ADMITTED_SHARE_DECREASE: f64 = 0.85;
/// Factor of the admitted share for each response while the in-time share is high enough.
const ADMITTED_SHARE_INCREASE: f64 = 1.06;
/// Factor of the class mix for each further read, so that about the last hundred reads count.
const MIX_DECAY: f64 = 0.99;
/// Share of rejected reads above which a group counts as shedding load.
const SHEDDING_THRESHOLD: f64 = 0.05;

/// Load shedding of one group's reads.
#[derive(Default)]
pub(super) struct GroupAdmission {
    in_time_share: Ewma,
    rejected_share: f64,
}

impl GroupAdmission {
    /// Returns the share of reads that is admitted.
    pub fn admitted_share(&self) -> f64 {
        1.0 - self.rejected_share
    }

    /// Returns whether enough reads are rejected for the group to count as shedding load.
    pub fn is_shedding(&self) -> bool {
        self.rejected_share > SHEDDING_THRESHOLD
    }

    /// Adjusts the admitted share by the group's in-time share. `prior` is the in-time share that is assumed
    /// as long as the group has few responses.
    fn adjust(&mut self, now: f64, prior: f64) {
        let is_in_time = self.in_time_share.estimate(now, prior, &ATTEMPT_EWMA) >= MIN_IN_TIME_SHARE;
        let factor = if is_in_time { ADMITTED_SHARE_INCREASE } else { ADMITTED_SHARE_DECREASE };
        self.rejected_share = 1.0 - ((1.0 - self.rejected_share) * factor).clamp(MIN_ADMITTED_SHARE, 1.0);
    }
}

/// Load shedding of the reads of all groups.
pub(super) struct ReadAdmission {
    in_time_share: Ewma,
    /// Decaying count of recent reads by class.
    class_mix: Vec<f64>,
}

impl ReadAdmission {
    /// Creates a state that admits all reads. `class_count` is the number of classes in the settings.
    pub fn new(class_count: usize) -> Self {
        Self { in_time_share: Ewma::default(), class_mix: vec![0.0; class_count] }
    }

    /// Resets the count of an existing class, or adds a new class.
    pub fn reset_class(&mut self, index: usize) {
        match self.class_mix.get_mut(index) {
            Some(count) => *count = 0.0,
            None => self.class_mix.push(0.0),
        }
    }

    /// Returns whether a read is admitted to a group with the given admitted share. `draw` is a random number
    /// from 0 to 1.
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
        let weight_per_sec =
            |index: usize| settings.classes[index].priority_weight / latencies.divisor_secs(ClassId(index));
        let ranked_above = |(index, _): &(usize, &f64)| weight_per_sec(*index) > weight_per_sec(class.0);
        let count_above: f64 =
            self.class_mix.iter().enumerate().filter(ranked_above).map(|(_, count)| count).sum();
        let total_count: f64 = self.class_mix.iter().sum();
        draw * self.class_mix[class.0] < admitted_share * total_count - count_above || admitted_share >= 1.0
    }

    /// Records a read that was served within its latency objective.
    pub fn record_in_time(&mut self, group: GroupId, groups: &mut GroupTable, settings: &Settings, now: f64) {
        self.record(group, 1.0, groups, settings, now);
    }

    /// Records a read that ended late or was rejected by its server.
    pub fn record_late(&mut self, group: GroupId, groups: &mut GroupTable, settings: &Settings, now: f64) {
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
        // Without gossip, one instance gets too few responses of a single group. Each read then adjusts all
        // groups, each by its own in-time share and that of all groups.
        let is_pooled = !settings.limits.allow_gossip;
        self.in_time_share.record(now, in_time, &ATTEMPT_EWMA);
        let prior = if is_pooled { self.in_time_share.estimate(now, 1.0, &ATTEMPT_EWMA) } else { 1.0 };
        for (id, entry) in groups.iter_mut().filter(|(id, _)| is_pooled || *id == group) {
            let admission = entry.admission_mut();
            if id == group {
                admission.in_time_share.record(now, in_time, &ATTEMPT_EWMA);
            }
            admission.adjust(now, prior);
        }
    }
}
