//! How the members of a set follow their primary's log, and who the primary is.
//!
//! Owns each set's commits and how far each member has applied them: a replica has a commit some time after it, and
//! applies with one thread, which stands still while a request runs that blocks it. A position is a time up to which
//! a member has all commits; a primary stands at the present. It must never tell more than is true: positions are rounded
//! down to milliseconds, commits up.

use std::collections::VecDeque;

/// How copies follow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Habits {
    /// Time in s after which a replica has a commit.
    pub ship_s: f64,
    /// Work in s of applying one.
    pub apply_s: f64,
    /// A write counts as done only when a replica has it.
    pub sync: bool,
    /// Time in s in which a lost primary is given up, and until a replica takes over then.
    pub detect_s: f64,
    /// See `detect_s`.
    pub elect_s: f64,
    /// Time in s in which one that drains hands over.
    pub switch_s: f64,
}

/// A replica's place in the log.
#[derive(Debug, Clone, Copy, Default)]
struct Follower {
    /// The next commit that it applies, counted from the first one ever.
    next: usize,
    /// When its thread is free.
    free_at: f64,
    /// Up to when it has all, as far as that was found out.
    position: f64,
}

/// A set of copies; members go by their places.
#[derive(Debug, Clone)]
pub struct Copies {
    habits: Habits,
    followers: Vec<Follower>,
    primary: Option<usize>,
    /// Until when there was a primary that worked, where there is none.
    lost_at: Option<f64>,
    commits: VecDeque<f64>,
    /// How many commits are forgotten.
    forgotten: usize,
    /// How many times slower than usual replicas apply.
    pub slow: f64,
}

impl Copies {
    /// A set of so many members, the first of which is the primary.
    pub fn new(members: usize, habits: Habits, now: f64) -> Self {
        let follower = Follower { next: 0, free_at: now, position: now };
        Self {
            habits,
            followers: vec![follower; members],
            primary: Some(0),
            lost_at: None,
            commits: VecDeque::new(),
            forgotten: 0,
            slow: 1.0,
        }
    }

    /// How many members it has had.
    pub fn members(&self) -> usize {
        self.followers.len()
    }

    /// The primary, if there is one that takes writes.
    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// A write is committed by the primary at this time.
    pub fn commit(&mut self, now: f64) {
        self.commits.push_back(now);
        if self.commits.len() > 4096 {
            let oldest = self.followers.iter().enumerate().filter(|(i, _)| Some(*i) != self.primary);
            let oldest = oldest.map(|(_, f)| f.next).min().unwrap_or(0);
            while self.forgotten < oldest {
                self.commits.pop_front();
                self.forgotten += 1;
            }
        }
    }

    /// Up to when a member has all commits.
    pub fn position(&mut self, member: usize, now: f64) -> f64 {
        if self.primary == Some(member) {
            return now;
        }
        let Self { habits, followers, commits, forgotten, .. } = self;
        let f = &mut followers[member];
        let shipped = self.lost_at.map_or(now, |lost| lost.min(now)) - habits.ship_s;
        loop {
            let next = f.next.checked_sub(*forgotten).and_then(|at| commits.get(at)).copied();
            match next.filter(|commit| *commit <= shipped) {
                Some(commit) => {
                    let done = f.free_at.max(commit + habits.ship_s) + habits.apply_s * self.slow;
                    f.position = f.position.max(commit - 1e-6);
                    if done > now {
                        return f.position;
                    }
                    (f.next, f.free_at, f.position) = (f.next + 1, done, commit);
                }
                None => {
                    f.position = f.position.max(shipped);
                    return f.position;
                }
            }
        }
    }

    /// The same, rounded down to milliseconds as it is told.
    pub fn told(&mut self, member: usize, now: f64) -> f64 {
        (self.position(member, now) * 1e3).floor() / 1e3
    }

    /// A replica applies nothing up to this time.
    pub fn block(&mut self, member: usize, now: f64, until: f64) {
        self.position(member, now);
        let f = &mut self.followers[member];
        f.free_at = f.free_at.max(until);
    }

    /// The primary is lost. What no replica has yet is lost with it, unless writes wait for one.
    pub fn lose_primary(&mut self, now: f64) {
        let Some(primary) = self.primary.take() else { return };
        self.lost_at = Some(now);
        let f = &mut self.followers[primary];
        (f.position, f.free_at) = (now, now);
        if !self.habits.sync {
            while self.commits.back().is_some_and(|commit| *commit > now - self.habits.ship_s) {
                self.commits.pop_back();
            }
        }
        f.next = self.forgotten + self.commits.len();
    }

    /// Of those that can, the replica that has most takes over; gives its place.
    pub fn elect(&mut self, now: f64, able: impl Fn(usize) -> bool) -> Option<usize> {
        let places: Vec<usize> = (0..self.followers.len()).filter(|place| able(*place)).collect();
        let best = places.into_iter().max_by(|a, b| {
            let has = (self.position(*a, now), self.position(*b, now));
            has.0.total_cmp(&has.1).then(b.cmp(a))
        })?;
        self.primary = Some(best);
        self.lost_at = None;
        // What it had received it applies before it takes writes; the others go on behind it.
        Some(best)
    }

    /// A member begins anew from a copy of this age.
    pub fn renew(&mut self, member: usize, now: f64, age: f64) {
        let from = now - age;
        let next = self.forgotten + self.commits.iter().take_while(|commit| **commit <= from).count();
        let f = Follower { next, free_at: now, position: from };
        match self.followers.get_mut(member) {
            Some(place) => *place = f,
            None => self.followers.push(f),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HABITS: Habits =
        Habits { ship_s: 0.01, apply_s: 0.1, sync: false, detect_s: 1.0, elect_s: 1.0, switch_s: 0.5 };

    #[test]
    fn replicas_follow_in_order_stand_still_while_blocked_and_one_takes_over() {
        let mut copies = Copies::new(3, HABITS, 0.0);
        (1..=5).for_each(|n| copies.commit(f64::from(n) * 0.01));
        assert_eq!(copies.position(0, 1.0), 1.0);
        let at = copies.position(1, 0.25);
        assert!((0.02..0.03).contains(&at), "two of five are applied: {at}");
        copies.block(2, 0.02, 1.0);
        assert!(copies.position(2, 0.9) <= 0.01 && copies.position(2, 2.0) > 1.9);
        assert!((copies.position(1, 1.0) - 0.99).abs() < 1e-9, "caught up, as far as it was shipped");
        copies.commit(2.0);
        copies.lose_primary(2.005);
        assert_eq!(copies.elect(3.0, |place| place > 0), Some(1));
        copies.commit(3.5);
        assert!(copies.position(0, 3.52) < 3.5 && copies.position(0, 4.0) > 3.9, "the old one follows");
        copies.renew(2, 4.0, 2.0);
        assert!((copies.position(2, 4.0) - 3.5).abs() < 0.01, "it has all but the last commit");
    }
}
