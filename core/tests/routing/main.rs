//! Tests of the routing engine through its public interface: routing, queueing, retries,
//! warm-up and outlier detection.

#[path = "../common/mod.rs"]
mod common;
mod endpoints;
mod outlier_detection;
mod queueing;
mod read_routing;
mod retries;
mod role_probes;
mod warm_up;
