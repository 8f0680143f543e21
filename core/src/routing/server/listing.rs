//! Whether a server may be sent attempts, by the endpoint list and by the operators.
//!
//! Owns the server's entry in the endpoint list, as far as it permits attempts or names a role.

use crate::api::{Endpoint, EndpointState, Settings};

/// Whether removal from the endpoint list forbids further attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::routing) enum RemovalRule {
    /// A removed server may still be used, unless it was draining.
    MayServe,
    /// A removed server must not be used.
    MustNotServe,
}

impl RemovalRule {
    /// The rule that the settings state.
    pub fn from_settings(settings: &Settings) -> Self {
        if settings.rules.removed_may_serve {
            Self::MayServe
        } else {
            Self::MustNotServe
        }
    }
}

/// A server's entry in the endpoint list, and what operators say of the server.
#[derive(Default)]
pub(in crate::routing) struct Listing {
    is_listed: bool,
    /// Listed as draining, or removed where that forbids attempts.
    is_withdrawn: bool,
    is_out_of_service: bool,
    is_listed_primary: bool,
}

impl Listing {
    /// Whether the endpoint list has the server.
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Whether the endpoint list names it as the primary.
    pub fn is_listed_primary(&self) -> bool {
        self.is_listed_primary
    }

    /// Whether operators have it out of service.
    pub fn is_out_of_service(&self) -> bool {
        self.is_out_of_service
    }

    /// Whether it takes no new attempts, by the endpoint list or by the operators.
    pub fn is_closed(&self) -> bool {
        self.is_withdrawn || self.is_out_of_service
    }

    /// A complete endpoint list begins: what it doesn't name is not listed.
    pub fn unlist(&mut self) {
        self.is_listed = false;
    }

    /// Takes over the state of an entry.
    pub fn apply_state(&mut self, state: EndpointState, removal: RemovalRule) {
        let is_removed = state == EndpointState::Removed;
        self.is_listed = !is_removed;
        let must_not_serve = is_removed && (self.is_withdrawn || removal == RemovalRule::MustNotServe);
        self.is_withdrawn = must_not_serve || state == EndpointState::Draining;
    }

    /// Takes over the role of an entry.
    pub fn apply_role(&mut self, entry: &Endpoint) {
        self.is_listed_primary = entry.listed_primary;
    }

    /// It takes no new attempts until the endpoint list names it again.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// Operators took it out of service.
    pub fn take_out_of_service(&mut self) {
        self.is_out_of_service = true;
    }

    /// Operators returned it to service.
    pub fn return_to_service(&mut self) {
        self.is_out_of_service = false;
    }
}
