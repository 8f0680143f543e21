//! The log: one line per record on standard error, for the `log` crate.
//!
//! A line has the Unix time in seconds, the level, the proxy's name, the last part of the module path, and
//! the text. A thread of its own writes the lines. When standard error blocks and the queue is full, lines
//! are dropped; a caller never waits.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

#[cfg(test)]
mod tests;

/// Largest number of lines that wait to be written.
const MAX_QUEUED_LINES: usize = 1024;
/// How long a flush waits until they are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

enum Message {
    Line(String),
    /// Reply once all lines before it are written.
    Flush(SyncSender<()>),
}

struct Logger {
    name: String,
    messages: SyncSender<Message>,
}

impl Logger {
    /// A logger whose lines are written to `output` by a thread, which ends with the logger.
    fn new(name: &str, output: impl Write + Send + 'static) -> Self {
        let (messages, queue) = sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_messages(queue, output));
        Self { name: name.to_owned(), messages }
    }
}

fn write_messages(queue: Receiver<Message>, mut output: impl Write) {
    for message in queue {
        match message {
            // There is nowhere to report a failed write.
            Message::Line(line) => drop(output.write_all(line.as_bytes())),
            Message::Flush(done) => drop(done.try_send(())),
        }
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let line = format_line(SystemTime::now(), &self.name, record);
            let _ = self.messages.try_send(Message::Line(line));
        }
    }

    fn flush(&self) {
        let (done, flushed) = sync_channel(1);
        if self.messages.try_send(Message::Flush(done)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// A record as one line; control characters in its text become spaces.
fn format_line(now: SystemTime, name: &str, record: &Record<'_>) -> String {
    let unix = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let component = component(record.target());
    let text = record.args().to_string().replace(|c: char| c.is_control(), " ");
    format!(
        "{}.{:03} {:5} {name} {component}: {text}\n",
        unix.as_secs(),
        unix.subsec_millis(),
        record.level()
    )
}

/// The part of the proxy that a module path belongs to: the module below `net`, else the crate.
fn component(module_path: &str) -> &str {
    let mut segments = module_path.split("::");
    let crate_name = segments.next().unwrap_or_default();
    match (segments.next(), segments.next()) {
        (Some("net"), Some(component)) => component,
        _ => crate_name,
    }
}

/// Installs the logger of this process. A second call changes nothing.
pub fn install(name: &str, level: LevelFilter) {
    if log::set_boxed_logger(Box::new(Logger::new(name, io::stderr()))).is_ok() {
        log::set_max_level(level);
    }
}
