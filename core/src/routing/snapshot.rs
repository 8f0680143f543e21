//! Takes and restores the state that passes between two processes of one proxy instance.

use crate::api::{PeerMessage, ServerId, ServerSnapshot, StateSnapshot};
use crate::concurrency_limit::ConcurrencyLimit;
use crate::routing::state::{DownState, Server};
use crate::routing::RoutingEngine;

impl RoutingEngine {
    /// What another process of this proxy must know.
    pub fn snapshot(&self) -> StateSnapshot {
        let sessions = self.sessions.snapshot();
        let stood = |(id, s): (&ServerId, &Server)| {
            let set = self.groups.get(&s.group).map(|group| &group.set);
            ServerSnapshot {
                server: id.0,
                position: Some(s.position).filter(|at| *at > 0.0),
                last_response: s.heard,
                primary: s.heard > 0.0 && set.is_some_and(|set| set.primary() == Some(*id)),
                replica_at: s.replica_at,
                started: s.started,
                warm_up_budget: s.budget,
                concurrency_limit: Some(s.window.limit),
                down: s.down.as_ref().map(|down| (down.since, down.dead)),
                replica_set: set.map(|set| set.snapshot(*id, self.now)).unwrap_or_default(),
            }
        };
        StateSnapshot {
            session_floor: Some(sessions.floor),
            session_tokens: sessions.tokens.map(|(session, mark)| (session.to_owned(), mark)).collect(),
            servers: self.servers.iter().map(stood).collect(),
        }
    }

    /// Takes over what another process knew; its times are on this gateway's clock by now.
    pub(super) fn restore(&mut self, heritage: StateSnapshot) {
        let now = self.now;
        self.sessions.restore(heritage.session_floor, now);
        heritage
            .session_tokens
            .into_iter()
            .for_each(|(session, mark)| self.sessions.record_write(session, mark.min(now)));
        for stood in heritage.servers {
            self.restore_server(&stood);
        }
    }

    fn restore_server(&mut self, stood: &ServerSnapshot) {
        let (now, id) = (self.now, ServerId(stood.server));
        let past = |time: f64| Some(time).filter(|time| time.is_finite() && *time > 0.0 && *time <= now);
        if !self.servers.contains_key(&id) {
            return;
        }
        if let Some(heard) = past(stood.last_response) {
            let role = if stood.primary { Some(true) } else { stood.replica_at.map(|_| false) };
            self.learn_stand(id, heard, None, (stood.position.and_then(past), role));
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(started) =
            stood.started.and_then(past).filter(|at| server.started.is_none_or(|s| *at > s))
        {
            server.started = Some(started);
        }
        if server.cold(now, &self.cfg.rules) < 1.0 {
            server.budget =
                server.budget.min(Some(stood.warm_up_budget).filter(|b| b.is_finite()).unwrap_or(0.0));
        }
        if let Some(most) = stood.concurrency_limit {
            server.window = ConcurrencyLimit::with_limit(now, most);
        }
        if let Some((since, dead)) = stood.down.filter(|(since, _)| past(*since).is_some()) {
            server.down.get_or_insert_with(|| DownState { since, ..DownState::soon(now, dead) });
        }
        let set = &mut self.groups.entry(server.group).or_default().set;
        set.restore(id, &stood.replica_set, now);
    }

    /// Learns what the other process told.
    pub(crate) fn learn_word(&mut self, word: PeerMessage) {
        match word {
            PeerMessage::SessionWrite { session, commit } => self.sessions.record_write(session, commit),
            PeerMessage::PeerUnreachable(blind) => self.sessions.set_peer_unreachable(blind, self.now),
            PeerMessage::ProcessPaused(long) => self.sessions.distrust_until(self.now + long.as_secs_f64()),
            PeerMessage::ServerWithdrawn(id) => {
                self.servers.entry(id).and_modify(|server| server.barred = true);
                self.groups.values_mut().for_each(|group| group.set.server_draining(id, self.now));
            }
        }
    }
}
