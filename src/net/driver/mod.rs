//! Drives the routing engine: feeds it events, carries out its actions, and owns the table of open requests.
//!
//! The client side and the server side meet only here. The client side submits requests and awaits their
//! responses; the server side executes commands and reports results. Reports are queued as events for the
//! next step of the engine.
//!
//! The driver guarantees that a request gets at most one final response, that its attempts are numbered in
//! the order of sending, and that none is sent after the request is complete, past its deadline or beyond its
//! attempt limit. It does not read queries (`Q`) or answers (`A`), and so does not depend on a protocol.

mod attempt_table;
mod clock;
mod commands;
mod endpoint_view;
mod hot_restart;
mod peer_link;
mod request;
mod request_rules;
mod request_table;
mod servers;
mod state;
mod step;
mod timers;

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};

use crate::api::{
    AttemptEnded, AttemptId, ClassId, Event, Outcome, Request, RequestId, ServerId, Settings, SettingsError,
};

pub use clock::Clock;
pub use commands::{AttemptCommand, DiscoveryCommand, ServerCommand};
pub use peer_link::PeerLink;
use peer_link::PeerSlot;
pub use request::{AttemptResult, ClientHandle, NewRequest, Response};
use request_table::OpenRequest;
use state::State;

/// The driver of the routing engine. Clones share one engine.
pub struct Driver<Q, A>(Rc<Shared<Q, A>>);

/// What the clones of a driver share. No borrow of `state` lasts over an await or a call of a client's
/// handle.
struct Shared<Q, A> {
    clock: Clock,
    min_step_interval: Duration,
    state: RefCell<State<Q, A>>,
    peer: PeerSlot,
    server_commands: UnboundedSender<ServerCommand<Q>>,
    discovery_commands: UnboundedSender<DiscoveryCommand>,
    /// Notified when an event is queued.
    event_queued: Notify,
}

impl<Q, A> Clone for Driver<Q, A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// A new driver and the receiving ends of its command channels.
pub struct DriverParts<Q, A> {
    /// The driver.
    pub driver: Driver<Q, A>,
    /// Commands to the server side.
    pub server_commands: UnboundedReceiver<ServerCommand<Q>>,
    /// Commands to discovery.
    pub discovery_commands: UnboundedReceiver<DiscoveryCommand>,
}

impl<Q, A> DriverParts<Q, A> {
    /// Creates a driver with a new routing engine. `seed` starts the engine's random numbers.
    ///
    /// # Errors
    /// If the engine rejects the settings.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Result<Self, SettingsError> {
        let (server_sender, server_commands) = unbounded_channel();
        let (discovery_sender, discovery_commands) = unbounded_channel();
        let shared = Shared {
            clock,
            min_step_interval: settings.min_step_interval,
            state: RefCell::new(State::new(settings, seed, clock.now())?),
            peer: PeerSlot::default(),
            server_commands: server_sender,
            discovery_commands: discovery_sender,
            event_queued: Notify::new(),
        };
        Ok(Self { driver: Driver(Rc::new(shared)), server_commands, discovery_commands })
    }
}

impl<Q, A> Driver<Q, A> {
    /// The proxy's clock.
    pub fn clock(&self) -> Clock {
        self.0.clock
    }

    /// Submits a request. The receiver gets its final response. A client that stops waiting must be reported
    /// through [`Self::client_gone`].
    pub fn submit(&self, request: NewRequest, query: Q) -> (RequestId, oneshot::Receiver<Response<A>>) {
        let now = self.0.clock.now();
        let (response_sender, response) = oneshot::channel();
        let mut state = self.0.state.borrow_mut();
        let staleness_bound = state.rules.staleness_bound(request.class);
        let writing_session = state.rules.writing_session(&request);
        let max_attempts = state.rules.max_attempts();
        let id = state.requests.insert(OpenRequest {
            client_request_id: request.client_request_id,
            query: Rc::new(query),
            client: request.client,
            class: request.class,
            staleness_bound,
            submitted_at: now,
            deadline: now + request.time_left,
            attempts: 0,
            max_attempts,
            writing_session,
            response: response_sender,
        });
        let last_write = request.after_unix_ms.map(|unix_ms| self.0.clock.from_unix_ms(unix_ms));
        state.events.push(Event::Request(Request {
            id,
            class: request.class,
            group: request.group,
            tenant: None,
            time_left: request.time_left,
            is_retry: request.is_retry,
            statement_bytes: request.statement_bytes,
            expected_work: None,
            session: request.session,
            last_write_age: last_write.map(|at| now.saturating_sub(at)),
        }));
        self.0.event_queued.notify_one();
        (id, response)
    }

