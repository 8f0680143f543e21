//! Discovery: receives the endpoint list over HTTP/1.1, by polls and watches.
//!
//! The [`EndpointRegistry`] stores the list and the ids of its servers. [`run`] polls or watches the
//! discovery service on command of the routing engine, and reports each update or failure to the driver.

mod client;
mod error;
mod http;
mod list_log;
mod registry;
mod response;

pub use client::run;
pub use error::DiscoveryError;
pub use http::{parse_chunk_size, parse_response_head, BodyFraming, ResponseHead};
pub use registry::{EndpointRegistry, RegistryUpdate, SharedEndpointRegistry};
