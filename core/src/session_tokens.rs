//! What sessions have written, where this proxy is the one to remember it.
//!
//! A read of a session must see what the session has written. Where its reads don't bring the commit of its
//! last write, the proxy keeps it as the session's *mark* until every server has passed it. Marks are
//! forgotten, since memory is bounded, but never the promise: what was forgotten raises the *floor*, and a
//! session without a mark counts as having written at the floor. So a server that was not there while the
//! others passed a mark (a new one, one that comes back, one that the operators had out) gets no session read
//! before it tells that it has passed the floor too. A process starts with its floor at its start, for it
//! can't know what was written before. While another process of the same proxy serves as well and its marks
//! can't be heard, every session may have written just now.
//!
//! Owns marks and floor. It must never lower what a read must see, nor hold more than its bound in bytes.

use std::collections::BTreeMap;

/// Bytes of marks at the most, each counted as its session's name and a fixed part.
const BYTES_MOST: usize = 2 << 20;
const MARK_BYTES: usize = 64;

/// Marks and floor; times are positions in s.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct SessionTokenStore {
    marks: BTreeMap<String, f64>,
    bytes: usize,
    /// When this process began to serve, unless what was written before was handed over.
    start: Option<f64>,
    floor: f64,
    blind: bool,
}

impl SessionTokenStore {
    /// A process begins to serve; whatever was written before is unknown.
    pub fn start(&mut self, now: f64) {
        self.start.get_or_insert(now);
    }

    /// A write of a session was acknowledged with this commit.
    pub fn record_write(&mut self, session: String, commit: f64) {
        if !commit.is_finite() {
            return;
        }
        let bytes = session.len() + MARK_BYTES;
        match self.marks.entry(session) {
            std::collections::btree_map::Entry::Occupied(mut mark) => {
                let mark = mark.get_mut();
                *mark = mark.max(commit);
            }
            std::collections::btree_map::Entry::Vacant(place) => {
                place.insert(commit);
                self.bytes += bytes;
            }
        }
        if self.bytes > BYTES_MOST {
            self.forget_half();
        }
    }

    /// The position that a session's read must see which came at `now`.
    pub fn required_position(&self, session: Option<&str>, now: f64) -> f64 {
        if self.blind {
            return now;
        }
        let mark = session.and_then(|session| self.marks.get(session)).copied().unwrap_or(0.0);
        // A floor that lies ahead stands for whatever was written up to this moment.
        mark.max(self.floor().min(now))
    }

    /// All servers that may be read from have passed a position: what was committed by then matters no more
    /// to any of them, but would to one that comes later.
    pub fn forget_up_to(&mut self, position: f64) {
        let (mut floor, mut bytes) = (self.floor, self.bytes);
        self.marks.retain(|session, commit| {
            let kept = *commit > position;
            if !kept {
                floor = floor.max(*commit);
                bytes -= session.len() + MARK_BYTES;
            }
            kept
        });
        (self.floor, self.bytes) = (floor, bytes);
    }

    fn forget_half(&mut self) {
        let mut commits: Vec<f64> = self.marks.values().copied().collect();
        let middle = commits.len() / 2;
        let (_, median, _) = commits.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.forget_up_to(median);
    }

    /// Another process's floor takes the place of this one's start: what was written before is known. Without
    /// one, every session may have written just now.
    pub fn restore(&mut self, floor: Option<f64>, now: f64) {
        let floor = floor.filter(|floor| floor.is_finite()).unwrap_or(now).min(now);
        (self.start, self.floor) = (Some(0.0), self.floor.max(floor));
    }

    /// Whether another process serves whose marks can't be heard. What it acknowledged meanwhile stays
    /// unknown.
    pub fn set_peer_unreachable(&mut self, blind: bool, now: f64) {
        if std::mem::replace(&mut self.blind, blind) {
            self.floor = self.floor.max(now);
        }
    }

    /// Up to `until`, another process may serve that was not heard yet.
    pub fn distrust_until(&mut self, until: f64) {
        self.floor = self.floor.max(until);
    }

    /// What a session without a mark must see.
    pub fn floor(&self) -> f64 {
        self.floor.max(self.start.unwrap_or(0.0))
    }

    /// What another process of this proxy must know: the floor, and the marks above it.
    pub fn snapshot(&self) -> (f64, impl Iterator<Item = (&str, f64)>) {
        let floor = self.floor();
        (
            floor,
            self.marks.iter().filter(move |m| *m.1 > floor).map(|(session, mark)| (session.as_str(), *mark)),
        )
    }
}

#[cfg(test)]
mod tests;