    /// Reports that a request's client has disconnected. The request gets no response.
    pub fn client_gone(&self, request: RequestId) {
        let mut state = self.0.state.borrow_mut();
        if let Some(open) = state.requests.remove(request) {
            let waited_ms = self.0.clock.now().saturating_sub(open.submitted_at).as_millis();
            let client_request_id = &open.client_request_id;
            log::debug!("client of request {client_request_id} disconnected after {waited_ms} ms");
            state.events.push(Event::ClientDisconnected(request));
            self.0.event_queued.notify_one();
        }
    }

    /// Requests without a final response.
    pub fn requests_in_flight(&self) -> usize {
        self.0.state.borrow().requests.len()
    }

    /// Whether an attempt may be written. Called just before its first byte is: by then its client may have
    /// disconnected, its request may be complete, or its server may have been withdrawn.
    pub fn may_write(&self, attempt: AttemptId, server: ServerId) -> bool {
        let client = self.0.state.borrow().requests.get(attempt.request).map(|open| open.client.clone());
        let Some(client) = client else { return false };
        if client.is_some_and(|client| client.is_gone()) {
            self.client_gone(attempt.request);
            return false;
        }
        self.accepts_attempts(server)
    }

    /// Whether new attempts may go to a server, by the endpoint list and the operators' settings.
    pub fn accepts_attempts(&self, server: ServerId) -> bool {
        self.0.state.borrow().endpoints.accepts_attempts(server)
    }

    /// Reports the end of an attempt. A result for an attempt that has ended before is dropped.
    pub fn attempt_ended(&self, id: AttemptId, result: AttemptResult<A>) {
        let now = self.0.clock.now();
        let Some(attempt) = self.0.state.borrow_mut().attempts.remove(id) else { return };
        attempt.log_end(id, now, result.outcome);
        if let Some(status) = result.status {
            self.0.state.borrow_mut().endpoints.record_status(attempt.server, status);
        }
        let is_success = result.outcome == Outcome::Success;
        // The peer must know of a commit before the client can act on it.
        if let Some(commit) = result.status.and_then(|status| status.position).filter(|_| is_success) {
            self.send_session_write(&attempt, commit);
        }
        let mut state = self.0.state.borrow_mut();
        // The first answer goes to the client without waiting for a step, and completes the request.
        if let Some(answer) = result.response.filter(|_| is_success) {
            if let Some(request) = state.requests.remove(id.request) {
                request.respond(Response::Served(answer));
            }
        }
        let request_complete = !state.requests.contains(id.request);
        state.events.push(Event::AttemptEnded(AttemptEnded {
            request_complete,
            status: result.status,
            load_report: result.load_report,
            ..attempt.ended(id, now, result.outcome)
        }));
        self.0.event_queued.notify_one();
    }

    /// Applies new settings to requests that are submitted from now on.
    ///
    /// `kept` has an entry for each class of the settings: its id, if the class is unchanged. Each other class
    /// gets an id that neither a request in flight nor `reserved` uses, so that requests in flight keep the
    /// rules that they were submitted under. Returns the ids in the order of the classes.
    pub fn reconfigure(
        &self,
        settings: Settings,
        kept: &[Option<ClassId>],
        reserved: &[ClassId],
    ) -> Vec<ClassId> {
        let mut state = self.0.state.borrow_mut();
        let mut in_use: HashSet<_> = state.requests.classes().chain(state.attempts.classes()).collect();
        in_use.extend(kept.iter().copied().flatten());
        in_use.extend(reserved);
        let ids = state.rules.apply(&settings, kept, in_use);
        let settings = state.rules.with_all_classes(settings);
        state.events.push(Event::Settings(Box::new(settings)));
        self.0.event_queued.notify_one();
        ids
    }

    /// The longest time that any request in flight may take.
    pub fn max_deadline(&self) -> Duration {
        self.0.state.borrow().rules.max_deadline()
    }

    fn queue_event(&self, event: Event) {
        self.0.state.borrow_mut().events.push(event);
        self.0.event_queued.notify_one();
    }
}
