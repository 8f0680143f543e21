//! The client side: the listener, and one task for each connection.
//!
//! A connection reads simple queries, submits them to the driver and writes the final answers, complete and
//! in order. [`ClientService`] owns the listener's loop, the connections and the phases in which the process
//! leaves service. Each connection's task is spawned on the local set, ends with its connection, and logs its
//! error.

mod class_table;
mod connection;
mod connection_table;
mod inbound;
mod long_statement;
mod pause_detector;
mod query;
mod rejection_log;
mod request_ids;
mod service;
mod service_phase;
mod shared;
mod shutdown;
mod socket_share;
mod startup;

pub use class_table::NamedClass;
pub use service::{listen, ClientOptions, ClientService};
