//! Faults and operations on servers: crashes, restarts, drains, replacements and elections.
//!
//! Each operation changes the models and appends its follow-up events to `effects`, which the caller has to
//! handle.

use pipittack_core::api::ListedRole;

use super::super::server_model::{ServerModel, ServerState};
use super::{Backends, Effect, ELECTION_RETRY_INTERVAL_S};

impl Backends {
    fn publish(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let endpoint = self.endpoint(server);
        effects.push(Effect::Published(self.discovery.record_change(now, endpoint)));
    }

    /// Puts a server into a failed state. Returns false if the server has failed already or is removed.
    pub fn fail_server(
        &mut self,
        server: usize,
        state: ServerState,
        now: f64,
        effects: &mut Vec<Effect>,
    ) -> bool {
        if self.servers[server].model.state != ServerState::Up || self.servers[server].removed {
            return false;
        }
        if state == ServerState::Dead {
            self.crash(server, now, effects);
        } else {
            self.servers[server].model.state = state;
            self.lose_primary(server, now, effects);
        }
        true
    }

    /// Restarts a failed server, and publishes its new start time.
    pub fn recover(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.servers[server].removed {
            return;
        }
        self.restart_process(server, now, effects);
        self.publish(server, now, effects);
    }

    /// Restarts a server that operators have taken out of service. The endpoint list does not change.
    pub fn restart(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        self.restart_process(server, now, effects);
        self.lose_primary(server, now, effects);
    }

    fn restart_process(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let model = &mut self.servers[server].model;
        let incarnation = model.incarnation;
        model.start(now);
        effects.push(Effect::ServerExited { server, incarnation });
    }

    /// Starts to drain a server, and a switchover if the server is the primary. Returns false if the server
    /// drains already or is removed.
    pub fn drain(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) -> bool {
        if self.servers[server].draining || self.servers[server].removed {
            return false;
        }
        self.servers[server].draining = true;
        self.publish(server, now, effects);
        if self.is_primary(server) {
            let set = self.servers[server].set;
            self.replica_sets[set].lose_primary(now);
            effects.push(Effect::ElectionDue { set, at: now + self.plan.replication.switchover_s });
        }
        true
    }

    /// Removes a server, and adds a new one to its replica set. The new server warms up, and its data is
    /// restored from a snapshot.
    pub fn replace(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        self.servers[server].removed = true;
        self.crash(server, now, effects);
        self.publish(server, now, effects);
        let set = self.servers[server].set;
        let zone = self.servers[server].zone;
        let member = self.replica_sets[set].member_count();
        let mut model = ServerModel::new(self.plan.server);
        model.start(now);
        self.replica_sets[set].restore_member(member, now, self.plan.snapshot_age_s);
        let new_server = self.add_server(model, set, member, zone);
        self.publish(new_server, now, effects);
    }

    /// Sets the factor by which the execution time of a server grows; 1 ends a slowdown.
    pub fn set_slowdown(&mut self, server: usize, factor: f64) {
        self.servers[server].model.slowdown = factor;
    }

    /// Sets the factor by which the time to apply a commit grows in a replica set, whose index is taken
    /// modulo the number of replica sets; 1 ends a slowdown.
    pub fn set_replication_slowdown(&mut self, set: usize, factor: f64) {
        let set = set % self.replica_sets.len();
        self.replica_sets[set].slowdown = factor;
    }

    /// Ends the process of a server. Its replica set loses the primary if the server is the primary.
    pub fn crash(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let model = &mut self.servers[server].model;
        self.exited_max_overload_ratio = self.exited_max_overload_ratio.max(model.max_overload_ratio);
        let incarnation = model.incarnation;
        model.exit();
        effects.push(Effect::ServerExited { server, incarnation });
        self.lose_primary(server, now, effects);
    }

    /// Starts a failover if the server is the primary of its replica set: the replica set loses the primary,
    /// and an election is due after the detection.
    fn lose_primary(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.is_primary(server) {
            let set = self.servers[server].set;
            self.replica_sets[set].lose_primary(now);
            let failover_s = self.plan.replication.detection_s + self.plan.replication.election_s;
            effects.push(Effect::ElectionDue { set, at: now + failover_s });
        }
    }

    /// Elects a primary in a replica set that has none, or requests another election if no member is
    /// eligible.
    pub fn elect(&mut self, set: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.replica_sets[set].primary().is_some() {
            return;
        }
        let servers_in_set = self.servers.iter().filter(|server| server.set == set);
        let eligible = servers_in_set
            .filter(|server| server.model.state == ServerState::Up && !server.removed && !server.draining);
        let members: Vec<usize> = eligible.map(|server| server.member).collect();
        let Some(member) = self.replica_sets[set].elect(now, |member| members.contains(&member)) else {
            return effects.push(Effect::ElectionDue { set, at: now + ELECTION_RETRY_INTERVAL_S });
        };
        let elected = self.servers.iter().position(|server| server.set == set && server.member == member);
        let elected = elected.expect("the elected member must be a server of the replica set");
        self.servers[elected].was_primary = true;
        if self.plan.settings.listed_role == ListedRole::Delayed {
            self.publish(elected, now, effects);
        }
    }
}
