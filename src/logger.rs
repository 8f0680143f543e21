//! The log: one line a record on standard error, for the `log` crate.
//!
//! Owns the form of a line: Unix time in seconds, level, where it comes from, text. It must never stop the
//! proxy: a line that can't be written is lost.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Writes records to standard error.
struct Logger {
    name: String,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let line = line(SystemTime::now(), &self.name, record);
            let _ = std::io::stderr().lock().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// A record as a line. Whatever its text holds, it stays one line.
fn line(now: SystemTime, name: &str, record: &Record<'_>) -> String {
    let unix = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let target = record.target().rsplit("::").next().unwrap_or_default();
    let text = record.args().to_string().replace(['\n', '\r'], " ");
    format!("{}.{:03} {:5} {name} {target}: {text}\n", unix.as_secs(), unix.subsec_millis(), record.level())
}

/// Makes it the log of this process.
pub fn install(name: &str, level: LevelFilter) {
    if log::set_boxed_logger(Box::new(Logger { name: name.to_owned() })).is_ok() {
        log::set_max_level(level);
    }
}
