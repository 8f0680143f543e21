//! Decides whether a request may be sent, to which servers, and whether a group has capacity for it.

use crate::api::{Idempotency, KeyScope, ServerId, StaleReadPolicy};
use crate::time::secs;

use super::cluster::Member;
use super::open_request::OpenRequest;
use super::server::Server;
use super::view::RoutingView;

/// Seconds before the end of an idempotency key's window at which retries stop.
const KEY_WINDOW_MARGIN_SECS: f64 = 0.01;
/// Ratio of a server's response time to the usual one of the class above which the server counts as slow.
pub(super) const SLOW_SERVER_RATIO: f64 = 2.0;

impl RoutingView<'_> {
    /// Returns whether one more attempt of a request is permitted and within the retry budget.
    pub fn may_send(&self, request: &OpenRequest) -> bool {
        let class = self.class(request);
        let may_repeat = match (request.first_possible_execution(), class.idempotency) {
            (None, _) => true,
            (Some(_), Idempotency::Idempotent) => self.retry_budget.allows_retry(),
            (Some(_), Idempotency::WithKey { .. }) => self.send_by(request).is_none_or(|at| self.now < at),
            (Some(_), Idempotency::NonIdempotent) => false,
        };
        may_repeat
            && request.attempts_sent() < request.arrival().max_attempts
            && self.now < request.arrival().deadline
    }

    /// Returns the time by which the next attempt of a request must be sent, since the servers forget its
    /// idempotency key; `None` for no bound.
    pub fn send_by(&self, request: &OpenRequest) -> Option<f64> {
        let Idempotency::WithKey { window, .. } = self.class(request).idempotency else { return None };
        let first = request.first_possible_execution()?;
        Some(first.sent_at + secs(window) - KEY_WINDOW_MARGIN_SECS)
    }

    /// Returns whether the service rules permit sending a request to a server now.
    pub fn is_eligible(&self, request: &OpenRequest, id: ServerId, server: &Server) -> bool {
        server.group() == request.request().group
            && !server.is_closed()
            && self.recognizes_key(request, server)
            && self.has_warm_up_budget(request, server)
            && self.is_fresh_enough(request, id, server)
    }

    /// Returns whether a server recognizes the idempotency key of a request that may have been executed.
    fn recognizes_key(&self, request: &OpenRequest, server: &Server) -> bool {
        let idempotency = self.class(request).idempotency;
        let Idempotency::WithKey { scope: KeyScope::Zone, .. } = idempotency else { return true };
        let Some(first) = request.first_possible_execution() else { return true };
        self.cluster.server(first.server).is_some_and(|first| first.zone() == server.zone())
    }

    fn has_warm_up_budget(&self, request: &OpenRequest, server: &Server) -> bool {
        let cost = self.costs.cost(request.request().class.0);
        server.is_warm(self.now, &self.settings.rules) || server.warm_up().budget() >= cost
    }

    /// Returns whether a server has the data that a request must see. Always true for writes. Also true if
    /// replicas decline reads that need newer data, because the proxy need not check then.
    fn is_fresh_enough(&self, request: &OpenRequest, id: ServerId, server: &Server) -> bool {
        if self.settings.stale_read_policy != StaleReadPolicy::AnswerStale || self.is_write(request) {
            return true;
        }
        let is_primary = self.cluster.primary(server.group()) == Some(id);
        (is_primary && server.replication().reported_replica_at().is_none())
            || server.replication().position() >= self.required_position(request)
    }

    /// Returns whether the primary of a read's group has capacity for the read beside the writes of all
    /// instances.
    pub fn primary_admits_read(&self, request: &OpenRequest) -> bool {
        let Some(group) = self.cluster.groups().get(request.request().group) else { return true };
        let classes = &self.settings.classes;
        let class = self.class(request);
        self.primary_reads.admits(group.primary_late_share(), self.now, class, classes, &super::ATTEMPT_EWMA)
    }

    /// Returns whether only the primary could serve a read and has no capacity for it.
    pub fn lacks_capacity_for_read(&self, request: &OpenRequest) -> bool {
        let group = request.request().group;
        let Some(primary) = self.cluster.primary(group) else { return false };
        if self.primary_admits_read(request) {
            return false;
        }
        let required_position = self.required_position(request);
        let can_serve = |member: Member| {
            member.id != primary
                && !member.server.is_closed()
                && member.server.replication().position() >= required_position
        };
        !self.cluster.members(group).any(can_serve)
    }

    /// Returns whether a replica that is fresh enough for a read, and not slow, has capacity for the read.
    pub fn has_lightly_loaded_replica(&self, request: &OpenRequest) -> bool {
        let group = request.request().group;
        let required_position = self.required_position(request);
        let primary = self.cluster.primary(group);
        self.cluster.members(group).any(|member| {
            primary != Some(member.id)
                && member.server.has_capacity(self.now)
                && member.server.slowness(self.now) < SLOW_SERVER_RATIO
                && member.server.replication().position() >= required_position
                && self.is_eligible(request, member.id, member.server)
        })
    }
}
