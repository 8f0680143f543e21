//! The state of one simulated proxy process.
//!
//! Owns the routing engine of the process, its pending events and timers, and the tables of open requests,
//! attempts and idle connections that the program keeps around the engine.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use pipittack_core::api::{AttemptId, ClassId, Event, RequestId, TimerId};
use pipittack_core::RoutingEngine;

use super::super::workload::ClientRequest;

/// A request that waits for its final answer.
pub struct OpenRequest {
    pub client_request: ClientRequest,
    pub deadline: f64,
    pub attempts: u32,
}

/// An attempt that has not ended for its process.
pub struct InFlightAttempt {
    pub server: usize,
    /// The incarnation of the server to which its connection belongs.
    pub incarnation: u32,
    pub class: ClassId,
    pub session: u64,
    pub sent_at: f64,
    pub work_s: f64,
    /// It opened a new connection.
    pub on_new_connection: bool,
    /// Its statement was written.
    pub written: bool,
    /// Until when the data of its server is known to be recent enough for a read with bounded staleness.
    pub fresh_until: Option<f64>,
    /// The server was primary before, and the process could not know otherwise.
    pub may_read_stale: bool,
}

/// An idle connection to a server.
#[derive(Debug, Clone, Copy)]
pub struct IdleConnection {
    /// The incarnation of the server that accepted it.
    pub incarnation: u32,
    pub idle_since: f64,
}

/// What a process knows of servers; a successor inherits it.
#[derive(Clone, Default)]
pub struct ServerObservations {
    /// The last known replication position of each server.
    pub positions: HashMap<usize, Option<f64>>,
    /// Servers that reported that they are not primary.
    pub not_primary: HashSet<usize>,
    /// When servers started, by the endpoint list.
    pub started_at: HashMap<usize, f64>,
}

/// A process of a proxy.
pub struct Process {
    pub proxy: usize,
    pub router: RoutingEngine,
    pub alive: bool,
    /// It accepts requests.
    pub accepting: bool,
    /// It is paused up to this time.
    pub paused_until: f64,
    /// Its index among the starts of the report.
    pub start_index: usize,
    pub events: Vec<Event>,
    pub timers: BinaryHeap<Reverse<(Duration, u64)>>,
    pub last_step_at: f64,
    pub next_step_at: Option<f64>,
    pub open_requests: BTreeMap<RequestId, OpenRequest>,
    pub in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Idle connections by server.
    pub idle_connections: HashMap<usize, Vec<IdleConnection>>,
    /// The version of the endpoint list that it has.
    pub list_version: Option<usize>,
    pub watching: bool,
    pub observations: ServerObservations,
}

impl Process {
    /// A process that has just started and accepts no requests yet.
    pub fn new(proxy: usize, router: RoutingEngine, start_index: usize, list_version: Option<usize>) -> Self {
        Self {
            proxy,
            router,
            alive: true,
            accepting: false,
            paused_until: 0.0,
            start_index,
            events: Vec::new(),
            timers: BinaryHeap::new(),
            last_step_at: 0.0,
            next_step_at: None,
            open_requests: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            idle_connections: HashMap::new(),
            list_version,
            watching: false,
            observations: ServerObservations::default(),
        }
    }

    /// Moves the timers that have expired to the pending events.
    pub fn expire_timers(&mut self, now: Duration) {
        while let Some(Reverse((at, id))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            self.events.push(Event::Timer(TimerId(id)));
        }
    }
}
