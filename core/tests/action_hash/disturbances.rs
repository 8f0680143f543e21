//! Random disturbances: failovers, restarts, operators' commands, reloads, pauses and hot restarts.

use std::time::Duration;

use pipittack_core::api::{DiscoveryMode, EndpointState, EndpointUpdate, Event, ServerId};
use pipittack_core::RoutingEngine;

use crate::case_run::{CaseRun, Task};
use crate::cluster::ProcessState;
use crate::settings::{class, tenant};

/// Offset of a successor process's clock from its predecessor's clock.
const CLOCK_SHIFT: Duration = Duration::from_millis(12_345);

impl CaseRun {
    /// Causes one random disturbance.
    pub(crate) fn disturb(&mut self, events: &mut Vec<Event>) {
        let group = 1 + self.random.below(self.case.groups);
        match self.random.below(20) {
            0..4 => self.kill(self.cluster.replica_sets[&group].primary),
            4 => self.hang(self.cluster.replica_sets[&group].primary),
            5 | 6 => self.drain(self.cluster.replica_sets[&group].primary),
            7 => {
                let server = self.random_server();
                self.kill(server);
            }
            8 => {
                let server = self.random_server();
                self.hang(server);
            }
            9 => {
                let server = self.random_server();
                self.drain(server);
            }
            10 => {
                let started = Some(self.now);
                let added = self.cluster.add(group, started, &mut self.random);
                self.announce_later(vec![added]);
            }
            11 => self.take_out_of_service(events),
            12 => self.reload(events),
            13 => {
                self.counters.pauses += 1;
                self.pause = Some(self.random.duration_ms(150, 2500));
            }
            14 => self.restart_due = true,
            15 => events.push(Event::PeerMessage(self.random_peer_message())),
            16 => self.random_gossip(),
            17 => {
                self.requests_per_s = self.case.requests_per_s * 6;
                self.schedule(Duration::from_millis(1500), Task::EndOfBurst);
            }
            18 => {
                let server = self.random_server();
                self.cluster.server(server).lag = self.random.duration_ms(5, 4000);
            }
            _ => {
                self.is_watching = self.case.discovery == DiscoveryMode::Push;
                events.push(Event::Endpoints(EndpointUpdate::Failed));
            }
        }
    }

    fn announce_later(&mut self, servers: Vec<u32>) {
        let delay = self.random.duration_ms(50, 1200);
        self.schedule(delay, Task::EndpointChanges(servers));
    }

    fn promote_later(&mut self, server: u32, min_ms: u64, max_ms: u64) {
        let group = self.cluster.server(server).group;
        if self.cluster.is_primary(server) {
            let delay = self.random.duration_ms(min_ms, max_ms);
            self.schedule(delay, Task::Promote(group));
        }
    }

    fn kill(&mut self, server: u32) {
        self.cluster.server(server).process = ProcessState::Dead;
        self.promote_later(server, 200, 2500);
        let delay = self.random.duration_ms(2000, 6000);
        self.schedule(delay, Task::Restart(server));
    }

    fn hang(&mut self, server: u32) {
        self.cluster.server(server).process = ProcessState::Hung;
        if self.random.chance(600) {
            self.promote_later(server, 500, 2000);
        }
        let delay = self.random.duration_ms(800, 4000);
        self.schedule(delay, Task::Resume(server));
    }

    fn drain(&mut self, server: u32) {
        self.cluster.server(server).endpoint_state = EndpointState::Draining;
        self.announce_later(vec![server]);
        self.promote_later(server, 100, 800);
        let delay = self.random.duration_ms(2000, 5000);
        self.schedule(delay, Task::Restart(server));
    }

    fn take_out_of_service(&mut self, events: &mut Vec<Event>) {
        let server = self.random_server();
        events.push(Event::TakenOutOfService(ServerId(server)));
        let delay = self.random.duration_ms(500, 4000);
        self.schedule(delay, Task::ReturnToService(server));
    }

