//! Hot restart: a new process takes over the listener and the client connections of the running one.
//!
//! The running process (the predecessor) listens on a Unix socket ([`handover`]). A new process (the
//! successor) connects to this socket when it starts (`takeover`). The predecessor sends its listening
//! socket, so that no connection in the accept queue is lost, then its state (`state`), and then each client
//! connection that has no request in flight.
//!
//! Both processes exchange [`frame`]s, which `socket` reads and writes; `legacy` reads the messages of builds
//! before 0.2. While both processes serve, they divide the `shared_resources` and report acknowledged writes
//! to each other over a `peer_channel`. A table in `docs/design.md` lists the responsibilities of each
//! process.

mod error;
pub mod frame;
pub mod handover;
mod legacy;
mod peer_channel;
mod shared_resources;
mod socket;
mod state;
mod successor;
mod takeover;
#[cfg(test)]
mod test_support;

pub use frame::FrameError;
pub use shared_resources::SharedResources;
pub use state::{HandoverState, Hello};
pub use successor::Successor;
pub use takeover::{take_over_listener, Predecessor, PredecessorStatus};
