//! One set of servers as changes of its primary see it: the parts of this module put together.
//!
//! Owns the set's claims, its phase, and the release that is under way; it turns evidence into inputs of the
//! state machine and answers where writes may go, whom to ask, and what to expect. It must never choose a
//! server for a read, and never let a write go to a primary that is suspected, drains or is deposed.

use super::{
    BufferRelease, ClaimVerdict, FailoverDurations, Phase, PhaseInput, PrimaryClaim, PrimaryTracker,
    RecoveryForecast, ResponseTimes, SilenceThreshold,
};
use crate::api::{FailoverKind, Outcome, ReplicaSetSnapshot, ServerId};

/// Time in s between two writes that ask members who the primary is, within a round.
const ASK_NEXT: f64 = 0.01;
/// A member that has owed an answer for so many s is not asked: what would be asked of it may hang with it.
pub(crate) const MAX_SILENCE_TO_ASK: f64 = 0.15;
/// Pauses in s between rounds of asking: as a rule, and once changes of the kind have been known to end.
const ASK_PAUSE: (f64, f64) = (0.1, 0.03);
/// Part of the shortest known change after which its end may be near.
const NEAR: f64 = 0.8;
/// Time in s between two reads that are sent to a silent primary to see whether it answers, and the first
/// pause before a write is; each further write waits twice as long.
const CANARY_EVERY: f64 = 0.25;
const TEST_FIRST: f64 = 0.6;
/// Silence past which it is no pause any more, in s and in bounds on silence, whichever is more: the primary
/// counts as lost, and others may be asked.
const PAUSE_MOST: (f64, f64) = (0.6, 1.4);

/// What is seen of the primary at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrimaryObservation {
    /// When it last answered.
    pub last_response: f64,
    /// When the oldest attempt was sent that it owes an answer to.
    pub oldest_unanswered: Option<f64>,
    /// It is taken to be down.
    pub is_down: bool,
    /// How long it may be silent.
    pub silence_threshold: SilenceThreshold,
    /// Writes that wait for it.
    pub queued_writes: usize,
}

/// Changes of its own from which on a set's forecast goes by these alone.
const OWN_LEAST: usize = 4;

/// A set.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaSet {
    /// How long its own changes took.
    own: FailoverDurations,
    primacy: PrimaryTracker,
    phase: Phase,
    release: BufferRelease,
    /// How long the primary takes to answer.
    pulse: ResponseTimes,
    /// Who was primary when the change that is under way began, and whether it was silent.
    before: Option<(ServerId, bool)>,
    /// The name of the phase at the last look.
    seen: &'static str,
    /// The last primary, where it drains or is gone.
    draining: Option<ServerId>,
    /// When the newest attempt was sent that the primary has served: what it owes from before that says
    /// nothing.
    overtaken: f64,
    /// When a read may next be sent to a silent primary, when a write, and how long the next write waits
    /// then.
    next_canary: f64,
    next_test: f64,
    test_pause: f64,
    /// Whom a write asks next while no primary is known, and when.
    cursor: Option<ServerId>,
    next_ask: f64,
}

