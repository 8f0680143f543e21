//! Start and end of the faults of a plan.
//!
//! A fault changes the models and the simulated processes. A routing engine only receives the events that a
//! proxy would observe.

use pipittack_core::api::{EndpointState, Event, ServerId};

use super::super::backends::Effect;
use super::super::link_faults::{LinkEnd, LinkFault};
use super::super::plan::{Fault, LinkTarget, Selection};
use super::event_queue::SimulationEvent;
use super::Simulation;

/// Time in seconds without data after which a process considers its watch broken.
const WATCH_TIMEOUT_S: f64 = 3.5;

impl Simulation {
    /// Starts a fault, and schedules its end unless the fault ends by itself.
    pub(super) fn start_fault(&mut self, fault: Fault) {
        match fault {
            Fault::FailServers { servers, duration_s, .. }
            | Fault::SlowServers { servers, duration_s, .. }
            | Fault::TakeOutOfService { servers, duration_s }
            | Fault::ReplaceServers { servers, drain_s: duration_s } => {
                let mut affected = self.select_servers(servers);
                let effects = self.start_server_fault(fault, &mut affected);
                self.schedule(self.now + duration_s, SimulationEvent::FaultEnds { fault, affected });
                self.handle_effects(effects);
            }
            Fault::SlowReplication { set, factor, duration_s } => {
                self.fleet.backends.set_replication_slowdown(set, factor);
                let affected = vec![set];
                self.schedule(self.now + duration_s, SimulationEvent::FaultEnds { fault, affected });
            }
            Fault::DiscoveryDown { duration_s } => {
                self.fleet.backends.discovery.take_down(self.now, duration_s);
                (0..self.processes.len()).for_each(|process| self.break_watch(process, self.now));
            }
            Fault::DiscoveryRestored { backup_age_s } => {
                self.fleet.backends.discovery.restore_backup(self.now, backup_age_s);
            }
            Fault::Link { proxies, target, fault, duration_s } => {
                let proxies = self.select_proxies(proxies);
                self.start_link_fault(proxies, target, fault, self.now + duration_s);
            }
            Fault::Burst { factor, duration_s } => self.fleet.start_burst(factor, self.now + duration_s),
            Fault::Upgrade { proxies }
            | Fault::Restart { proxies, .. }
            | Fault::Kill { proxies, .. }
            | Fault::CrashLoop { proxies, .. }
            | Fault::Pause { proxies, .. }
            | Fault::Reload { proxies } => {
                for proxy in self.select_proxies(proxies) {
                    self.start_proxy_fault(fault, proxy);
                }
            }
        }
    }

    fn select_servers(&mut self, servers: Selection) -> Vec<usize> {
        servers.resolve(&self.fleet.backends.zones(), &mut self.fleet.rng)
    }

    fn select_proxies(&mut self, proxies: Selection) -> Vec<usize> {
        proxies.resolve(&self.fleet.proxy_zones, &mut self.fleet.rng)
    }

    /// Starts a fault of servers, and returns the effects. Removes the servers from `affected` to which the
    /// fault cannot apply, such as a removed server.
    fn start_server_fault(&mut self, fault: Fault, affected: &mut Vec<usize>) -> Vec<Effect> {
        let now = self.now;
        let mut effects = Vec::new();
        let backends = &mut self.fleet.backends;
        match fault {
            Fault::FailServers { state, .. } => {
                affected.retain(|server| backends.fail_server(*server, state, now, &mut effects));
            }
            Fault::SlowServers { factor, .. } => {
                affected.iter().for_each(|server| backends.set_slowdown(*server, factor));
            }
            Fault::ReplaceServers { .. } => {
                affected.retain(|server| backends.drain(*server, now, &mut effects));
            }
            Fault::TakeOutOfService { .. } => {
                affected.retain(|s| !backends.servers[*s].removed && !self.out_of_service.contains(s));
                for server in &*affected {
                    self.out_of_service.push(*server);
                    let event = Event::TakenOutOfService(ServerId(*server as u32));
                    self.apply_operator_action(*server, &event, EndpointState::Draining);
                }
            }
            _ => {}
        }
        effects
    }

