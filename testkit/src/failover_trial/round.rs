//! Rounds of a failover trial: the choice of a fault for each round and the steps that inject it.

use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::fault::FaultKind;
use super::{member_uid, Trial, SETTLE_MS};
use crate::replica_set::{MemberState, ReplicaSet, Role};

// Ranges of the platform's random times, in milliseconds before scaling.
const DETECTION_MS: Range<f64> = 1000.0..2400.0;
const ELECTION_MS: Range<f64> = 1900.0..3800.0;
const HANDOVER_MS: Range<f64> = 320.0..800.0;
const SHORT_PAUSE_MS: Range<f64> = 120.0..390.0;
const DISCOVERY_DELAY_MS: Range<f64> = 1200.0..4900.0;
const DRAIN_NOTICE_DELAY_MS: Range<f64> = 50.0..300.0;
const DRAIN_BEFORE_PAUSE_MS: Range<f64> = 50.0..250.0;
const DRAIN_BEFORE_EXIT_MS: Range<f64> = 1000.0..1500.0;
const PROCESS_RESTART_MS: Range<f64> = 300.0..600.0;
const RECOVERY_MS: Range<f64> = 600.0..1500.0;
const STALE_PRIMARY_MS: Range<f64> = 300.0..900.0;
const SUCCESSOR_UPTIME_MS: Range<f64> = 5.0..200.0;
/// Interval at which the replicas are polled during a handover.
const REPLICATION_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// One in this many rounds injects its fault into all replica sets at once.
const SIMULTANEOUS_ROUND_INTERVAL: usize = 10;

/// A completed round.
pub(super) struct Round {
    pub(super) kind: FaultKind,
    pub(super) started_at: Instant,
    pub(super) ended_at: Instant,
    /// Last failover of the round, or `None` if no replica was promoted.
    pub(super) failover: Option<Failover>,
}

/// Promotion of a new primary in a completed round.
pub(super) struct Failover {
    pub(super) promoted_at: Instant,
    /// Time from the promotion to the new primary's first write, or `None` if no write came.
    pub(super) time_to_first_write: Option<Duration>,
}

/// Promotion of a new primary in the active round.
struct Promotion {
    at: Instant,
    /// Index of the new primary.
    member: usize,
}

/// A round in progress.
struct ActiveRound<'a> {
    trial: &'a Trial,
    /// Index of the replica set.
    set: usize,
    replica_set: &'a ReplicaSet,
    rng: &'a mut Pcg64Mcg,
    /// Time from a promotion until discovery announces the new roles.
    discovery_delay: Duration,
    last_promotion: Option<Promotion>,
}

impl Round {
    /// Returns whether `time` is within the round.
    pub(super) fn contains(&self, time: Instant) -> bool {
        self.started_at <= time && time < self.ended_at
    }
}

