//! Fifty upgrades and fifty restarts under sessions that write and read constantly. Each read is checked against the
//! acknowledged writes of its session, by the servers' own replication positions.

use std::path::Path;

use pipittack_testkit::fleet::live::{play, Place};
use pipittack_testkit::fleet::scenario;

#[test]
fn session_reads_see_their_writes_across_upgrades_and_restarts() {
    let plan = scenario::read(include_str!("../testkit/scenarios/sessions.scm")).expect("a valid scenario");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sessions-{}", std::process::id()));
    let place = Place { program: env!("CARGO_BIN_EXE_pipittack").into(), folder };
    let proxies = plan.proxies;
    let report = play(plan, &place).expect("the trial runs");
    assert_eq!(report.broken, Vec::<String>::new(), "the logs are in {}", place.folder.display());
    assert_eq!(report.starts.len(), 5 * proxies, "each was replaced twice, and restarted twice");
    assert!(report.served > 0.4 * report.offered, "{} of {}", report.served, report.offered);
}
