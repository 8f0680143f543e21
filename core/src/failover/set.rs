//! One set of servers as changes of its primary see it: the parts of this module put together.
//!
//! Owns the set's claims, its phase, and the release that is under way; it turns evidence into inputs of the state
//! machine and answers where writes may go, whom to ask, and what to expect. It must never choose a server for a
//! read, and never let a write go to a primary that is suspected, drains or is deposed.

use serde::{Deserialize, Serialize};

use super::{Change, Claim, Forecast, Input, Outlook, Patience, Phase, Primacy, Pulse, Release, Ruling};
use crate::interface::{Outcome, ServerId};

/// Time in s between two writes that ask members who the primary is, within a round.
const ASK_NEXT: f64 = 0.01;
/// A member that has owed an answer for so many s is not asked: what would be asked of it may hang with it.
pub(crate) const ASK_SILENT: f64 = 0.15;
/// Pauses in s between rounds of asking: as a rule, and once changes of the kind have been known to end.
const ASK_PAUSE: (f64, f64) = (0.1, 0.03);
/// Part of the shortest known change after which its end may be near.
const NEAR: f64 = 0.8;
/// Time in s between two reads that are sent to a silent primary to see whether it answers, and the first pause before
/// a write is; each further write waits twice as long.
const CANARY_EVERY: f64 = 0.25;
const TEST_FIRST: f64 = 0.6;
/// Silence past which it is no pause any more, in s and in bounds on silence, whichever is more: the primary counts as
/// lost, and others may be asked.
const PAUSE_MOST: (f64, f64) = (0.6, 1.4);

/// What is seen of the primary at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sight {
    /// When it last answered.
    pub heard: f64,
    /// When the oldest attempt was sent that it owes an answer to.
    pub oldest: Option<f64>,
    /// It is taken to be down.
    pub down: bool,
    /// How long it may be silent.
    pub patience: Patience,
    /// Writes that wait for it.
    pub waiting: usize,
}

/// What one process tells another of a server's set.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct News {
    /// How many claims the set has seen.
    pub epoch: u64,
    /// The server has been deposed and is not known to know it.
    pub deposed: bool,
    /// A change under way: its kind, and for how many seconds.
    pub change: Option<(Change, f64)>,
}

/// Changes of its own from which on a set's forecast goes by these alone.
const OWN_LEAST: usize = 4;

/// A set.
#[derive(Debug, Clone, PartialEq)]
pub struct Set {
    /// How long its own changes took.
    own: Forecast,
    primacy: Primacy,
    phase: Phase,
    release: Release,
    /// How long the primary takes to answer.
    pulse: Pulse,
    /// Who was primary when the change that is under way began, and whether it was silent.
    before: Option<(ServerId, bool)>,
    /// The name of the phase at the last look.
    seen: &'static str,
    /// The last primary, where it drains or is gone.
    draining: Option<ServerId>,
    /// When the newest attempt was sent that the primary has served: what it owes from before that says nothing.
    overtaken: f64,
    /// When a read may next be sent to a silent primary, when a write, and how long the next write waits then.
    next_canary: f64,
    next_test: f64,
    test_pause: f64,
    /// Whom a write asks next while no primary is known, and when.
    cursor: Option<ServerId>,
    next_ask: f64,
}

impl Default for Set {
    fn default() -> Self {
        Self {
            own: Forecast::empty(),
            primacy: Primacy::default(),
            phase: Phase::default(),
            release: Release::default(),
            pulse: Pulse::default(),
            before: None,
            seen: Phase::default().name(),
            draining: None,
            overtaken: 0.0,
            next_canary: 0.0,
            next_test: 0.0,
            test_pause: TEST_FIRST,
            cursor: None,
            next_ask: 0.0,
        }
    }
}

impl Set {
    /// The primary, if one is known: it may be suspected or down.
    pub fn primary(&self) -> Option<ServerId> {
        self.primacy.primary()
    }

