//! Tests of `process_table`.

use std::os::unix::process::ExitStatusExt;

use super::*;

/// Guards against a description that reports an exit with status 0 as a crash.
#[test]
fn an_exit_is_described_by_its_status() {
    let succeeded = describe_exit(3, ExitStatus::from_raw(0));
    assert!(succeeded.starts_with("Ended: a process of proxy 3"), "{succeeded}");
    let failed = describe_exit(3, ExitStatus::from_raw(1 << 8));
    assert!(failed.starts_with("Crashed: a process of proxy 3"), "{failed}");
    let killed = describe_exit(3, ExitStatus::from_raw(9));
    assert!(killed.starts_with("Crashed: a process of proxy 3"), "{killed}");
}
