//! Logger for the `log` crate that writes one line per record to standard error.
//!
//! A line consists of the Unix time in seconds, the level, the proxy's name, the component and the text. A
//! separate thread writes the lines, so that logging never blocks the caller. Lines are dropped while the
//! queue to this thread is full, which happens if standard error blocks.

use std::io::{self, Write};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

#[cfg(test)]
mod tests;

/// Largest number of lines in the queue to the writer thread.
const MAX_QUEUED_LINES: usize = 1024;
/// Longest time that a flush waits until the queued lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

enum Message {
    Line(String),
    /// Request for a reply once all lines queued before it are written.
    Flush(SyncSender<()>),
}

struct Logger {
    name: String,
    messages: SyncSender<Message>,
}

impl Logger {
    /// Creates a logger, and a thread that writes its lines to `output`. The thread ends when the logger is
    /// dropped.
    fn new(name: &str, output: impl Write + Send + 'static) -> Self {
        let (messages, queue) = sync_channel(MAX_QUEUED_LINES);
        std::thread::spawn(move || write_messages(queue, output));
        Self { name: name.to_owned(), messages }
    }
}

fn write_messages(queue: Receiver<Message>, mut output: impl Write) {
    for message in queue {
        match message {
            // A failed write is ignored: there is no other place to report it.
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

/// Formats a record as one line. Replaces control characters in its text by spaces.
fn format_line(now: SystemTime, name: &str, record: &Record<'_>) -> String {
    let unix_time = now.duration_since(UNIX_EPOCH).unwrap_or_default();
    let component = component(record.target());
    let text = record.args().to_string().replace(|c: char| c.is_control(), " ");
    format!(
        "{}.{:03} {:5} {name} {component}: {text}\n",
        unix_time.as_secs(),
        unix_time.subsec_millis(),
        record.level()
    )
}

/// Returns the component that a module path belongs to: the name of the module below `net`, or else the name
/// of the crate.
fn component(module_path: &str) -> &str {
    let mut segments = module_path.split("::");
    let crate_name = segments.next().unwrap_or_default();
    match (segments.next(), segments.next()) {
        (Some("net"), Some(component)) => component,
        _ => crate_name,
    }
}

/// Installs the logger of this process. Has no effect if a logger is already installed.
pub fn install(name: &str, level: LevelFilter) {
    if log::set_boxed_logger(Box::new(Logger::new(name, io::stderr()))).is_ok() {
        log::set_max_level(level);
    }
}
