//! A read/write splitting proxy for replicated database clusters.
//!
//! Every decision is made in the package `pipittack-core`, whose module is named here again. The proxy around it
//! is in [`net`].
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
