//! The settings that apply to new requests, and the table of classes.
//!
//! The class table also keeps classes that only earlier requests use: a class of new settings takes the place
//! of another only where nothing uses that one any more.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use super::request::NewRequest;
use crate::api::{Class, ClassId, Consistency, SessionTokens, Settings};

/// Rules for new requests.
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

    /// How old the data may be that a request of this class reads, if the class bounds that.
    pub(super) fn staleness_bound(&self, class: ClassId) -> Option<Duration> {
        match self.consistency(class) {
            Some(Consistency::BoundedStaleness(bound)) => Some(bound),
            _ => None,
        }
    }

    /// The session whose write this request is, if sessions are tracked.
    pub(super) fn writing_session(&self, request: &NewRequest) -> Option<Rc<str>> {
        let is_write = self.consistency(request.class) == Some(Consistency::Write);
        let tracked = self.tracks_sessions && is_write;
        request.session.as_deref().filter(|_| tracked).map(Rc::from)
    }

    fn consistency(&self, class: ClassId) -> Option<Consistency> {
        self.classes.get(class.0).map(|class| class.consistency)
    }

    /// The longest deadline of any class in the table.
    pub(super) fn max_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Applies new settings. A class keeps the id that `kept` has in its place; each other class gets the
    /// lowest id that is not `in_use`. Returns the ids in the order of the classes.
    pub(super) fn apply(
        &mut self,
        settings: &Settings,
        kept: &[Option<ClassId>],
        mut in_use: HashSet<ClassId>,
    ) -> Vec<ClassId> {
        let mut ids = Vec::new();
        for (class, kept) in settings.classes.iter().zip(kept) {
            let id = kept.unwrap_or_else(|| lowest_free_id(&in_use));
            in_use.insert(id);
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

    /// The settings with the whole class table in place of their own classes.
    pub(super) fn with_all_classes(&self, settings: Settings) -> Settings {
        Settings { classes: self.classes.clone(), ..settings }
    }
}

fn lowest_free_id(in_use: &HashSet<ClassId>) -> ClassId {
    (0..).map(ClassId).find(|id| !in_use.contains(id)).expect("a finite set leaves an id free")
}