    /// How the set stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The server that writes may go to now.
    pub fn takes_writes(&self) -> Option<ServerId> {
        let claim = self.primacy.claim().filter(|claim| claim.lost.is_none() && self.phase.takes_writes());
        claim.map(|claim| claim.server)
    }

    /// Whether a server was primary and does not know that it is no longer: what it says of itself is stale.
    pub fn is_deposed(&self, server: ServerId) -> bool {
        self.primacy.is_deposed(server)
    }

    fn input(&mut self, input: Input) {
        let before = self.phase;
        self.phase = before.after(input);
        if before.takes_writes() && !self.phase.takes_writes() {
            let began = self.phase.began().unwrap_or(0.0) + TEST_FIRST;
            (self.next_ask, self.next_canary, self.next_test, self.test_pause) =
                (0.0, 0.0, began, TEST_FIRST);
        }
    }

    /// A server says that it is the primary; see [`Primacy::claims`].
    pub fn claims(
        &mut self,
        server: ServerId,
        at: f64,
        sent: Option<f64>,
        now: f64,
        forecast: &mut Forecast,
    ) -> Ruling {
        let old = self.primacy.claim().copied();
        let ruling = self.primacy.claims(server, at, sent);
        match ruling {
            Ruling::Known => self.spoke(now),
            Ruling::Accepted => self.accepted(old, now, forecast),
            Ruling::Stale => {}
        }
        ruling
    }

    /// A primary that was silent answered.
    fn spoke(&mut self, now: f64) {
        match self.phase {
            Phase::Suspected { .. } => self.release = Release::to_known(now),
            Phase::Without { .. } if self.primacy.claim().is_some_and(|claim| claim.lost.is_none()) => {
                self.release = Release::new(now);
            }
            _ => return,
        }
        self.input(Input::Spoke);
    }

    /// The list names a server as the primary; see [`Primacy::listed`].
    pub fn listed(&mut self, server: ServerId, now: f64, forecast: &mut Forecast) -> Ruling {
        let old = self.primacy.claim().copied();
        let first = old.is_none() && self.primacy.epoch() == 0;
        let ruling = self.primacy.listed(server, now);
        match ruling {
            Ruling::Accepted if first => {}
            Ruling::Accepted => self.accepted(old, now, forecast),
            Ruling::Stale if self.takes_writes().is_none() => self.cursor = Some(server),
            _ => {}
        }
        ruling
    }

    fn accepted(&mut self, old: Option<Claim>, now: f64, forecast: &mut Forecast) {
        if let (Some(change), Some(began)) = (self.phase.change(), self.phase.began()) {
            forecast.learn(change, now - began);
            self.own.learn(change, now - began);
        }
        if let Some(old) = old {
            self.before = Some((old.server, old.lost.is_some()));
        }
        // One that stepped down by itself leaves no doubt of its successor.
        let doubted = self.phase.change() == Some(Change::Unplanned);
        self.release = if doubted { Release::new(now) } else { Release::after_handover(now) };
        // The first one that is ever heard of takes over from nobody.
        if self.primacy.epoch() > 1 || self.phase != Phase::Steady {
            self.input(Input::Claimed(now));
        }
        (self.cursor, self.draining) = (None, None);
    }

    /// A server says that it is no primary; `at` is when that was heard.
    pub fn denies(&mut self, server: ServerId, at: f64) {
        if self.primacy.denies(server, at) {
            self.input(Input::Denied(at));
        }
    }

    /// A server was heard at `at`: what it says of its role, if anything. See [`Primacy::claims`].
    pub fn heard(
        &mut self,
        server: ServerId,
        primary: Option<bool>,
        at: f64,
        sent: Option<f64>,
        now: f64,
        forecast: &mut Forecast,
    ) {
        match primary {
            Some(true) => {
                self.claims(server, at, sent, now, forecast);
            }
            Some(false) => self.denies(server, at),
            None => {}
        }
    }