    /// Promotes a replica. If none is eligible and the primary is down, tries again later.
    pub(crate) fn promote(&mut self, group: u64) {
        let primary = self.cluster.replica_sets[&group].primary;
        if let Some([new_primary, old_primary]) = self.cluster.promote(group, &mut self.random) {
            self.counters.promotions += 1;
            let extra_claim_time = self.random.duration_ms(0, 1500);
            let was_hung = self.cluster.server(old_primary).process == ProcessState::Hung;
            self.cluster.server(old_primary).claims_primary_until =
                if was_hung { self.now + extra_claim_time + Duration::from_secs(2) } else { Duration::ZERO };
            self.announce_later(vec![new_primary, old_primary]);
        } else if !self.cluster.takes_writes(group) {
            self.promote_later(primary, 300, 900);
        }
    }

    /// Restarts a server's process. Sometimes a replica is first removed from the endpoint list.
    pub(crate) fn restart(&mut self, id: u32) {
        let should_remove =
            self.cluster.server(id).endpoint_state != EndpointState::Removed && self.random.chance(300);
        let is_primary = self.cluster.is_primary(id);
        let now = self.now;
        let lag = self.random.duration_ms(5, 2500);
        let server = self.cluster.server(id);
        if should_remove && !is_primary {
            server.endpoint_state = EndpointState::Removed;
            server.process = ProcessState::Dead;
            let delay = self.random.duration_ms(1000, 5000);
            self.schedule(delay, Task::Restart(id));
        } else {
            server.endpoint_state = EndpointState::Healthy;
            server.process = ProcessState::Running;
            server.started_at = Some(now);
            server.lag = lag;
        }
        self.announce_later(vec![id]);
    }

    /// Resumes a hung server.
    pub(crate) fn resume(&mut self, id: u32) {
        let server = self.cluster.server(id);
        if server.process == ProcessState::Hung {
            server.process = ProcessState::Running;
        }
    }

    /// Reloads the settings: changes one class, and sometimes adds a class or a tenant.
    fn reload(&mut self, events: &mut Vec<Event>) {
        self.counters.reloads += 1;
        let changed = self.random.below(self.settings.classes.len() as u64) as usize;
        self.settings.classes[changed].latency_objective += Duration::from_millis(20);
        if self.random.chance(300) {
            let added = class(self.settings.classes.len());
            self.settings.classes.push(added);
        }
        if !self.settings.tenants.is_empty() && self.random.chance(300) {
            let added = tenant(self.settings.tenants.len());
            self.settings.tenants.push(added);
        }
        self.settings.limits.send_retry_after ^= self.random.chance(300);
        self.settings.failover.suspicion_factor = 1.0 + self.random.below(4) as f64;
        self.settings.failover.max_buffered_writes = *self.random.pick(&[20, 200, 2048]);
        events.push(Event::Settings(Box::new(self.settings.clone())));
    }

    /// Replaces the engine by a new one, as in a hot restart, and passes a snapshot to it.
    pub(crate) fn hot_restart(&mut self) {
        self.counters.snapshots += 1;
        let mut snapshot = self.engine.snapshot();
        snapshot.shift_times(CLOCK_SHIFT.as_secs_f64());
        self.clock_offset += CLOCK_SHIFT;
        self.drop_open_requests();
        let seed = self.random.bits();
        self.engine = RoutingEngine::new(self.settings.clone(), seed).expect("valid settings");
        let endpoints = self.cluster.endpoints(self.clock_offset);
        let update = Event::Endpoints(EndpointUpdate::Cached(endpoints));
        self.step(vec![update, Event::SnapshotReceived(Box::new(snapshot))]);
    }

    fn random_gossip(&mut self) {
        let length = *self.random.pick(&[0, 5, 6, 6, 6, 7, 40]);
        let mut bytes: Vec<u8> = (0..length).map(|_| self.random.bits() as u8).collect();
        if length == 6 {
            let server = self.random_server();
            bytes[..4].copy_from_slice(&server.to_le_bytes());
        }
        self.schedule(Duration::ZERO, Task::Gossip(bytes));
    }
}
