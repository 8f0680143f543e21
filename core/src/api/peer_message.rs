//! What two processes of one proxy instance tell each other while both serve.

use std::time::Duration;

use super::ids::ServerId;

/// A message from the peer process, or what is known of the channel to it.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// A write of a session was acknowledged.
    SessionWrite {
        /// The session.
        session: String,
        /// Its commit position in seconds.
        commit: f64,
    },
    /// The endpoint list says that a server drains or is removed.
    ServerWithdrawn(ServerId),
    /// Whether the peer serves and its acknowledged writes can't be received.
    PeerUnreachable(bool),
    /// This process was paused: for this long, a peer that was started meanwhile may serve unnoticed.
    ProcessPaused(Duration),
}
