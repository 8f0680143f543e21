//! The proxy around the routing engine. All sockets are served by one thread.
//!
//! The client side ([`client`]) and the server side ([`server`]) communicate only through the [`driver`],
//! which steps the routing engine and carries out its actions. [`discovery`] receives the endpoint list,
//! [`admin`] serves the API for operators, and [`hot_restart`] hands over to a new process. [`postgres`]
//! implements the wire protocol, and [`buffers`] the buffer pool.

pub mod admin;
pub mod buffers;
pub mod client;
pub mod discovery;
pub mod driver;
pub mod hot_restart;
pub mod postgres;
pub mod server;
