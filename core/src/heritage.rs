//! What one process of a proxy tells the one that replaces it, and what two that serve side by side tell each other.
//!
//! The two are one proxy: whatever a promise hangs on passes, as the last one told it and no better, or the worst counts
//! in its place. `docs/design.md` has the table. Owns the form of that knowledge, how it is taken from a gateway and
//! how another one takes it over; times are seconds on the giver's clock until they are shifted. It must never make
//! a server look fresher, warmer or less busy than the giver knew it to be, nor believe a figure that can't be.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::Gateway;
use crate::failover::News;
use crate::interface::ServerId;
use crate::state::{Down, Server};
use crate::window::Window;

/// What was known of one server.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Stood {
    /// Which one.
    pub server: u32,
    /// Up to when it has told that it has all commits.
    pub position: Option<f64>,
    /// When it was last heard.
    pub heard: f64,
    /// It was the primary when it was last heard.
    pub primary: bool,
    /// When it told that it is a replica, if that was its last word.
    pub replica_at: Option<f64>,
    /// When its process started, as far as that was found out.
    pub started: Option<f64>,
    /// The work that a cold one may still be sent.
    pub budget: f64,
    /// The most attempts in flight there.
    pub window: Option<f64>,
    /// Since when it has given no answers, and whether its process was seen to be dead.
    pub down: Option<(f64, bool)>,
    /// What is known of its set's changes of primary.
    pub news: News,
}

/// What a process knows that another one of its proxy must know.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Heritage {
    /// The position that reads of sessions without a mark must see; none where nothing is known of sessions.
    pub floor: Option<f64>,
    /// The last commit of each session that has written of late.
    pub marks: Vec<(String, f64)>,
    /// The servers.
    pub servers: Vec<Stood>,
}

/// What one of two processes tells the other as it happens.
#[derive(Debug, Clone, PartialEq)]
pub enum Word {
    /// A write of a session was acknowledged.
    Wrote {
        /// The session.
        session: String,
        /// The commit, in s.
        commit: f64,
    },
    /// The list says that a server drains or is gone.
    Withdrawn(ServerId),
    /// From now on, or until now, what the other one acknowledges can't be heard.
    Blind(bool),
    /// For this long, another process may serve that was not heard yet: this one stood still, and one that was started
    /// meanwhile may have taken it for dead.
    Doubt(Duration),
}

impl Heritage {
    /// Puts its times on a clock whose zero lies so many seconds before the giver's.
    pub fn shift(&mut self, by: f64) {
        let move_ = |time: &mut f64| *time += by;
        self.floor.iter_mut().for_each(move_);
        self.marks.iter_mut().for_each(|(_, mark)| *mark += by);
        for s in &mut self.servers {
            let times = [&mut s.position, &mut s.replica_at, &mut s.started];
            times.into_iter().flatten().chain([&mut s.heard]).for_each(move_);
            s.down.iter_mut().for_each(|(since, _)| *since += by);
        }
    }
}

impl Gateway {
    /// What another process of this proxy must know.
    pub fn heritage(&self) -> Heritage {
        let (floor, marks) = self.sessions.known();
        let stood = |(id, s): (&ServerId, &Server)| {
            let set = self.groups.get(&s.group).map(|group| &group.set);
            Stood {
                server: id.0,
                position: Some(s.position).filter(|at| *at > 0.0),
                heard: s.heard,
                primary: s.heard > 0.0 && set.is_some_and(|set| set.primary() == Some(*id)),
                replica_at: s.replica_at,
                started: s.started,
                budget: s.budget,
                window: Some(s.window.max),
                down: s.down.as_ref().map(|down| (down.since, down.dead)),
                news: set.map(|set| set.news(*id, self.now)).unwrap_or_default(),
            }
        };
        Heritage {
            floor: Some(floor),
            marks: marks.map(|(session, mark)| (session.to_owned(), mark)).collect(),
            servers: self.servers.iter().map(stood).collect(),
        }
    }

    /// Takes over what another process knew; its times are on this gateway's clock by now.
    pub(crate) fn inherit(&mut self, heritage: Heritage) {
        let now = self.now;
        self.sessions.inherit(heritage.floor, now);
        heritage.marks.into_iter().for_each(|(session, mark)| self.sessions.wrote(session, mark.min(now)));
        for stood in heritage.servers {
            self.inherit_server(&stood);
        }
    }

    fn inherit_server(&mut self, stood: &Stood) {
        let (now, id) = (self.now, ServerId(stood.server));
        let past = |time: f64| Some(time).filter(|time| time.is_finite() && *time > 0.0 && *time <= now);
        if !self.servers.contains_key(&id) {
            return;
        }
        if let Some(heard) = past(stood.heard) {
            let role = if stood.primary { Some(true) } else { stood.replica_at.map(|_| false) };
            self.learn_stand(id, heard, None, (stood.position.and_then(past), role));
        }
        let Some(server) = self.servers.get_mut(&id) else { return };
        if let Some(started) =
            stood.started.and_then(past).filter(|at| server.started.is_none_or(|s| *at > s))
        {
            server.started = Some(started);
        }
        if server.cold(now, &self.cfg.contract) < 1.0 {
            server.budget = server.budget.min(Some(stood.budget).filter(|b| b.is_finite()).unwrap_or(0.0));
        }
        if let Some(most) = stood.window {
            server.window = Window::of(now, most);
        }
        if let Some((since, dead)) = stood.down.filter(|(since, _)| past(*since).is_some()) {
            server.down.get_or_insert_with(|| Down { since, ..Down::soon(now, dead) });
        }
        let set = &mut self.groups.entry(server.group).or_default().set;
        set.recall(id, &stood.news, now);
    }

    /// Learns what the other process told.
    pub(crate) fn learn_word(&mut self, word: Word) {
        match word {
            Word::Wrote { session, commit } => self.sessions.wrote(session, commit),
            Word::Blind(blind) => self.sessions.set_blind(blind, self.now),
            Word::Doubt(long) => self.sessions.doubt(self.now + long.as_secs_f64()),
            Word::Withdrawn(id) => {
                self.servers.entry(id).and_modify(|server| server.barred = true);
                self.groups.values_mut().for_each(|group| group.set.withdraws(id, self.now, true));
            }
        }
    }
}
