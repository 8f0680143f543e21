//! The data servers of a site, the copies that they keep, and what the list service is told of them.
//!
//! Owns every server's machine, who is primary of each set, and the list. It is moved by a time and a call, so that gateways
//! which are stepped and processes on sockets meet the same servers; what follows later it gives back as
//! [`Effect`]s. It must never know who asks, but for whether they had been told of a cold start.

use std::time::Duration;

use pipittack_core::api::*;

use super::copies::Copies;
use super::directory::Directory;
use super::machine::{Arrival, Machine, State};
use super::plan::{Plan, Remembered};

/// A server.
#[derive(Debug)]
pub struct Server {
    /// Its machine.
    pub machine: Machine,
    /// Its set, and its place there.
    pub set: usize,
    /// See `set`.
    pub place: usize,
    /// Where it stands.
    pub zone: usize,
    /// It takes nothing new.
    pub drains: bool,
    /// It is not coming back.
    pub gone: bool,
    /// It has been the primary of its set.
    pub was_primary: bool,
}

/// What follows from a call, for the caller to see to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// The list service hears of this version at this time, and tells it then.
    Listed(usize, f64),
    /// A server's process ended in this life: what waited for it, and its connections, end.
    Died(usize, u32),
    /// A set chooses a primary at this time.
    Elects(usize, f64),
}

/// What becomes of a request that reaches a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Taken {
    /// Turned away untouched: not the primary.
    Miss,
    /// Turned away unseen.
    Full,
    /// It pushed its server over, a part of that by proxies that knew of its start.
    Fell(f64),
    /// Worked on from the one time to the other.
    Runs(f64, f64),
    /// Nothing is said.
    Nothing,
}

/// How a request that was worked on ends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Done {
    /// Served, or an error where its server had been deposed.
    pub outcome: Outcome,
    /// What the answer says of the server; of a write that went through, its commit.
    pub note: ServerStatus,
}

/// The site.
#[derive(Debug)]
pub struct Site {
    /// The servers, in the order of their ids.
    pub servers: Vec<Server>,
    /// The list service.
    pub list: Directory,
    copies: Vec<Copies>,
    plan: Plan,
    /// The most that a cold server was sent, as a part of what pushes it over.
    pub cold_most: f64,
    /// Cold servers that fell over.
    pub fell: usize,
}

