//! The client side of the proxy: the listener, and one task for each client connection.
//!
//! A connection task reads simple queries, submits them to the driver and writes the responses in order.
//! [`ClientService`] owns the accept loop, the connections and the service phase. Each connection task is
//! spawned on the local task set, ends with its connection, and logs the error that ended it.

mod class_table;
mod connection;
mod connection_table;
mod final_rejections;
mod inbound;
mod long_statement;
mod message_discarder;
mod message_reader;
mod pause_detector;
mod pipeline_overflow;
mod query;
mod query_counter;
mod rejections;
mod request_ids;
mod responses;
mod service;
mod service_phase;
mod shared;
mod shutdown;
mod socket_share;
mod startup;
mod statement_memory;
mod stream_guard;

pub use class_table::ConfiguredClass;
pub use service::{listen, ClientOptions, ClientService};
