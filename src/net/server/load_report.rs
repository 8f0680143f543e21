//! Parsing of load reports that data servers send.

use super::position_clock::PositionClock;
use crate::api::LoadReport;
use crate::net::postgres;

/// Largest rounding error of a position in a load report, in milliseconds. Servers round the position to a
/// whole millisecond, up or down, so it may be too high by this much.
const POSITION_ROUNDING_MS: f64 = 1.0;
/// Parses a load report. Maps the servers' column names to the fields of [`LoadReport`]; ignores other
/// columns.
pub(super) fn parse(text: &str, clock: &PositionClock) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in postgres::parse_load_report(text) {
        match name {
            "x0" => report.position = clock.position_from_unix_ms(value * 1e3 - POSITION_ROUNDING_MS),
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
