//! Where a read goes: the better of two random replicas that are fresh enough, with a few exceptions.
//!
//! A server that is down gets a fresh read as a trial. A primary that is suspected gets one read as a canary.
//! A replica whose position is unknown, or that lags, is preferred where that does no harm. The primary
//! serves what no replica can, or only far later.

use rand::Rng;

use crate::api::{Class, Consistency, Idempotency, ServerId, StaleReadPolicy};
use crate::failover::Phase;
use crate::time::secs;

use super::cluster::Member;
use super::eligibility::SLOW_SERVER_RATIO;
use super::fleet::is_large_fleet;
use super::group::Group;
use super::open_request::OpenRequest;
use super::position_probe::{read_probe_decision, ProbeDecision, ReadProbe};
use super::server::{DownState, Server, TrialPolicy};
use super::view::{PlannedAttempt, RoutingView};

/// A trial's timeout in mean response times.
const TRIAL_TIMEOUT_MEANS: f64 = 3.0;
/// Share of the primary's concurrency limit that reads leave to writes.
const WRITE_RESERVED_SHARE: f64 = 0.5;
/// Lag in seconds from which on a replica is preferred for reads that any member may serve.
const MIN_PREFERRED_LAG_SECS: f64 = 0.1;
/// Part of the latency objective within which the response of a lagging replica must be expected.
const MAX_LAGGING_RESPONSE_SHARE: f64 = 0.75;
/// Seconds without a response after which a replica may be fresher than it reported.
const OUTDATED_REPORT_SECS: f64 = 1.0;

/// Random numbers for one decision.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadDraws {
    first: usize,
    second: usize,
}

impl ReadDraws {
    /// Draws both numbers.
    pub fn new(rng: &mut impl Rng) -> Self {
        let first = rng.random::<u32>() as usize;
        let second = rng.random::<u32>() as usize;
        Self { first, second }
    }
}

/// What is to be done with a read.
pub(super) enum ReadDecision {
    /// It goes to a server that is down, to see whether it responds.
    Trial(PlannedAttempt),
    /// It is sent, or waits.
    Route {
        /// The attempt; `None` where the read waits.
        attempt: Option<PlannedAttempt>,
        /// A replica whose position is to be checked.
        position_check: Option<ServerId>,
    },
}

/// Decides where a read goes.
pub(super) fn route_read(view: &RoutingView, read: &OpenRequest, draws: ReadDraws) -> ReadDecision {
    let Some(group) = view.cluster.groups().get(read.request().group) else {
        return ReadDecision::Route { attempt: None, position_check: None };
    };
    let router = ReadRouter::new(view, read, group, draws);
    match router.trial() {
        Some(trial) => ReadDecision::Trial(trial),
        None => router.route(),
    }
}

/// One read's decision.
struct ReadRouter<'v, 'e> {
    view: &'v RoutingView<'e>,
    read: &'v OpenRequest,
    class: &'v Class,
    group: &'v Group,
    draws: ReadDraws,
    required_position: f64,
    /// Replicas decline reads that they are too stale for, so that their positions may be estimated.
    replicas_check_staleness: bool,
    /// Eligible members that respond.
    up: Vec<Member<'v>>,
    /// Eligible members that don't.
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

    /// An attempt at a server that is down, where its trial is due. Where no eligible member is up, any
    /// idempotent read may be one.
    fn trial(&self) -> Option<PlannedAttempt> {
        if self.class.idempotency != Idempotency::Idempotent {
            return None;
        }
        let now = self.view.now;
        let allow_health_checks = self.view.settings.limits.allow_health_checks;
        let policy = if allow_health_checks { TrialPolicy::AfterHealthCheck } else { TrialPolicy::ReadsOnly };
        let is_due = |down: &DownState| {
            (self.read.is_fresh() && down.is_trial_due(now, policy))
                || (self.up.is_empty() && down.is_last_resort_trial_due(now))
        };
        let due: Vec<_> =
            self.down.iter().filter(|member| member.server.down().is_some_and(is_due)).collect();
        let chosen = due.get(self.draws.first.checked_rem(due.len())?)?;
        let mean_secs = self.view.latencies.mean_secs(self.read.request().class);
        let timeout_secs = (mean_secs * TRIAL_TIMEOUT_MEANS).min(self.read.secs_left(now));
        Some(PlannedAttempt { server: chosen.id, timeout_secs })
    }