    /// A server answered what was sent to it at this time, so many seconds after. What the primary serves tells its
    /// pulse.
    pub fn answered(&mut self, server: ServerId, outcome: Outcome, sent: f64, took: f64) {
        if outcome == Outcome::Ok && self.primary() == Some(server) {
            self.pulse.learn(took);
            self.overtaken = self.overtaken.max(sent);
        }
    }

    /// Whether the primary owes an answer to what was sent at this time, so that its silence says something. One slow
    /// request that others have overtaken is no sign of a hang.
    pub fn is_owed(&self, sent: f64) -> bool {
        sent > self.overtaken
    }

    /// A write that was sent to a server at this time has ended; `served` if by an answer. Gives the primary before
    /// it where that fell silent and this is the first one served since: what is still out there has no answer to
    /// come.
    pub fn ended(&mut self, server: ServerId, sent: f64, served: bool) -> Option<ServerId> {
        self.release.ended(sent, served);
        if !served || self.primacy.primary() != Some(server) {
            return None;
        }
        self.primacy.served(server);
        self.input(Input::Served);
        self.before.take().filter(|(_, silent)| *silent).map(|(before, _)| before)
    }

    /// A server drains, is out by hand or gone.
    pub fn withdraws(&mut self, server: ServerId, now: f64, drains: bool) {
        if self.primacy.withdraw(server) {
            self.draining = Some(server);
            self.input(if drains { Input::Drains(now) } else { Input::Lost(now) });
        }
    }

    /// Drops what is known of servers that are no members any more. A primary that is none has gone.
    pub fn retain(&mut self, now: f64, is_member: impl Fn(ServerId) -> bool) {
        if let Some(gone) = self.primary().filter(|primary| !is_member(*primary)) {
            self.withdraws(gone, now, false);
        }
        self.primacy.retain(is_member);
    }

    /// The server whose silence matters: the primary, or the one that drains.
    pub fn watched(&self) -> Option<ServerId> {
        self.primary().or(self.draining)
    }