impl Trial {
    /// Runs all rounds of a replica set.
    pub(super) fn run_rounds(&self, set: usize) -> Vec<Round> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.options.seed ^ (set as u64) << 40);
        let mut kinds: Vec<FaultKind> = match self.options.only_kind {
            Some(kind) => vec![kind],
            None => FaultKind::ALL
                .into_iter()
                .filter(|kind| *kind != FaultKind::ProxyUpgrade || set == 0)
                .collect(),
        };
        kinds.shuffle(&mut rng);
        // If the rounds do not divide evenly, the first sets run one round more. The barrier requires the
        // same number of simultaneous rounds for each set.
        let common_rounds = self.options.rounds / self.options.replica_set_count;
        let set_rounds =
            common_rounds + usize::from(set < self.options.rounds % self.options.replica_set_count);
        let mut rounds = Vec::new();
        thread::sleep(self.options.scaled(SETTLE_MS));
        for number in 0..set_rounds {
            let mut kind = kinds[number % kinds.len()];
            let is_last_of_interval = number % SIMULTANEOUS_ROUND_INTERVAL == SIMULTANEOUS_ROUND_INTERVAL - 1;
            if is_last_of_interval && number < common_rounds {
                self.barrier.wait();
                kind = self.options.only_kind.unwrap_or(FaultKind::PrimaryPaused);
            }
            rounds.push(self.run_round(set, kind, &mut rng));
            if self.options.verbose {
                eprintln!("replica set {set} after {kind:?}: {}", self.replica_sets[set].describe());
            }
        }
        rounds
    }

    fn run_round(&self, set: usize, kind: FaultKind, rng: &mut Pcg64Mcg) -> Round {
        let replica_set = &self.replica_sets[set];
        let started_at = Instant::now();
        let primary = replica_set.primary().expect("the previous round ended with a primary");
        let discovery_delay = self.options.random_duration(rng, DISCOVERY_DELAY_MS);
        let mut round =
            ActiveRound { trial: self, set, replica_set, rng, discovery_delay, last_promotion: None };
        round.inject(kind, primary);
        let last_promotion = round.last_promotion;
        thread::sleep(self.options.scaled(SETTLE_MS));
        let failover = last_promotion.map(|promotion| Failover {
            promoted_at: promotion.at,
            time_to_first_write: replica_set.time_to_first_write(promotion.member),
        });
        Round { kind, started_at, ended_at: Instant::now(), failover }
    }
}

