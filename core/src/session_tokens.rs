//! Stores session tokens for clients whose reads don't carry one.
//!
//! A read of a session must see the session's writes. The session token is the commit position of the
//! session's last write. It is stored until every server has applied that position.
//!
//! Memory is bounded, so tokens are evicted, but the guarantee still holds: the eviction of a token raises
//! the *session floor*, and a session without a token counts as having written at the floor. A server that
//! was absent while the others passed a token (a new server, or one that returns to service) therefore
//! serves no session read before it reports a position beyond the floor. Initially the floor is the start of
//! the process, because earlier writes are unknown. While another process of this proxy instance serves
//! clients but can't be reached, any session may just have written, so every session read must see all
//! writes up to its arrival.
//!
//! This module owns the tokens and the floor. Invariants: the floor never falls, except when a restored floor
//! replaces the start of the process, and the size of the tokens stays within its limit. Positions are commit
//! times, in seconds on the engine's clock.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// Upper bound of the size of all tokens, in bytes, unless a lower one is set.
const MAX_BYTES: usize = 2 << 20;
/// Assumed size of a token without the name of its session, in bytes.
const TOKEN_BYTES: usize = 64;

/// Session tokens and the session floor.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SessionTokenStore {
    /// Commit position of the last write of each session.
    tokens: BTreeMap<String, f64>,
    bytes: usize,
    max_bytes: usize,
    /// Time at which this process began to serve; 0 after the floor of another process was restored. `None`
    /// before the process serves.
    started_at: Option<f64>,
    floor: f64,
    is_peer_unreachable: bool,
}

/// State that is passed to another process of the proxy instance.
pub(crate) struct SessionTokenSnapshot<Tokens> {
    /// Session floor.
    pub floor: f64,
    /// Sessions with a token above the floor, and their tokens.
    pub tokens: Tokens,
}

impl Default for SessionTokenStore {
    fn default() -> Self {
        Self {
            tokens: BTreeMap::new(),
            bytes: 0,
            max_bytes: MAX_BYTES,
            started_at: None,
            floor: 0.0,
            is_peer_unreachable: false,
        }
    }
}

impl SessionTokenStore {
    /// Limits the size of all tokens to `max_bytes`, if that is less than the limit so far.
    pub fn limit_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = self.max_bytes.min(max_bytes);
        self.enforce_limit();
    }

    fn enforce_limit(&mut self) {
        if self.bytes > self.max_bytes {
            self.evict_older_half();
        }
    }

    /// Records that the process begins to serve. Later calls have no effect.
    pub fn start(&mut self, now: f64) {
        self.started_at.get_or_insert(now);
    }

    /// Records the commit position of an acknowledged write of a session. A token never falls. A position
    /// that is not finite is ignored.
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
        self.enforce_limit();
    }

    /// Returns the position that a server must have applied to serve a read that arrived at `now`. `session`
    /// is `None` if the read belongs to no known session.
    pub fn required_position(&self, session: Option<&str>, now: f64) -> f64 {
        if self.is_peer_unreachable {
            return now;
        }
        let token = session.and_then(|session| self.tokens.get(session)).copied().unwrap_or(0.0);
        // A floor in the future requires all writes up to `now`.
        token.max(self.floor().min(now))
    }

    /// Evicts the tokens up to a position, and raises the floor to the highest evicted token. If
    /// every server has applied the position, the floor matters only for servers that are added or
    /// that return to service later.
    pub fn evict_up_to(&mut self, position: f64) {
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

    fn evict_older_half(&mut self) {
        let mut positions: Vec<f64> = self.tokens.values().copied().collect();
        let middle = positions.len() / 2;
        let (_, median, _) = positions.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.evict_up_to(median);
    }

    /// Restores the floor of another process in place of the start of this process. Without a floor, any
    /// session may have written until `now`, so the floor becomes `now`.
    pub fn restore(&mut self, floor: Option<f64>, now: f64) {
        let floor = floor.filter(|floor| floor.is_finite()).unwrap_or(now).min(now);
        self.started_at = Some(0.0);
        self.floor = self.floor.max(floor);
    }

    /// Sets whether another process of this proxy instance serves clients but can't be reached.
    /// The writes that it acknowledged in the meantime remain unknown, so the floor rises to `now`
    /// at the end of that state.
    pub fn set_peer_unreachable(&mut self, is_unreachable: bool, now: f64) {
        let was_unreachable = std::mem::replace(&mut self.is_peer_unreachable, is_unreachable);
        if was_unreachable {
            self.floor = self.floor.max(now);
        }
    }

    /// Raises the floor to `until`. Another process, whose writes are unknown, may serve clients until then.
    pub fn raise_floor_to(&mut self, until: f64) {
        self.floor = self.floor.max(until);
    }

    /// Returns the session floor: the position that a read of a session without a token must see.
    pub fn floor(&self) -> f64 {
        self.floor.max(self.started_at.unwrap_or(0.0))
    }

    /// Returns the state to pass to another process of this proxy instance.
    pub fn snapshot(&self) -> SessionTokenSnapshot<impl Iterator<Item = (&str, f64)>> {
        let floor = self.floor();
        let above_floor = self.tokens.iter().filter(move |(_, token)| **token > floor);
        let tokens = above_floor.map(|(session, token)| (session.as_str(), *token));
        SessionTokenSnapshot { floor, tokens }
    }
}

/// Returns the assumed size of the token of a session, in bytes.
fn token_bytes(session: &str) -> usize {
    session.len() + TOKEN_BYTES
}

#[cfg(test)]
mod tests;
