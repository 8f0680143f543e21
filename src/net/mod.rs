//! The proxy around the routing engine. All sockets are served by one thread.
//!
//! The client side ([`client`]) and the server side ([`server`]) communicate only through the [`driver`],
//! which steps the routing engine and carries out its actions. [`discovery`] receives the endpoint list,
//! [`admin`] serves the API for operators, and [`hot_restart`] hands over to a new process. [`postgres`]
//! implements the wire protocol, and [`buffers`] the buffer pool. [`turn`] bounds what a task does for one peer
//! before all other tasks run, and [`log_limit`] how often a peer can cause a log line.
//! [`retry`] repeats interrupted system calls.

pub mod admin;
pub mod buffers;
pub mod client;
pub mod discovery;
pub mod driver;
pub mod hot_restart;
pub mod log_limit;
pub mod postgres;
pub mod retry;
pub mod server;
pub mod turn;
