//! Periodic maintenance of all servers.

use crate::api::{Action, Settings};
use crate::server_throughput::WarmCapacity;

use super::Cluster;
use crate::routing::group::Group;
use crate::routing::in_flight::InFlightTable;
use crate::routing::server::{Server, WarmServerRate};

impl Cluster {
    /// Returns the replication position that every server which may be sent reads has reached; infinite if
    /// there is no such server.
    pub fn lowest_position(&self) -> f64 {
        let available = self.servers.values().filter(|server| !server.is_closed());
        available.map(|server| server.replication().position()).fold(f64::INFINITY, f64::min)
    }

    /// Releases expired reservations and recomputes the send time of each server's oldest attempt in flight.
    pub fn refresh_load(&mut self, now: f64, in_flight: &InFlightTable) {
        self.servers.values_mut().for_each(|server| server.refresh_load(now));
        for attempt in in_flight.iter() {
            if let Some(server) = self.servers.get_mut(&attempt.server) {
                server.observe_in_flight(attempt.sent_at);
            }
        }
    }

    /// Returns the total capacity of the servers that are warm.
    pub fn warm_capacity(&self, now: f64, settings: &Settings) -> WarmCapacity {
        let is_warm = |server: &&Server| !server.is_closed() && server.is_warm(now, &settings.rules);
        let all = self.servers.values().filter(is_warm).map(Server::relative_capacity).sum();
        let primaries = self.groups.iter().filter_map(|(id, _)| {
            let primary = self.primary_if_all_members_up(id)?;
            self.servers.get(&primary)
        });
        WarmCapacity { all, primaries: primaries.filter(is_warm).map(Server::relative_capacity).sum() }
    }

    /// Ends the periods of concurrency limits, refills warm-up budgets and sends the health checks that are
    /// due. `warm_requests_per_s` is the rate, in requests per second, of a warm server of relative capacity
    /// 1.
    pub fn maintain_servers(
        &mut self,
        now: f64,
        elapsed_secs: f64,
        warm_requests_per_s: f64,
        settings: &Settings,
        actions: &mut Vec<Action>,
    ) {
        for (id, server) in &mut self.servers {
            let queued = self.groups.get(server.group()).map_or(0, Group::queued);
            server.end_limit_period_if_due(now, queued, &settings.rules);
            let warm_rate = WarmServerRate {
                requests_per_s: warm_requests_per_s,
                relative_capacity: server.relative_capacity(),
            };
            server.warm_up_mut().refill(now, elapsed_secs, &settings.rules, warm_rate);
            if settings.limits.allow_health_checks && server.needs_health_check(now) {
                server.health_check_sent();
                actions.push(Action::HealthCheck { server: *id });
            }
        }
    }
}
