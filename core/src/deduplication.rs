//! Remembers the ids of requests that may have been executed, so that an id that comes again is not executed
//! again.
//!
//! A client may send a request again under the same id: after it has left and reconnected, or to the other
//! process of a hot restart. An idempotent request may simply run again, so its id is not stored. A request
//! with an idempotency key may run again while servers remember the key. Any other request must not run again
//! once it may have been executed.
//!
//! This module owns the ids. Its memory is bounded in entries, bytes and time; the oldest ids are forgotten
//! first. Times are on the caller's clock.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::api::{GroupId, Idempotency, KeyScope, RequestId};

/// Time for which an id is stored after its last attempt began.
const RETENTION: Duration = Duration::from_secs(60);
/// Largest number of ids.
const MAX_IDS: usize = 16 * 1024;
/// Upper bound of the size of all ids, in bytes, unless a lower one is set.
const MAX_BYTES: usize = 1 << 20;
/// Assumed size of an entry without its id, in bytes.
const ENTRY_BYTES: usize = 96;
/// Length in bytes of the longest id that is stored as it is. Of a longer one, two hashes are stored.
const MAX_PLAIN_ID_BYTES: usize = 128;
/// Start values of the two hashes of a long id.
const HASH_SEEDS: [u64; 2] = [0xcbf2_9ce4_8422_2325, 0x9e37_79b9_7f4a_7c15];
/// Factor of the FNV-1a hash.
const HASH_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Time that a process may be held up between the decision to send an attempt and the write.
const MAX_SEND_DELAY: Duration = Duration::from_millis(150);

/// Whether a request may be executed under an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPermission {
    /// No request with the id may have been executed, or executing it again does no harm.
    Allowed,
    /// The request may be sent until this time, after which servers forget the idempotency key.
    AllowedUntil(Duration),
    /// A request with the id may have been executed and must not run again.
    Denied,
}

/// Request that an attempt belongs to.
#[derive(Debug, Clone, Copy)]
pub struct RequestKey<'a> {
    /// Id that the client assigned.
    pub client_request_id: &'a str,
    /// Replica set that the request is for.
    pub group: GroupId,
    /// Whether the request may be executed more than once.
    pub idempotency: Idempotency,
}

/// Process whose request has an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Owner {
    /// The request with this id in this process.
    Request(RequestId),
    /// A request in another process of this proxy instance.
    Peer,
}

#[derive(Debug)]
struct Entry {
    owner: Owner,
    group: GroupId,
    /// Time at which the first attempt that may have been executed was sent.
    first_sent_at: Duration,
    last_sent_at: Duration,
    /// Attempts that may have been executed.
    executions: u32,
    /// Place of the id in the order of the last attempts.
    place: u64,
}

/// Ids of requests that may have been executed.
#[derive(Debug)]
pub struct DeduplicationTable {
    entries: HashMap<String, Entry>,
    /// Stored ids in the order of their last attempts.
    order: BTreeMap<u64, String>,
    next_place: u64,
    bytes: usize,
    max_bytes: usize,
}

impl Default for DeduplicationTable {
    fn default() -> Self {
        Self {
            entries: HashMap::new(),
            order: BTreeMap::new(),
            next_place: 0,
            bytes: 0,
            max_bytes: MAX_BYTES,
        }
    }
}

impl DeduplicationTable {
    /// Limits the size of all ids to `max_bytes`, if that is less than the limit so far.
    pub fn limit_bytes(&mut self, max_bytes: usize) {
        self.max_bytes = self.max_bytes.min(max_bytes);
    }

    /// Returns whether a new request may be executed under its id.
    pub fn permission(&self, key: RequestKey<'_>, now: Duration) -> RepeatPermission {
        match self.entries.get(&*stored_id(key.client_request_id)) {
            Some(entry) => entry.permission(key, now),
            None => RepeatPermission::Allowed,
        }
    }

