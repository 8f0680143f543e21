//! Scouts: writes that learn on their way how far a replica is.
//!
//! Who is no primary turns a write away at once, untouched, and tells where it stands. A gateway that sends a set
//! little hears of its replicas too seldom to prove any of them fresh, and then all its reads end at the primary, those
//! of a hundred gateways together. So where no replica is known to be fresh enough for reads with a bound on age, a
//! write goes to one first. Owns when that is so and to whom it goes. It must never send one where a word is not to
//! be had at once, for the write waits for it, nor more than one for a write.

use crate::failover::ASK_SILENT;
use crate::interface::{Need, ServerId, Settings};
use crate::state::{secs, Server};

/// Part of the bound on age for which what a replica told must still hold. Of a set that is asked for something each
/// few seconds, writes are most of what can prove a position anew, and the next may come when it holds no more.
const HOLDS: f64 = 0.6;

/// The shortest age in s that a class of reads bounds its data to, where answers tell positions.
pub(crate) fn bound(settings: &Settings) -> Option<f64> {
    let ages = settings.classes.iter().filter_map(|class| match class.need {
        Need::Bounded(age) => Some(secs(age)),
        _ => None,
    });
    ages.min_by(f64::total_cmp).filter(|_| settings.positions)
}

/// Which of these replicas a write asks first, if any, where reads may be served from data as old as `bound`. `may`
/// says whether a write could be sent there; each next `turn` is another one's.
pub(crate) fn scout<'s>(
    replicas: impl Iterator<Item = (ServerId, &'s Server)>,
    bound: f64,
    now: f64,
    may: impl Fn(ServerId, &Server) -> bool,
    turn: u64,
) -> Option<ServerId> {
    let mut able = Vec::new();
    for (id, server) in replicas.filter(|(_, server)| server.down.is_none() && !server.closed()) {
        if server.position >= now - (1.0 - HOLDS) * bound {
            return None;
        }
        if server.silence(now) < ASK_SILENT && may(id, server) {
            able.push(id);
        }
    }
    able.get(turn.checked_rem(able.len() as u64)? as usize).copied()
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
        scout(ids, 3.0, 100.0, may, turn)
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
