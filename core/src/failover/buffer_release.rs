//! How what was held goes out: a single write first, which proves the new primary; then a few, and more with
//! each answer, until its window is the only bound again.
//!
//! Owns the pace of one set's release, and the count of its writes that are out. It must never keep reads
//! that need the primary out until all writes are through.

/// Writes that may be out once the primary has answered one, and further ones for each answer.
const FIRST: u32 = 4;
const GROWTH: u32 = 2;
/// Answers after which only the window counts.
const DONE: u32 = 24;
/// Of so many places that a release gives out, one is for a read.
const READ_EVERY: u32 = 4;

/// A release under way.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct BufferRelease {
    /// When it began, in s.
    began: f64,
    answered: u32,
    out: u32,
    places: u32,
}

impl BufferRelease {
    /// One that begins with a single write.
    pub fn new(now: f64) -> Self {
        Self { began: now, ..Self::default() }
    }

    /// One to a successor that nobody contests.
    pub fn after_handover(now: f64) -> Self {
        Self { answered: 1, ..Self::new(now) }
    }

    /// One to a primary that has proved itself before, and was only silent.
    pub fn to_known(now: f64) -> Self {
        Self { answered: DONE, ..Self::new(now) }
    }

    /// A write that was sent at this time has ended; `served` if by an answer.
    pub fn ended(&mut self, sent: f64, served: bool) {
        if sent >= self.began {
            self.out = self.out.saturating_sub(1);
            self.answered += u32::from(served);
        }
    }

    /// Whether the primary has proved itself so far that its window alone counts.
    pub fn is_done(&self) -> bool {
        self.answered >= DONE
    }

    /// Whether one more write may go out, as far as the release goes; the window is another bound.
    pub fn admits(&self) -> bool {
        let most = if self.answered == 0 { 1 } else { FIRST.saturating_add(GROWTH * self.answered) };
        self.is_done() || self.out < most
    }

    /// A request went to the primary.
    pub fn took_place(&mut self, write: bool) {
        self.out += u32::from(write);
        self.places = self.places.wrapping_add(1);
    }

    /// Whether the next place is for a read that needs the primary.
    pub fn is_reads_turn(&self) -> bool {
        self.answered > 0 && self.places % READ_EVERY == READ_EVERY - 1
    }
}

#[cfg(test)]
mod tests;
