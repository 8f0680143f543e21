//! Position probes: requests replicas to report their replication position.
//!
//! A read is sent only to a replica that has reported a sufficient position, so a replica that is never
//! probed serves no reads and reports no position. If health checks return load reports, a read probes a
//! replica by a health check. Otherwise a write probes it: a server that is not the primary declines the
//! write at once, without executing it, and reports its position. In a small fleet, writes probe replicas
//! that have reported no position, and reads probe replicas that have not passed the session floor. In a
//! large fleet, requests also probe a replica if no replica is known to be fresh, because each instance sends
//! a group so few requests that the reads of all instances would go to the primary. A request probes at most
//! one replica, and none that is down or closed. Times and positions are seconds on the engine's clock.

use crate::api::{Consistency, LoadReports, ServerId, SessionTokens, Settings, StaleReadPolicy};
use crate::failover::MAX_RESPONSIVE_SILENCE_SECS;
use crate::time::secs;

use super::cluster::Member;
use super::fleet::is_large_fleet;
use super::server::Server;

/// Share of the staleness bound for which a reported position must stay sufficient. In a group that gets a
/// request every few seconds, most requests that can refresh the position are writes, and the next write may
/// come too late.
const MIN_VALIDITY_SHARE: f64 = 0.6;
/// Longest time in seconds for which a read of a large fleet waits for a replica's report.
const MAX_REPORT_WAIT_SECS: f64 = 0.03;
/// Minimum interval in seconds between two probes of a replica by health checks. Load reports may be this
/// old.
const MIN_PROBE_INTERVAL_SECS: f64 = 0.25;

/// Returns whether health checks report positions.
fn health_checks_report(settings: &Settings) -> bool {
    settings.limits.allow_health_checks && settings.load_reports != LoadReports::Never
}

/// Rule for the replicas that a write may probe.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct WriteProbePolicy {
    /// Position that one replica must have reported for reads to be served by a replica; `None` in a small
    /// fleet, or if no class has bounded staleness.
    sufficient_position: Option<f64>,
    /// Whether every replica without a reported position is probed.
    probes_unreported: bool,
}

impl WriteProbePolicy {
    /// Creates the policy for the settings. `None` if writes probe no replica.
    pub fn new(settings: &Settings, now: f64) -> Option<Self> {
        let is_large = is_large_fleet(settings);
        let max_ages = settings.classes.iter().filter_map(|class| match class.consistency {
            Consistency::BoundedStaleness(max_age) => Some(secs(max_age)),
            _ => None,
        });
        let max_age = max_ages.min_by(f64::total_cmp).filter(|_| is_large);
        let sufficient_position = max_age.map(|max_age| now - (1.0 - MIN_VALIDITY_SHARE) * max_age);
        let tracks_sessions = settings.session_tokens == SessionTokens::Tracked
            && settings.stale_read_policy == StaleReadPolicy::AnswerStale;
        let probes_unreported = tracks_sessions && !is_large && !health_checks_report(settings);
        let is_useful =
            settings.responses_carry_position && (sufficient_position.is_some() || probes_unreported);
        is_useful.then_some(Self { sufficient_position, probes_unreported })
    }

    fn is_met_by(self, server: &Server) -> bool {
        self.sufficient_position.is_some_and(|position| server.replication().position() >= position)
    }

    fn requires_probe(self, server: &Server) -> bool {
        self.sufficient_position.is_some() || server.replication().position() <= 0.0
    }
}

/// Returns the replica that a write is sent to first, if any. `may_send` returns whether the write may be
/// sent to a replica; `selector` selects one of several candidates.
pub(super) fn write_probe_target<'c>(
    replicas: impl Iterator<Item = Member<'c>>,
    policy: WriteProbePolicy,
    now: f64,
    may_send: impl Fn(Member) -> bool,
    selector: u64,
) -> Option<ServerId> {
    let mut candidates = Vec::new();
    for replica in replicas.filter(can_probe) {
        if policy.is_met_by(replica.server) {
            return None;
        }
        let is_responsive = replica.server.silence_secs(now) < MAX_RESPONSIVE_SILENCE_SECS;
        if policy.requires_probe(replica.server) && is_responsive && may_send(replica) {
            candidates.push(replica.id);
        }
    }
    candidates.get(selector.checked_rem(candidates.len() as u64)? as usize).copied()
}

/// Decision whether a read probes a replica, and whether the read waits for the report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ProbeDecision {
    /// No probe is needed.
    NotNeeded,
    /// A replica was probed a moment ago, and the read waits for its report.
    AwaitReport,
    /// This replica is probed, and the read does not wait for the report.
    ProbeAndProceed(ServerId),
    /// This replica is probed, and the read waits for its report.
    ProbeAndWait(ServerId),
}

/// The data that decides whether a read probes a replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadProbeContext<'s> {
    /// Settings of the engine.
    pub settings: &'s Settings,
    /// Whether a replica with a sufficient position is known.
    pub has_fresh_replica: bool,
    /// Whether a replica was already probed for the read.
    pub has_probed_position: bool,
    /// Position that reads of sessions without a token must see.
    pub session_floor: f64,
    /// Current time.
    pub now: f64,
    /// Random number that selects one of several replicas.
    pub selector: usize,
}

/// Decides whether a read probes one of these replicas by a health check.
pub(super) fn read_probe_decision<'c>(
    replicas: impl Iterator<Item = Member<'c>>,
    context: &ReadProbeContext,
) -> ProbeDecision {
    let is_large = is_large_fleet(context.settings);
    if !health_checks_report(context.settings)
        || context.settings.stale_read_policy != StaleReadPolicy::AnswerStale
        || (is_large && context.has_fresh_replica)
    {
        return ProbeDecision::NotNeeded;
    }
    let available: Vec<_> = replicas.filter(can_probe).collect();
    let was_probed_recently = |server: &Server| {
        server.is_health_check_pending() && server.secs_since_probe(context.now) < MAX_REPORT_WAIT_SECS
    };
    if is_large && available.iter().any(|replica| was_probed_recently(replica.server)) {
        return ProbeDecision::AwaitReport;
    }
    let is_behind = |server: &Server| {
        server.secs_since_probe(context.now) >= MIN_PROBE_INTERVAL_SECS
            && server.replication().position() <= context.session_floor
    };
    let candidates: Vec<_> =
        available.into_iter().filter(|replica| is_large || is_behind(replica.server)).collect();
    match candidates.get(context.selector.checked_rem(candidates.len()).unwrap_or(0)) {
        Some(replica) if !context.has_probed_position && is_large => ProbeDecision::ProbeAndWait(replica.id),
        Some(replica) if !context.has_probed_position => ProbeDecision::ProbeAndProceed(replica.id),
        _ => ProbeDecision::NotNeeded,
    }
}

fn can_probe(replica: &Member) -> bool {
    replica.server.is_up() && !replica.server.is_closed()
}

#[cfg(test)]
mod tests;
