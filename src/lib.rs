//! A read/write splitting proxy for replicated database clusters, and the decision module inside it.
//!
//! The module does no I/O: a gateway feeds what it observed to [`Gateway::step`] and carries out the actions
//! that come back. The types of that exchange are in [`interface`], every decision in [`decide`]. The proxy
//! around it is in [`net`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decide;
mod estimate;
pub mod interface;
pub mod net;
pub mod settings;
mod state;

pub use decide::Gateway;

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
