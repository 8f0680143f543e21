//! Hot restart: the state that is handed over, and the messages to and from the peer process while both
//! processes serve.

use std::rc::Rc;
use std::time::Duration;

use super::peer_link::PeerLink;
use super::peer_roles::PeerRoles;
use super::Driver;
use crate::api::{EndpointState, EndpointUpdate, Event, PeerMessage, ServerId, StateSnapshot};

impl<Q, R> Driver<Q, R> {
    /// Returns the state for a successor process. Steps the engine first, since a client may already have a
    /// response whose event is still queued.
    pub fn snapshot(&self) -> StateSnapshot {
        self.step();
        self.0.state.borrow().engine.snapshot()
    }

    /// Restores the state of the predecessor process. `zero_unix_ms` is the zero of the predecessor's clock,
    /// in Unix milliseconds.
    pub fn restore(&self, mut snapshot: StateSnapshot, zero_unix_ms: f64) {
        snapshot.shift_times((zero_unix_ms - self.0.clock.zero_unix_ms()) / 1e3);
        let mut state = self.0.state.borrow_mut();
        for server in snapshot.servers.iter().filter(|server| !server.primary) {
            let position = server.position.and_then(|secs| Duration::try_from_secs_f64(secs).ok());
            let position = position.filter(|at| *at <= self.0.clock.now());
            state.endpoints.restore_position(ServerId(server.server), position);
            let reported_replica = server.replica_at.map(|_| false);
            state.endpoints.record_role(ServerId(server.server), reported_replica);
        }
        state.events.push(Event::SnapshotReceived(Box::new(snapshot)));
        for message in state.peer_roles.received() {
            state.record_peer_message(&message);
            state.events.push(Event::PeerMessage(message));
        }
        self.0.event_queued.notify_one();
    }

    /// Returns the ids of the requests that this process may have executed, for a successor process.
    pub fn executed_ids(&self) -> Vec<String> {
        self.0.state.borrow().executed_ids.ids().map(str::to_owned).collect()
    }

    /// Records ids of requests that another process of this proxy instance may have executed.
    pub fn restore_executed_ids(&self, ids: &[String]) {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        for id in ids {
            state.executed_ids.record_peer(id, now);
        }
    }

    /// Connects the peer process, which also serves, so that both processes notify each other of changes.
    pub fn connect_peer(&self, link: Rc<dyn PeerLink>) {
        self.0.state.borrow_mut().peer_roles = PeerRoles::default();
        self.0.peer.connect(link);
        self.request_step();
    }

    /// Notifies the peer that this process has answered all its requests and accepts no more.
    pub fn close_peer_link(&self) {
        if let Some(peer) = self.0.peer.link() {
            peer.close();
        }
    }

    /// Reports that a peer process serves but cannot be reached, so its writes are unknown here.
    pub fn peer_unreachable(&self) {
        self.queue_event(Event::PeerMessage(PeerMessage::PeerUnreachable(true)));
    }

    /// Disconnects the peer process, if there is one, after its last messages are received. The peer has
    /// exited or is unresponsive; the engine no longer counts it as unreachable.
    pub fn disconnect_peer(&self) {
        let now = self.0.clock.now();
        let mut state = self.0.state.borrow_mut();
        let messages = self.receive_from_peer(now, &mut state);
        state.events.extend(messages.into_iter().map(Event::PeerMessage));
        drop(state);
        self.0.peer.disconnect();
        self.queue_event(Event::PeerMessage(PeerMessage::PeerUnreachable(false)));
    }

    /// Requests a step of the engine, for example because a message of the peer has arrived.
    pub fn request_step(&self) {
        self.0.event_queued.notify_one();
    }

    /// Notifies the peer of a session's write. `commit` is the commit time on the proxy's clock.
    pub(super) fn send_session_write(&self, session: &str, commit: Duration) {
        if let Some(peer) = self.0.peer.link() {
            peer.send(&PeerMessage::SessionWrite {
                session: session.to_owned(),
                commit: commit.as_secs_f64(),
            });
        }
    }

    /// Notifies the peer of the servers that an update from the discovery service withdraws: those that drain
    /// and those that were removed.
    pub(super) fn send_withdrawn_servers(&self, update: &EndpointUpdate, removed: &[ServerId]) {
        let Some(peer) = self.0.peer.link() else { return };
        let (EndpointUpdate::Changes(entries) | EndpointUpdate::Full(entries)) = update else { return };
        let withdrawn = entries.iter().filter(|entry| entry.state != EndpointState::Healthy);
        for server in withdrawn.map(|entry| entry.server).chain(removed.iter().copied()) {
            peer.send(&PeerMessage::ServerWithdrawn(server));
        }
    }
}
