//! Asking where a replica stands: by a probe where reports tell it, else by a write on its way.
//!
//! A read goes to a replica only if that has told that it is far enough, so one that is never asked anything
//! is of no use, and tells nothing either. Who is no primary turns a write away at once, untouched, and tells
//! where it stands (a *scout*); a probe does so where there are load reports. Each replica that has told
//! nothing yet is asked; beyond that, in a large fleet, one is asked where none is known to be fresh, for
//! there a gateway sends a set so little that all its reads, and those of a hundred gateways together, would
//! end at the primary.
//!
//! Owns when that is so and whom it falls on. It must never ask one where a word is not to be had at once,
//! for the request waits for it, nor more than one for a request.

use super::state::Server;
use crate::api::{Consistency, LoadReports, ServerId, SessionTokens, Settings, StaleReadPolicy};
use crate::failover::MAX_SILENCE_TO_ASK;
use crate::time::secs;

/// Part of the bound on age for which what a replica told must still hold. Of a set that is asked for
/// something each few seconds, writes are most of what can prove a position anew, and the next may come when
/// it holds no more.
const HOLDS: f64 = 0.6;
/// Time in s that a read of a large fleet waits for the position of a replica that was asked.
const ASK_WAIT: f64 = 0.03;
/// Time in s after which a replica is asked by a probe again: reports are that old.
const ASK_AGAIN: f64 = 0.25;

/// Whether probes tell positions.
fn probes_tell(settings: &Settings) -> bool {
    settings.limits.allow_health_checks && settings.load_reports != LoadReports::Never
}

/// What a write may find out on its way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PositionDemand {
    /// A replica must have told this position for reads to go anywhere.
    position: Option<f64>,
    /// Each replica that has told nothing is asked.
    each: bool,
}

impl PositionDemand {
    /// By the settings; `crowd` where many gateways share the servers.
    pub fn new(settings: &Settings, crowd: bool, now: f64) -> Option<Self> {
        let ages = settings.classes.iter().filter_map(|class| match class.consistency {
            Consistency::BoundedStaleness(age) => Some(secs(age)),
            _ => None,
        });
        let age = ages.min_by(f64::total_cmp).filter(|_| crowd);
        let position = age.map(|age| now - (1.0 - HOLDS) * age);
        let kept = settings.session_tokens == SessionTokens::Tracked
            && settings.stale_read_policy == StaleReadPolicy::AnswerStale;
        let each = kept && !crowd && !probes_tell(settings);
        let tells = settings.responses_carry_position && (position.is_some() || each);
        tells.then_some(Self { position, each })
    }
}

/// Which of these replicas a write asks first, if any. `may` says whether a write could be sent there; each
/// next `turn` is another one's.
pub(crate) fn scout<'s>(
    replicas: impl Iterator<Item = (ServerId, &'s Server)>,
    wanted: PositionDemand,
    now: f64,
    may: impl Fn(ServerId, &Server) -> bool,
    turn: u64,
) -> Option<ServerId> {
    let mut able = Vec::new();
    for (id, server) in replicas.filter(|(_, server)| server.down.is_none() && !server.closed()) {
        if wanted.position.is_some_and(|position| server.position >= position) {
            return None;
        }
        let asks = wanted.position.is_some() || server.position <= 0.0;
        if asks && server.silence(now) < MAX_SILENCE_TO_ASK && may(id, server) {
            able.push(id);
        }
    }
    able.get(turn.checked_rem(able.len() as u64)? as usize).copied()
}

/// What a read that may go to replicas has asked of them by probes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ProbeDecision {
    /// Nothing is to be asked.
    Done,
    /// One was asked a moment ago: the read waits for its word.
    Waits,
    /// This one is to be asked, and whether the read waits for its word.
    Ask(ServerId, bool),
}

/// Whether a read asks one of these replicas by a probe. `fresh` where the read can go to one of them;
/// `again` where it has asked already; `floor` is what reads of sessions without a mark must see. In a small
/// fleet it goes elsewhere meanwhile.
pub(crate) fn probe<'s>(
    replicas: impl Iterator<Item = (ServerId, &'s Server)>,
    settings: &Settings,
    (crowd, fresh, again): (bool, bool, bool),
    floor: f64,
    now: f64,
    turn: usize,
) -> ProbeDecision {
    if !probes_tell(settings)
        || settings.stale_read_policy != StaleReadPolicy::AnswerStale
        || (crowd && fresh)
    {
        return ProbeDecision::Done;
    }
    let able: Vec<_> = replicas.filter(|(_, s)| s.down.is_none() && !s.closed()).collect();
    if crowd && able.iter().any(|(_, s)| s.probing && now - s.asked < ASK_WAIT) {
        return ProbeDecision::Waits;
    }
    let asks = |s: &Server| crowd || (now - s.asked >= ASK_AGAIN && s.position <= floor);
    let able: Vec<_> = able.into_iter().filter(|(_, s)| asks(s)).map(|(id, _)| id).collect();
    match able.get(turn.checked_rem(able.len()).unwrap_or(0)) {
        Some(id) if !again => ProbeDecision::Ask(*id, crowd),
        _ => ProbeDecision::Done,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn asked(positions: &[f64], may: impl Fn(ServerId, &Server) -> bool, turn: u64) -> Option<ServerId> {
        let servers: Vec<_> = positions
            .iter()
            .map(|position| Server { position: *position, oldest: f64::INFINITY, ..Server::default() })
            .collect();
        let ids = servers.iter().enumerate().map(|(i, s)| (ServerId(i as u32), s));
        scout(ids, PositionDemand { position: Some(98.8), each: false }, 100.0, may, turn)
    }

    #[test]
    fn a_write_asks_only_where_no_replica_is_known_to_be_fresh() {
        let any = |_, _: &Server| true;
        assert_eq!(asked(&[0.0, 90.0], any, 7), Some(ServerId(1)));
        assert_eq!(asked(&[0.0, 99.2], any, 7), None, "reads can go there");
        assert_eq!(asked(&[0.0, 98.7], any, 0), Some(ServerId(0)), "not for long any more");
        assert_eq!(asked(&[0.0, 90.0], |id, _| id == ServerId(0), 7), Some(ServerId(0)));
        assert_eq!(asked(&[0.0, 90.0], |_, _| false, 7), None);
        assert_eq!(asked(&[], any, 7), None);
    }
}