    /// Records that an attempt of `request` is about to be written. Returns false if the attempt must not be
    /// written, because another request with the same id may have been executed.
    #[must_use]
    pub fn begin_attempt(&mut self, request: RequestId, key: RequestKey<'_>, now: Duration) -> bool {
        if key.idempotency == Idempotency::Idempotent {
            return true;
        }
        let owner = Owner::Request(request);
        let id = stored_id(key.client_request_id);
        if let Some(entry) = self.entries.get(&*id) {
            if entry.owner != owner && entry.permission(key, now) == RepeatPermission::Denied {
                return false;
            }
        }
        self.record(&id, owner, key.group, now);
        true
    }

    /// Records that an attempt of `request`, whose write had begun, was not executed.
    pub fn attempt_not_executed(&mut self, request: RequestId, client_request_id: &str) {
        let id = stored_id(client_request_id);
        let Some(entry) = self.entries.get_mut(&*id) else { return };
        if entry.owner != Owner::Request(request) {
            return;
        }
        entry.executions = entry.executions.saturating_sub(1);
        if entry.executions == 0 {
            self.remove(&id);
        }
    }

    /// Records that another process of this proxy instance may have executed a request with this id. Such an
    /// id is never executed again, since this process does not know until when servers remember its key.
    pub fn record_peer(&mut self, client_request_id: &str, now: Duration) {
        self.record(&stored_id(client_request_id), Owner::Peer, GroupId::default(), now);
    }

    /// Forgets ids that have been stored for long enough, and the oldest ids beyond the limits.
    pub fn expire(&mut self, now: Duration) {
        while let Some((_, oldest)) = self.order.first_key_value() {
            let is_expired =
                self.entries.get(oldest).is_none_or(|entry| now >= entry.last_sent_at + RETENTION);
            if !is_expired && self.order.len() <= MAX_IDS && self.bytes <= self.max_bytes {
                return;
            }
            let oldest = oldest.clone();
            self.remove(&oldest);
        }
    }

    /// Returns the stored ids, or the hashes of long ones, for [`Self::record_peer`] in another process of
    /// this proxy instance.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    /// Records an attempt that may be executed, as the newest one.
    fn record(&mut self, id: &str, owner: Owner, group: GroupId, now: Duration) {
        let mut entry = self.remove(id).unwrap_or(Entry {
            owner,
            group,
            first_sent_at: now,
            last_sent_at: now,
            executions: 0,
            place: 0,
        });
        entry.owner = owner;
        entry.last_sent_at = now;
        entry.executions += 1;
        entry.place = self.next_place;
        self.next_place += 1;
        self.bytes += entry_bytes(id);
        self.order.insert(entry.place, id.to_owned());
        self.entries.insert(id.to_owned(), entry);
        self.expire(now);
    }

    fn remove(&mut self, id: &str) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.order.remove(&entry.place);
        self.bytes -= entry_bytes(id);
        Some(entry)
    }
}

impl Entry {
    fn permission(&self, key: RequestKey<'_>, now: Duration) -> RepeatPermission {
        let (scope, window) = match key.idempotency {
            Idempotency::Idempotent => return RepeatPermission::Allowed,
            Idempotency::NonIdempotent => return RepeatPermission::Denied,
            Idempotency::WithKey { scope, window } => (scope, window),
        };
        let is_recognized = match scope {
            KeyScope::All => true,
            KeyScope::Group => self.group == key.group,
            KeyScope::Zone => false, // the zone of the first attempt's server is not stored
        };
        let forgotten_at = (self.first_sent_at + window).saturating_sub(MAX_SEND_DELAY);
        if self.owner != Owner::Peer && is_recognized && now < forgotten_at {
            RepeatPermission::AllowedUntil(forgotten_at)
        } else {
            RepeatPermission::Denied
        }
    }
}

/// Returns the form in which an id is stored: the id, or two hashes of a long one. The hashes do not depend
/// on the process, so that two processes recognize each other's ids.
pub fn stored_id(id: &str) -> Cow<'_, str> {
    if id.len() <= MAX_PLAIN_ID_BYTES {
        return Cow::Borrowed(id);
    }
    let hashes = HASH_SEEDS
        .map(|seed| id.bytes().fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME)));
    Cow::Owned(format!("{:016x}{:016x}:{}", hashes[0], hashes[1], id.len()))
}

fn entry_bytes(id: &str) -> usize {
    ENTRY_BYTES + 2 * id.len() // the id is stored twice
}

#[cfg(test)]
mod tests;
