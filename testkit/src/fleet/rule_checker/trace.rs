//! Trace of a request, which the description of its violations contains.

use std::fmt;

use pipittack_core::api::Outcome;

use super::messages::{ConnectionEnd, FinalAnswer};
use crate::fleet::fleet_model::START_S;

/// Event of a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum TraceEvent {
    /// A client wrote the statement to a connection.
    Accepted,
    /// A proxy sent an attempt. `process` is the id of the process that sent it, where the trial knows it.
    AttemptSent { server: usize, process: Option<u32> },
    /// An attempt ended with a response of the server, or without one.
    AttemptEnded { server: usize, outcome: Outcome },
    /// The proxy closed the connection of an attempt.
    AttemptAbandoned { server: usize },
    /// A server executed the write.
    Executed,
    /// The client received the final answer.
    Answered(FinalAnswer),
    /// The client's connection ended without an answer. `process_killed` says whether a process of the proxy
    /// was killed meanwhile.
    Closed { end: ConnectionEnd, process_killed: bool },
}

impl fmt::Display for TraceEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted => write!(f, "statement written"),
            Self::AttemptSent { server, process: Some(process) } => {
                write!(f, "attempt sent to server {server} by process {process}")
            }
            Self::AttemptSent { server, process: None } => write!(f, "attempt sent to server {server}"),
            Self::AttemptEnded { server, outcome } => write!(f, "attempt at server {server}: {outcome:?}"),
            Self::AttemptAbandoned { server } => write!(f, "attempt at server {server} abandoned"),
            Self::Executed => write!(f, "executed"),
            Self::Answered(answer) => write!(f, "answered: {answer:?}"),
            Self::Closed { end, process_killed: false } => write!(f, "client connection: {end:?}"),
            Self::Closed { end, process_killed: true } => {
                write!(f, "client connection: {end:?}, process killed")
            }
        }
    }
}

/// Events of a request in the order of their times.
#[derive(Debug, Default)]
pub(super) struct RequestTrace(Vec<(f64, TraceEvent)>);

impl RequestTrace {
    /// Appends an event that occurred at the time `at`, in seconds.
    pub(super) fn push(&mut self, at: f64, event: TraceEvent) {
        self.0.push((at, event));
    }
}

impl fmt::Display for RequestTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (at, event)) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "; " };
            write!(f, "{separator}{:.3} s {event}", at - START_S)?;
        }
        Ok(())
    }
}
