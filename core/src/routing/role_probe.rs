//! Role probes: health checks that find the primary for strong reads.
//!
//! While no working primary is known, a strong read can't search for it: a replica would answer the read from
//! old data, where it declines a write. If the responses to health checks tell the role of a server, a queued
//! strong read probes the members of its group by health checks instead.

use crate::api::{ServerId, Settings};

use super::cluster::Member;
use super::fleet::is_large_fleet;

/// Minimum interval in seconds between two role probes of a server.
const MIN_PROBE_INTERVAL_SECS: f64 = 0.25;
/// Minimum interval in seconds between two role probes of a server by one instance of a large fleet.
const MIN_LARGE_FLEET_PROBE_INTERVAL_SECS: f64 = 1.0;

/// Returns the member that a strong read without a working primary probes now, if any: the one whose last
/// probe is longest ago. `lost_primary` is the primary that does not respond, which gets test reads. Returns
/// `None` if role probes are not permitted or of no use.
pub(super) fn role_probe_target<'c>(
    members: impl Iterator<Item = Member<'c>>,
    lost_primary: Option<ServerId>,
    settings: &Settings,
    now: f64,
) -> Option<ServerId> {
    if !settings.limits.allow_health_checks || !settings.health_checks_tell_role {
        return None;
    }
    let min_interval_secs = match is_large_fleet(settings) {
        true => MIN_LARGE_FLEET_PROBE_INTERVAL_SECS,
        false => MIN_PROBE_INTERVAL_SECS,
    };
    let secs_since_probe = |member: &Member| member.server.secs_since_probe(now);
    let is_due = |member: &Member| {
        lost_primary != Some(member.id)
            && member.server.is_up()
            && !member.server.is_closed()
            && !member.server.is_health_check_pending()
            && secs_since_probe(member) >= min_interval_secs
    };
    let due = members.filter(is_due);
    let target = due.max_by(|a, b| secs_since_probe(a).total_cmp(&secs_since_probe(b)).then(b.id.cmp(&a.id)));
    target.map(|member| member.id)
}