    /// Starts a fault of the processes of a proxy.
    fn start_proxy_fault(&mut self, fault: Fault, proxy: usize) {
        match fault {
            Fault::Upgrade { .. } => self.upgrade(proxy),
            Fault::Restart { downtime_s, .. } => self.restart(proxy, downtime_s),
            Fault::Kill { downtime_s, .. } => self.kill(proxy, downtime_s),
            Fault::CrashLoop { interval_s, duration_s, .. } => {
                let until = self.now + duration_s;
                self.schedule(self.now, SimulationEvent::CrashLoop { proxy, interval_s, until });
            }
            Fault::Pause { duration_s, .. } => {
                for process in self.live_processes[proxy].clone() {
                    self.processes[process].paused_until = self.now + duration_s;
                }
            }
            Fault::Reload { .. } => {
                let settings = Box::new(self.fleet.proxy_settings(proxy));
                for process in self.live_processes[proxy].clone() {
                    self.enqueue_event(process, Event::Settings(settings.clone()));
                    self.break_watch(process, self.now);
                }
            }
            _ => {}
        }
    }

    fn start_link_fault(&mut self, proxies: Vec<usize>, target: LinkTarget, fault: LinkFault, until: f64) {
        let ends = match target {
            LinkTarget::Discovery => vec![LinkEnd::Discovery],
            LinkTarget::Servers(servers) => {
                self.select_servers(servers).into_iter().map(LinkEnd::Server).collect()
            }
        };
        for process in 0..self.processes.len() {
            if self.processes[process].alive && proxies.contains(&self.processes[process].proxy) {
                self.apply_link_fault(process, &ends, fault);
            }
        }
        self.fleet.links.inject(proxies, ends, fault, until);
    }

    /// Applies the start of a link fault to a process. A fault that resets connections resets those of the
    /// process to `ends`. The watch breaks if the discovery service is one of the ends. A delay changes no
    /// connection.
    fn apply_link_fault(&mut self, process: usize, ends: &[LinkEnd], fault: LinkFault) {
        let resets = match fault {
            LinkFault::Down | LinkFault::Reset => true,
            LinkFault::Blackhole | LinkFault::DropResponses => false,
            LinkFault::Delay(_) => return,
        };
        if ends.contains(&LinkEnd::Discovery) {
            let noticed_at = if resets { self.now } else { self.now + WATCH_TIMEOUT_S };
            self.break_watch(process, noticed_at);
        }
        if !resets {
            return;
        }
        let is_affected = |server: usize| ends.contains(&LinkEnd::Server(server));
        let state = &mut self.processes[process];
        let servers: Vec<_> =
            state.idle_connections.keys().copied().filter(|server| is_affected(*server)).collect();
        let idle: Vec<_> =
            servers.iter().filter_map(|server| state.idle_connections.remove_entry(server)).collect();
        let in_flight = state.in_flight.iter().filter(|(_, attempt)| is_affected(attempt.server));
        let in_flight: Vec<_> = in_flight.map(|(id, attempt)| (*id, attempt.written)).collect();
        for (server, connections) in idle {
            self.close_connections(server, connections.iter().map(|connection| connection.incarnation));
        }
        for (id, written) in in_flight {
            self.schedule_reset(process, id, written, self.now);
        }
    }

    /// Sends an operator's action on a server to all processes, and records the resulting endpoint state in
    /// the checker for all proxies.
    fn apply_operator_action(&mut self, server: usize, event: &Event, state: EndpointState) {
        for process in 0..self.processes.len() {
            self.enqueue_event(process, event.clone());
        }
        for proxy in 0..self.fleet.plan.proxy_count {
            self.fleet.checker.endpoint_listed(proxy, server, state, self.now);
        }
    }

    /// Ends a fault of servers or replica sets. `affected` has their indices.
    pub(super) fn end_fault(&mut self, fault: Fault, affected: &[usize]) {
        let now = self.now;
        let mut effects = Vec::new();
        for &index in affected {
            let backends = &mut self.fleet.backends;
            match fault {
                Fault::FailServers { .. } => backends.recover(index, now, &mut effects),
                Fault::SlowServers { .. } => backends.set_slowdown(index, 1.0),
                Fault::SlowReplication { .. } => backends.set_replication_slowdown(index, 1.0),
                Fault::ReplaceServers { .. } => backends.replace(index, now, &mut effects),
                Fault::TakeOutOfService { .. } => {
                    backends.restart(index, now, &mut effects);
                    self.out_of_service.retain(|server| *server != index);
                    let event = Event::ReturnedToService(ServerId(index as u32));
                    self.apply_operator_action(index, &event, EndpointState::Healthy);
                }
                _ => {}
            }
        }
        self.handle_effects(effects);
    }
}
