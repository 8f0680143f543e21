//! A read/write splitting proxy for replicated database clusters.
//!
//! The routing engine, which makes all routing decisions, is in the package `pipittack-core` and re-exported
//! here. The [`net`] module runs it on real sockets.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod endpoint_list;
pub mod net;
pub mod operator_settings;
pub mod settings;

pub use pipittack_core::{api, ewma, RoutingEngine};

/// Compiles the example in the README as a doc test.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
