//! Settings that apply to new requests, and the class table.
//!
//! The class table also keeps classes of earlier settings while requests in flight use them. A class of new
//! settings replaces an earlier class only if nothing uses the earlier class any more.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use super::request::NewRequest;
use crate::api::{Class, ClassId, Consistency, Idempotency, SessionTokens, Settings};

/// Rules for new requests. A class is stored at the index of its id.
pub(super) struct RequestRules {
    classes: Vec<Class>,
    max_attempts: u32,
    tracks_sessions: bool,
}

impl RequestRules {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            classes: settings.classes.clone(),
            max_attempts: settings.limits.max_attempts,
            tracks_sessions: settings.session_tokens == SessionTokens::Tracked,
        }
    }

    pub(super) fn max_attempts(&self) -> u32 {
        self.max_attempts
    }

    /// Returns the largest permitted age of the data that a request of this class reads; `None` without a
    /// bound.
    pub(super) fn staleness_bound(&self, class: ClassId) -> Option<Duration> {
        match self.consistency(class) {
            Some(Consistency::BoundedStaleness(bound)) => Some(bound),
            _ => None,
        }
    }

    /// Returns whether a request of this class is a read that a replica can serve only if its data is fresh
    /// enough.
    pub(super) fn needs_fresh_data(&self, class: ClassId) -> bool {
        match self.consistency(class) {
            Some(Consistency::BoundedStaleness(_) | Consistency::Causal | Consistency::Linearizable) => true,
            Some(Consistency::Write | Consistency::Eventual) | None => false,
        }
    }

    /// Returns the session of a write; `None` for a read, or if session tokens are not tracked.
    pub(super) fn writing_session(&self, request: &NewRequest) -> Option<Rc<str>> {
        let is_write = self.consistency(request.class) == Some(Consistency::Write);
        let is_tracked_write = self.tracks_sessions && is_write;
        request.session.as_deref().filter(|_| is_tracked_write).map(Rc::from)
    }

    /// Returns whether a request of this class may be executed more than once. An unknown class may not.
    pub(super) fn idempotency(&self, class: ClassId) -> Idempotency {
        self.classes.get(class.0).map_or(Idempotency::NonIdempotent, |class| class.idempotency)
    }

    fn consistency(&self, class: ClassId) -> Option<Consistency> {
        self.classes.get(class.0).map(|class| class.consistency)
    }

    /// Returns the longest deadline of any class in the table; zero without classes.
    pub(super) fn max_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Applies new settings. A class keeps the id at its index in `unchanged_ids`. A class with `None` there
    /// gets the lowest id that is not in `ids_in_use`. Returns the ids in the order of the classes.
    pub(super) fn apply(
        &mut self,
        settings: &Settings,
        unchanged_ids: &[Option<ClassId>],
        mut ids_in_use: HashSet<ClassId>,
    ) -> Vec<ClassId> {
        let mut ids = Vec::new();
        for (class, unchanged_id) in settings.classes.iter().zip(unchanged_ids) {
            let id = unchanged_id.unwrap_or_else(|| lowest_free_id(&ids_in_use));
            ids_in_use.insert(id);
            match self.classes.get_mut(id.0) {
                Some(slot) => *slot = class.clone(),
                None => self.classes.push(class.clone()),
            }
            ids.push(id);
        }
        self.max_attempts = settings.limits.max_attempts;
        self.tracks_sessions = settings.session_tokens == SessionTokens::Tracked;
        ids
    }

    /// Returns the settings with their classes replaced by the whole class table.
    pub(super) fn with_all_classes(&self, settings: Settings) -> Settings {
        Settings { classes: self.classes.clone(), ..settings }
    }
}

fn lowest_free_id(ids_in_use: &HashSet<ClassId>) -> ClassId {
    (0..).map(ClassId).find(|id| !ids_in_use.contains(id)).expect("a finite set leaves an id free")
}