impl ActiveRound<'_> {
    /// Injects a fault and restores the replica set.
    fn inject(&mut self, kind: FaultKind, primary: usize) {
        match kind {
            FaultKind::ShortPause => self.pause_briefly(primary),
            FaultKind::Switchover => self.switch_over(primary),
            FaultKind::DrainingSwitchover => self.drain_and_switch_over(primary),
            FaultKind::PauseWhileDraining => self.pause_while_draining(primary),
            FaultKind::PrimaryPaused => self.fail_over(primary, MemberState::Paused),
            FaultKind::PrimaryCrash => self.fail_over(primary, MemberState::Crashed),
            FaultKind::NetworkPartition => self.fail_over(primary, MemberState::Partitioned),
            FaultKind::DiscoverySilent => {
                self.trial.discovery.silence();
                self.fail_over(primary, MemberState::Paused);
                self.trial.discovery.resume();
            }
            FaultKind::ProxyUpgrade => self.fail_over_during_upgrade(primary),
            FaultKind::StalePrimary => {
                self.replace_unreachable(primary);
                self.wait(STALE_PRIMARY_MS);
                self.act_as_stale_primary(primary);
            }
            FaultKind::ConcurrentPrimaries => {
                self.replace_unreachable(primary);
                self.act_as_stale_primary(primary);
            }
            FaultKind::SuccessorCrash => self.crash_successor(primary),
        }
    }

    fn pause_briefly(&mut self, primary: usize) {
        self.replica_set.set_member_state(primary, MemberState::Paused);
        self.wait(SHORT_PAUSE_MS);
        self.replica_set.recover(primary, Role::Primary);
    }

    fn switch_over(&mut self, primary: usize) {
        self.replica_set.begin_handover(primary);
        self.hand_over(primary);
        self.replica_set.recover(primary, Role::Replica);
    }

    fn drain_and_switch_over(&mut self, primary: usize) {
        self.announce_draining(primary);
        self.replica_set.begin_draining(primary);
        self.hand_over(primary);
        self.wait(DRAIN_BEFORE_EXIT_MS);
        self.replica_set.set_member_state(primary, MemberState::Crashed);
        self.wait(PROCESS_RESTART_MS);
        self.replica_set.recover(primary, Role::Replica);
        self.announce_ready(primary);
    }

    fn pause_while_draining(&mut self, primary: usize) {
        self.announce_draining(primary);
        self.replica_set.begin_draining(primary);
        self.wait(DRAIN_BEFORE_PAUSE_MS);
        self.fail_over(primary, MemberState::Paused);
        self.announce_ready(primary);
    }

    /// Makes the primary fail, promotes a replica, and lets the former primary return as a replica.
    fn fail_over(&mut self, primary: usize, failure: MemberState) {
        self.replica_set.set_member_state(primary, failure);
        self.wait(DETECTION_MS);
        self.elect_and_recover(primary);
    }

    fn fail_over_during_upgrade(&mut self, primary: usize) {
        self.replica_set.set_member_state(primary, MemberState::Paused);
        self.wait(DETECTION_MS);
        self.trial.proxy().upgrade().expect("the proxy is upgraded by hot restart");
        self.elect_and_recover(primary);
    }

    /// Replaces a primary whose failure was detected, and lets it return as a replica.
    fn elect_and_recover(&mut self, primary: usize) {
        self.wait(ELECTION_MS);
        self.promote(primary);
        self.wait(RECOVERY_MS);
        self.replica_set.recover(primary, Role::Replica);
    }

    /// Pauses or partitions the primary and promotes a replica.
    fn replace_unreachable(&mut self, primary: usize) {
        let is_paused = self.rng.random_bool(0.5);
        let failure = if is_paused { MemberState::Paused } else { MemberState::Partitioned };
        self.replica_set.set_member_state(primary, failure);
        self.wait(DETECTION_MS);
        self.wait(ELECTION_MS);
        self.promote(primary);
    }

    /// Lets a replaced primary return as a stale primary, and demotes it after a while.
    fn act_as_stale_primary(&mut self, member: usize) {
        self.replica_set.recover(member, Role::StalePrimary);
        self.wait(STALE_PRIMARY_MS);
        self.replica_set.demote(member);
    }

    fn crash_successor(&mut self, primary: usize) {
        self.replica_set.set_member_state(primary, MemberState::Paused);
        self.wait(DETECTION_MS);
        self.wait(ELECTION_MS);
        let successor = self.promote(primary).expect("two replicas are running");
        self.wait(SUCCESSOR_UPTIME_MS);
        self.replica_set.set_member_state(successor, MemberState::Crashed);
        self.wait(DETECTION_MS);
        self.replica_set.recover(primary, Role::Replica); // the remaining member needs a replica
        self.wait(ELECTION_MS);
        self.promote(successor);
        self.wait(PROCESS_RESTART_MS);
        self.replica_set.recover(successor, Role::Replica);
    }

    /// Promotes a replica as soon as one has all writes of the primary.
    fn hand_over(&mut self, primary: usize) {
        self.wait(HANDOVER_MS);
        while !self.replica_set.is_replicated(primary) {
            thread::sleep(REPLICATION_POLL_INTERVAL);
        }
        self.promote(primary);
    }

    /// Promotes a replica. Discovery announces the new roles after `discovery_delay`.
    fn promote(&mut self, previous: usize) -> Option<usize> {
        let promoted = self.replica_set.promote();
        self.last_promotion = promoted.map(|member| Promotion { at: Instant::now(), member });
        self.announce_role(previous, Role::Replica);
        if let Some(promoted) = promoted {
            self.announce_role(promoted, Role::Primary);
        }
        promoted
    }

    fn announce_role(&self, member: usize, role: Role) {
        let is_primary = role == Role::Primary;
        let uid = member_uid(self.set, member);
        self.trial.discovery.update(&uid, self.discovery_delay, |endpoint| endpoint.is_primary = is_primary);
    }

    fn announce_draining(&mut self, member: usize) {
        let delay = self.trial.options.random_duration(self.rng, DRAIN_NOTICE_DELAY_MS);
        let uid = member_uid(self.set, member);
        self.trial.discovery.update(&uid, delay, |endpoint| endpoint.state = "Terminating");
    }

    fn announce_ready(&self, member: usize) {
        let uid = member_uid(self.set, member);
        self.trial.discovery.update(&uid, Duration::ZERO, |endpoint| endpoint.state = "Ready");
    }

    /// Sleeps for a random time from a range of platform milliseconds.
    fn wait(&mut self, range_ms: Range<f64>) {
        thread::sleep(self.trial.options.random_duration(self.rng, range_ms));
    }
}
