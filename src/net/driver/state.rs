//! State that the driver keeps between two steps of the engine.

use std::time::Duration;

use pipittack_core::deduplication::DeduplicationTable;

use super::attempt_table::AttemptTable;
use super::endpoint_view::EndpointView;
use super::peer_roles::PeerRoles;
use super::request_rules::RequestRules;
use super::request_table::RequestTable;
use super::timers::TimerQueue;
use crate::api::{Action, Event, PeerMessage, Settings, SettingsError};
use crate::RoutingEngine;

/// The routing engine and the driver's tables.
pub(super) struct DriverState<Q, R> {
    pub(super) engine: RoutingEngine,
    pub(super) requests: RequestTable<Q, R>,
    pub(super) attempts: AttemptTable,
    pub(super) endpoints: EndpointView,
    pub(super) rules: RequestRules,
    /// Ids of requests that may have been executed.
    pub(super) executed_ids: DeduplicationTable,
    /// Roles that this process and its peer have told each other.
    pub(super) peer_roles: PeerRoles,
    pub(super) timers: TimerQueue,
    /// Events for the next step, in the order in which they were reported.
    pub(super) events: Vec<Event>,
    /// Buffer for the actions of a step; empty between steps. Kept to reuse its allocation.
    pub(super) actions: Vec<Action>,
    /// Time of the last step, on the proxy's clock.
    pub(super) last_step: Duration,
}

impl<Q, R> DriverState<Q, R> {
    pub(super) fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        Ok(Self {
            requests: RequestTable::new(),
            attempts: AttemptTable::default(),
            endpoints: EndpointView::new(settings.rules.removed_may_serve),
            rules: RequestRules::new(&settings),
            executed_ids: DeduplicationTable::default(),
            peer_roles: PeerRoles::default(),
            timers: TimerQueue::default(),
            events: Vec::new(),
            actions: Vec::new(),
            last_step: now,
            engine: RoutingEngine::new(settings, seed)?,
        })
    }

    /// Records a role that the peer process has sent.
    pub(super) fn record_peer_message(&mut self, message: &PeerMessage) {
        if let PeerMessage::RoleReported { server, is_primary } = *message {
            self.peer_roles.record_received(server, is_primary);
            self.endpoints.record_role(server, Some(is_primary));
        }
    }
}
