//! Messages between two processes of one proxy instance while both serve.

use std::time::Duration;

use super::ids::ServerId;

/// A message from the peer process, a change in the state of the channel to it, or a pause of this process.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// The peer received a server's acknowledgement of a session's write.
    SessionWrite {
        /// Name of the session.
        session: String,
        /// Commit position of the write, in seconds on the engine's clock.
        commit: f64,
    },
    /// A server told the peer its role.
    RoleReported {
        /// Server that reported its role.
        server: ServerId,
        /// Whether the server reported that it is the primary.
        is_primary: bool,
    },
    /// The endpoint list of the peer shows that a server drains or was removed.
    ServerWithdrawn(ServerId),
    /// `true` if the peer serves but can't be reached, so that its acknowledged writes are unknown here;
    /// `false` once the peer no longer counts as unreachable.
    PeerUnreachable(bool),
    /// This process was paused. A peer that was started during the pause may serve unnoticed for this long
    /// from now.
    ProcessPaused(Duration),
}
