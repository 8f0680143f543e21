//! Admission of large messages, whose buffers are reserved in steps as their bytes arrive.
//!
//! A step is admitted only if all large messages that have begun can still be completed, one after another, with
//! the buffers that are left (the banker's algorithm). Messages that each hold a part therefore never block each
//! other. Longer messages leave a part of the limit to shorter ones. Very long messages take their buffers out of the
//! same limit, all at once.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use super::pool::{BufferPool, WaitingGuard, MAX_SINGLE_SHARE};
use super::purpose::Purpose;
use super::reservation::BufferReservation;

/// Largest number of buffers in a step.
const STEP_BUFFERS: usize = 64;
/// Share of the pool that large and very long messages may fill together.
const MAX_COMMON_SHARE: f64 = MAX_SINGLE_SHARE;
/// Share of the pool that several large messages may fill together. A process keeps what it has reserved when it begins
/// to share the pool with a second one: with a larger share, both could exceed the pool.
const MAX_SHARE: f64 = 0.45;
/// Share of the pool that large messages may fill, whatever very long ones use.
const MIN_SHARE: f64 = 0.15;
/// Share of the pool that messages with all their buffers may fill, unless there is only one. More of them at a time
/// would exceed the queues of their data servers and be rejected, while they can be served one after another.
const MAX_COMPLETE_SHARE: f64 = 0.3;
/// Part of the limit that is left to messages of at most this length: one of so many.
const SHORT_FRACTION: usize = 8;

/// Buffers of a large message that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Claim {
    /// Buffers that were reserved.
    held: usize,
    /// Buffers that will still be reserved.
    missing: usize,
}

impl Claim {
    fn total(self) -> usize {
        self.held + self.missing
    }

    /// Returns the number of buffers that this message leaves to shorter ones.
    fn left_to_shorter(self, limits: Limits) -> usize {
        let part = limits.together / SHORT_FRACTION;
        if self.total() <= part {
            0
        } else {
            part
        }
    }

    /// Returns the number of buffers that all messages may hold after a step of this one, which may be the only one.
    fn limit(self, limits: Limits, is_alone: bool) -> usize {
        if is_alone {
            limits.alone
        } else {
            limits.together - self.left_to_shorter(limits)
        }
    }
}

/// Numbers of buffers that large messages may hold.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// Several messages together.
    together: usize,
    /// A message while there is no other one.
    alone: usize,
}

/// Identifies the claim of a large message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub(super) struct ClaimId(u64);

/// The large messages that are being received, and the very long one that waits for buffers.
#[derive(Default)]
pub(super) struct LargeMessages {
    claims: RefCell<BTreeMap<ClaimId, Claim>>,
    next_id: Cell<ClaimId>,
    /// Number of buffers for which a very long message waits.
    awaited_by_very_long: Cell<usize>,
}

impl LargeMessages {
    fn begin(&self, buffers: usize) -> ClaimId {
        let id = self.next_id.get();
        self.next_id.set(ClaimId(id.0 + 1));
        self.claims.borrow_mut().insert(id, Claim { held: 0, missing: buffers });
        id
    }

    fn claim(&self, id: ClaimId) -> Claim {
        *self.claims.borrow().get(&id).expect("a claim stays until its reservation is dropped")
    }

    fn set(&self, id: ClaimId, claim: Claim) {
        self.claims.borrow_mut().insert(id, claim);
    }

    /// Returns the number of buffers that the messages that have begun still need.
    fn missing(&self) -> usize {
        self.claims.borrow().values().filter(|claim| claim.held > 0).map(|claim| claim.missing).sum()
    }

    /// Returns the number of buffers that messages hold which still need others.
    fn held_by_incomplete(&self) -> usize {
        let claims = self.claims.borrow();
        claims.values().filter(|claim| claim.missing > 0).map(|claim| claim.held).sum()
    }

    /// Returns whether this message needs the fewest further buffers of those that have begun.
    fn is_closest_to_completion(&self, id: ClaimId) -> bool {
        let claims = self.claims.borrow();
        let begun = claims.iter().filter(|(_, claim)| claim.held > 0 && claim.missing > 0);
        begun.min_by_key(|(_, claim)| claim.missing).is_some_and(|(closest, _)| *closest == id)
    }

    /// Returns whether all messages that have begun can be completed one after another within their limits, also
    /// after a step of one of them.
    fn can_complete(&self, limits: Limits, step: Option<(ClaimId, Claim)>) -> bool {
        let mut claims = self.claims.borrow().clone();
        claims.extend(step);
        let mut begun: Vec<_> = claims.into_values().filter(|claim| claim.held > 0).collect();
        begun.sort_by_key(|claim| claim.missing + claim.left_to_shorter(limits));
        let mut held: usize = begun.iter().map(|claim| claim.held).sum();
        begun.iter().all(|claim| {
            let is_alone = held == claim.held;
            let completes = held + claim.missing <= claim.limit(limits, is_alone);
            held -= claim.held;
            completes
        })
    }
}

/// Records that a very long message waits for buffers, until it is dropped.
pub(super) struct AwaitedGuard<'a>(&'a LargeMessages);

