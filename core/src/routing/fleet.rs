//! Values that depend on the number of proxy instances.

use crate::api::Settings;
use crate::concurrency_limit::{INITIAL_LIMIT, MIN_LIMIT};

/// Returns this instance's share of a server's requests.
pub(super) fn instance_share(settings: &Settings) -> f64 {
    1.0 / f64::from(settings.instance_count)
}

/// Returns whether the minimum concurrency limits of all instances together exceed what a server can hold, so
/// that the limits alone do not protect the servers.
pub(super) fn is_large_fleet(settings: &Settings) -> bool {
    f64::from(settings.instance_count) * MIN_LIMIT > INITIAL_LIMIT
}
