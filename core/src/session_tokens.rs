//! Stores the session tokens of sessions whose reads don't carry one.
//!
//! A session's read must see what the session has written. The token is the commit position of the session's
//! last write. It is stored until every server has passed it.
//!
//! Memory is bounded, so tokens are dropped, but the guarantee is kept: dropping a token raises the *session
//! floor*, and a session without a token counts as having written at the floor. So a server that was absent
//! while the others passed a token (a new one, or one that returns) serves no session read before it reports
//! a position beyond the floor. The floor of a process begins at its start, because earlier writes are
//! unknown. While another process of this proxy instance serves and can't be reached, any session may have
//! written a moment ago.
//!
//! Owns the tokens and the floor. Invariants: the floor never falls, unless a restored floor replaces the
//! start of the process, and the size of the tokens stays within its limit. Positions are commit times, in
//! seconds on the engine's clock.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// Upper bound of the size of all tokens, in bytes.
const MAX_BYTES: usize = 2 << 20;
/// Size that a token counts for beside its session's name, in bytes.
const TOKEN_BYTES: usize = 64;

/// The session tokens and the session floor.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct SessionTokenStore {
    /// The position of each session's last write.
    tokens: BTreeMap<String, f64>,
    bytes: usize,
    /// When this process began to serve; zero if it has restored another process's floor.
    started_at: Option<f64>,
    floor: f64,
    is_peer_unreachable: bool,
}

/// The state that another process of the proxy instance needs.
pub(crate) struct SessionTokenSnapshot<Tokens> {
    /// The session floor.
    pub floor: f64,
    /// The sessions with a token above the floor, and the tokens.
    pub tokens: Tokens,
}

impl SessionTokenStore {
    /// The process begins to serve. Later calls have no effect.
    pub fn start(&mut self, now: f64) {
        self.started_at.get_or_insert(now);
    }

    /// A session's write was acknowledged with this commit position. Tokens never fall; a position that is
    /// not finite is ignored.
    pub fn record_write(&mut self, session: String, position: f64) {
        if !position.is_finite() {
            return;
        }
        let bytes = token_bytes(&session);
        match self.tokens.entry(session) {
            Entry::Occupied(mut entry) => {
                let token = entry.get_mut();
                *token = token.max(position);
            }
            Entry::Vacant(entry) => {
                entry.insert(position);
                self.bytes += bytes;
            }
        }
        if self.bytes > MAX_BYTES {
            self.forget_older_half();
        }
    }

    /// The position that a read which arrived at `now` must see.
    pub fn required_position(&self, session: Option<&str>, now: f64) -> f64 {
        if self.is_peer_unreachable {
            return now;
        }
        let token = session.and_then(|session| self.tokens.get(session)).copied().unwrap_or(0.0);
        // A floor in the future stands for all writes up to now.
        token.max(self.floor().min(now))
    }

    /// Drops the tokens up to a position that every server has passed, and raises the floor to the highest of
    /// them, for servers that are added later.
    pub fn forget_up_to(&mut self, position: f64) {
        let mut floor = self.floor;
        let mut bytes = self.bytes;
        self.tokens.retain(|session, token| {
            let is_retained = *token > position;
            if !is_retained {
                floor = floor.max(*token);
                bytes -= token_bytes(session);
            }
            is_retained
        });
        self.floor = floor;
        self.bytes = bytes;
    }

    fn forget_older_half(&mut self) {
        let mut positions: Vec<f64> = self.tokens.values().copied().collect();
        let middle = positions.len() / 2;
        let (_, median, _) = positions.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.forget_up_to(median);
    }

    /// Restores another process's floor in place of this process's start. Without a floor, any session may
    /// have written until `now`.
    pub fn restore(&mut self, floor: Option<f64>, now: f64) {
        let floor = floor.filter(|floor| floor.is_finite()).unwrap_or(now).min(now);
        self.started_at = Some(0.0);
        self.floor = self.floor.max(floor);
    }

    /// Sets whether another process serves that can't be reached. What it has acknowledged in the meantime
    /// stays unknown, so the floor rises to `now` when that ends.
    pub fn set_peer_unreachable(&mut self, is_unreachable: bool, now: f64) {
        let was_unreachable = std::mem::replace(&mut self.is_peer_unreachable, is_unreachable);
        if was_unreachable {
            self.floor = self.floor.max(now);
        }
    }

    /// Until this time, another process may serve whose writes are unknown.
    pub fn distrust_until(&mut self, until: f64) {
        self.floor = self.floor.max(until);
    }

    /// The session floor: the position that a session without a token must see.
    pub fn floor(&self) -> f64 {
        self.floor.max(self.started_at.unwrap_or(0.0))
    }

    /// The state that another process of this proxy instance needs.
    pub fn snapshot(&self) -> SessionTokenSnapshot<impl Iterator<Item = (&str, f64)>> {
        let floor = self.floor();
        let above_floor = self.tokens.iter().filter(move |(_, token)| **token > floor);
        let tokens = above_floor.map(|(session, token)| (session.as_str(), *token));
        SessionTokenSnapshot { floor, tokens }
    }
}

/// The size that a session's token counts for.
fn token_bytes(session: &str) -> usize {
    session.len() + TOKEN_BYTES
}

#[cfg(test)]
mod tests;