impl<'a> AwaitedGuard<'a> {
    pub(super) fn new(messages: &'a LargeMessages, buffers: usize) -> Self {
        messages.awaited_by_very_long.set(buffers);
        Self(messages)
    }
}

impl Drop for AwaitedGuard<'_> {
    fn drop(&mut self) {
        self.0.awaited_by_very_long.set(0);
    }
}

impl BufferPool {
    /// Begins the reservation of `buffers` buffers for a large message. None of them is reserved yet. Returns `None`
    /// if the pool is too small for the message.
    pub fn begin_large_message(&self, buffers: usize) -> Option<BufferReservation> {
        let fits = buffers <= self.share_in_buffers(MAX_COMMON_SHARE);
        fits.then(|| BufferReservation::with_claim(self.clone(), self.large_messages().begin(buffers)))
    }

    /// Returns whether very long messages may use so many buffers beside the large ones.
    pub(super) fn admits_very_long(&self, buffers: usize) -> bool {
        let limits = self.large_limits(buffers);
        let has_room = self.reserved(Purpose::LargeMessage) <= limits.alone;
        has_room && self.large_messages().can_complete(limits, None)
    }

    pub(super) fn end_claim(&self, id: ClaimId) {
        self.large_messages().claims.borrow_mut().remove(&id);
        self.notify_waiting();
    }

    /// Reserves the next buffers of a claim. Returns their number, which is 0 if none are admitted now.
    fn reserve_step(&self, id: ClaimId) -> usize {
        let claim = self.large_messages().claim(id);
        let step = claim.missing.min(STEP_BUFFERS);
        if !self.admits_step(id, claim, step) {
            return 0;
        }
        self.large_messages().set(id, Claim { held: claim.held + step, missing: claim.missing - step });
        self.charge(Purpose::LargeMessage, step);
        step
    }

    fn admits_step(&self, id: ClaimId, claim: Claim, step: usize) -> bool {
        let reserved = self.reserved(Purpose::LargeMessage);
        let limits = self.large_limits(self.reserved(Purpose::VeryLongMessage));
        let messages = self.large_messages();
        if !messages.can_complete(limits, None) {
            // The limit was reduced for another process, below what has begun: that is completed one by one.
            return messages.is_closest_to_completion(id)
                && self.total_reserved() + step <= self.max_buffers();
        }
        let is_alone = reserved == claim.held;
        let after = Claim { held: claim.held + step, missing: claim.missing - step };
        let may_begin = claim.held > 0 || self.leaves_room_for_very_long(claim);
        let may_complete = after.missing > 0 || self.admits_complete(claim);
        may_begin
            && may_complete
            && reserved + step <= claim.limit(limits, is_alone)
            && self.total_reserved() + step <= self.share_in_buffers(1.0)
            && messages.can_complete(limits, Some((id, after)))
    }

    /// Returns whether a message may get its last buffers beside those that have them and have no response yet.
    fn admits_complete(&self, claim: Claim) -> bool {
        let complete = self.reserved(Purpose::LargeMessage) - self.large_messages().held_by_incomplete();
        complete == 0 || complete + claim.total() <= self.share_in_buffers(MAX_COMPLETE_SHARE)
    }

    /// Returns whether a very long message that waits gets its buffers once the present ones have ended, also if
    /// this message begins. Without this, large messages that follow each other could keep it waiting.
    fn leaves_room_for_very_long(&self, claim: Claim) -> bool {
        let awaited = self.large_messages().awaited_by_very_long.get();
        let reserved = self.reserved(Purpose::LargeMessage);
        let limit = self.large_limits(self.reserved(Purpose::VeryLongMessage) + awaited).together;
        awaited == 0 || reserved == 0 || reserved + self.large_messages().missing() + claim.total() <= limit
    }

    /// Returns the limits of large messages while very long ones use `very_long_buffers`.
    fn large_limits(&self, very_long_buffers: usize) -> Limits {
        let common = self.share_in_buffers(MAX_COMMON_SHARE);
        let alone = common.saturating_sub(very_long_buffers).max(self.share_in_buffers(MIN_SHARE));
        Limits { together: alone.min(self.share_in_buffers(MAX_SHARE)), alone }
    }
}

impl BufferReservation {
    /// Returns whether buffers of a large message are still to be reserved.
    pub fn has_further_steps(&self) -> bool {
        self.claim().is_some_and(|id| self.pool().large_messages().claim(id).missing > 0)
    }

    /// Reserves the next buffers of a large message without waiting. Returns false if none are admitted now.
    pub fn try_next_step(&mut self) -> bool {
        let Some(id) = self.claim() else { return false };
        let buffers = self.pool().reserve_step(id);
        self.add(buffers);
        buffers > 0
    }

    /// Waits until the next buffers of a large message are reserved.
    pub async fn next_step(&mut self) {
        let pool = self.pool().clone();
        let _waiting = WaitingGuard::new(&pool, Purpose::LargeMessage);
        loop {
            let released = pool.released(Purpose::LargeMessage).notified();
            if self.try_next_step() {
                return;
            }
            released.await;
        }
    }
}

#[cfg(test)]
mod tests;
