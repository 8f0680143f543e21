//! Fifty upgrades and fifty restarts under sessions that write and read constantly. Each read is checked against the
//! acknowledged writes of its session, by the servers' own replication positions.

use std::path::Path;

use pipittack_testkit::fleet::process_trial::{run, TrialPaths};
use pipittack_testkit::fleet::scenario;

#[test]
fn session_reads_see_their_writes_across_upgrades_and_restarts() {
    let plan = scenario::parse(include_str!("../testkit/scenarios/sessions.scm")).expect("a valid scenario");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sessions-{}", std::process::id()));
    let paths = TrialPaths { program: env!("CARGO_BIN_EXE_pipittack").into(), folder };
    let proxies = plan.proxies;
    let report = run(plan, &paths).expect("the trial runs");
    assert_eq!(report.violations, Vec::<String>::new(), "the logs are in {}", paths.folder.display());
    assert_eq!(report.starts.len(), 5 * proxies, "each was replaced twice, and restarted twice");
    assert!(report.served > 0.4 * report.offered, "{} of {}", report.served, report.offered);
}
