//! Driver of the routing engine: passes events to the engine, executes the engine's actions, and owns the
//! table of open requests.
//!
//! The driver is the only connection between the client side and the server side. The client side submits
//! requests and awaits their responses. The server side executes commands and reports their results. The
//! driver queues each report as an event for the next step of the engine.
//!
//! The driver guarantees that:
//! - a request gets at most one final response;
//! - the attempts of a request are numbered in the order in which they are sent;
//! - no attempt is sent after its request is complete, after the deadline, or beyond the attempt limit.
//!
//! The driver never inspects queries (`Q`) or query results (`R`), so it does not depend on a protocol.

mod attempt_table;
mod clock;
mod commands;
mod endpoint_view;
mod execution;
mod hot_restart;
mod peer_link;
mod peer_roles;
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
    commit_position, AttemptEnded, AttemptId, ClassId, Event, Outcome, Request, RequestId, ServerId,
    Settings, SettingsError,
};

use crate::net::log_limit::LogLimit;
pub use clock::Clock;
pub use commands::{AttemptCommand, DiscoveryCommand, ServerCommand};
pub use execution::Repeat;
use peer_link::PeerLinkSlot;
pub use peer_link::{PeerLink, ReceivedFromPeer};
pub use request::{AttemptResult, ClientHandle, NewRequest, Response};
use request_table::OpenRequest;
use state::DriverState;

/// Driver of the routing engine. Clones share one engine.
pub struct Driver<Q, R>(Rc<Shared<Q, R>>);

/// State that all clones of a driver share. `state` must not stay borrowed across an await or across a call
/// of a [`ClientHandle`].
struct Shared<Q, R> {
    clock: Clock,
    min_step_interval: Duration,
    state: RefCell<DriverState<Q, R>>,
    peer: PeerLinkSlot,
    server_commands: UnboundedSender<ServerCommand<Q>>,
    discovery_commands: UnboundedSender<DiscoveryCommand>,
    /// Log lines about steps that other tasks have delayed for long.
    delayed_steps: LogLimit,
    /// Wakes [`Driver::run`] when an event is queued or a step is requested.
    event_queued: Notify,
}

impl<Q, R> Clone for Driver<Q, R> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// A new driver and the receivers of its command channels.
pub struct DriverParts<Q, R> {
    /// The new driver.
    pub driver: Driver<Q, R>,
    /// Receives the commands to the server side.
    pub server_commands: UnboundedReceiver<ServerCommand<Q>>,
    /// Receives the commands to discovery.
    pub discovery_commands: UnboundedReceiver<DiscoveryCommand>,
}

impl<Q, R> DriverParts<Q, R> {
    /// Creates a driver with a new routing engine. `seed` seeds the engine's random number generator.
    ///
    /// # Errors
    /// Returns an error if the engine rejects the settings.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Result<Self, SettingsError> {
        let (server_sender, server_commands) = unbounded_channel();
        let (discovery_sender, discovery_commands) = unbounded_channel();
        let shared = Shared {
            clock,
            min_step_interval: settings.min_step_interval,
            state: RefCell::new(DriverState::new(settings, seed, clock.now())?),
            peer: PeerLinkSlot::default(),
            server_commands: server_sender,
            discovery_commands: discovery_sender,
            delayed_steps: LogLimit::default(),
            event_queued: Notify::new(),
        };
        Ok(Self { driver: Driver(Rc::new(shared)), server_commands, discovery_commands })
    }
}

impl<Q, R> Driver<Q, R> {
    /// Returns the proxy's clock.
    pub fn clock(&self) -> Clock {
        self.0.clock
    }

    /// Limits the sizes of the table of executed ids and of the session tokens, in bytes.
    pub fn limit_tables(&self, max_id_bytes: usize, max_session_token_bytes: usize) {
        let mut state = self.0.state.borrow_mut();
        state.executed_ids.limit_bytes(max_id_bytes);
        state.engine.limit_session_tokens(max_session_token_bytes);
    }

