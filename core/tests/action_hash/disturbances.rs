//! What goes wrong or changes: failovers, restarts, operators' commands, reloads, pauses and hot restarts.

use std::time::Duration;

use pipittack_core::api::{DiscoveryMode, EndpointState, EndpointUpdate, Event, ServerId};
use pipittack_core::RoutingEngine;

use crate::cluster::Process;
use crate::script::{Script, Task};
use crate::settings::{class, tenant};

/// By how much the next process's clock is ahead of its predecessor's.
const CLOCK_SHIFT: Duration = Duration::from_millis(12_345);

impl Script {
    /// Lets one disturbance happen, by chance.
    pub(crate) fn disturb(&mut self, events: &mut Vec<Event>) {
        let group = 1 + self.random.below(self.case.groups);
        match self.random.below(20) {
            0..4 => self.kill(self.cluster.sets[&group].primary),
            4 => self.hang(self.cluster.sets[&group].primary),
            5 | 6 => self.drain(self.cluster.sets[&group].primary),
            7 => {
                let server = self.draw_server();
                self.kill(server);
            }
            8 => {
                let server = self.draw_server();
                self.hang(server);
            }
            9 => {
                let server = self.draw_server();
                self.drain(server);
            }
            10 => {
                let started = Some(self.now);
                let added = self.cluster.add(group, started, &mut self.random);
                self.announce_soon(vec![added]);
            }
            11 => self.take_offline(events),
            12 => self.reload(events),
            13 => {
                self.counters.pauses += 1;
                self.pause = Some(self.random.duration_ms(150, 2500));
            }
            14 => self.restart_due = true,
            15 => events.push(Event::PeerMessage(self.draw_word())),
            16 => self.random_gossip(),
            17 => {
                self.requests_per_s = self.case.requests_per_s * 6;
                self.after(Duration::from_millis(1500), Task::EndOfBurst);
            }
            18 => {
                let server = self.draw_server();
                self.cluster.server(server).lag = self.random.duration_ms(5, 4000);
            }
            _ => {
                self.watching = self.case.discovery == DiscoveryMode::Push;
                events.push(Event::Endpoints(EndpointUpdate::Failed));
            }
        }
    }

    fn announce_soon(&mut self, servers: Vec<u32>) {
        let delay = self.random.duration_ms(50, 1200);
        self.after(delay, Task::Changed(servers));
    }

    fn promote_later(&mut self, server: u32, low_ms: u64, high_ms: u64) {
        let group = self.cluster.server(server).group;
        if self.cluster.is_primary(server) {
            let delay = self.random.duration_ms(low_ms, high_ms);
            self.after(delay, Task::Promote(group));
        }
    }

    fn kill(&mut self, server: u32) {
        self.cluster.server(server).process = Process::Dead;
        self.promote_later(server, 200, 2500);
        let delay = self.random.duration_ms(2000, 6000);
        self.after(delay, Task::Restart(server));
    }

    fn hang(&mut self, server: u32) {
        self.cluster.server(server).process = Process::Hung;
        if self.random.happens(600) {
            self.promote_later(server, 500, 2000);
        }
        let delay = self.random.duration_ms(800, 4000);
        self.after(delay, Task::Wake(server));
    }

    fn drain(&mut self, server: u32) {
        self.cluster.server(server).health = EndpointState::Draining;
        self.announce_soon(vec![server]);
        self.promote_later(server, 100, 800);
        let delay = self.random.duration_ms(2000, 5000);
        self.after(delay, Task::Restart(server));
    }

    fn take_offline(&mut self, events: &mut Vec<Event>) {
        let server = self.draw_server();
        events.push(Event::TakenOutOfService(ServerId(server)));
        let delay = self.random.duration_ms(500, 4000);
        self.after(delay, Task::Online(server));
    }

    /// A replica takes over; the set waits for one where none can.
    pub(crate) fn promote(&mut self, group: u64) {
        let primary = self.cluster.sets[&group].primary;
        if let Some([promoted, before]) = self.cluster.promote(group, &mut self.random) {
            self.counters.promotions += 1;
            let blind = self.random.duration_ms(0, 1500);
            let unaware = self.cluster.server(before).process == Process::Hung;
            self.cluster.server(before).believes_primary_until =
                if unaware { self.now + blind + Duration::from_secs(2) } else { Duration::ZERO };
            self.announce_soon(vec![promoted, before]);
        } else if !self.cluster.takes_writes(group) {
            self.promote_later(primary, 300, 900);
        }
    }

    /// A server's process starts anew; now and then it is gone from the list before.
    pub(crate) fn restart(&mut self, id: u32) {
        let vanishes = self.cluster.server(id).health != EndpointState::Removed && self.random.happens(300);
        let primary = self.cluster.is_primary(id);
        let now = self.now;
        let lag = self.random.duration_ms(5, 2500);
        let server = self.cluster.server(id);
        if vanishes && !primary {
            server.health = EndpointState::Removed;
            server.process = Process::Dead;
            let delay = self.random.duration_ms(1000, 5000);
            self.after(delay, Task::Restart(id));
        } else {
            server.health = EndpointState::Healthy;
            server.process = Process::Running;
            server.started = Some(now);
            server.lag = lag;
        }
        self.announce_soon(vec![id]);
    }

    /// A hung server goes on.
    pub(crate) fn wake(&mut self, id: u32) {
        let server = self.cluster.server(id);
        if server.process == Process::Hung {
            server.process = Process::Running;
        }
    }

    /// New settings: one class changes, and now and then a class or a tenant is added.
    fn reload(&mut self, events: &mut Vec<Event>) {
        self.counters.reloads += 1;
        let changed = self.random.below(self.settings.classes.len() as u64) as usize;
        self.settings.classes[changed].latency_objective += Duration::from_millis(20);
        if self.random.happens(300) {
            let added = class(self.settings.classes.len());
            self.settings.classes.push(added);
        }
        if !self.settings.tenants.is_empty() && self.random.happens(300) {
            let added = tenant(self.settings.tenants.len());
            self.settings.tenants.push(added);
        }
        self.settings.limits.send_retry_after ^= self.random.happens(300);
        self.settings.failover.suspicion_factor = 1.0 + self.random.below(4) as f64;
        self.settings.failover.max_buffered_writes = *self.random.pick(&[20, 200, 2048]);
        events.push(Event::Settings(Box::new(self.settings.clone())));
    }

    /// A new process takes over with a snapshot of what this one knew.
    pub(crate) fn hot_restart(&mut self) {
        self.counters.snapshots += 1;
        let mut snapshot = self.engine.snapshot();
        snapshot.shift_times(CLOCK_SHIFT.as_secs_f64());
        self.clock_offset += CLOCK_SHIFT;
        self.drop_open_requests();
        let seed = self.random.bits();
        self.engine = RoutingEngine::new(self.settings.clone(), seed).expect("valid settings");
        let entries = self.cluster.entries(self.clock_offset);
        let view = Event::Endpoints(EndpointUpdate::Cached(entries));
        self.step(vec![view, Event::SnapshotReceived(Box::new(snapshot))]);
    }

    fn random_gossip(&mut self) {
        let length = *self.random.pick(&[0, 5, 6, 6, 6, 7, 40]);
        let mut bytes: Vec<u8> = (0..length).map(|_| self.random.bits() as u8).collect();
        if length == 6 {
            let server = self.draw_server();
            bytes[..4].copy_from_slice(&server.to_le_bytes());
        }
        self.after(Duration::ZERO, Task::Gossip(bytes));
    }
}
