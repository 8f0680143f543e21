//! Load reports and replication positions as data servers send them.

use std::time::Duration;

use crate::api::LoadReport;
use crate::net::driver::Clock;
use crate::net::postgres;

/// Milliseconds by which a position in a load report may be too high: it is rounded to whole ones, in an
/// unknown direction.
const POSITION_ROUNDING_MS: f64 = 1.0;
/// A position further ahead of the clock than this is invalid.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(1);

/// A position in Unix milliseconds, on the clock. One from the future is dropped: data of any age would pass
/// as fresh.
pub(super) fn position(unix_ms: f64, clock: Clock) -> Option<Duration> {
    Some(clock.from_unix_ms(unix_ms)).filter(|position| *position <= clock.now() + MAX_CLOCK_LEAD)
}

/// Reads a load report. This is where its field names become the proxy's terms; unknown ones are ignored.
pub(super) fn parse(text: &str, clock: Clock) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in postgres::parse_load_report(text) {
        match name {
            "x0" => report.position = position(value * 1e3 - POSITION_ROUNDING_MS, clock),
            "x1" => report.primary = Some(value == 1.0),
            "busy_reqs" | "inflight" => report.in_flight = Some(value),
            "pending" | "queue" => report.queued = Some(value),
            _ => {}
        }
    }
    report
}

#[cfg(test)]
mod tests;
