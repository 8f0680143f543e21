//! Starts, hot restarts, graceful shutdowns and kills of simulated proxy processes.

use std::ops::Range;

use pipittack_core::api::{EndpointUpdate, Event, ServerId};
use pipittack_core::RoutingEngine;
use rand::Rng;

use super::super::fleet_model::{CRASH_LOOP_DOWNTIME_S, SHUTDOWN_TIMEOUT_S};
use super::super::plan::CachedList;
use super::event_queue::SimulationEvent;
use super::process::Process;
use super::Simulation;

/// Time in seconds from the shutdown signal until a process stops accepting requests.
const ACCEPT_GRACE_PERIOD_S: f64 = 1.8;
/// Minimum time in seconds from the deadline of a graceful shutdown, when the process is killed, until the
/// next start.
const MIN_RESTART_DELAY_S: f64 = 0.1;
/// Range of the random time in seconds from the start of a successor until it takes over.
const TAKE_OVER_DELAY_S: Range<f64> = 0.02..0.4;
/// Time in seconds for which a predecessor accepts requests after its successor has taken over.
const OVERLAP_S: f64 = 0.45;
/// Interval in seconds at which a process that shuts down checks whether it has open requests.
const EXIT_CHECK_INTERVAL_S: f64 = 0.05;

impl Simulation {
    /// Creates a process of a proxy, and returns its index. `list_version` is the version of the endpoint
    /// list that the process has cached, or `None`.
    fn spawn_process(&mut self, proxy: usize, list_version: Option<usize>) -> usize {
        let seed = self.fleet.rng.random();
        let engine = RoutingEngine::new(self.fleet.proxy_settings(proxy), seed)
            .expect("the plan's settings are valid");
        let start_index = self.fleet.record_start(self.now);
        self.processes.push(Process::new(proxy, engine, start_index, list_version));
        let process = self.processes.len() - 1;
        self.live_processes[proxy].push(process);
        for server in self.out_of_service.clone() {
            self.enqueue_event(process, Event::TakenOutOfService(ServerId(server as u32)));
        }
        if let Some(version) = list_version {
            let endpoints = self.fleet.backends.discovery.full_list(version);
            self.record_start_times(process, &endpoints);
            self.enqueue_event(process, Event::Endpoints(EndpointUpdate::Cached(endpoints)));
        }
        self.schedule_step(process);
        process
    }

    /// Starts a process of a proxy, which accepts requests at once.
    pub(super) fn start_process(&mut self, proxy: usize) {
        let process = self.spawn_process(proxy, self.fleet.cached_versions[proxy]);
        self.processes[process].accepting = true;
    }

    /// Starts the hot restart of a proxy: starts a successor with a snapshot of the predecessor's routing
    /// state, and schedules its takeover. Does nothing if the predecessor is paused or another hot restart is
    /// in progress.
    pub(super) fn upgrade(&mut self, proxy: usize) {
        let Some(predecessor) = self.accepting_process(proxy) else { return };
        let paused = self.processes[predecessor].paused_until > self.now;
        let alive =
            self.live_processes[proxy].iter().filter(|process| self.processes[**process].alive).count();
        if paused || alive > 1 {
            return;
        }
        self.step(predecessor);
        let snapshot = self.processes[predecessor].engine.snapshot();
        let successor = self.spawn_process(proxy, self.processes[predecessor].list_version);
        self.enqueue_event(successor, Event::SnapshotReceived(Box::new(snapshot)));
        self.processes[successor].observations = self.processes[predecessor].observations.clone();
        let at = self.now + self.fleet.rng.random_range(TAKE_OVER_DELAY_S);
        self.schedule(at, SimulationEvent::TakeOver { process: successor });
    }

    /// Lets a successor accept requests, and shuts down its predecessors.
    pub(super) fn take_over(&mut self, successor: usize) {
        self.processes[successor].accepting = true;
        let proxy = self.processes[successor].proxy;
        let predecessors: Vec<_> =
            self.live_processes[proxy].iter().copied().filter(|process| *process != successor).collect();
        for predecessor in predecessors {
            let kill_at = self.now + SHUTDOWN_TIMEOUT_S;
            self.schedule(self.now + OVERLAP_S, SimulationEvent::StopAccepting { process: predecessor });
            self.schedule(self.now + OVERLAP_S, SimulationEvent::AwaitExit { process: predecessor, kill_at });
        }
    }

