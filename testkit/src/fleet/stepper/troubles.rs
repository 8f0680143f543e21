//! What goes wrong in a stepped trial, and how it ends.
//!
//! Owns the way from a trouble's words to the models. It must never touch a gateway but by what a process would be told.

use pipittack_core::api::*;

use super::super::links::{Far, Fault};
use super::super::plan::{End, Trouble};
use super::{Happens, Stepper, KEPT_S, KILLED_S, SILENT_S};

impl Stepper {
    pub(super) fn trouble(&mut self, trouble: Trouble) {
        let now = self.now;
        let (servers, mut effects) = (self.site.zones(), Vec::new());
        match trouble {
            Trouble::Strike(pick, state, for_s) => {
                let mut struck = pick.of(&servers, &mut self.rng);
                struck.retain(|server| self.site.strike(*server, state, now, &mut effects));
                self.at(now + for_s, Happens::Over(trouble, struck));
            }
            Trouble::Slow(pick, times, for_s) => {
                let slowed = pick.of(&servers, &mut self.rng);
                slowed.iter().for_each(|server| self.site.slow(*server, times));
                self.at(now + for_s, Happens::Over(trouble, slowed));
            }
            Trouble::Lag(set, times, for_s) => {
                self.site.lag(set, times);
                self.at(now + for_s, Happens::Over(trouble, vec![set]));
            }
            Trouble::ListDown(for_s) => {
                self.site.list.fail(now, for_s);
                (0..self.processes.len()).for_each(|process| self.unwatched(process, now));
            }
            Trouble::ListBack(age) => self.site.list.restore(now, age),
            Trouble::Replace(pick, for_s) => {
                let mut drained = pick.of(&servers, &mut self.rng);
                drained.retain(|server| self.site.drain(*server, now, &mut effects));
                self.at(now + for_s, Happens::Over(trouble, drained));
            }
            Trouble::ByHand(pick, for_s) => {
                let mut out = pick.of(&servers, &mut self.rng);
                out.retain(|server| !self.site.servers[*server].gone && !self.by_hand.contains(server));
                for server in &out {
                    self.by_hand.push(*server);
                    self.ordered(*server, Event::TakenOutOfService(ServerId(*server as u32)));
                }
                self.at(now + for_s, Happens::Over(trouble, out));
            }
            Trouble::Upgrade(pick) => {
                let proxies = pick.of(&self.zones, &mut self.rng);
                proxies.into_iter().for_each(|proxy| self.upgrade(proxy));
            }
            Trouble::Restart(pick, for_s) => {
                for proxy in pick.of(&self.zones, &mut self.rng) {
                    self.restart(proxy, for_s);
                }
            }
            Trouble::Kill(pick, for_s) => {
                let proxies = pick.of(&self.zones, &mut self.rng);
                proxies.into_iter().for_each(|proxy| self.kill(proxy, for_s));
            }
            Trouble::Loop(pick, every, for_s) => {
                for proxy in pick.of(&self.zones, &mut self.rng) {
                    self.at(now, Happens::Loops(proxy, every, now + for_s));
                }
            }
            Trouble::Stall(pick, for_s) => {
                for proxy in pick.of(&self.zones, &mut self.rng) {
                    for process in self.proxies[proxy].clone() {
                        self.processes[process].stands_until = now + for_s;
                    }
                }
            }
            Trouble::Reload(pick) => {
                for proxy in pick.of(&self.zones, &mut self.rng) {
                    let settings = Box::new(self.settings(proxy));
                    for process in self.proxies[proxy].clone() {
                        self.tell(process, Event::Settings(settings.clone()));
                        self.unwatched(process, now);
                    }
                }
            }
            Trouble::Link(pick, end, fault, for_s) => {
                let proxies = pick.of(&self.zones, &mut self.rng);
                let ends = match end {
                    End::List => vec![Far::List],
                    End::Servers(pick) => {
                        pick.of(&servers, &mut self.rng).into_iter().map(Far::Server).collect()
                    }
                };
                self.cuts(&proxies, &ends, fault);
                self.links.befall(proxies, ends, fault, now + for_s);
            }
            Trouble::Burst(times, for_s) => self.burst = (times, now + for_s),
        }
        self.follow(effects);
    }