fn time(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

impl Site {
    /// The site of a plan, at its start.
    pub fn new(plan: &Plan, start: f64) -> Self {
        let mut site = Self {
            servers: Vec::new(),
            list: Directory::new(plan.service, Vec::new()),
            copies: (0..plan.sets).map(|_| Copies::new(plan.members, plan.copies, start)).collect(),
            plan: plan.clone(),
            cold_most: 0.0,
            fell: 0,
        };
        for set in 0..plan.sets {
            for place in 0..plan.members {
                let mut machine = Machine::new(plan.machine);
                if plan.cold {
                    machine.start(start);
                }
                site.add(machine, set, place, (set + place) % plan.zones);
            }
        }
        let present = site.servers.len();
        let entries: Vec<_> = (0..present).map(|server| site.entry(server)).collect();
        match plan.remembered {
            Remembered::Nothing | Remembered::Fresh => site.list = Directory::new(plan.service, entries),
            Remembered::Old(share) => {
                // Each so manyth of what was there has gone since, and one that is there now has come.
                let every = (1.0 / share.clamp(0.01, 1.0)).round() as usize;
                let (mut old, mut changes) = (Vec::new(), Vec::new());
                for (server, entry) in entries.into_iter().enumerate() {
                    if server % every > 0 {
                        old.push(entry);
                        continue;
                    }
                    let (set, zone) = (site.servers[server].set, site.servers[server].zone);
                    let mut machine = Machine::new(plan.machine);
                    machine.die();
                    let past = site.add(machine, set, usize::MAX, zone);
                    old.push(site.entry(past));
                    site.servers[past].gone = true;
                    changes.extend([site.entry(past), entry]);
                }
                site.list = Directory::new(plan.service, old);
                site.list.had_changed(changes);
            }
        }
        site
    }

    fn add(&mut self, machine: Machine, set: usize, place: usize, zone: usize) -> usize {
        let (drains, gone, was_primary) = (false, false, place == 0);
        self.servers.push(Server { machine, set, place, zone, drains, gone, was_primary });
        self.servers.len() - 1
    }

    /// The zone of each server.
    pub fn zones(&self) -> Vec<usize> {
        self.servers.iter().map(|server| server.zone).collect()
    }

    /// The version of the list that a process starts with.
    pub fn remembered(&self, now: f64) -> Option<usize> {
        match self.plan.remembered {
            Remembered::Nothing => None,
            Remembered::Fresh => Some(self.list.version(now)),
            Remembered::Old(_) => Some(0),
        }
    }

    /// Whether a server is the primary of its set.
    pub fn is_primary(&self, server: usize) -> bool {
        let s = &self.servers[server];
        self.copies[s.set].primary() == Some(s.place)
    }

    /// What a server says of itself.
    pub fn note(&mut self, server: usize, now: f64) -> ServerStatus {
        let (set, place) = (self.servers[server].set, self.servers[server].place);
        let primary = self.copies[set].primary() == Some(place);
        let position =
            self.plan.settings.responses_carry_position.then(|| time(self.copies[set].told(place, now)));
        ServerStatus { position, primary: Some(primary) }
    }

    /// What a probe brings back that was seen so many s ago, where servers report on themselves.
    pub fn report(&mut self, server: usize, age: f64, now: f64) -> Option<LoadReport> {
        if self.plan.settings.load_reports == LoadReports::Never {
            return None;
        }
        let (set, place) = (self.servers[server].set, self.servers[server].place);
        let primary = self.copies[set].primary() == Some(place);
        // What a replica had some time ago is no more than what it has now, less that time.
        let position = self.copies[set].told(place, now) - age;
        Some(LoadReport { position: Some(time(position)), primary: Some(primary), ..LoadReport::default() })
    }

    /// A request reaches a server, from one who was told of its last start or was not.
    pub fn take(&mut self, server: usize, class: ClassId, work_s: f64, told: bool, now: f64) -> Taken {
        let write = self.plan.settings.classes[class.0].consistency == Consistency::Write;
        let primary = self.is_primary(server);
        let s = &mut self.servers[server];
        if s.machine.state != State::Up {
            return Taken::Nothing;
        }
        if s.drains {
            return Taken::Full;
        }
        if write && !primary {
            return Taken::Miss;
        }
        match s.machine.arrive(now, work_s, told) {
            Arrival::Full => Taken::Full,
            Arrival::Runs(begins, ends) => Taken::Runs(begins, ends),
            Arrival::Fell(told) => {
                self.fell += 1;
                Taken::Fell(told)
            }
        }
    }

    /// A server begins to work on a request: gives how far it has applied the log, where it is a replica.
    pub fn begin(&mut self, server: usize, class: ClassId, work_s: f64, now: f64) -> Option<f64> {
        if self.is_primary(server) {
            return None;
        }
        let s = &self.servers[server];
        let (set, place) = (s.set, s.place);
        let position = self.copies[set].position(place, now);
        if self.plan.load.kinds[class.0].blocks {
            let took = work_s * s.machine.slow / (self.plan.machine.speed * s.machine.share(now));
            self.copies[set].block(place, now, now + took);
        }
        Some(position)
    }

    /// A server has done it.
    pub fn finish(&mut self, server: usize, class: ClassId, now: f64) -> Done {
        let write = self.plan.settings.classes[class.0].consistency == Consistency::Write;
        let mut note = self.note(server, now);
        if !write {
            return Done { outcome: Outcome::Success, note };
        }
        if !self.is_primary(server) {
            return Done { outcome: Outcome::ServerError, note };
        }
        self.copies[self.servers[server].set].commit(now);
        note.position = Some(time((now * 1e3).ceil() / 1e3));
        Done { outcome: Outcome::Success, note }
    }

    /// A server's entry as it stands.
    pub fn entry(&self, server: usize) -> Endpoint {
        let s = &self.servers[server];
        let head = match self.plan.settings.listed_role {
            ListedRole::Static => s.place == 0,
            ListedRole::Delayed => self.is_primary(server),
            ListedRole::Absent => false,
        };
        let health = match (s.gone, s.drains) {
            (true, _) => EndpointState::Removed,
            (_, true) => EndpointState::Draining,
            _ => EndpointState::Healthy,
        };
        Endpoint {
            server: ServerId(server as u32),
            zone: ZoneId(s.zone),
            machine_kind: MachineKindId(0),
            group: GroupId(s.set as u64),
            listed_primary: head,
            state: health,
            relative_capacity: 1.0,
            started_at: s.machine.started.map(time),
        }
    }

    fn changed(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let entry = self.entry(server);
        let (version, heard) = self.list.changed(now, entry);
        effects.push(Effect::Listed(version, heard));
    }

    /// A server stops to work, in one way or another.
    pub fn strike(&mut self, server: usize, state: State, now: f64, effects: &mut Vec<Effect>) -> bool {
        if self.servers[server].machine.state != State::Up || self.servers[server].gone {
            return false;
        }
        match state {
            State::Dead => self.dies(server, now, effects),
            other => {
                self.servers[server].machine.state = other;
                self.loses(server, now, effects);
            }
        }
        true
    }

    /// Its process starts anew, cold.
    pub fn revive(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.servers[server].gone {
            return;
        }
        let life = self.servers[server].machine.life;
        self.servers[server].machine.start(now);
        effects.push(Effect::Died(server, life));
        self.changed(server, now, effects);
    }

    /// The operators restart a server that they have out; the list does not tell.
    pub fn restart(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let life = self.servers[server].machine.life;
        self.servers[server].machine.start(now);
        effects.push(Effect::Died(server, life));
        self.loses(server, now, effects);
    }

    /// A server takes nothing new, and hands over if it is the primary.
    pub fn drain(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) -> bool {
        if self.servers[server].drains || self.servers[server].gone {
            return false;
        }
        self.servers[server].drains = true;
        self.changed(server, now, effects);
        if self.is_primary(server) {
            let set = self.servers[server].set;
            self.copies[set].lose_primary(now);
            effects.push(Effect::Elects(set, now + self.plan.copies.switch_s));
        }
        true
    }

    /// A server that drained goes for good, and a new one joins its set, cold and behind.
    pub fn replace(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) -> usize {
        self.servers[server].gone = true;
        self.dies(server, now, effects);
        self.changed(server, now, effects);
        let (set, zone) = (self.servers[server].set, self.servers[server].zone);
        let place = self.copies[set].members();
        let mut machine = Machine::new(self.plan.machine);
        machine.start(now);
        self.copies[set].renew(place, now, self.plan.seed_s);
        let new = self.add(machine, set, place, zone);
        self.changed(new, now, effects);
        new
    }

    /// A server is so many times slower than usual.
    pub fn slow(&mut self, server: usize, times: f64) {
        self.servers[server].machine.slow = times;
    }

    /// Replicas of a set apply so many times slower than usual.
    pub fn lag(&mut self, set: usize, times: f64) {
        let set = set % self.copies.len();
        self.copies[set].slow = times;
    }

    /// A cold server was pushed over by the last request.
    pub fn falls(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        self.dies(server, now, effects);
    }

    fn dies(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        let machine = &mut self.servers[server].machine;
        self.cold_most = self.cold_most.max(machine.pushed);
        let life = machine.life;
        machine.die();
        effects.push(Effect::Died(server, life));
        self.loses(server, now, effects);
    }

    /// If it was the primary of its set, another one takes over after a while.
    fn loses(&mut self, server: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.is_primary(server) {
            let set = self.servers[server].set;
            self.copies[set].lose_primary(now);
            let takes = self.plan.copies.detect_s + self.plan.copies.elect_s;
            effects.push(Effect::Elects(set, now + takes));
        }
    }

    /// A set without a primary chooses one, or tries again soon.
    pub fn elect(&mut self, set: usize, now: f64, effects: &mut Vec<Effect>) {
        if self.copies[set].primary().is_some() {
            return;
        }
        let able = |s: &Server| s.machine.state == State::Up && !s.gone && !s.drains;
        let places: Vec<usize> =
            self.servers.iter().filter(|s| s.set == set && able(s)).map(|s| s.place).collect();
        let Some(place) = self.copies[set].elect(now, |place| places.contains(&place)) else {
            return effects.push(Effect::Elects(set, now + 0.5));
        };
        let chosen = self.servers.iter().position(|s| s.set == set && s.place == place);
        let chosen = chosen.expect("it was found among them");
        self.servers[chosen].was_primary = true;
        if self.plan.settings.listed_role == ListedRole::Delayed {
            self.changed(chosen, now, effects);
        }
    }

    /// The most that any cold server was sent, as a part of what pushes it over.
    pub fn pushed_most(&self) -> f64 {
        self.servers.iter().map(|s| s.machine.pushed).fold(self.cold_most, f64::max)
    }
}
