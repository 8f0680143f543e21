//! Asks replicas for their replication position.
//!
//! A read goes only to a replica that has reported a sufficient position, so a replica that nobody asks
//! serves nothing and reports nothing. A health check asks it where load reports exist. Elsewhere a write
//! does: a server that is not the primary declines it at once, without executing it, and reports its
//! position. Replicas that have reported nothing are always asked. In a large fleet one is also asked where
//! none is known to be fresh, because each instance sends a group so little that the reads of all of them
//! would go to the primary. At most one replica is asked for a request, and none that is down or closed.
//! Times and positions are seconds on the engine's clock.

use crate::api::{Consistency, LoadReports, ServerId, SessionTokens, Settings, StaleReadPolicy};
use crate::failover::MAX_RESPONSIVE_SILENCE_SECS;
use crate::time::secs;

use super::cluster::Member;
use super::fleet::is_large_fleet;
use super::server::Server;

/// Part of the staleness bound for which a reported position must stay sufficient. In a group that gets a
/// request every few seconds, most requests that can refresh it are writes, and the next may come too late.
const MIN_VALIDITY_SHARE: f64 = 0.6;
/// Seconds for which a read of a large fleet waits for a position that was asked for.
const MAX_REPORT_WAIT_SECS: f64 = 0.03;
/// Seconds after which a replica's position is checked again: load reports are that old.
const MIN_CHECK_INTERVAL_SECS: f64 = 0.25;

/// Whether health checks report positions.
fn health_checks_report(settings: &Settings) -> bool {
    settings.limits.allow_health_checks && settings.load_reports != LoadReports::Never
}

/// Which positions a write may ask for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct PositionDemand {
    /// A replica must have reported this position for reads to go anywhere.
    sufficient_position: Option<f64>,
    /// Each replica that has reported nothing is asked.
    asks_unreported: bool,
}

impl PositionDemand {
    /// The demand by the settings; `None` where writes have nothing to ask.
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
        let asks_unreported = tracks_sessions && !is_large && !health_checks_report(settings);
        let is_useful =
            settings.responses_carry_position && (sufficient_position.is_some() || asks_unreported);
        is_useful.then_some(Self { sufficient_position, asks_unreported })
    }

    fn is_met_by(self, server: &Server) -> bool {
        self.sufficient_position.is_some_and(|position| server.replication().position() >= position)
    }

    fn asks(self, server: &Server) -> bool {
        self.sufficient_position.is_some() || server.replication().position() <= 0.0
    }
}

/// The replica that a write visits first, if any. `may_send` says whether the write could be sent to one;
/// `turn` selects among several.
pub(super) fn write_probe_target<'c>(
    replicas: impl Iterator<Item = Member<'c>>,
    demand: PositionDemand,
    now: f64,
    may_send: impl Fn(Member) -> bool,
    turn: u64,
) -> Option<ServerId> {
    let mut candidates = Vec::new();
    for replica in replicas.filter(is_askable) {
        if demand.is_met_by(replica.server) {
            return None;
        }
        let is_responsive = replica.server.silence_secs(now) < MAX_RESPONSIVE_SILENCE_SECS;
        if demand.asks(replica.server) && is_responsive && may_send(replica) {
            candidates.push(replica.id);
        }
    }
    candidates.get(turn.checked_rem(candidates.len() as u64)? as usize).copied()
}

/// Whether a read waits for a replica's position, and which one is checked for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ProbeDecision {
    /// No position is needed.
    NotNeeded,
    /// A replica was asked a moment ago: the read waits for its report.
    AwaitReport,
    /// This replica is to be checked; the read goes elsewhere meanwhile.
    CheckAndProceed(ServerId),
    /// This replica is to be checked, and the read waits for its report.
    CheckAndWait(ServerId),
}

/// A read that may have a replica's position checked.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReadProbe<'s> {
    /// The settings.
    pub settings: &'s Settings,
    /// The read can go to a replica.
    pub has_fresh_replica: bool,
    /// A position was checked for the read before.
    pub has_checked_already: bool,
    /// The position that reads of sessions without a token must see.
    pub session_floor: f64,
    /// The time.
    pub now: f64,
    /// Selects among several replicas.
    pub turn: usize,
}

/// Decides whether a read checks the position of one of these replicas by a health check.
pub(super) fn read_probe_decision<'c>(
    replicas: impl Iterator<Item = Member<'c>>,
    probe: &ReadProbe,
) -> ProbeDecision {
    let is_large = is_large_fleet(probe.settings);
    if !health_checks_report(probe.settings)
        || probe.settings.stale_read_policy != StaleReadPolicy::AnswerStale
        || (is_large && probe.has_fresh_replica)
    {
        return ProbeDecision::NotNeeded;
    }
    let askable: Vec<_> = replicas.filter(is_askable).collect();
    let was_just_asked = |server: &Server| {
        server.is_health_check_pending() && server.secs_since_position_check(probe.now) < MAX_REPORT_WAIT_SECS
    };
    if is_large && askable.iter().any(|replica| was_just_asked(replica.server)) {
        return ProbeDecision::AwaitReport;
    }
    let is_behind = |server: &Server| {
        server.secs_since_position_check(probe.now) >= MIN_CHECK_INTERVAL_SECS
            && server.replication().position() <= probe.session_floor
    };
    let candidates: Vec<_> =
        askable.into_iter().filter(|replica| is_large || is_behind(replica.server)).collect();
    match candidates.get(probe.turn.checked_rem(candidates.len()).unwrap_or(0)) {
        Some(replica) if !probe.has_checked_already && is_large => ProbeDecision::CheckAndWait(replica.id),
        Some(replica) if !probe.has_checked_already => ProbeDecision::CheckAndProceed(replica.id),
        _ => ProbeDecision::NotNeeded,
    }
}

fn is_askable(replica: &Member) -> bool {
    replica.server.is_up() && !replica.server.is_closed()
}

#[cfg(test)]
mod tests;
