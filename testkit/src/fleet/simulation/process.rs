//! State of one simulated proxy process.
//!
//! Owns the routing engine of the process, its pending events and timers, and the tables of open requests,
//! attempts and idle connections. In the built program, the driver keeps these tables.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::Duration;

use pipittack_core::api::{AttemptId, ClassId, Event, RequestId, TimerId};
use pipittack_core::RoutingEngine;

use super::super::workload::ClientRequest;

/// Request that a process has accepted and not answered.
pub struct OpenRequest {
    pub client_request: ClientRequest,
    pub deadline: f64,
    pub attempts: u32,
}

/// Attempt that has not ended for its process.
pub struct InFlightAttempt {
    pub server: usize,
    /// Incarnation of the server when the attempt was sent. Its connection ends with this incarnation.
    pub incarnation: u32,
    pub class: ClassId,
    pub session: u64,
    pub sent_at: f64,
    pub work_s: f64,
    /// Whether the attempt opened a new connection.
    pub on_new_connection: bool,
    /// Whether the statement of the attempt has reached the server.
    pub written: bool,
    /// For a read with bounded staleness: the time until which the last known position of the server
    /// satisfies the bound. `None` for other classes, and if the position is not known.
    pub fresh_until: Option<f64>,
    /// Whether the server was primary at some time and the process had not been informed that it no longer
    /// was when it sent the attempt. A stale read is then no violation.
    pub may_read_stale: bool,
}

/// Idle connection from a process to a server.
#[derive(Debug, Clone, Copy)]
pub struct IdleConnection {
    /// Incarnation of the server that accepted the connection.
    pub incarnation: u32,
    pub idle_since: f64,
}

/// State of the servers as a process has observed it. A successor gets a copy from its predecessor.
#[derive(Clone, Default)]
pub struct ServerObservations {
    /// Newest replication position that each replica has reported. `None` after a response from a primary.
    pub positions: HashMap<usize, Option<f64>>,
    /// Servers whose last reported role is replica.
    pub not_primary: HashSet<usize>,
    /// Start time of each server in the endpoint list.
    pub known_starts: HashMap<usize, f64>,
}

/// Simulated process of a proxy.
pub struct Process {
    pub proxy: usize,
    pub engine: RoutingEngine,
    /// Whether the process has not exited.
    pub alive: bool,
    /// Whether the process accepts requests.
    pub accepting: bool,
    /// Time until which the process is paused. A time in the past means that it is not paused.
    pub paused_until: f64,
    /// Index of the process's entry in the starts of the report.
    pub start_index: usize,
    /// Events that the next step passes to the routing engine.
    pub events: Vec<Event>,
    /// Expiry and id of each running timer.
    pub timers: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Time of the last step in seconds. 0 before the first step.
    pub last_step_at: f64,
    /// Time of the scheduled step in seconds. `None` if no step is scheduled.
    pub next_step_at: Option<f64>,
    pub open_requests: BTreeMap<RequestId, OpenRequest>,
    pub in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    /// Idle connections to each server.
    pub idle_connections: HashMap<usize, Vec<IdleConnection>>,
    /// Version of the endpoint list that the process last received. `None` before the first list.
    pub list_version: Option<usize>,
    /// Whether the process has an open watch of the discovery service.
    pub watching: bool,
    pub observations: ServerObservations,
}

impl Process {
    /// Creates a process that has just started and does not accept requests yet.
    pub fn new(proxy: usize, engine: RoutingEngine, start_index: usize, list_version: Option<usize>) -> Self {
        Self {
            proxy,
            engine,
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

    /// Removes the timers that have expired, and adds their events to the pending events.
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
