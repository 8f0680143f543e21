//! Polls and watches of the discovery service by proxy processes.

use pipittack_core::api::{Endpoint, EndpointState, EndpointUpdate, Event, PeerMessage};
use rand::Rng;

use super::super::discovery_model::{PollOutcome, Publication};
use super::super::fleet_model::START_S;
use super::super::link_faults::LinkEnd;
use super::event_queue::SimulationEvent;
use super::Simulation;

/// Time in seconds after which a poll fails if the process cannot connect to the discovery service.
const CONNECT_TIMEOUT_S: f64 = 1.0;

impl Simulation {
    /// Polls the discovery service, and schedules the end of the poll.
    pub(super) fn poll(&mut self, process: usize) {
        if !self.link_state(process, LinkEnd::Discovery).is_open() {
            let event = SimulationEvent::PollEnds { process, ok: false };
            return self.schedule(self.now + CONNECT_TIMEOUT_S, event);
        }
        match self.fleet.backends.discovery.poll(self.now) {
            PollOutcome::Answered { at } => {
                self.schedule(at, SimulationEvent::PollEnds { process, ok: true });
            }
            PollOutcome::Failed { at } => {
                self.schedule(at, SimulationEvent::PollEnds { process, ok: false });
            }
        }
    }

    /// Ends a poll. If it was answered, the process receives the endpoint list and watches it from now on.
    pub(super) fn poll_ends(&mut self, process: usize, ok: bool) {
        if !self.processes[process].alive {
            return;
        }
        let reachable = !self.fleet.backends.discovery.is_down(self.now)
            && self.link_state(process, LinkEnd::Discovery).is_open();
        if !ok || !reachable {
            return self.enqueue_event(process, Event::Endpoints(EndpointUpdate::Failed));
        }
        self.processes[process].watching = true;
        let start = &mut self.fleet.report.starts[self.processes[process].start_index];
        start.notified.get_or_insert(self.now - START_S - start.started_at);
        self.endpoints_changed(process, self.fleet.backends.discovery.version(self.now));
    }

    /// Notifies a process that its watch is broken. If the process has opened another watch meanwhile, ends
    /// that watch without a notification.
    pub(super) fn watch_lost(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if !std::mem::replace(&mut state.watching, false) {
            self.enqueue_event(process, Event::Endpoints(EndpointUpdate::Failed));
        }
    }

    /// Ends the watch of a process. The process detects it at the time `noticed_at`.
    pub(super) fn break_watch(&mut self, process: usize, noticed_at: f64) {
        if std::mem::replace(&mut self.processes[process].watching, false) {
            self.schedule(noticed_at, SimulationEvent::WatchLost { process });
        }
    }

    /// Delivers a version of the endpoint list to a process with a watch: the changes since the version that
    /// the process has, or the full list if it has none.
    pub(super) fn endpoints_changed(&mut self, process: usize, version: usize) {
        let state = &mut self.processes[process];
        if !state.alive || !state.watching {
            return;
        }
        let proxy = state.proxy;
        // A service that was restored from a backup may have lost the version of the process. It then sends
        // the full list.
        let known_version =
            state.list_version.replace(version).filter(|known_version| *known_version <= version);
        let endpoints = match known_version {
            Some(known_version) => self.fleet.backends.discovery.changes_since(known_version, version),
            None => self.fleet.backends.discovery.full_list(version),
        };
        for endpoint in &endpoints {
            let server = endpoint.server.0 as usize;
            self.fleet.checker.endpoint_listed(proxy, server, endpoint.state, self.now);
            if endpoint.state != EndpointState::Healthy {
                self.send_to_peers(process, &PeerMessage::ServerWithdrawn(endpoint.server));
            }
        }
        self.record_start_times(process, &endpoints);
        let update = match known_version {
            Some(_) => EndpointUpdate::Changes(endpoints),
            None => EndpointUpdate::Full(endpoints),
        };
        self.enqueue_event(process, Event::Endpoints(update));
    }

    /// Records the start times of servers from endpoints that a process has received.
    pub(super) fn record_start_times(&mut self, process: usize, endpoints: &[Endpoint]) {
        let start_times = &mut self.processes[process].observations.known_starts;
        for endpoint in endpoints {
            if let Some(started_at) = endpoint.started_at {
                start_times.insert(endpoint.server.0 as usize, started_at.as_secs_f64());
            }
        }
    }

    /// Schedules the delivery of a published version to all running processes, each after a random delay of
    /// at most the notification spread.
    pub(super) fn list_published(&mut self, publication: Publication) {
        let spread_s = self.fleet.backends.discovery.settings().notification_spread_s;
        for process in 0..self.processes.len() {
            if self.processes[process].alive {
                let at = publication.at + spread_s * self.fleet.rng.random::<f64>();
                let version = publication.version;
                self.schedule(at, SimulationEvent::EndpointsChanged { process, version });
            }
        }
    }
}
