//! Applies updates of the endpoint list to servers and groups.

use crate::api::{Endpoint, Settings};
use crate::time::secs;

use super::Cluster;
use crate::routing::server::{RemovalRule, Server};

/// Scope of an update of the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum UpdateScope {
    /// Only the entries that changed.
    Changes,
    /// Every entry; a server without one is no longer listed.
    Complete,
}

impl Cluster {
    /// Applies an update of the endpoint list. `next_random` returns numbers from 0 to below 1.
    pub fn apply_endpoints(
        &mut self,
        entries: &[Endpoint],
        scope: UpdateScope,
        now: f64,
        settings: &Settings,
        mut next_random: impl FnMut() -> f64,
    ) {
        if scope == UpdateScope::Complete {
            self.servers.values_mut().for_each(|server| server.listing_mut().mark_unlisted());
        }
        for entry in entries {
            self.apply_entry(entry, now, settings, &mut next_random);
        }
        self.drop_removed_servers(settings);
        self.rebuild_groups(now, settings);
    }

    fn apply_entry(
        &mut self,
        entry: &Endpoint,
        now: f64,
        settings: &Settings,
        next_random: &mut impl FnMut() -> f64,
    ) {
        let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(entry, now, settings));
        server.apply_entry(entry, RemovalRule::from_settings(settings));
        let warm_up_secs = secs(settings.rules.warm_up);
        let started_at = entry.started_at.map(secs).filter(|started_at| now - started_at < warm_up_secs);
        if let Some(started_at) = started_at.filter(|at| server.warm_up().is_newer_start(*at)) {
            // All instances learn of a start at the same time. A random fraction of a request as the initial
            // budget spreads their first attempts over time.
            server.process_started(started_at, next_random());
        }
        let group = self.groups.get_or_create(server.group());
        if entry.listed_primary && !server.listing().is_listed_primary() && !server.is_closed() {
            group.replica_set_mut().primary_listed(entry.server, now, &mut self.failover_durations);
        }
        server.listing_mut().apply_role(entry);
    }

    /// Removes servers that are not listed, unless they may still serve or have attempts in flight.
    fn drop_removed_servers(&mut self, settings: &Settings) {
        let removed_may_serve = RemovalRule::from_settings(settings) == RemovalRule::MayServe;
        self.servers.retain(|_, server| {
            server.listing().is_listed() || removed_may_serve || server.load().in_flight() > 0.0
        });
    }

    fn rebuild_groups(&mut self, now: f64, settings: &Settings) {
        let removal = RemovalRule::from_settings(settings);
        self.groups.values_mut().for_each(|group| group.clear_members());
        for (id, server) in &mut self.servers {
            if !server.listing().is_listed() && removal == RemovalRule::MustNotServe {
                server.listing_mut().withdraw();
            }
            if self.out_of_service.contains(id) {
                server.listing_mut().take_out_of_service();
            } else {
                server.listing_mut().return_to_service();
            }
            let group = self.groups.get_or_create(server.group());
            group.add_member(*id);
            if server.is_closed() && server.listing().is_listed() {
                group.replica_set_mut().server_draining(*id, now);
            } else if server.is_closed() {
                group.replica_set_mut().server_removed(*id, now);
            }
        }
        self.groups.values_mut().for_each(|group| group.discard_former_members(now));
    }
}
