//! Test kit of pipittack: stand-ins for data servers and the discovery service, a client, a checker of
//! writes, and trials.
//!
//! The stand-ins and the client run on loopback addresses. The proxy never depends on this crate.
#![forbid(unsafe_code)]

pub mod client;
pub mod closing_stream;
pub mod discovery_server;
pub mod failover_trial;
pub mod fleet;
pub mod proxy_process;
pub mod replica_set;
pub mod scripted_discovery;
pub mod scripted_server;
pub mod wire;
pub mod write_checker;