impl Default for ReplicaSet {
    fn default() -> Self {
        Self {
            own: FailoverDurations::empty(),
            primacy: PrimaryTracker::default(),
            phase: Phase::default(),
            release: BufferRelease::default(),
            pulse: ResponseTimes::default(),
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

impl ReplicaSet {
    /// The primary, if one is known: it may be suspected or down.
    pub fn primary(&self) -> Option<ServerId> {
        self.primacy.primary()
    }

    /// How the set stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The server that writes may go to now.
    pub fn writable_primary(&self) -> Option<ServerId> {
        let claim = self.primacy.claim().filter(|claim| claim.lost.is_none() && self.phase.takes_writes());
        claim.map(|claim| claim.server)
    }

    /// Whether a server was primary and does not know that it is no longer: what it says of itself is stale.
    pub fn is_deposed(&self, server: ServerId) -> bool {
        self.primacy.is_deposed(server)
    }

    fn input(&mut self, input: PhaseInput) {
        let before = self.phase;
        self.phase = before.after(input);
        if before.takes_writes() && !self.phase.takes_writes() {
            let began = self.phase.began().unwrap_or(0.0) + TEST_FIRST;
            (self.next_ask, self.next_canary, self.next_test, self.test_pause) =
                (0.0, 0.0, began, TEST_FIRST);
        }
    }

    /// A server says that it is the primary; see [`Primacy::claims`].
    pub fn primary_claimed(
        &mut self,
        server: ServerId,
        at: f64,
        sent: Option<f64>,
        now: f64,
        forecast: &mut FailoverDurations,
    ) -> ClaimVerdict {
        let old = self.primacy.claim().copied();
        let ruling = self.primacy.claims(server, at, sent);
        match ruling {
            ClaimVerdict::Known => self.spoke(now),
            ClaimVerdict::Accepted => self.accepted(old, now, forecast),
            ClaimVerdict::Stale => {}
        }
        ruling
    }

    /// A primary that was silent answered.
    fn spoke(&mut self, now: f64) {
        match self.phase {
            Phase::Suspected { .. } => self.release = BufferRelease::to_known(now),
            Phase::Without { .. } if self.primacy.claim().is_some_and(|claim| claim.lost.is_none()) => {
                self.release = BufferRelease::new(now);
            }
            _ => return,
        }
        self.input(PhaseInput::Spoke);
    }

    /// The list names a server as the primary; see [`Primacy::listed`].
    pub fn primary_listed(
        &mut self,
        server: ServerId,
        now: f64,
        forecast: &mut FailoverDurations,
    ) -> ClaimVerdict {
        let old = self.primacy.claim().copied();
        let first = old.is_none() && self.primacy.epoch() == 0;
        let ruling = self.primacy.listed(server, now);
        match ruling {
            ClaimVerdict::Accepted if first => {}
            ClaimVerdict::Accepted => self.accepted(old, now, forecast),
            ClaimVerdict::Stale if self.writable_primary().is_none() => self.cursor = Some(server),
            _ => {}
        }
        ruling
    }

    fn accepted(&mut self, old: Option<PrimaryClaim>, now: f64, forecast: &mut FailoverDurations) {
        if let (Some(change), Some(began)) = (self.phase.change(), self.phase.began()) {
            forecast.record(change, now - began);
            self.own.record(change, now - began);
        }
        if let Some(old) = old {
            self.before = Some((old.server, old.lost.is_some()));
        }
        // One that stepped down by itself leaves no doubt of its successor.
        let doubted = self.phase.change() == Some(FailoverKind::Unplanned);
        self.release = if doubted { BufferRelease::new(now) } else { BufferRelease::after_handover(now) };
        // The first one that is ever heard of takes over from nobody.
        if self.primacy.epoch() > 1 || self.phase != Phase::Steady {
            self.input(PhaseInput::Claimed(now));
        }
        (self.cursor, self.draining) = (None, None);
    }

    /// A server says that it is no primary; `at` is when that was heard.
    pub fn primary_denied(&mut self, server: ServerId, at: f64) {
        if self.primacy.denies(server, at) {
            self.input(PhaseInput::Denied(at));
        }
    }

    /// A server was heard at `at`: what it says of its role, if anything. See [`Primacy::claims`].
    pub fn role_reported(
        &mut self,
        server: ServerId,
        primary: Option<bool>,
        at: f64,
        sent: Option<f64>,
        now: f64,
        forecast: &mut FailoverDurations,
    ) {
        match primary {
            Some(true) => {
                self.primary_claimed(server, at, sent, now, forecast);
            }
            Some(false) => self.primary_denied(server, at),
            None => {}
        }
    }

    /// A server answered what was sent to it at this time, so many seconds after. What the primary serves
    /// tells its pulse.
    pub fn response_received(&mut self, server: ServerId, outcome: Outcome, sent: f64, took: f64) {
        if outcome == Outcome::Success && self.primary() == Some(server) {
            self.pulse.record(took);
            self.overtaken = self.overtaken.max(sent);
        }
    }

    /// Whether the primary owes an answer to what was sent at this time, so that its silence says something.
    /// One slow request that others have overtaken is no sign of a hang.
    pub fn is_response_owed(&self, sent: f64) -> bool {
        sent > self.overtaken
    }

    /// A write that was sent to a server at this time has ended; `served` if by an answer. Gives the primary
    /// before it where that fell silent and this is the first one served since: what is still out there has
    /// no answer to come.
    pub fn write_ended(&mut self, server: ServerId, sent: f64, served: bool) -> Option<ServerId> {
        self.release.ended(sent, served);
        if !served || self.primacy.primary() != Some(server) {
            return None;
        }
        self.primacy.served(server);
        self.input(PhaseInput::Served);
        self.before.take().filter(|(_, silent)| *silent).map(|(before, _)| before)
    }

    /// A server drains, is out by hand or gone.
    pub fn server_withdrawn(&mut self, server: ServerId, now: f64, drains: bool) {
        if self.primacy.withdraw(server) {
            self.draining = Some(server);
            self.input(if drains { PhaseInput::Drains(now) } else { PhaseInput::Lost(now) });
        }
    }

    /// Drops what is known of servers that are no members any more. A primary that is none has gone.
    pub fn retain_members(&mut self, now: f64, is_member: impl Fn(ServerId) -> bool) {
        if let Some(gone) = self.primary().filter(|primary| !is_member(*primary)) {
            self.server_withdrawn(gone, now, false);
        }
        self.primacy.retain(is_member);
    }

    /// The server whose silence matters: the primary, or the one that drains.
    pub fn watched_primary(&self) -> Option<ServerId> {
        self.primary().or(self.draining)
    }

    /// Looks at [`Self::watched`]. To be called at each step, with what is seen of it. Gives the name of the
    /// phase where it is another since the last look.
    pub fn observe_primary(&mut self, now: f64, sight: &PrimaryObservation) -> Option<&'static str> {
        let oldest = sight.oldest_unanswered;
        // One that was never heard has been primary since its claim.
        let heard =
            self.primacy.claim().map_or(sight.last_response, |claim| claim.since.max(sight.last_response));
        let since = oldest.map_or(heard, |oldest| oldest.max(heard));
        let suspected =
            sight.silence_threshold.suspects_at(self.pulse, heard, oldest).is_some_and(|at| now >= at);
        let pulse = self.pulse;
        let pause = || PAUSE_MOST.0.max(PAUSE_MOST.1 * sight.silence_threshold.threshold_secs(pulse));
        if sight.is_down || (suspected && now - since > pause()) {
            self.primacy.lose(now);
            self.input(PhaseInput::Lost(since));
        } else if suspected {
            self.input(PhaseInput::Silent(since));
            if matches!(self.phase, Phase::Without { .. }) {
                self.primacy.lose(now); // a successor fell silent before it served
            }
        } else if self.primacy.find(heard) || self.phase.began().is_some_and(|began| heard > began) {
            self.spoke(now); // by an answer that tells no role
        } else if let (Phase::Suspected { since }, None) = (self.phase, oldest) {
            // All that it owed was given up: one write shows whether it answers again.
            if now - since > pause() {
                self.input(PhaseInput::Spoke);
                self.release = BufferRelease::new(now);
            }
        }
        if self.phase == Phase::Settling && (sight.queued_writes == 0 || self.release.is_done()) {
            self.input(PhaseInput::Settled);
        }
        let name = self.phase.name();
        (std::mem::replace(&mut self.seen, name) != name).then_some(name)
    }

    /// Whether one more write may go to the primary, as far as a release that is under way lets it.
    pub fn admits_write(&self) -> bool {
        !matches!(self.phase, Phase::TakingOver { .. } | Phase::Settling) || self.release.admits()
    }

    /// Whether the next place at the primary is for a read that needs it, while what was held goes out.
    pub fn is_read_turn(&self) -> bool {
        matches!(self.phase, Phase::Settling) && self.release.is_reads_turn()
    }

    /// A request went to a server; what goes to the primary takes a place of the release.
    pub fn attempt_sent(&mut self, server: ServerId, write: bool, now: f64) {
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
    pub fn is_releasing(&self) -> bool {
        !matches!(self.phase, Phase::Steady)
    }

    /// A silent primary to which a read may be sent to see whether it answers.
    pub fn canary_target(&self, now: f64) -> Option<ServerId> {
        let silent = matches!(self.phase, Phase::Suspected { .. } | Phase::Without { .. });
        self.primary().filter(|_| silent && now >= self.next_canary)
    }

    /// Whether a write may ask members now who the primary is.
    pub fn may_ask_for_primary(&self, now: f64) -> bool {
        let lost = self.primacy.claim().is_none_or(|claim| claim.lost.is_some());
        lost && now >= self.next_ask
    }

    /// Which of these members a write asks, in id order and round after round; a miss costs nothing. Each
    /// comes with the time in s for which it has owed an answer. None where the write has to wait. One that
    /// is silent is not asked, nor one that may not know that it was deposed, for it would take the write;
    /// the lost primary itself seldom, for the write's fate is at stake there.
    pub fn next_to_ask(
        &mut self,
        members: &[(ServerId, f64)],
        now: f64,
        forecast: &FailoverDurations,
    ) -> Option<ServerId> {
        if !self.may_ask_for_primary(now) {
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
            other && *silence < MAX_SILENCE_TO_ASK && self.primacy.may_be_asked(*m, now)
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
    fn known<'f>(&'f self, change: FailoverKind, all: &'f FailoverDurations) -> &'f FailoverDurations {
        if self.own.sample(change).len() >= OWN_LEAST {
            &self.own
        } else {
            all
        }
    }

    /// When the set takes writes again, if it takes none now and that is no mere pause. `forecast` is that of
    /// all sets.
    pub fn recovery_forecast<'f>(
        &'f self,
        now: f64,
        forecast: &'f FailoverDurations,
    ) -> Option<RecoveryForecast<'f>> {
        if self.writable_primary().is_some() || matches!(self.phase, Phase::Suspected { .. }) {
            return None;
        }
        // Before any change was seen, nobody knows a primary: as if one had just been lost.
        let change = self.phase.change().unwrap_or(FailoverKind::Unplanned);
        let elapsed = self.phase.began().map_or(0.0, |began| now - began);
        Some(self.known(change, forecast).forecast(change, elapsed))
    }

    /// What another process of this proxy must know of a server here.
    pub fn snapshot(&self, server: ServerId, now: f64) -> ReplicaSetSnapshot {
        let change = self.phase.change().zip(self.phase.began());
        ReplicaSetSnapshot {
            epoch: self.primacy.epoch(),
            deposed: self.primacy.is_deposed(server),
            failover: change.map(|(change, began)| (change, (now - began).max(0.0))),
        }
    }

    /// Takes over what another process knew.
    pub fn restore(&mut self, server: ServerId, news: &ReplicaSetSnapshot, now: f64) {
        self.primacy.recall_epoch(news.epoch);
        if news.deposed {
            self.primacy.recall_deposed(server, now);
        }
        let Some((change, lasted)) = news.failover.filter(|_| self.phase == Phase::Steady) else { return };
        if self.writable_primary().is_none() && lasted.is_finite() {
            let since = now - lasted.max(0.0);
            self.phase = match change {
                FailoverKind::Planned => Phase::HandingOver { since },
                FailoverKind::Unplanned => Phase::Without { since },
            };
        }
    }
}

#[cfg(test)]
mod tests;