    /// Shuts down the processes of a proxy gracefully, and schedules the start of a new one. `downtime_s` is
    /// the time in seconds from the shutdown signal until that start, which is later than the shutdown
    /// deadline in any case.
    pub(super) fn restart(&mut self, proxy: usize, downtime_s: f64) {
        if self.live_processes[proxy].is_empty() {
            return;
        }
        for process in self.live_processes[proxy].clone() {
            let stop_at = self.now + ACCEPT_GRACE_PERIOD_S;
            let kill_at = self.now + SHUTDOWN_TIMEOUT_S;
            self.schedule(stop_at, SimulationEvent::StopAccepting { process });
            self.schedule(stop_at, SimulationEvent::AwaitExit { process, kill_at });
        }
        let start_at = self.now + downtime_s.max(SHUTDOWN_TIMEOUT_S + MIN_RESTART_DELAY_S);
        self.schedule(start_at, SimulationEvent::StartProcess { proxy });
    }

    /// Ends a process that shuts down if it has no open requests or if `kill_at` has been reached. Otherwise
    /// schedules the next check.
    pub(super) fn await_exit(&mut self, process: usize, kill_at: f64) {
        let state = &self.processes[process];
        if !state.alive {
            return;
        }
        if state.open_requests.is_empty() || self.now >= kill_at {
            return self.exit_process(process);
        }
        let next_check = self.now + EXIT_CHECK_INTERVAL_S;
        self.schedule(next_check, SimulationEvent::AwaitExit { process, kill_at });
    }

    /// Ends a process: closes its connections, and fails its open requests.
    fn exit_process(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if !std::mem::replace(&mut state.alive, false) {
            return;
        }
        state.accepting = false;
        state.events.clear();
        let proxy = state.proxy;
        let open_requests = std::mem::take(&mut state.open_requests);
        let in_flight = std::mem::take(&mut state.in_flight);
        let idle_connections = std::mem::take(&mut state.idle_connections);
        let cached_version = &mut self.fleet.cached_versions[proxy];
        *cached_version = match self.fleet.plan.cached_list {
            CachedList::Absent => None,
            _ => state.list_version.or(*cached_version),
        };
        for (server, connections) in idle_connections {
            self.close_connections(server, connections.iter().map(|connection| connection.incarnation));
        }
        for attempt in in_flight.into_values() {
            self.close_connections(attempt.server, [attempt.incarnation]);
        }
        for (id, open_request) in open_requests {
            self.fleet.checker.request_abandoned(id.0);
            self.proxy_unreachable(open_request.client_request);
        }
        self.live_processes[proxy].retain(|other| *other != process);
    }

    /// Kills the processes of a proxy, and schedules the start of a new one after `downtime_s` seconds.
    pub(super) fn kill(&mut self, proxy: usize, downtime_s: f64) {
        if self.live_processes[proxy].is_empty() {
            return;
        }
        for process in self.live_processes[proxy].clone() {
            self.exit_process(process);
        }
        self.schedule(self.now + downtime_s, SimulationEvent::StartProcess { proxy });
    }

    /// Kills the processes of a proxy, and schedules the next kill after `interval_s` unless `until` has been
    /// reached.
    pub(super) fn crash_loop(&mut self, proxy: usize, interval_s: f64, until: f64) {
        self.kill(proxy, CRASH_LOOP_DOWNTIME_S);
        if self.now < until {
            let event = SimulationEvent::CrashLoop { proxy, interval_s, until };
            self.schedule(self.now + interval_s, event);
        }
    }

    /// Returns a process of a proxy that accepts requests, a random one if there are several. Returns `None`
    /// if there is none.
    pub(super) fn accepting_process(&mut self, proxy: usize) -> Option<usize> {
        let accepting: Vec<_> = self.live_processes[proxy]
            .iter()
            .copied()
            .filter(|process| self.processes[*process].accepting)
            .collect();
        if accepting.is_empty() {
            return None;
        }
        Some(accepting[self.fleet.rng.random_range(0..accepting.len())])
    }
}
