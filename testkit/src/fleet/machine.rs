//! A data server's machine: cores, a waiting room, a cold start, and a fall when it is pushed over.
//!
//! Owns the work that was sent to it and when each part is done. First come, first served, on so many cores; what the
//! waiting room has no place for is turned away unseen. It must never forgive: what reaches it counts against a cold
//! machine, whether it is served or turned away.

use std::collections::VecDeque;

/// What a machine is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Traits {
    /// Cores.
    pub cores: usize,
    /// Seconds of work that a core does in one.
    pub speed: f64,
    /// Requests that wait at the most.
    pub queue_most: usize,
    /// Connections at the most.
    pub connections_most: usize,
    /// Work in s of a new connection.
    pub handshake_s: f64,
    /// Share of its speed with which it starts, and the time in s until it has all of it.
    pub cold_share: f64,
    /// See `cold_share`.
    pub warm_s: f64,
    /// Multiple of its present capacity which pushes it over, and for how many s.
    pub fall_factor: f64,
    /// See `fall_factor`.
    pub fall_s: f64,
    /// Mean work in s of a request: of so few, chance may send it more than it was allowed.
    pub usual_s: f64,
}

/// What it does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Works.
    Up,
    /// Takes requests and answers none.
    Hung,
    /// Says nothing to anybody.
    Silent,
    /// Its process is gone; connections are refused.
    Dead,
}

/// What becomes of a request that reaches it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Arrival {
    /// It is worked on from the one time to the other, in s.
    Runs(f64, f64),
    /// Turned away unseen.
    Full,
    /// This pushed it over; it is dead. So much of what did so came from those who knew of its start.
    Fell(f64),
}

/// The machine. Times are s.
#[derive(Debug, Clone)]
pub struct Machine {
    traits: Traits,
    /// What it does.
    pub state: State,
    /// When its process last started, where that was not long ago.
    pub started: Option<f64>,
    /// Connections that are open.
    pub connections: usize,
    /// How often its process started anew: what an earlier one held is gone.
    pub life: u32,
    /// How much slower than usual it works.
    pub slow: f64,
    /// When each core is free.
    free: Vec<f64>,
    /// When those that wait begin.
    begins: VecDeque<f64>,
    /// What was sent of late: when, work, and whether its sender knew of the start.
    sent: VecDeque<(f64, f64, bool)>,
    /// Work done in all, in s.
    pub done: f64,
    /// The most that was sent within any `fall_s` while it was cold, as a part of what pushes it over.
    pub pushed: f64,
}

impl Machine {
    /// One that has been up for long.
    pub fn new(traits: Traits) -> Self {
        Self {
            state: State::Up,
            started: None,
            connections: 0,
            life: 0,
            slow: 1.0,
            free: vec![0.0; traits.cores],
            begins: VecDeque::new(),
            sent: VecDeque::new(),
            done: 0.0,
            pushed: 0.0,
            traits,
        }
    }

    /// The share of its speed that it has.
    pub fn share(&self, now: f64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let part = (now - started).max(0.0) / self.traits.warm_s.max(1e-3);
        (self.traits.cold_share + (1.0 - self.traits.cold_share) * part).min(1.0)
    }

    /// Work in s that it does in one, all cores together.
    pub fn capacity(&self, now: f64) -> f64 {
        self.traits.cores as f64 * self.traits.speed * self.share(now) / self.slow
    }

    /// Its process ends.
    pub fn die(&mut self) {
        (self.state, self.connections) = (State::Dead, 0);
        self.life += 1;
    }

    /// Its process starts anew, cold.
    pub fn start(&mut self, now: f64) {
        (self.state, self.started, self.connections, self.pushed) = (State::Up, Some(now), 0, 0.0);
        self.life += 1;
        self.free.fill(now);
        self.begins.clear();
        self.sent.clear();
    }

    /// Whether one more connection is taken; it costs work.
    pub fn connect(&mut self, now: f64) -> bool {
        if self.connections >= self.traits.connections_most {
            return false;
        }
        self.connections += 1;
        self.work(now, self.traits.handshake_s);
        true
    }

