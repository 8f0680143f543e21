//! Every decision of pipittack, and what it is told and answers.
//!
//! A caller feeds what it observed, with the time, to [`Gateway::step`] and carries out the actions that come
//! back. The types of that exchange are in [`interface`], the choice of servers, retries and refusals in
//! [`decide`]. Nothing in here may do I/O, read a clock, start a thread or wait: `clippy.toml` names what that
//! rules out, and CI fails where it is used.
#![forbid(unsafe_code)]
#![deny(clippy::disallowed_methods, clippy::disallowed_types)]

pub mod decide;
pub mod estimate;
pub mod failover;
pub mod farewell;
pub mod heritage;
pub mod interface;
mod pace;
mod relief;
mod scout;
mod sessions;
mod state;
mod subscription;
mod window;
mod work;

pub use decide::Gateway;
