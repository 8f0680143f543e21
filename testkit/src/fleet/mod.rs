//! Trials of a fleet: many proxies, their data servers and the discovery service.
//!
//! A [`plan`] describes the fleet and its faults. A [`scenario`] describes a plan as text.
//! [`server_model`], [`replication`], [`discovery_model`] and [`link_faults`] are models without a clock and
//! I/O. [`backends`] and [`fleet_model`] combine the models, and [`workload`] generates the clients' requests.
//! [`simulation`] runs routing engines against the models in virtual time; a seed determines its result.
//! [`process_trial`] runs processes of the built program against the same models over loopback sockets.
//! [`rule_checker`] checks the service rules against the observations of the servers, the clients and the
//! discovery service. The models are independent of the decisions of a routing engine.

pub mod backends;
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
pub mod workload;
