//! Tests of the line format, and of a standard error that blocks.

use std::io::Write;
use std::time::{Duration, UNIX_EPOCH};

use log::{Level, LevelFilter, Log, Record};

use super::{component, format_line, Logger, MAX_QUEUED_LINES};

#[test]
fn control_characters_do_not_split_a_line() {
    let time = UNIX_EPOCH + Duration::from_millis(1_767_225_600_123);
    let mut record = Record::builder();
    let record = record.level(Level::Warn).target("pipittack::net::discovery");
    let line = format_line(time, "n3", &record.args(format_args!("watch\r\nended\x1b[2J")).build());
    assert_eq!(line, "1767225600.123 WARN  n3 discovery: watch  ended [2J\n");
}

#[test]
fn the_component_is_the_module_below_net_or_else_the_crate() {
    let paths =
        ["pipittack::net::discovery::client", "pipittack::net::admin", "pipittack::bootstrap", "pipittack"];
    assert_eq!(paths.map(component), ["discovery", "admin", "pipittack", "pipittack"]);
}

/// A write to standard error that blocks, as when nothing reads the log, must not block the proxy.
#[test]
fn a_blocked_log_does_not_block_the_caller() {
    struct BlockedOutput(std::sync::mpsc::Receiver<()>);
    impl Write for BlockedOutput {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            let _ = self.0.recv(); // returns when the test has ended
            Ok(bytes.len())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let (_until_test_end, test_ended) = std::sync::mpsc::channel();
    let logger = Logger::new("n", BlockedOutput(test_ended));
    log::set_max_level(LevelFilter::Info);
    for _ in 0..3 * MAX_QUEUED_LINES {
        logger.log(&Record::builder().level(Level::Info).args(format_args!("line")).build());
    }
    logger.flush();
}
