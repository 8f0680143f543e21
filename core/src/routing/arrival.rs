//! Admits requests or rejects them on arrival.
//!
//! A read is rejected at once if load shedding excludes it and no lightly loaded replica can serve it. In a
//! large fleet, a read is also rejected at once if only a primary without capacity could serve it. Values
//! that depend only on the arrival are computed here, such as the replication position that a read must see.

use rand::Rng;

use crate::api::{Action, Consistency, Request, SessionTokens};
use crate::time::secs;

use super::fleet::is_large_fleet;
use super::open_request::{Arrival, OpenRequest};
use super::RoutingEngine;

impl RoutingEngine {
    /// Records a new request, and rejects it if it is not admitted. Ignores a request whose id is already
    /// open.
    pub(super) fn request_arrived(&mut self, request: Request, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let id = request.id;
        let open_request = self.build_open_request(request);
        let is_read = !self.view().is_write(&open_request);
        let is_shed = is_read && !self.admits_read(&open_request.arrival().request);
        self.cluster.groups_mut().get_or_create(open_request.request().group);
        let view = self.view();
        let is_rejected = (is_shed && !view.has_lightly_loaded_replica(&open_request))
            || (is_read && is_large_fleet(&self.settings) && view.lacks_capacity_for_read(&open_request));
        self.requests.insert(id, open_request);
        if is_rejected {
            self.finish(id, None, actions);
        }
    }

    fn build_open_request(&mut self, request: Request) -> OpenRequest {
        let now = self.now;
        let required_position = self.required_position(&request);
        let tenant = request.tenant;
        let is_over_quota =
            tenant.is_some_and(|tenant| self.tenants.request_arrived(tenant, now, &self.settings));
        self.retry_budget.request_arrived(self.settings.instance_count);
        let deadline = now + secs(request.time_left);
        let objective = self.settings.classes[request.class.0].latency_objective;
        OpenRequest::new(Arrival {
            request,
            arrived_at: now,
            objective_at: (now + secs(objective)).min(deadline),
            deadline,
            required_position,
            is_over_quota,
            max_attempts: self.settings.limits.max_attempts,
        })
    }

    /// Returns the replication position that a causal or linearizable read must see; 0 for other requests.
    fn required_position(&self, request: &Request) -> f64 {
        let consistency = self.settings.classes[request.class.0].consistency;
        match (consistency, self.settings.session_tokens) {
            (Consistency::Causal, SessionTokens::FromClient) => {
                request.last_write_age.map_or(0.0, |age| self.now - secs(age))
            }
            (Consistency::Causal, SessionTokens::Tracked) => {
                self.sessions.required_position(request.session.as_deref(), self.now)
            }
            (Consistency::Linearizable, _) => self.now,
            _ => 0.0,
        }
    }

    /// Returns whether load shedding admits a read.
    fn admits_read(&mut self, read: &Request) -> bool {
        let group = self.cluster.groups().get(read.group);
        let admitted_share = group.map_or(1.0, |group| group.admission().admitted_share());
        let draw = self.rng.random();
        self.read_admission.admits(read.class, admitted_share, &self.settings, &self.latencies, draw)
    }
}
