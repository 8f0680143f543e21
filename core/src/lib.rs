//! Routing engine of pipittack: makes every decision of the proxy, without I/O.
//!
//! The caller passes events and the current time to [`RoutingEngine::step`] and executes the actions
//! that it emits. The types of events and actions are in [`api`]. Code in this crate must not do I/O,
//! read a clock, start a thread or block: `clippy.toml` lists the disallowed methods and types, and
//! CI fails if they are used.
#![forbid(unsafe_code)]
#![deny(clippy::disallowed_methods, clippy::disallowed_types)]

pub mod api;
mod concurrency_limit;
pub mod deduplication;
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
