//! The events of a simulation, ordered by time.
//!
//! Owns the scheduled events. Events of the same microsecond are delivered in the order in which they were
//! scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pipittack_core::api::{AttemptId, ClassId, LoadReport, Outcome, RequestId, ServerStatus};

use super::super::plan::Fault;
use super::super::workload::ClientRequest;

/// How an attempt ended, as a server or the network says.
#[derive(Debug, Clone, Copy)]
pub struct AttemptResult {
    pub outcome: Outcome,
    pub status: Option<ServerStatus>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, status: None }
    }
}

/// The execution of an attempt at a server, which goes on even if the proxy has given it up.
#[derive(Debug, Clone, Copy)]
pub struct Execution {
    pub process: usize,
    pub id: AttemptId,
    pub server: usize,
    /// The incarnation of the server that executes it.
    pub incarnation: u32,
    pub class: ClassId,
    pub sent_at: f64,
    pub work_s: f64,
    /// See `InFlightAttempt::may_read_stale`.
    pub may_read_stale: bool,
}

/// What happens in a simulation.
#[derive(Debug)]
pub enum SimulationEvent {
    /// A client of a proxy sends its next request.
    NextRequest { proxy: usize },
    /// A client tries a request again.
    Retry(ClientRequest),
    /// A process steps its routing engine.
    Step { process: usize },
    /// The statement of an attempt arrives at its server.
    StatementReceived { process: usize, id: AttemptId },
    /// A server begins an execution.
    ExecutionStarts(Execution),
    /// A server completes an execution.
    ExecutionEnds(Execution),
    /// An attempt ends for its process.
    AttemptEnds { process: usize, id: AttemptId, result: AttemptResult },
    /// The timeout of an attempt expires.
    AttemptTimeout { process: usize, id: AttemptId },
    /// A health check ends.
    HealthChecked { process: usize, server: usize, ok: bool, load_report: Option<LoadReport> },
    /// A poll of the discovery service ends.
    PollEnds { process: usize, ok: bool },
    /// A process notices that its watch is broken.
    WatchLost { process: usize },
    /// The watch of a process delivers a version of the endpoint list.
    EndpointsChanged { process: usize, version: usize },
    /// A client closes its connection before it has an answer.
    ClientCloses { process: usize, request: RequestId },
    /// A fault of the plan begins.
    FaultStarts { index: usize },
    /// A fault ends for the servers or sets that it affected.
    FaultEnds { fault: Fault, affected: Vec<usize> },
    /// A replica set elects a primary.
    Election { set: usize },
    /// A process of a proxy starts.
    StartProcess { proxy: usize },
    /// A successor takes over from the other process of its proxy.
    TakeOver { process: usize },
    /// A process stops accepting requests.
    StopAccepting { process: usize },
    /// A process that accepts no requests exits once it is idle, or is killed at the deadline.
    AwaitExit { process: usize, kill_at: f64 },
    /// A proxy is killed, and again after each interval.
    CrashLoop { proxy: usize, interval_s: f64, until: f64 },
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    at_us: u64,
    sequence: u64,
    slot: usize,
}

/// Scheduled events by time. Events are stored in slots that are reused.
#[derive(Debug, Default)]
pub struct EventQueue {
    entries: BinaryHeap<Reverse<QueueEntry>>,
    slots: Vec<Option<SimulationEvent>>,
    free_slots: Vec<usize>,
    sequence: u64,
}

impl EventQueue {
    /// Schedules an event; its time is rounded up to microseconds.
    pub fn schedule(&mut self, at: f64, event: SimulationEvent) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.sequence += 1;
        let at_us = (at * 1e6).ceil() as u64;
        self.entries.push(Reverse(QueueEntry { at_us, sequence: self.sequence, slot }));
    }

    /// Removes the next event, and returns it with its time.
    pub fn pop(&mut self) -> Option<(f64, SimulationEvent)> {
        let Reverse(entry) = self.entries.pop()?;
        let event = self.slots[entry.slot].take().expect("each entry owns its slot");
        self.free_slots.push(entry.slot);
        Some((entry.at_us as f64 / 1e6, event))
    }
}
