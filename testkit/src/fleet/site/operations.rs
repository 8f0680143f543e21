//! Failures and operations of a site: crashes, restarts, drains, replacements and elections.
//!
//! Each operation changes the models and appends the [`Effect`]s that the caller has to handle.

use pipittack_core::api::ListedRole;

use super::super::server_model::{ServerModel, ServerState};
use super::{Effect, Site, ELECTION_RETRY_INTERVAL_S};

impl Site {
    fn publish(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let endpoint = self.endpoint(server);
        effects.push(Effect::Published(self.discovery.record_change(now, endpoint)));
    }

    /// Makes a server fail; false if it has failed already or is removed.
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

    /// Restarts a failed server.
    pub fn recover(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.servers[server].removed {
            return;
        }
        self.restart_process(server, now, effects);
        self.publish(server, now, effects);
    }

    /// Restarts a server that operators have taken out of service; the endpoint list does not change.
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

    /// Drains a server, and starts a switchover if it is the primary; false if it drains already or is
    /// removed.
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

    /// Removes a server, and adds a new one to its set, which warms up and starts from a snapshot.
    pub fn replace(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        self.servers[server].removed = true;
        self.crash(server, now, effects);
        self.publish(server, now, effects);
        let set = self.servers[server].set;
        let zone = self.servers[server].zone;
        let member = self.replica_sets[set].members();
        let mut model = ServerModel::new(self.plan.server);
        model.start(now);
        self.replica_sets[set].restore_member(member, now, self.plan.snapshot_age_s);
        let new = self.add_server(model, set, member, zone);
        self.publish(new, now, effects);
    }

    /// Sets the factor by which a server is slower than usual.
    pub fn set_slowdown(&mut self, server: usize, factor: f64) {
        self.servers[server].model.slowdown = factor;
    }

    /// Sets the factor by which the replicas of a set apply commits more slowly than usual.
    pub fn set_replication_slowdown(&mut self, set: usize, factor: f64) {
        let set = set % self.replica_sets.len();
        self.replica_sets[set].slowdown = factor;
    }

    /// Ends the process of a server.
    pub fn crash(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let model = &mut self.servers[server].model;
        self.past_overload_ratio = self.past_overload_ratio.max(model.max_overload_ratio);
        let incarnation = model.incarnation;
        model.exit();
        effects.push(Effect::ServerExited { server, incarnation });
        self.lose_primary(server, now, effects);
    }

    /// If a server is the primary of its set, the set loses it and elects another one later.
    fn lose_primary(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.is_primary(server) {
            let set = self.servers[server].set;
            self.replica_sets[set].lose_primary(now);
            let failover_s = self.plan.replication.detection_s + self.plan.replication.election_s;
            effects.push(Effect::ElectionDue { set, at: now + failover_s });
        }
    }

    /// Elects a primary in a set that has none, or schedules another election if no member is eligible.
    pub fn elect(&mut self, set: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.replica_sets[set].primary().is_some() {
            return;
        }
        let in_set = self.servers.iter().filter(|server| server.set == set);
        let eligible = in_set
            .filter(|server| server.model.state == ServerState::Up && !server.removed && !server.draining);
        let members: Vec<usize> = eligible.map(|server| server.member).collect();
        let Some(member) = self.replica_sets[set].elect(now, |member| members.contains(&member)) else {
            return effects.push(Effect::ElectionDue { set, at: now + ELECTION_RETRY_INTERVAL_S });
        };
        let elected = self.servers.iter().position(|server| server.set == set && server.member == member);
        let elected = elected.expect("the elected member is a server of the set");
        self.servers[elected].was_primary = true;
        if self.plan.settings.listed_role == ListedRole::Delayed {
            self.publish(elected, now, effects);
        }
    }
}
