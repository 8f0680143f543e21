//! The routing engine of pipittack: every decision of the proxy, without I/O.
//!
//! A caller feeds what it observed, with the time, to [`RoutingEngine::step`] and carries out the actions
//! that come back. The types of that exchange are in [`api`]. Nothing in here may do I/O, read a clock, start
//! a thread or wait: `clippy.toml` lists what that rules out, and CI fails where it is used.
#![forbid(unsafe_code)]
#![deny(clippy::disallowed_methods, clippy::disallowed_types)]

pub mod api;
mod concurrency_limit;
mod discovery_schedule;
pub mod ewma;
pub mod failover;
pub mod graceful_shutdown;
mod latency_estimate;
mod primary_read_admission;
mod request_cost;
mod routing;
mod server_throughput;
mod session_tokens;
mod throughput_fit;
mod time;

pub use routing::RoutingEngine;
