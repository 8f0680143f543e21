//! The JSON format of the endpoint list, as the discovery service and the configuration file have it.
//!
//! Only this module knows the format's field names. The Rust fields have the proxy's own terms as names.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A complete endpoint list, or the entries of a list that have changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether this is the complete list; `false` for changes.
    #[serde(default, rename = "all")]
    pub complete: bool,
    /// Entries of the list.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// Entry of an endpoint list: one data server. Optional fields and those with a default may be absent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// Name of the server, which is the same for all proxy instances and does not change at a restart.
    #[serde(rename = "uid")]
    pub name: String,
    /// Address at which this proxy instance connects to the server.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Name of the server's zone.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// Name of the server's machine kind.
    #[serde(default, rename = "model")]
    pub machine_kind: String,
    /// Number of the server's replica set.
    #[serde(default, rename = "pod_group")]
    pub group: u64,
    /// State of the server's process: `Ready`, `Terminating` or `Gone`.
    pub state: String,
    /// Capacity relative to the other servers; `None` means 1.
    #[serde(rename = "capacity_hint")]
    pub relative_capacity: Option<f64>,
    /// Unix time of the last start of the server's process, in milliseconds; 0 if it was long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_unix_ms: f64,
    /// Role of the server, `read-write` or `read-only`; `None` if the list does not contain roles.
    #[serde(rename = "mode")]
    pub role: Option<String>,
}
