//! Polls and watches of the discovery service.

use pipittack_core::api::{Endpoint, EndpointState, EndpointUpdate, Event, PeerMessage};
use rand::Rng;

use super::super::discovery_model::{PollOutcome, Publication};
use super::super::fleet_model::START_S;
use super::super::link_faults::LinkEnd;
use super::event_queue::SimulationEvent;
use super::Simulation;

/// Time in s after which a poll fails that can't connect.
const CONNECT_TIMEOUT_S: f64 = 1.0;

impl Simulation {
    /// Polls the discovery service.
    pub(super) fn poll(&mut self, process: usize) {
        if !self.link_state(process, LinkEnd::Discovery).is_open() {
            let event = SimulationEvent::PollEnds { process, ok: false };
            return self.schedule(self.now + CONNECT_TIMEOUT_S, event);
        }
        match self.fleet.site.discovery.poll(self.now) {
            PollOutcome::Answered { at } => {
                self.schedule(at, SimulationEvent::PollEnds { process, ok: true });
            }
            PollOutcome::Failed { at } => {
                self.schedule(at, SimulationEvent::PollEnds { process, ok: false });
            }
        }
    }

    /// Ends a poll; if it is answered, the process watches from now on.
    pub(super) fn poll_ends(&mut self, process: usize, ok: bool) {
        if !self.processes[process].alive {
            return;
        }
        let reachable = !self.fleet.site.discovery.is_down(self.now)
            && self.link_state(process, LinkEnd::Discovery).is_open();
        if !ok || !reachable {
            return self.enqueue_event(process, Event::Endpoints(EndpointUpdate::Failed));
        }
        self.processes[process].watching = true;
        let start = &mut self.fleet.report.starts[self.processes[process].start_index];
        start.notified.get_or_insert(self.now - START_S - start.at);
        self.endpoints_changed(process, self.fleet.site.discovery.version(self.now));
    }

    /// A process notices that its watch is broken, unless it has opened another one.
    pub(super) fn watch_lost(&mut self, process: usize) {
        let state = &mut self.processes[process];
        if !std::mem::replace(&mut state.watching, false) {
            self.enqueue_event(process, Event::Endpoints(EndpointUpdate::Failed));
        }
    }

    /// Breaks the watch of a process, which notices it at this time.
    pub(super) fn break_watch(&mut self, process: usize, noticed_at: f64) {
        if std::mem::replace(&mut self.processes[process].watching, false) {
            self.schedule(noticed_at, SimulationEvent::WatchLost { process });
        }
    }

    /// Delivers a version of the endpoint list to a process that watches.
    pub(super) fn endpoints_changed(&mut self, process: usize, version: usize) {
        let state = &mut self.processes[process];
        if !state.alive || !state.watching {
            return;
        }
        let proxy = state.proxy;
        // A service that has lost versions sends the full list.
        let known = state.list_version.replace(version).filter(|known| *known <= version);
        let endpoints = match known {
            Some(known) => self.fleet.site.discovery.changes_since(known, version),
            None => self.fleet.site.discovery.full_list(version),
        };
        for endpoint in &endpoints {
            let server = endpoint.server.0 as usize;
            self.fleet.checker.endpoint_listed(proxy, server, endpoint.state, self.now);
            if endpoint.state != EndpointState::Healthy {
                self.send_to_peer(process, &PeerMessage::ServerWithdrawn(endpoint.server));
            }
        }
        self.record_start_times(process, &endpoints);
        let update = match known {
            Some(_) => EndpointUpdate::Changes(endpoints),
            None => EndpointUpdate::Full(endpoints),
        };
        self.enqueue_event(process, Event::Endpoints(update));
    }

    /// Records the start times in a list that a process has received.
    pub(super) fn record_start_times(&mut self, process: usize, endpoints: &[Endpoint]) {
        let start_times = &mut self.processes[process].observations.started_at;
        for endpoint in endpoints {
            if let Some(started_at) = endpoint.started_at {
                start_times.insert(endpoint.server.0 as usize, started_at.as_secs_f64());
            }
        }
    }

    /// Notifies the processes that watch of a publication, each within the notification spread.
    pub(super) fn list_published(&mut self, publication: Publication) {
        let spread_s = self.fleet.site.discovery.settings().notification_spread_s;
        for process in 0..self.processes.len() {
            if self.processes[process].alive {
                let at = publication.at + spread_s * self.fleet.rng.random::<f64>();
                let version = publication.version;
                self.schedule(at, SimulationEvent::EndpointsChanged { process, version });
            }
        }
    }
}
