use std::time::{Duration, Instant};

use super::*;

fn record(id: &str, response: Response) -> RequestRecord {
    RequestRecord {
        id: id.into(),
        is_write: true,
        sent_at: Instant::now(),
        latency: Duration::ZERO,
        response,
    }
}

fn write_log(executions: u32, committed: u32) -> WriteLog {
    let counts = |count| HashMap::from([("w".to_owned(), count)]);
    WriteLog { executions: counts(executions), committed: counts(committed) }
}

/// Checks one case for each kind of violation, and cases without a violation.
#[test]
fn each_kind_of_violation_is_reported_and_valid_outcomes_are_not() {
    let id = |text: &str| vec![text.to_owned()];
    let rejected = || Response::Rejected(None);
    let failed = || Response::Failed("40003".into());
    let cases = [
        (Response::Served, (1, 1), Violations::default()),
        (failed(), (0, 0), Violations::default()),
        (failed(), (1, 0), Violations::default()),
        (rejected(), (0, 0), Violations::default()),
        (Response::Abandoned, (1, 1), Violations::default()),
        (Response::Served, (2, 1), Violations { duplicates: id("w"), ..Violations::default() }),
        (Response::Served, (1, 2), Violations { duplicates: id("w"), ..Violations::default() }),
        (failed(), (2, 1), Violations { duplicates: id("w"), ..Violations::default() }),
        (Response::Served, (1, 0), Violations { lost_writes: id("w"), ..Violations::default() }),
        (Response::Served, (0, 0), Violations { lost_writes: id("w"), ..Violations::default() }),
        (rejected(), (1, 1), Violations { false_rejections: id("w"), ..Violations::default() }),
        (Response::Unanswered, (0, 0), Violations { unanswered: id("w"), ..Violations::default() }),
    ];
    for (response, (executions, committed), expected) in cases {
        let violations = check_writes(&[record("w", response.clone())], &write_log(executions, committed));
        assert_eq!(violations, expected, "{response:?}, executions {executions}, committed {committed}");
        assert_eq!(violations.is_empty(), expected == Violations::default());
    }
}
