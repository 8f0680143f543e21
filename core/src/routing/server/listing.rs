//! Tracks whether the endpoint list and the operators permit attempts to a server.
//!
//! Owns the parts of the server's entry in the endpoint list that permit or forbid attempts or name a role.

use crate::api::{Endpoint, EndpointState, Settings};

/// Effect of a server's removal from the endpoint list on further attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum RemovalRule {
    /// A removed server may still be used unless it was withdrawn before, for example by draining.
    MayServe,
    /// A removed server must not be used.
    MustNotServe,
}

impl RemovalRule {
    /// Returns the rule that the settings define.
    pub fn from_settings(settings: &Settings) -> Self {
        if settings.rules.removed_may_serve {
            Self::MayServe
        } else {
            Self::MustNotServe
        }
    }
}

/// State of a server in the endpoint list, and whether operators have taken it out of service.
#[derive(Default)]
pub(in crate::routing) struct Listing {
    is_listed: bool,
    /// The server drains, or was removed and its removal forbids attempts.
    is_withdrawn: bool,
    is_out_of_service: bool,
    is_listed_primary: bool,
}

impl Listing {
    /// Returns whether the endpoint list contains the server.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns whether the endpoint list names the server as the primary.
    pub fn is_listed_primary(&self) -> bool {
        self.is_listed_primary
    }

    /// Returns whether operators have taken the server out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.is_out_of_service
    }

    /// Returns whether the endpoint list or the operators forbid new attempts to the server.
    pub fn is_closed(&self) -> bool {
        self.is_withdrawn || self.is_out_of_service
    }

    /// Marks the server as not listed, before a complete endpoint list is applied.
    pub fn mark_unlisted(&mut self) {
        self.is_listed = false;
    }

    /// Applies the state of the server's entry in the endpoint list.
    pub fn apply_state(&mut self, state: EndpointState, removal: RemovalRule) {
        let is_removed = state == EndpointState::Removed;
        self.is_listed = !is_removed;
        let must_not_serve = is_removed && (self.is_withdrawn || removal == RemovalRule::MustNotServe);
        self.is_withdrawn = must_not_serve || state == EndpointState::Draining;
    }

    /// Applies the role of the server's entry in the endpoint list.
    pub fn apply_role(&mut self, entry: &Endpoint) {
        self.is_listed_primary = entry.listed_primary;
    }

    /// Forbids new attempts until a later entry of the endpoint list permits them.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// Records that operators took the server out of service.
    pub fn take_out_of_service(&mut self) {
        self.is_out_of_service = true;
    }

    /// Records that operators returned the server to service.
    pub fn return_to_service(&mut self) {
        self.is_out_of_service = false;
    }
}
