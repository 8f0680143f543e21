//! The log: one line a record on standard error, for the `log` crate.
//!
//! Owns the form of a line (Unix time in seconds, level, the proxy's name, where it comes from, text) and the
//! thread that writes. It must never stop the proxy: when whoever reads the log falls behind, lines are lost.

use std::io::Write;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Lines that may wait to be written.
const LINES_MOST: usize = 1024;
/// Time that the end of the program waits for them.
const FLUSH_WITHIN: Duration = Duration::from_millis(100);

enum Message {
    Line(String),
    /// All lines before it were written.
    Flush(SyncSender<()>),
}

struct Logger {
    name: String,
    messages: SyncSender<Message>,
}

impl Logger {
    /// A logger whose lines a thread of its own writes to `out`.
    fn new(name: &str, mut out: impl Write + Send + 'static) -> Self {
        let (messages, queue) = sync_channel(LINES_MOST);
        std::thread::spawn(move || {
            for message in queue {
                match message {
                    Message::Line(line) => drop(out.write_all(line.as_bytes())),
                    Message::Flush(done) => drop(done.try_send(())),
                }
            }
        });
        Self { name: name.to_owned(), messages }
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let _ = self.messages.try_send(Message::Line(line(SystemTime::now(), &self.name, record)));
        }
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.messages.try_send(Message::Flush(done)).is_ok() {
            let _ = written.recv_timeout(FLUSH_WITHIN);
        }
    }
}

/// A record as a line. Whatever its text holds, it stays one line.
fn line(now: SystemTime, name: &str, record: &Record<'_>) -> String {
    let unix = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let target = record.target().rsplit("::").next().unwrap_or_default();
    let text = record.args().to_string().replace(|c: char| c.is_control(), " ");
    format!("{}.{:03} {:5} {name} {target}: {text}\n", unix.as_secs(), unix.subsec_millis(), record.level())
}

/// Makes it the log of this process.
pub fn install(name: &str, level: LevelFilter) {
    if log::set_boxed_logger(Box::new(Logger::new(name, std::io::stderr()))).is_ok() {
        log::set_max_level(level);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use log::Level;

    #[test]
    fn a_record_is_one_line_whatever_its_text_holds() {
        let at = UNIX_EPOCH + Duration::from_millis(1_767_225_600_123);
        let mut record = Record::builder();
        let record = record.level(Level::Warn).target("pipittack::net::discovery");
        let line = line(at, "n3", &record.args(format_args!("watch\r\nended\x1b[2J")).build());
        assert_eq!(line, "1767225600.123 WARN  n3 discovery: watch  ended [2J\n");
    }

    /// Guards against a reader of the log that has stopped: a blocked write must not block the proxy.
    #[test]
    fn a_log_that_nobody_reads_stops_nothing() {
        struct Stuck(std::sync::mpsc::Receiver<()>);
        impl Write for Stuck {
            fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
                let _ = self.0.recv(); // returns once the test is over
                Ok(bytes.len())
            }
            fn flush(&mut self) -> std::io::Result<()> {
                Ok(())
            }
        }
        let (_until, over) = std::sync::mpsc::channel();
        let logger = Logger::new("n", Stuck(over));
        log::set_max_level(LevelFilter::Info);
        for _ in 0..3 * LINES_MOST {
            logger.log(&Record::builder().level(Level::Info).args(format_args!("line")).build());
        }
        logger.flush();
    }
}
