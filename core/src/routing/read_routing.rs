//! Selects the server for a read: the better of two random replicas that are fresh enough, with these
//! exceptions.
//!
//! A server that is down gets a read without earlier attempts as a trial. A silent primary gets test reads at
//! intervals. An idle replica that has not reported its position, or a lagging one that responds well within
//! the latency objective, is preferred for reads that it may serve. The primary serves a read that no replica
//! can serve, or that the selected replica would serve far later.

use rand::Rng;

use crate::api::{Class, Consistency, Idempotency, ServerId, StaleReadPolicy};
use crate::failover::Phase;
use crate::time::secs;

use super::cluster::Member;
use super::eligibility::SLOW_SERVER_RATIO;
use super::fleet::is_large_fleet;
use super::group::Group;
use super::open_request::OpenRequest;
use super::position_probe::{read_probe_decision, ProbeDecision, ReadProbeContext};
use super::role_probe::role_probe_target;
use super::server::{DownState, Server, TrialPolicy};
use super::view::{PlannedAttempt, RoutingView};

/// Timeout of a trial, as a multiple of the class's mean response time.
const TRIAL_TIMEOUT_FACTOR: f64 = 3.0;
/// Share of the primary's concurrency limit that is reserved for writes.
const WRITE_RESERVED_SHARE: f64 = 0.5;
/// Lag in seconds above which a replica is preferred for eventually consistent reads.
const MIN_PREFERRED_LAG_SECS: f64 = 0.1;
/// Upper bound of a lagging replica's expected response time, as a share of the latency objective.
const MAX_LAGGING_RESPONSE_SHARE: f64 = 0.75;
/// Age in seconds of a replica's last response above which its reported position is treated as outdated: the
/// replica may have advanced since.
const MIN_OUTDATED_REPORT_AGE_SECS: f64 = 1.0;

/// The random numbers for one routing decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadDraws {
    first: usize,
    second: usize,
}

impl ReadDraws {
    /// Draws both numbers from `rng`.
    pub fn new(rng: &mut impl Rng) -> Self {
        let first = rng.random::<u32>() as usize;
        let second = rng.random::<u32>() as usize;
        Self { first, second }
    }
}

/// Routing decision for a read.
pub(super) enum ReadDecision {
    /// Attempt at a server that is down, which shows whether the server responds.
    Trial(PlannedAttempt),
    /// Regular attempt, or none while the read stays queued.
    Route {
        /// The attempt; `None` if the read stays queued.
        attempt: Option<PlannedAttempt>,
        /// Member that is probed by a health check; `None` for no probe.
        probe: Option<ServerId>,
    },
}

/// Selects the server for a read.
pub(super) fn route_read(view: &RoutingView, read: &OpenRequest, draws: ReadDraws) -> ReadDecision {
    let Some(group) = view.cluster.groups().get(read.request().group) else {
        return ReadDecision::Route { attempt: None, probe: None };
    };
    let router = ReadRouter::new(view, read, group, draws);
    match router.trial() {
        Some(trial) => ReadDecision::Trial(trial),
        None => router.route(),
    }
}

/// Computes the routing decision for one read.
struct ReadRouter<'v, 'e> {
    view: &'v RoutingView<'e>,
    read: &'v OpenRequest,
    class: &'v Class,
    group: &'v Group,
    draws: ReadDraws,
    required_position: f64,
    /// Whether replicas decline reads that need newer data. If so, the router may estimate a replica's
    /// position, because a wrong estimate is noticed.
    replicas_check_staleness: bool,
    /// Eligible members that are up.
    up: Vec<Member<'v>>,
    /// Eligible members that are down.
    down: Vec<Member<'v>>,
}

impl<'v, 'e> ReadRouter<'v, 'e> {
    fn new(view: &'v RoutingView<'e>, read: &'v OpenRequest, group: &'v Group, draws: ReadDraws) -> Self {
        let is_candidate = |member: &Member| {
            !read.was_declined_by(member.id) && view.is_eligible(read, member.id, member.server)
        };
        let candidates = view.cluster.members(read.request().group).filter(is_candidate);
        let (up, down) = candidates.partition(|member| member.server.is_up());
        Self {
            view,
            read,
            class: view.class(read),
            group,
            draws,
            required_position: view.required_position(read),
            replicas_check_staleness: view.settings.stale_read_policy != StaleReadPolicy::AnswerStale,
            up,
            down,
        }
    }

