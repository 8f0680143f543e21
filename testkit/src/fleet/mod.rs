//! Trials of a fleet: many proxies, their data servers and the discovery service.
//!
//! A [`plan`] describes the fleet and its faults; a [`scenario`] is a plan as a script. [`server_model`],
//! [`replication`], [`discovery_model`] and [`link_faults`] are models without clock and I/O. [`site`] and
//! [`fleet_model`] combine them, and [`workload`] generates the clients' requests. [`simulation`] runs
//! routing engines against the models on virtual time, deterministic by a seed. [`process_trial`] runs
//! processes of the built program against the same models on loopback sockets. [`rule_checker`] checks the
//! service rules from what servers and the discovery service observe. The models do not depend on how a
//! routing engine decides.

pub mod discovery_model;
pub mod fleet_model;
pub mod link_faults;
pub mod plan;
pub mod process_trial;
pub mod replication;
pub mod report;
pub mod rule_checker;
pub mod scenario;
pub mod server_model;
pub mod simulation;
pub mod site;
pub mod workload;
