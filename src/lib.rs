//! Decisions of a read/write splitter for replicated database clusters, without I/O.
//!
//! A gateway feeds what it observed to [`Gateway::step`] and carries out the actions that come back. The
//! types of that exchange are in [`interface`], every decision in [`decide`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decide;
mod estimate;
pub mod interface;
pub mod settings;
mod state;

pub use decide::Gateway;

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
