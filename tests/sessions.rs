//! Fifty upgrades and fifty restarts while sessions constantly write and read. Each read is checked against
//! the acknowledged writes of its session, by the replication positions that the data servers record.

use std::path::Path;

use pipittack_testkit::fleet::process_trial::{run, TrialPaths};
use pipittack_testkit::fleet::scenario;

#[test]
fn session_reads_see_their_writes_across_upgrades_and_restarts() {
    let plan =
        scenario::parse(include_str!("../testkit/scenarios/sessions.scm")).expect("the scenario is valid");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sessions-{}", std::process::id()));
    let paths = TrialPaths { program: env!("CARGO_BIN_EXE_pipittack").into(), folder };
    let proxy_count = plan.proxy_count;
    let report = run(plan, &paths).expect("the trial can be run");
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "expected no violation; the logs are in {}",
        paths.folder.display()
    );
    assert_eq!(
        report.starts.len(),
        5 * proxy_count,
        "expected one start, two upgrades and two restarts of each proxy"
    );
    assert!(
        report.served > 0.4 * report.offered,
        "served weight {} of {} offered, expected more than 0.4 of it",
        report.served,
        report.offered
    );
}