    /// Open connections hear of a cut at once, and watches end where nothing is heard any more.
    fn cuts(&mut self, proxies: &[usize], ends: &[Far], fault: Fault) {
        if matches!(fault, Fault::Slow(_)) {
            return;
        }
        let breaks = matches!(fault, Fault::Cut | Fault::Reset);
        for process in 0..self.processes.len() {
            if !self.processes[process].alive || !proxies.contains(&self.processes[process].proxy) {
                continue;
            }
            if ends.contains(&Far::List) {
                let at = if breaks { self.now } else { self.now + SILENT_S };
                self.unwatched(process, at);
            }
            if !breaks {
                continue;
            }
            let hit = |server: usize| ends.contains(&Far::Server(server));
            let p = &mut self.processes[process];
            let gone: Vec<_> = p.idle.keys().copied().filter(|server| hit(*server)).collect();
            let idle: Vec<_> = gone.iter().filter_map(|server| p.idle.remove_entry(server)).collect();
            let out: Vec<_> = p.out.iter().filter(|(_, out)| hit(out.server)).collect();
            let out: Vec<_> = out.into_iter().map(|(key, out)| (*key, out.written)).collect();
            for (server, kept) in idle {
                self.close(server, &kept);
            }
            for (key, written) in out {
                let outcome = if written { Outcome::Reset } else { Outcome::ConnectFailed };
                self.at(self.now, Happens::Heard(process, key, outcome, None));
            }
        }
    }

    /// A process's watch ends, and it finds that out at this time.
    fn unwatched(&mut self, process: usize, at: f64) {
        if std::mem::replace(&mut self.processes[process].watches, false) {
            self.at(at, Happens::Silent(process));
        }
    }

    /// The operators take a server out at every proxy, or call it back.
    fn ordered(&mut self, server: usize, event: Event) {
        for process in 0..self.processes.len() {
            self.tell(process, event.clone());
        }
        let back = matches!(event, Event::ReturnedToService(_));
        for proxy in 0..self.plan.proxies {
            self.checker.listed(proxy, server, back, self.now);
        }
    }

    fn restart(&mut self, proxy: usize, for_s: f64) {
        if self.proxies[proxy].is_empty() {
            return;
        }
        for process in self.proxies[proxy].clone() {
            self.at(self.now + KEPT_S, Happens::Leaves(process));
            self.at(self.now + KEPT_S, Happens::Ends(process, self.now + KILLED_S));
        }
        self.at(self.now + for_s.max(KILLED_S + 0.1), Happens::Start(proxy));
    }

    pub(super) fn over(&mut self, trouble: Trouble, whom: &[usize]) {
        let (now, mut effects) = (self.now, Vec::new());
        for &one in whom {
            match trouble {
                Trouble::Strike(..) => self.site.revive(one, now, &mut effects),
                Trouble::Slow(..) => self.site.slow(one, 1.0),
                Trouble::Lag(..) => self.site.lag(one, 1.0),
                Trouble::Replace(..) => {
                    self.site.replace(one, now, &mut effects);
                }
                Trouble::ByHand(..) => {
                    // It was restarted meanwhile.
                    self.site.restart(one, now, &mut effects);
                    self.by_hand.retain(|server| *server != one);
                    self.ordered(one, Event::ReturnedToService(ServerId(one as u32)));
                }
                _ => {}
            }
        }
        self.follow(effects);
    }

    /// A server's process ended: who waits for it is told at once, unless nothing passes.
    pub(super) fn died(&mut self, server: usize, life: u32) {
        for process in 0..self.processes.len() {
            let own = |out: &super::Out| out.server == server && out.life == life;
            let out = &self.processes[process].out;
            let keys: Vec<_> =
                out.iter().filter(|(_, out)| own(out)).map(|(key, out)| (*key, out.written)).collect();
            if keys.is_empty() || self.way(process, Far::Server(server)).back_lost {
                continue;
            }
            let at = self.now + self.one_way(process, server);
            for (key, written) in keys {
                let outcome = if written { Outcome::Reset } else { Outcome::ConnectFailed };
                self.at(at, Happens::Heard(process, key, outcome, None));
            }
        }
    }
}
