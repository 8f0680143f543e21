//! Queue of the scheduled events of a simulation, ordered by time.
//!
//! Owns the scheduled events. Events of the same microsecond are returned in the order in which they were
//! scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pipittack_core::api::{AttemptId, ClassId, LoadReport, Outcome, RequestId, ServerStatus};

use super::super::plan::Fault;
use super::super::workload::ClientRequest;

/// Result of an attempt. `status` is `None` if the attempt ended without a response of the server.
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

/// Execution of an attempt at a server. It continues if the proxy abandons the attempt.
#[derive(Debug, Clone, Copy)]
pub struct Execution {
    pub process: usize,
    pub id: AttemptId,
    pub server: usize,
    /// Incarnation of the server that executes the attempt. The execution ends with it.
    pub incarnation: u32,
    pub class: ClassId,
    pub sent_at: f64,
    pub work_s: f64,
    /// See [`InFlightAttempt::may_read_stale`](super::process::InFlightAttempt::may_read_stale).
    pub may_read_stale: bool,
}

/// Event of a simulation. `process` is the index of a proxy process.
#[derive(Debug)]
pub enum SimulationEvent {
    /// The clients of a proxy send their next new request.
    NextRequest { proxy: usize },
    /// A client retries a request.
    Retry(ClientRequest),
    /// A process steps its routing engine.
    Step { process: usize },
    /// The statement of an attempt reaches its server.
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
    /// A process detects that its watch is broken.
    WatchLost { process: usize },
    /// The watch of a process delivers a version of the endpoint list.
    EndpointsChanged { process: usize, version: usize },
    /// A client closes its connection before its request is answered.
    ClientCloses { process: usize, request: RequestId },
    /// A fault of the plan starts. `index` is its index in the plan.
    FaultStarts { index: usize },
    /// A fault ends. `affected` has the indices of its servers or replica sets.
    FaultEnds { fault: Fault, affected: Vec<usize> },
    /// A replica set elects a primary.
    Election { set: usize },
    /// A new process of a proxy starts and accepts requests at once.
    StartProcess { proxy: usize },
    /// A successor takes over from its predecessor.
    TakeOver { process: usize },
    /// A process stops accepting requests.
    StopAccepting { process: usize },
    /// A process that shuts down exits if it has no open requests or if `kill_at` has been reached. Otherwise
    /// it is checked again later.
    AwaitExit { process: usize, kill_at: f64 },
    /// The processes of a proxy are killed, and again after each `interval_s` while `until` has not been
    /// reached.
    CrashLoop { proxy: usize, interval_s: f64, until: f64 },
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueEntry {
    at_us: u64,
    sequence: u64,
    slot: usize,
}

/// Scheduled events, ordered by time. The heap orders entries that refer to the events by slot; the slot of a
/// returned event is reused.
#[derive(Debug, Default)]
pub struct EventQueue {
    entries: BinaryHeap<Reverse<QueueEntry>>,
    slots: Vec<Option<SimulationEvent>>,
    free_slots: Vec<usize>,
    sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a time in seconds, which is rounded up to microseconds.
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

    /// Removes the earliest event, and returns it with its time in seconds. Returns `None` if the queue is
    /// empty.
    pub fn pop(&mut self) -> Option<(f64, SimulationEvent)> {
        let Reverse(entry) = self.entries.pop()?;
        let event = self.slots[entry.slot].take().expect("the slot of a queued entry holds its event");
        self.free_slots.push(entry.slot);
        Some((entry.at_us as f64 / 1e6, event))
    }
}