    /// Returns a trial of a server that is down, if one is due. An idempotent read without earlier attempts
    /// may be a trial. If no eligible member is up, any idempotent read may be one.
    fn trial(&self) -> Option<PlannedAttempt> {
        if self.class.idempotency != Idempotency::Idempotent {
            return None;
        }
        let now = self.view.now;
        let allow_health_checks = self.view.settings.limits.allow_health_checks;
        let policy =
            if allow_health_checks { TrialPolicy::AfterHealthCheck } else { TrialPolicy::WithoutHealthCheck };
        let is_due = |down: &DownState| {
            (self.read.is_unsent() && down.is_trial_due(now, policy))
                || (self.up.is_empty() && down.is_last_resort_trial_due(now))
        };
        let due: Vec<_> =
            self.down.iter().filter(|member| member.server.down().is_some_and(is_due)).collect();
        let chosen = due.get(self.draws.first.checked_rem(due.len())?)?;
        let mean_secs = self.view.latencies.mean_secs(self.read.request().class);
        let timeout_secs = (mean_secs * TRIAL_TIMEOUT_FACTOR).min(self.read.secs_left(now));
        Some(PlannedAttempt { server: chosen.id, timeout_secs })
    }

    fn route(&self) -> ReadDecision {
        let fresh: Vec<_> = self.replicas().filter(|member| self.is_fresh(member.server)).collect();
        let replica = self.choose_replica(&fresh);
        let chosen = self.test_read_target().or_else(|| self.primary_instead_of(replica)).or(replica);
        let planned = chosen.map(|member| PlannedAttempt {
            server: member.id,
            timeout_secs: self.view.attempt_timeout_secs(self.read, member.server),
        });
        if self.class.consistency == Consistency::Linearizable {
            return ReadDecision::Route { attempt: planned, probe: self.role_probe_target() };
        }
        match self.probe_decision(!fresh.is_empty()) {
            ProbeDecision::NotNeeded => ReadDecision::Route { attempt: planned, probe: None },
            ProbeDecision::AwaitReport => ReadDecision::Route { attempt: None, probe: None },
            ProbeDecision::ProbeAndProceed(server) => {
                ReadDecision::Route { attempt: planned, probe: Some(server) }
            }
            ProbeDecision::ProbeAndWait(server) => ReadDecision::Route { attempt: None, probe: Some(server) },
        }
    }

    fn has_capacity(&self, member: &Member) -> bool {
        member.server.has_capacity(self.view.now)
    }

    fn is_primary(&self, member: &Member) -> bool {
        self.group.primary() == Some(member.id)
    }

    fn is_replica_for_read(&self, member: &Member) -> bool {
        self.class.consistency != Consistency::Linearizable && !self.is_primary(member)
    }

    /// Returns the eligible replicas that are up.
    fn replicas(&self) -> impl Iterator<Item = Member<'v>> + '_ {
        self.up.iter().copied().filter(|member| self.is_replica_for_read(member))
    }

    /// Returns whether a replica has the data that the read must see. If replicas check staleness themselves,
    /// the replica's lag is assumed to be the same as at its last report. A wrong estimate costs one declined
    /// attempt. Without the estimate, an instance that rarely gets reports would send all reads to one
    /// member.
    fn is_fresh(&self, server: &Server) -> bool {
        let replication = server.replication();
        let estimated_position = self.view.now - replication.lag_secs();
        replication.position() >= self.required_position
            || (self.replicas_check_staleness && estimated_position >= self.required_position)
    }

    fn expected_secs(&self, server: &Server) -> f64 {
        self.view.expected_response_secs(server, self.read)
    }