    fn route(&self) -> ReadDecision {
        let fresh: Vec<_> = self.replicas().filter(|member| self.is_fresh(member.server)).collect();
        let replica = self.choose_replica(&fresh);
        let chosen = self.canary().or_else(|| self.primary_instead_of(replica)).or(replica);
        let planned = chosen.map(|member| PlannedAttempt {
            server: member.id,
            timeout_secs: self.view.attempt_timeout_secs(self.read, member.server),
        });
        match self.position_check(!fresh.is_empty()) {
            ProbeDecision::NotNeeded => ReadDecision::Route { attempt: planned, position_check: None },
            ProbeDecision::AwaitReport => ReadDecision::Route { attempt: None, position_check: None },
            ProbeDecision::CheckAndProceed(server) => {
                ReadDecision::Route { attempt: planned, position_check: Some(server) }
            }
            ProbeDecision::CheckAndWait(server) => {
                ReadDecision::Route { attempt: None, position_check: Some(server) }
            }
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

    /// Eligible replicas that respond.
    fn replicas(&self) -> impl Iterator<Item = Member<'v>> + '_ {
        self.up.iter().copied().filter(|member| self.is_replica_for_read(member))
    }

    /// Whether a replica has the data that the read must see. Where replicas check that themselves, one is
    /// taken to lag as much as at its last report: a wrong estimate costs a declined attempt, and without it
    /// the reads of an instance that seldom gets reports would all go to one member.
    fn is_fresh(&self, server: &Server) -> bool {
        let replication = server.replication();
        let estimated_position = self.view.now - replication.lag_secs();
        replication.position() >= self.required_position
            || (self.replicas_check_staleness && estimated_position >= self.required_position)
    }

    fn expected_secs(&self, server: &Server) -> f64 {
        self.view.expected_response_secs(server, self.read)
    }

    /// A suspected primary to which the read is sent to see whether it responds.
    fn canary(&self) -> Option<Member<'v>> {
        let target = self.group.replica_set().canary_target(self.view.now)?;
        if self.class.idempotency != Idempotency::Idempotent || !self.read.is_fresh() {
            return None;
        }
        self.up.iter().find(|member| member.id == target && self.has_capacity(member)).copied()
    }

    fn choose_replica(&self, fresh: &[Member<'v>]) -> Option<Member<'v>> {
        let mut open: Vec<_> = fresh.iter().copied().filter(|member| self.has_capacity(member)).collect();
        if open.len() > 1 {
            open.retain(|member| self.read.failed_at() != Some(member.id));
        }
        let better = self.better_of_two(&mut open);
        let preferred = self.lagging_replica(&open).or_else(|| self.unreported_replica(&open)).or(better);
        if preferred.is_none() && fresh.is_empty() && self.replicas_check_staleness {
            return self.farthest_replica();
        }
        preferred
    }

    /// The one of two random replicas where the response is expected earlier. Rotates the replicas, so that
    /// instances go through them in different orders.
    fn better_of_two(&self, open: &mut [Member<'v>]) -> Option<Member<'v>> {
        let first_index = self.draws.first.checked_rem(open.len())?;
        let second_index = (1 + self.draws.second % (open.len() - 1).max(1)) % open.len();
        open.rotate_left(first_index);
        let first = open[0];
        let second = open[second_index];
        let is_second_better = self.expected_secs(second.server) < self.expected_secs(first.server);
        Some(if is_second_better { second } else { first })
    }

    /// An idle replica that has not reported its position since its start: until it does, it serves few
    /// reads.
    fn unreported_replica(&self, open: &[Member<'v>]) -> Option<Member<'v>> {
        if self.replicas_check_staleness {
            return None;
        }
        let is_unreported = |member: &&Member| {
            member.server.load().in_flight() < 1.0 && member.server.replication().is_position_unknown()
        };
        open.iter().find(is_unreported).copied()
    }

    /// The replica that lags most, for a read that any member may serve: it can't serve others' reads.
    fn lagging_replica(&self, open: &[Member<'v>]) -> Option<Member<'v>> {
        if is_large_fleet(self.view.settings) || self.class.consistency != Consistency::Eventual {
            return None;
        }
        let max_secs = MAX_LAGGING_RESPONSE_SHARE * secs(self.class.latency_objective);
        let lag_secs = |member: &Member| member.server.replication().lag_secs();
        let lagging = open.iter().filter(|member| {
            lag_secs(member) > MIN_PREFERRED_LAG_SECS && self.expected_secs(member.server) < max_secs
        });
        lagging.max_by(|a, b| lag_secs(a).total_cmp(&lag_secs(b))).copied()
    }

    /// The replica with the highest reported position among those whose report is outdated.
    fn farthest_replica(&self) -> Option<Member<'v>> {
        let position = |member: &Member| member.server.replication().position();
        let outdated = self.replicas().filter(|member| {
            let secs_since_response = self.view.now - member.server.replication().last_response_at();
            self.has_capacity(member) && secs_since_response > OUTDATED_REPORT_SECS
        });
        outdated.max_by(|a, b| position(a).total_cmp(&position(b)))
    }

    /// The primary, where no replica can serve the read or only far later, and writes leave capacity.
    fn primary_instead_of(&self, replica: Option<Member<'v>>) -> Option<Member<'v>> {
        let set = self.group.replica_set();
        if matches!(set.phase(), Phase::Suspected { .. }) {
            return None;
        }
        let is_read_turn = self.group.queued_writes() == 0 || (replica.is_none() && set.is_read_turn());
        let primary = self.up.iter().find(|member| self.is_primary(member)).copied()?;
        let server = primary.server;
        let max_in_flight = (server.concurrency_limit() * (1.0 - WRITE_RESERVED_SHARE)).max(1.0);
        let may_serve = self.fleet_leaves_capacity(server)
            && self.has_capacity(&primary)
            && is_read_turn
            && server.load().in_flight() < max_in_flight;
        let is_better = replica.is_none_or(|replica| self.is_far_better(server, replica.server));
        (may_serve && is_better).then_some(primary)
    }

    /// In a large fleet no instance sends reads to a slow primary, where the writes of all instances meet.
    fn fleet_leaves_capacity(&self, primary: &Server) -> bool {
        !is_large_fleet(self.view.settings)
            || (primary.slowness(self.view.now) < SLOW_SERVER_RATIO
                && self.view.primary_admits_read(self.read))
    }

    /// Whether the primary would respond far earlier than a replica that has warmed up.
    fn is_far_better(&self, primary: &Server, replica: &Server) -> bool {
        replica.is_warm(self.view.now, &self.view.settings.rules)
            && SLOW_SERVER_RATIO * self.expected_secs(primary) < self.expected_secs(replica)
    }

    fn position_check(&self, has_fresh_replica: bool) -> ProbeDecision {
        let members = self.view.cluster.members(self.read.request().group);
        let replicas = members.filter(|member| self.is_replica_for_read(member) && self.has_capacity(member));
        let probe = ReadProbe {
            settings: self.view.settings,
            has_fresh_replica,
            has_checked_already: self.read.has_checked_position(),
            session_floor: self.view.session_floor,
            now: self.view.now,
            turn: self.draws.first,
        };
        read_probe_decision(replicas, &probe)
    }
}