    /// Work besides requests, a probe or a handshake.
    pub fn work(&mut self, now: f64, work: f64) -> f64 {
        let took = work / (self.traits.speed * self.share(now)) * self.slow;
        let core = self.free.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("it has a core");
        *core = core.max(now) + took;
        self.done += took;
        *core
    }

    /// Requests that wait for a core.
    pub fn waiting(&mut self, now: f64) -> usize {
        while self.begins.front().is_some_and(|at| *at <= now) {
            self.begins.pop_front();
        }
        self.begins.len()
    }

    /// A request of so much work in s reaches it, from one who knew of its start or did not.
    pub fn arrive(&mut self, now: f64, work: f64, told: bool) -> Arrival {
        if self.pushes_over(now, work, told) {
            let sent = |told: bool| self.sent.iter().filter(|s| s.2 || !told).map(|s| s.1).sum::<f64>();
            let share = sent(true) / sent(false);
            self.die();
            return Arrival::Fell(share);
        }
        if self.waiting(now) >= self.traits.queue_most {
            return Arrival::Full;
        }
        let begins = self.free.iter().copied().fold(f64::INFINITY, f64::min).max(now);
        let ends = self.work(now, work);
        if begins > now {
            self.begins.push_back(begins);
        }
        Arrival::Runs(begins, ends)
    }

    /// Counts what was sent, and says whether a cold machine falls over by it.
    fn pushes_over(&mut self, now: f64, work: f64, told: bool) -> bool {
        self.sent.push_back((now, work, told));
        while self.sent.front().is_some_and(|(at, ..)| now - at > self.traits.fall_s) {
            self.sent.pop_front();
        }
        if self.share(now) >= 1.0 {
            return false;
        }
        let sent: f64 = self.sent.iter().map(|(_, work, _)| work).sum();
        // What the settings allow it, whatever else ails it.
        let could = self.capacity(now) * self.slow;
        let allowed = self.traits.fall_factor * could * self.traits.fall_s / self.traits.usual_s;
        let pushed = sent / self.traits.usual_s / (allowed + 3.0 * allowed.sqrt() + 3.0);
        self.pushed = self.pushed.max(pushed);
        pushed > 1.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const TRAITS: Traits = Traits {
        cores: 2,
        speed: 1.0,
        queue_most: 2,
        connections_most: 1,
        handshake_s: 0.01,
        cold_share: 0.25,
        warm_s: 10.0,
        fall_factor: 2.0,
        fall_s: 1.0,
        usual_s: 0.1,
    };

    #[test]
    fn what_waits_is_served_in_order_and_what_has_no_place_is_turned_away() {
        let mut machine = Machine::new(TRAITS);
        let arrivals: Vec<_> = (0..5).map(|_| machine.arrive(1.0, 0.1, true)).collect();
        let close = |a: f64, b: f64| (a - b).abs() < 1e-9;
        assert!(matches!(arrivals[1], Arrival::Runs(at, end) if close(at, 1.0) && close(end, 1.1)));
        assert!(matches!(arrivals[3], Arrival::Runs(at, end) if close(at, 1.1) && close(end, 1.2)));
        assert_eq!((arrivals[4], machine.waiting(1.1)), (Arrival::Full, 0));
        assert!(machine.connect(2.0) && !machine.connect(2.0));
    }

    #[test]
    fn a_cold_one_is_slow_and_falls_over_what_it_is_sent_and_a_warm_one_does_not() {
        let mut machine = Machine::new(TRAITS);
        machine.start(10.0);
        assert!((machine.capacity(10.0) - 0.5).abs() < 1e-9 && (machine.capacity(15.0) - 1.25).abs() < 1e-9);
        assert!(
            matches!(machine.arrive(10.0, 0.5, false), Arrival::Runs(_, end) if (end - 12.0).abs() < 1e-9)
        );
        machine.arrive(10.2, 1.8, true);
        let Arrival::Fell(told) = machine.arrive(10.4, 0.3, true) else {
            panic!("26 usual ones where 11.2 are allowed, and 13 more")
        };
        assert!((told - 2.1 / 2.6).abs() < 1e-9);
        assert_eq!(machine.state, State::Dead);
        machine.start(20.0);
        assert!((0..9).all(|_| !matches!(machine.arrive(31.0, 1.0, true), Arrival::Fell(_))));
    }
}
