//! Parsing of load reports and replication positions that data servers send.

use std::time::Duration;

use crate::api::LoadReport;
use crate::net::driver::Clock;
use crate::net::postgres;

/// Largest rounding error of a position in a load report, in milliseconds. Servers round the position to a
/// whole millisecond, up or down, so it may be too high by this much.
const POSITION_ROUNDING_MS: f64 = 1.0;
/// Largest time by which a valid position may be ahead of the proxy's clock.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(1);

/// Converts a position in Unix milliseconds to the proxy's clock. Returns `None` for a position more than
/// [`MAX_CLOCK_LEAD`] in the future, since with such a position data of any age would count as fresh.
pub(super) fn position_from_unix_ms(unix_ms: f64, clock: Clock) -> Option<Duration> {
    Some(clock.from_unix_ms(unix_ms)).filter(|position| *position <= clock.now() + MAX_CLOCK_LEAD)
}

/// Parses a load report. Maps the servers' column names to the fields of [`LoadReport`]; ignores other
/// columns.
pub(super) fn parse(text: &str, clock: Clock) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in postgres::parse_load_report(text) {
        match name {
            "x0" => report.position = position_from_unix_ms(value * 1e3 - POSITION_ROUNDING_MS, clock),
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
