//! Hot restart: a new process takes over the listener and the client connections of the running one.
//!
//! The running process, the predecessor, listens on a Unix socket ([`handover`]). A new process, its
//! successor, connects there when it starts (`predecessor`). The successor gets the listening socket, so
//! that no connection in the accept queue is lost, then the state (`state`), and then each client
//! connection that has no request in flight. Both send [`frame`]s over `socket` helpers; `legacy` reads
//! what builds before 0.2 send. While both serve, they divide `shared_resources` and report acknowledged
//! writes to each other over a `peer_channel`. `docs/design.md` has the table of what each process is
//! responsible for.

mod error;
pub mod frame;
pub mod handover;
mod legacy;
mod peer_channel;
mod predecessor;
mod shared_resources;
mod socket;
mod state;
mod successor;
#[cfg(test)]
mod test_support;

pub use frame::FrameError;
pub use predecessor::{inherit, Predecessor, PredecessorStatus};
pub use shared_resources::SharedResources;
pub use state::{HandoverState, Hello};
pub use successor::Successor;
