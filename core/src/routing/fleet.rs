//! What follows from the number of proxy instances.

use crate::api::Settings;
use crate::concurrency_limit::{INITIAL_LIMIT, MIN_LIMIT};

/// This instance's share of a server's requests.
pub(super) fn instance_share(settings: &Settings) -> f64 {
    1.0 / f64::from(settings.instance_count)
}

/// Whether the minimum concurrency limits of all instances together exceed what a server should hold, so that
/// the limits alone don't protect it.
pub(super) fn is_large_fleet(settings: &Settings) -> bool {
    f64::from(settings.instance_count) * MIN_LIMIT > INITIAL_LIMIT
}
