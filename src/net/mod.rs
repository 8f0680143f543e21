//! The proxy around the routing engine: real sockets, one thread.
//!
//! Clients ([`client`]) and data servers ([`server`]) meet only in the [`driver`], which asks the routing engine what to
//! do. [`discovery`] keeps the endpoint list, [`admin`] answers operators, and [`hot_restart`] replaces the process.

pub mod admin;
pub mod buffers;
pub mod client;
pub mod discovery;
pub mod driver;
pub mod hot_restart;
pub mod postgres;
pub mod server;