    /// Submits a request. Returns its id and the receiver of its final response. If the client disconnects
    /// before the response, the caller must call [`Self::client_disconnected`].
    pub fn submit(&self, request: NewRequest, query: Q) -> (RequestId, oneshot::Receiver<Response<R>>) {
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
            group: request.group,
            staleness_bound,
            submitted_at: now,
            deadline: now + request.time_left,
            attempts: 0,
            max_attempts,
            writing_session,
            response: response_sender,
        });
        let last_write = request.last_write_unix_ms.map(|unix_ms| self.0.clock.from_unix_ms(unix_ms));
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

    /// Reports that the client of a request has disconnected. The request then gets no response.
    pub fn client_disconnected(&self, request: RequestId) {
        let mut state = self.0.state.borrow_mut();
        if let Some(open) = state.requests.remove(request) {
            let waited_ms = self.0.clock.now().saturating_sub(open.submitted_at).as_millis();
            let client_request_id = &open.client_request_id;
            log::debug!("client disconnected: request id {client_request_id}, after {waited_ms} ms");
            state.events.push(Event::ClientDisconnected(request));
            self.0.event_queued.notify_one();
        }
    }

    /// Returns the number of requests without a final response.
    pub fn requests_in_flight(&self) -> usize {
        self.0.state.borrow().requests.len()
    }

    /// Returns whether an attempt may still be sent. The server side calls this just before it writes the
    /// first byte of the query. By that time the client may have disconnected, the request may be complete,
    /// the server may have been withdrawn, a server that was chosen as the primary may have reported that it
    /// is a replica, or another request with the same id may have been executed. If this returns true, the
    /// caller writes the attempt.
    pub fn may_send_attempt(&self, attempt: AttemptId, server: ServerId) -> bool {
        let client = self.0.state.borrow().requests.get(attempt.request).map(|open| open.client.clone());
        let Some(client) = client else { return false };
        if client.is_some_and(|client| client.is_disconnected()) {
            self.client_disconnected(attempt.request);
            return false;
        }
        self.accepts_attempts(server)
            && !self.lost_primary_role(attempt, server)
            && self.begin_execution(attempt)
    }

    /// Returns whether an attempt needs fresh data and was sent to its server on the assumption that the
    /// server is the primary, while the server is now known to be a replica.
    fn lost_primary_role(&self, attempt: AttemptId, server: ServerId) -> bool {
        let state = self.0.state.borrow();
        let assumes_primary = state.attempts.get(attempt).is_some_and(|attempt| attempt.assumes_primary);
        assumes_primary && state.endpoints.is_replica(server)
    }

    /// Returns whether the endpoint list and the operators admit new attempts to a server.
    pub fn accepts_attempts(&self, server: ServerId) -> bool {
        self.0.state.borrow().endpoints.accepts_attempts(server)
    }

    /// Reports the result of an attempt. The driver drops a result of an attempt that has already ended.
    pub fn attempt_ended(&self, id: AttemptId, result: AttemptResult<R>) {
        let now = self.0.clock.now();
        let Some(attempt) = self.0.state.borrow_mut().attempts.remove(id) else { return };
        attempt.log_end(id, now, result.outcome);
        if let Some(executed_id) = attempt.executed_id.as_deref() {
            if result.outcome.rules_out_execution() {
                self.record_not_executed(id.request, executed_id);
            }
        }
        if let Some(status) = result.status {
            self.record_status(attempt.server, status);
        }
        let is_success = result.outcome == Outcome::Success;
        // The peer process must learn of a commit before the client can send a read that depends on it.
        if let Some(session) = attempt.writing_session.as_deref().filter(|_| is_success) {
            let position = result.status.and_then(|status| status.position);
            log::trace!("session write: request number {}, commit position {position:?}", id.request.0);
            self.send_session_write(session, commit_position(position, now));
        }
        let mut state = self.0.state.borrow_mut();
        // The first successful response completes the request. It is passed to the client at once, without a
        // step of the engine.
        if let Some(query_result) = result.response.filter(|_| is_success) {
            if let Some(request) = state.requests.remove(id.request) {
                request.respond(Response::Served(query_result));
            }
        }
        let request_complete = !state.requests.contains(id.request);
        state.events.push(Event::AttemptEnded(AttemptEnded {
            request_complete,
            status: result.status,
            load_report: result.load_report,
            ..attempt.end_report(id, now, result.outcome)
        }));
        self.0.event_queued.notify_one();
    }

    /// Reports that a session's write is committed, as its response says after the attempt has ended.
    /// `position` is the commit position; `None` if the response does not contain it. Must be called before the
    /// client gets the end of the response, since the client may then send a read that depends on the write.
    pub fn write_committed(&self, session: &str, position: Option<Duration>) {
        log::trace!("session write: response complete, commit position {position:?}");
        let commit = commit_position(position, self.0.clock.now());
        self.send_session_write(session, commit);
        self.queue_event(Event::WriteCommitted { session: session.to_owned(), commit });
    }

    /// Applies new settings to requests that are submitted from now on.
    ///
    /// `unchanged_ids` has one entry for each class of `settings`: the present id of an unchanged class, or
    /// `None` for a new or changed class. A class with `None` gets an id that is not in `reserved_ids` and
    /// that no request or attempt in flight uses, so that requests in flight keep the rules under which they
    /// were submitted. Returns the ids in the order of the classes.
    pub fn reconfigure(
        &self,
        settings: Settings,
        unchanged_ids: &[Option<ClassId>],
        reserved_ids: &[ClassId],
    ) -> Vec<ClassId> {
        let mut state = self.0.state.borrow_mut();
        let mut ids_in_use: HashSet<_> = state.requests.classes().chain(state.attempts.classes()).collect();
        ids_in_use.extend(unchanged_ids.iter().copied().flatten());
        ids_in_use.extend(reserved_ids);
        let ids = state.rules.apply(&settings, unchanged_ids, ids_in_use);
        let settings = state.rules.with_all_classes(settings);
        state.events.push(Event::Settings(Box::new(settings)));
        self.0.event_queued.notify_one();
        ids
    }

    /// Returns an upper bound of the time that any request in flight may take.
    pub fn max_deadline(&self) -> Duration {
        self.0.state.borrow().rules.max_deadline()
    }

    fn queue_event(&self, event: Event) {
        self.0.state.borrow_mut().events.push(event);
        self.0.event_queued.notify_one();
    }
}