    /// Returns the silent primary if the read is to be sent there as a test read, which shows whether the
    /// primary responds.
    fn test_read_target(&self) -> Option<Member<'v>> {
        let target = self.group.replica_set().test_read_target(self.view.now)?;
        if self.class.idempotency != Idempotency::Idempotent || !self.read.is_unsent() {
            return None;
        }
        self.up.iter().find(|member| member.id == target && self.has_capacity(member)).copied()
    }

    fn choose_replica(&self, fresh: &[Member<'v>]) -> Option<Member<'v>> {
        let mut available: Vec<_> =
            fresh.iter().copied().filter(|member| self.has_capacity(member)).collect();
        if available.len() > 1 {
            available.retain(|member| self.read.last_failed_server() != Some(member.id));
        }
        let better = self.better_of_two(&mut available);
        let preferred =
            self.lagging_replica(&available).or_else(|| self.unreported_replica(&available)).or(better);
        if preferred.is_none() && fresh.is_empty() && self.replicas_check_staleness {
            return self.most_advanced_replica();
        }
        preferred
    }

    /// Returns the one of two random replicas with the shorter expected response time. Rotates `available` by
    /// a random number, so that instances try the replicas in different orders.
    fn better_of_two(&self, available: &mut [Member<'v>]) -> Option<Member<'v>> {
        let first_index = self.draws.first.checked_rem(available.len())?;
        let second_index = (1 + self.draws.second % (available.len() - 1).max(1)) % available.len();
        available.rotate_left(first_index);
        let first = available[0];
        let second = available[second_index];
        let is_second_better = self.expected_secs(second.server) < self.expected_secs(first.server);
        Some(if is_second_better { second } else { first })
    }

    /// Returns an idle replica that has not reported its position since its start. Such a replica serves few
    /// reads until it reports.
    fn unreported_replica(&self, available: &[Member<'v>]) -> Option<Member<'v>> {
        if self.replicas_check_staleness {
            return None;
        }
        let is_unreported = |member: &&Member| {
            member.server.load().in_flight() < 1.0 && member.server.replication().is_position_unknown()
        };
        available.iter().find(is_unreported).copied()
    }

    /// Returns the replica with the largest lag, for an eventually consistent read. That replica is too stale
    /// for other reads, so the less stale replicas stay free for them.
    fn lagging_replica(&self, available: &[Member<'v>]) -> Option<Member<'v>> {
        if is_large_fleet(self.view.settings) || self.class.consistency != Consistency::Eventual {
            return None;
        }
        let max_secs = MAX_LAGGING_RESPONSE_SHARE * secs(self.class.latency_objective);
        let lag_secs = |member: &Member| member.server.replication().lag_secs();
        let lagging = available.iter().filter(|member| {
            lag_secs(member) > MIN_PREFERRED_LAG_SECS && self.expected_secs(member.server) < max_secs
        });
        lagging.max_by(|a, b| lag_secs(a).total_cmp(&lag_secs(b))).copied()
    }

    /// Returns the replica with the highest reported position among those whose report is outdated.
    fn most_advanced_replica(&self) -> Option<Member<'v>> {
        let position = |member: &Member| member.server.replication().position();
        let outdated = self.replicas().filter(|member| {
            let secs_since_response = self.view.now - member.server.replication().last_response_at();
            self.has_capacity(member) && secs_since_response > MIN_OUTDATED_REPORT_AGE_SECS
        });
        outdated.max_by(|a, b| position(a).total_cmp(&position(b)))
    }

    /// Returns the primary if no replica can serve the read, or only far later, and the writes leave enough
    /// capacity.
    fn primary_instead_of(&self, replica: Option<Member<'v>>) -> Option<Member<'v>> {
        let set = self.group.replica_set();
        if matches!(set.phase(), Phase::Suspected { .. }) {
            return None;
        }
        let is_read_turn = self.group.queued_writes() == 0 || (replica.is_none() && set.is_read_turn());
        let primary = self.up.iter().find(|member| self.is_primary(member)).copied()?;
        let server = primary.server;
        let max_in_flight = (server.concurrency_limit() * (1.0 - WRITE_RESERVED_SHARE)).max(1.0);
        let may_serve = self.has_spare_primary_capacity(server)
            && self.has_capacity(&primary)
            && is_read_turn
            && server.load().in_flight() < max_in_flight;
        let is_better = replica.is_none_or(|replica| self.is_much_faster(server, replica.server));
        (may_serve && is_better).then_some(primary)
    }

    /// Returns whether the primary has capacity for the read beside the writes of all instances. Always true
    /// in a small fleet. In a large fleet a slow primary gets no reads from any instance, because the writes
    /// of all instances go there.
    fn has_spare_primary_capacity(&self, primary: &Server) -> bool {
        !is_large_fleet(self.view.settings)
            || (primary.slowness(self.view.now) < SLOW_SERVER_RATIO
                && self.view.primary_admits_read(self.read))
    }

    /// Returns whether the primary is expected to respond far earlier than a replica that has warmed up.
    fn is_much_faster(&self, primary: &Server, replica: &Server) -> bool {
        replica.is_warm(self.view.now, &self.view.settings.rules)
            && SLOW_SERVER_RATIO * self.expected_secs(primary) < self.expected_secs(replica)
    }

    /// Returns the member that is probed by a health check to find the primary for a strong read.
    fn role_probe_target(&self) -> Option<ServerId> {
        let set = self.group.replica_set();
        if set.has_live_primary() {
            return None;
        }
        let members = self.view.cluster.members(self.read.request().group);
        role_probe_target(members, set.primary(), self.view.settings, self.view.now)
    }

    fn probe_decision(&self, has_fresh_replica: bool) -> ProbeDecision {
        let members = self.view.cluster.members(self.read.request().group);
        let replicas = members.filter(|member| self.is_replica_for_read(member) && self.has_capacity(member));
        let context = ReadProbeContext {
            settings: self.view.settings,
            has_fresh_replica,
            has_probed_position: self.read.has_probed_position(),
            session_floor: self.view.session_floor,
            now: self.view.now,
            selector: self.draws.first,
        };
        read_probe_decision(replicas, &context)
    }
}
