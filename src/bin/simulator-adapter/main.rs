//! Hosts routing engines for a simulator, which drives them by a line protocol on standard input and output.
//!
//! Input comes in batches. Each line is a JSON array with a name first. `TURN` starts a batch and `EOB` ends
//! it; the reply is one line for each action, and then `OK`. A line that is malformed ends the process.

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
use crate::parse::{parse_line, parse_message, parse_turn, Turn};

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
    match session.turn {
        Some(_) => Err(RunError::UnfinishedBatch),
        None => Ok(()),
    }
}

/// The state between two lines.
#[derive(Default)]
struct Session {
    host: Host,
    /// The batch that is open.
    turn: Option<Turn>,
}

impl Session {
    fn process(&mut self, line: &str, out: &mut impl Write) -> Result<(), LineError> {
        if line.trim().is_empty() {
            return Ok(());
        }
        let message = parse_message(line)?;
        match (message.name.as_str(), &self.turn) {
            ("TURN", None) => self.turn = Some(parse_turn(&message.values)?),
            ("TURN", Some(_)) => return Err(LineError::NestedBatch),
            (_, None) => return Err(LineError::OutsideBatch { message: message.name }),
            ("EOB", Some(turn)) => {
                self.host.reply(turn, out)?;
                self.turn = None;
            }
            _ => self.host.apply(parse_line(message)?)?,
        }
        Ok(())
    }
}
