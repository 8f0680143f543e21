//! Runs routing engines for a simulator, which drives them through a line protocol on standard input and
//! output.
//!
//! Each line is a JSON array that starts with the name of its message. Input comes in batches: `TURN` starts
//! a batch and `EOB` ends it. The reply to a batch is one line for each action, and then `OK`. A malformed
//! line ends the process.

mod endpoints;
mod error;
mod event;
mod fields;
mod host;
mod parse;
mod write;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use crate::error::{LineError, RunError};
use crate::host::Host;
use crate::parse::{parse_line, parse_message, parse_turn, OpenBatch};

fn main() -> ExitCode {
    let mut out = io::BufWriter::new(io::stdout().lock());
    match run(io::stdin().lock(), &mut out) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(input: impl BufRead, out: &mut impl Write) -> Result<(), RunError> {
    let mut session = Session::default();
    for (index, line) in input.lines().enumerate() {
        let result = line.map_err(LineError::Io).and_then(|line| session.process(&line, out));
        result.map_err(|source| RunError::Line { number: index + 1, source })?;
    }
    match session.open_batch {
        Some(_) => Err(RunError::UnfinishedBatch),
        None => Ok(()),
    }
}

/// State of the line protocol between two lines.
#[derive(Default)]
struct Session {
    host: Host,
    /// The current batch; `None` between batches.
    open_batch: Option<OpenBatch>,
}

impl Session {
    fn process(&mut self, line: &str, out: &mut impl Write) -> Result<(), LineError> {
        if line.trim().is_empty() {
            return Ok(());
        }
        let message = parse_message(line)?;
        match (message.name.as_str(), &self.open_batch) {
            ("TURN", None) => self.open_batch = Some(parse_turn(&message.values)?),
            ("TURN", Some(_)) => return Err(LineError::NestedBatch),
            (_, None) => return Err(LineError::OutsideBatch { message: message.name }),
            ("EOB", Some(batch)) => {
                self.host.end_batch(batch, out)?;
                self.open_batch = None;
            }
            _ => self.host.apply(parse_line(message)?)?,
        }
        Ok(())
    }
}
