//! Hot restart: a new process takes over the listener and the clients of the one that runs.
//!
//! [`frame`] holds the messages between the two processes, [`handover`] their sequence, and [`peer_channel`] the channel
//! on which both report acknowledged writes while both serve.

pub mod frame;
pub mod handover;
pub mod peer_channel;
