//! The driver's state between two steps of the engine.

use std::time::Duration;

use super::attempt_table::AttemptTable;
use super::endpoint_view::EndpointView;
use super::request_rules::RequestRules;
use super::request_table::RequestTable;
use super::timers::TimerQueue;
use crate::api::{Action, Event, Settings, SettingsError};
use crate::RoutingEngine;

/// The engine and the tables around it.
pub(super) struct State<Q, A> {
    pub(super) engine: RoutingEngine,
    pub(super) requests: RequestTable<Q, A>,
    pub(super) attempts: AttemptTable,
    pub(super) endpoints: EndpointView,
    pub(super) rules: RequestRules,
    pub(super) timers: TimerQueue,
    /// Events for the next step, in the order in which they happened.
    pub(super) events: Vec<Event>,
    /// An empty buffer for the actions of the next step.
    pub(super) actions: Vec<Action>,
    /// When the engine was last stepped, on the proxy's clock.
    pub(super) last_step: Duration,
}

impl<Q, A> State<Q, A> {
    pub(super) fn new(settings: Settings, seed: u64, now: Duration) -> Result<Self, SettingsError> {
        Ok(Self {
            requests: RequestTable::new(),
            attempts: AttemptTable::default(),
            endpoints: EndpointView::new(settings.rules.removed_may_serve),
            rules: RequestRules::new(&settings),
            timers: TimerQueue::default(),
            events: Vec::new(),
            actions: Vec::new(),
            last_step: now,
            engine: RoutingEngine::new(settings, seed)?,
        })
    }
}