    /// Looks at [`Self::watched`]. To be called at each step, with what is seen of it. Gives the name of the phase
    /// where it is another since the last look.
    pub fn watch(&mut self, now: f64, sight: &Sight) -> Option<&'static str> {
        let oldest = sight.oldest;
        // One that was never heard has been primary since its claim.
        let heard = self.primacy.claim().map_or(sight.heard, |claim| claim.since.max(sight.heard));
        let since = oldest.map_or(heard, |oldest| oldest.max(heard));
        let suspected = sight.patience.suspects_at(self.pulse, heard, oldest).is_some_and(|at| now >= at);
        let pulse = self.pulse;
        let pause = || PAUSE_MOST.0.max(PAUSE_MOST.1 * sight.patience.bound(pulse));
        if sight.down || (suspected && now - since > pause()) {
            self.primacy.lose(now);
            self.input(Input::Lost(since));
        } else if suspected {
            self.input(Input::Silent(since));
            if matches!(self.phase, Phase::Without { .. }) {
                self.primacy.lose(now); // a successor fell silent before it served
            }
        } else if self.primacy.find(heard) || self.phase.began().is_some_and(|began| heard > began) {
            self.spoke(now); // by an answer that tells no role
        } else if let (Phase::Suspected { since }, None) = (self.phase, oldest) {
            // All that it owed was given up: one write shows whether it answers again.
            if now - since > pause() {
                self.input(Input::Spoke);
                self.release = Release::new(now);
            }
        }
        if self.phase == Phase::Settling && (sight.waiting == 0 || self.release.is_done()) {
            self.input(Input::Settled);
        }
        let name = self.phase.name();
        (std::mem::replace(&mut self.seen, name) != name).then_some(name)
    }

    /// Whether one more write may go to the primary, as far as a release that is under way lets it.
    pub fn admits_write(&self) -> bool {
        !matches!(self.phase, Phase::TakingOver { .. } | Phase::Settling) || self.release.admits()
    }

    /// Whether the next place at the primary is for a read that needs it, while what was held goes out.
    pub fn is_reads_turn(&self) -> bool {
        matches!(self.phase, Phase::Settling) && self.release.is_reads_turn()
    }

    /// A request went to a server; what goes to the primary takes a place of the release.
    pub fn took_place(&mut self, server: ServerId, write: bool, now: f64) {
        if self.primary() == Some(server) {
            self.next_canary = now + CANARY_EVERY;
            if !write {
                // A read shows as much, and has no fate to lose.
                self.next_test = self.next_test.max(now + TEST_FIRST);
            }
            self.release.took_place(write);
        }
    }

    /// Whether what waits goes out by its deadline, oldest first.
    pub fn releases(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// A silent primary to which a read may be sent to see whether it answers.
    pub fn canary(&self, now: f64) -> Option<ServerId> {
        let silent = matches!(self.phase, Phase::Suspected { .. } | Phase::Without { .. });
        self.primary().filter(|_| silent && now >= self.next_canary)
    }

    /// Whether a write may ask members now who the primary is.
    pub fn may_ask(&self, now: f64) -> bool {
        let lost = self.primacy.claim().is_none_or(|claim| claim.lost.is_some());
        lost && now >= self.next_ask
    }

    /// Which of these members a write asks, in id order and round after round; a miss costs nothing. Each comes with
    /// the time in s for which it has owed an answer. None where the write has to wait. One that is silent is not
    /// asked, nor one that may not know that it was deposed, for it would take the write; the lost primary
    /// itself seldom, for the write's fate is at stake there.
    pub fn ask(&mut self, members: &[(ServerId, f64)], now: f64, forecast: &Forecast) -> Option<ServerId> {
        if !self.may_ask(now) {
            return None;
        }
        let primary = self.primary();
        if let Some(primary) = primary.filter(|p| members.iter().any(|m| m.0 == *p) && now >= self.next_test)
        {
            (self.next_test, self.test_pause) = (now + self.test_pause, self.test_pause * 2.0);
            return Some(primary);
        }
        let from = self.cursor.unwrap_or_default();
        let may = |(m, silence): &&(ServerId, f64)| {
            let other = *m >= from && primary != Some(*m);
            other && *silence < ASK_SILENT && self.primacy.may_be_asked(*m, now)
        };
        let member = members.iter().find(may).map(|(m, _)| *m);
        let shortest =
            self.phase.change().map_or(f64::INFINITY, |change| self.known(change, forecast).shortest(change));
        let near = self.phase.began().is_some_and(|began| now - began >= NEAR * shortest);
        let pause = if near { ASK_PAUSE.1 } else { ASK_PAUSE.0 };
        self.cursor = member.map(|member| ServerId(member.0.saturating_add(1)));
        self.next_ask = now + if member.is_some() { ASK_NEXT } else { pause };
        member
    }

    /// Durations of this set's changes where it has had some, else those of all sets together.
    fn known<'f>(&'f self, change: Change, all: &'f Forecast) -> &'f Forecast {
        if self.own.sample(change).len() >= OWN_LEAST {
            &self.own
        } else {
            all
        }
    }

    /// When the set takes writes again, if it takes none now and that is no mere pause. `forecast` is that of all sets.
    pub fn outlook<'f>(&'f self, now: f64, forecast: &'f Forecast) -> Option<Outlook<'f>> {
        if self.takes_writes().is_some() || matches!(self.phase, Phase::Suspected { .. }) {
            return None;
        }
        // Before any change was seen, nobody knows a primary: as if one had just been lost.
        let change = self.phase.change().unwrap_or(Change::Unplanned);
        let elapsed = self.phase.began().map_or(0.0, |began| now - began);
        Some(self.known(change, forecast).outlook(change, elapsed))
    }

    /// What another process of this proxy must know of a server here.
    pub fn news(&self, server: ServerId, now: f64) -> News {
        let change = self.phase.change().zip(self.phase.began());
        News {
            epoch: self.primacy.epoch(),
            deposed: self.primacy.is_deposed(server),
            change: change.map(|(change, began)| (change, (now - began).max(0.0))),
        }
    }

    /// Takes over what another process knew.
    pub fn recall(&mut self, server: ServerId, news: &News, now: f64) {
        self.primacy.recall_epoch(news.epoch);
        if news.deposed {
            self.primacy.recall_deposed(server, now);
        }
        let Some((change, lasted)) = news.change.filter(|_| self.phase == Phase::Steady) else { return };
        if self.takes_writes().is_none() && lasted.is_finite() {
            let since = now - lasted.max(0.0);
            self.phase = match change {
                Change::Planned => Phase::HandingOver { since },
                Change::Unplanned => Phase::Without { since },
            };
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const A: ServerId = ServerId(1);
    const B: ServerId = ServerId(2);
    /// Nothing was learned yet: a silence of 0.2 s is too long.
    const PATIENCE: Patience = Patience { usual: 0.08, slow: 1.0, times: 0.5, owed: 3 };

    fn sight(heard: f64, oldest: Option<f64>) -> Sight {
        Sight { heard, oldest, down: false, patience: PATIENCE, waiting: 5 }
    }

    /// A set whose primary is A, heard at 10.
    fn steady() -> (Set, Forecast) {
        let (mut set, mut forecast) = (Set::default(), Forecast::default());
        assert_eq!(set.claims(A, 10.0, Some(9.9), 10.0, &mut forecast), Ruling::Accepted);
        assert_eq!((set.phase(), set.takes_writes()), (Phase::Steady, Some(A)));
        (set, forecast)
    }

    #[test]
    fn a_pause_holds_writes_and_its_end_lets_them_go() {
        let (mut set, mut forecast) = steady();
        set.watch(10.15, &sight(10.0, Some(10.0)));
        assert_eq!(set.takes_writes(), Some(A), "not yet");
        set.watch(10.25, &sight(10.0, Some(10.0)));
        assert_eq!((set.takes_writes(), set.phase()), (None, Phase::Suspected { since: 10.0 }));
        assert!(!set.may_ask(10.3), "it may only pause");
        assert_eq!(set.canary(10.3), Some(A));
        set.took_place(A, false, 10.3);
        assert_eq!((set.canary(10.4), set.canary(10.6)), (None, Some(A)));
        assert_eq!(set.outlook(10.3, &forecast), None, "nobody refuses for a pause");
        set.claims(A, 10.4, Some(10.0), 10.4, &mut forecast);
        set.took_place(A, true, 10.4);
        assert_eq!((set.takes_writes(), set.admits_write()), (Some(A), true));
        assert_eq!(forecast, Forecast::default(), "no change, and nothing learned");
    }

    #[test]
    fn a_word_that_tells_no_role_is_a_word() {
        let (mut set, _) = steady();
        set.watch(10.3, &sight(10.0, Some(10.0)));
        assert_eq!(set.takes_writes(), None);
        set.watch(10.4, &sight(10.35, None));
        assert_eq!((set.takes_writes(), set.phase()), (Some(A), Phase::Steady));
        set.watch(12.0, &sight(10.35, Some(10.4)));
        assert_eq!((set.takes_writes(), set.phase()), (None, Phase::Without { since: 10.4 }));
        set.watch(12.5, &sight(12.4, None));
        assert_eq!((set.takes_writes(), set.phase()), (Some(A), Phase::TakingOver { since: 10.4 }));
    }

    #[test]
    fn a_failover_is_found_by_a_claim_and_its_length_learned() {
        let (mut set, mut forecast) = steady();
        set.watch(10.3, &sight(10.0, Some(10.0)));
        set.watch(10.7, &sight(10.0, Some(10.0)));
        assert!(set.may_ask(10.7), "this is no pause any more");
        assert!(set.outlook(10.7, &forecast).is_some_and(|outlook| outlook.within(0.5) > 3.0));
        assert_eq!(set.claims(B, 14.0, Some(13.9), 14.0, &mut forecast), Ruling::Accepted);
        assert_eq!(forecast.sample(Change::Unplanned).last(), Some(&4.0));
        assert_eq!((set.takes_writes(), set.admits_write(), set.is_deposed(A)), (Some(B), true, true));
        set.took_place(B, true, 14.0);
        assert!(!set.admits_write(), "one first");
        assert_eq!(set.claims(A, 15.0, Some(14.9), 15.0, &mut forecast), Ruling::Stale);
        assert_eq!(set.ended(B, 14.0, true), Some(A), "what is out at A gets no answer");
        assert_eq!((set.ended(B, 14.0, true), set.phase()), (None, Phase::Settling));
        set.watch(15.0, &Sight { waiting: 0, ..sight(15.0, None) });
        assert_eq!((set.phase(), set.takes_writes()), (Phase::Steady, Some(B)));
    }

    #[test]
    fn a_handover_is_planned_until_the_draining_primary_is_lost() {
        let (mut set, mut forecast) = steady();
        set.withdraws(A, 11.0, true);
        assert_eq!((set.phase().change(), set.takes_writes()), (Some(Change::Planned), None));
        assert!(set.may_ask(11.0));
        let planned = set.outlook(11.1, &forecast).map(|o| o.within(0.5));
        assert!(planned.is_some_and(|left| left < 1.0), "{planned:?}");
        assert_eq!(set.claims(B, 11.5, Some(11.4), 11.5, &mut forecast), Ruling::Accepted);
        assert_eq!(forecast.sample(Change::Planned).last(), Some(&0.5));
        assert_eq!(set.ended(B, 14.0, true), None, "A was not silent: what it holds it finishes");
    }

    #[test]
    fn a_successor_that_dies_before_it_serves_leaves_the_change_open() {
        let (mut set, mut forecast) = steady();
        set.watch(11.0, &Sight { down: true, ..sight(10.0, Some(10.0)) });
        set.claims(B, 13.0, Some(12.9), 13.0, &mut forecast);
        set.watch(13.3, &sight(13.0, Some(13.0)));
        assert_eq!((set.phase(), set.takes_writes()), (Phase::Without { since: 10.0 }, None));
        assert!(set.may_ask(13.4));
        assert_eq!(set.claims(A, 15.0, Some(14.9), 15.0, &mut forecast), Ruling::Accepted);
    }

    #[test]
    fn a_hang_in_a_drain_is_planned_no_more() {
        let (mut set, forecast) = steady();
        set.withdraws(A, 11.0, true);
        assert_eq!(set.watched(), Some(A));
        set.watch(11.9, &sight(11.0, Some(11.1)));
        assert_eq!(set.phase(), Phase::Without { since: 11.0 });
        assert!(set.outlook(12.0, &forecast).is_some_and(|outlook| outlook.within(0.5) > 2.0));
    }

    #[test]
    fn a_suspicion_does_not_outlast_what_was_owed() {
        let (mut set, _) = steady();
        set.watch(10.3, &sight(10.0, Some(10.0)));
        set.watch(10.5, &sight(10.0, None));
        assert_eq!(set.takes_writes(), None);
        set.watch(10.7, &sight(10.0, None));
        assert_eq!((set.takes_writes(), set.admits_write()), (Some(A), true));
        set.took_place(A, true, 10.4);
        assert!(!set.admits_write(), "one, to see whether it answers");
    }

    #[test]
    fn a_set_of_its_own_habits_is_forecast_by_these() {
        let (mut set, mut all) = steady();
        for n in 0..4 {
            let at = 100.0 * f64::from(n + 1);
            let (old, new) = if n % 2 == 0 { (A, B) } else { (B, A) };
            set.denies(old, at);
            assert_eq!(set.claims(new, at + 0.1, Some(at + 0.05), at + 0.1, &mut all), Ruling::Accepted);
            set.ended(new, at + 0.2, true);
        }
        all.recall(Change::Planned, &[1.9; 24]);
        set.denies(A, 600.0);
        let left = set.outlook(600.0, &all).map(|outlook| outlook.within(0.5));
        assert!(left.is_some_and(|left| left < 0.2), "{left:?}");
    }

    #[test]
    fn asking_goes_round_the_members_and_pauses() {
        let (mut set, forecast, all) = (Set::default(), Forecast::default(), [(A, 0.0), (B, 0.0)]);
        let mut asked = |now| set.ask(&all, now, &forecast);
        assert_eq!((asked(1.0), asked(1.005), asked(1.02)), (Some(A), None, Some(B)));
        assert_eq!((asked(1.04), asked(1.1), asked(1.2)), (None, None, Some(A)), "a round pauses");
    }

    #[test]
    fn a_member_that_is_silent_is_not_asked() {
        let (mut set, forecast) = (Set::default(), Forecast::default());
        assert_eq!(set.ask(&[(A, 0.2), (B, 0.1)], 1.0, &forecast), Some(B));
        assert_eq!(set.ask(&[(A, 0.2), (B, 0.2)], 2.0, &forecast), None);
    }

    #[test]
    fn a_lost_primary_is_tested_by_a_write_seldom_and_others_are_asked_meanwhile() {
        let (mut set, forecast) = steady();
        set.watch(11.0, &sight(10.0, Some(10.0)));
        let mut asked: Vec<(i64, ServerId)> = Vec::new();
        for n in 0..400 {
            let now = 11.0 + f64::from(n) / 100.0;
            asked.extend(
                set.ask(&[(A, 9.0), (B, 0.0)], now, &forecast).map(|m| ((now * 10.0).round() as i64, m)),
            );
        }
        let tests: Vec<_> = asked.iter().filter(|(_, m)| *m == A).map(|(at, _)| *at).collect();
        let gaps: Vec<_> = tests.windows(2).map(|pair| pair[1] - pair[0]).collect();
        assert!(matches!(gaps[..], [6..8, 12..14]), "twice as long each time: {tests:?}");
        let late = asked.iter().filter(|(at, m)| *m == B && *at >= 130).count();
        assert!(late >= 2 * asked.iter().filter(|(at, m)| *m == B && *at < 120).count(), "more near its end");
    }

    #[test]
    fn no_write_is_risked_where_reads_show_whether_it_answers() {
        let (mut set, forecast) = steady();
        set.watch(11.0, &sight(10.0, Some(10.0)));
        for n in 0..20 {
            let now = 11.0 + f64::from(n) / 4.0;
            set.took_place(A, false, now);
            assert_ne!(set.ask(&[(A, 9.0), (B, 0.0)], now, &forecast), Some(A), "{now}");
        }
    }

    #[test]
    fn one_slow_request_that_others_overtook_is_no_hang() {
        let (mut set, _) = steady();
        set.answered(A, Outcome::Ok, 10.2, 0.05);
        assert_eq!((set.is_owed(10.0), set.is_owed(10.3)), (false, true));
        set.answered(B, Outcome::Ok, 11.0, 0.05);
        set.answered(A, Outcome::Miss, 11.0, 0.05);
        assert!(set.is_owed(10.3), "neither another server nor a miss shows that it works");
    }

    #[test]
    fn another_process_knows_what_this_one_knew() {
        let (mut set, mut forecast) = steady();
        set.watch(11.0, &Sight { down: true, ..sight(10.0, Some(10.0)) });
        let news = set.news(A, 12.0);
        assert_eq!(news.change, Some((Change::Unplanned, 2.0)));
        let mut other = Set::default();
        other.recall(A, &news, 50.0);
        assert_eq!(other.phase(), Phase::Without { since: 48.0 });
        set.claims(B, 13.0, Some(12.9), 13.0, &mut forecast);
        other.claims(B, 51.0, Some(50.9), 51.0, &mut forecast);
        other.recall(A, &set.news(A, 13.0), 51.0);
        assert!(other.is_deposed(A));
        assert_eq!(other.claims(A, 52.0, Some(51.9), 52.0, &mut forecast), Ruling::Stale);
    }
}
