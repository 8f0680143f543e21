//! A read/write splitting proxy for replicated database clusters.
//!
//! The routing engine, which makes all decisions, is in the package `pipittack-core` and re-exported here. The
//! proxy around it is in [`net`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoint_list;
pub mod net;
pub mod operator_settings;
pub mod settings;

pub use pipittack_core::{api, ewma, RoutingEngine};

/// The README's example, compiled as a test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
