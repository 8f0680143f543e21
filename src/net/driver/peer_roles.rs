//! Roles of data servers that this process and its peer tell each other while both serve.
//!
//! A role is told when it is first known and whenever it changes. What the peer has told is kept until its state is
//! restored, which is older.

use std::collections::BTreeMap;

use crate::api::{PeerMessage, ServerId};

/// Roles that were sent to the present peer, and those that it has sent.
#[derive(Default)]
pub(super) struct PeerRoles {
    /// Whether each server is the primary, as last sent.
    sent: BTreeMap<ServerId, bool>,
    /// Last report of each server that the peer has sent, in the order of arrival.
    received: Vec<(ServerId, bool)>,
}

impl PeerRoles {
    /// Records that a server has reported its role to this process. Returns whether the peer has to be told.
    pub(super) fn is_news(&mut self, server: ServerId, is_primary: bool) -> bool {
        self.sent.insert(server, is_primary) != Some(is_primary)
    }

    /// Records a role that the peer has sent.
    pub(super) fn record_received(&mut self, server: ServerId, is_primary: bool) {
        self.received.retain(|(known, _)| *known != server);
        self.received.push((server, is_primary));
    }

    /// Returns the roles that the peer has sent, in the order of arrival.
    pub(super) fn received(&self) -> Vec<PeerMessage> {
        let message = |(server, is_primary): &(ServerId, bool)| PeerMessage::RoleReported {
            server: *server,
            is_primary: *is_primary,
        };
        self.received.iter().map(message).collect()
    }
}
