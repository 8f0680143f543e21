//! Messages between two processes of one proxy instance while both serve.

use std::time::Duration;

use super::ids::ServerId;

/// A message from the peer process, or a change in the state of the channel to it.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// The peer received a server's acknowledgement of a session's write.
    SessionWrite {
        /// Name of the session.
        session: String,
        /// Commit position of the write, in seconds on the engine's clock.
        commit: f64,
    },
    /// The endpoint list of the peer shows that a server drains or was removed.
    ServerWithdrawn(ServerId),
    /// `true` if the peer serves and its acknowledged writes can't be received; `false` once that has ended.
    PeerUnreachable(bool),
    /// This process was paused for this long. A peer that was started during the pause may serve unnoticed
    /// for as long again from now.
    ProcessPaused(Duration),
}
