//! The endpoint list in the form of discovery and the configuration file.
//!
//! This is the one place that knows the names of the list's fields; they become the proxy's own terms here.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A complete endpoint list, or the entries that changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EndpointList {
    /// Revision of the list.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// Whether the list is complete.
    #[serde(default, rename = "all")]
    pub complete: bool,
    /// The entries.
    #[serde(default, rename = "targets")]
    pub endpoints: Vec<ListedEndpoint>,
}

/// An entry of the list. Fields with a default may be absent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedEndpoint {
    /// The server's name: the same at every proxy and over restarts.
    #[serde(rename = "uid")]
    pub name: String,
    /// The address at which this proxy reaches the server.
    #[serde(rename = "endpoint")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(default, rename = "az")]
    pub zone: String,
    /// The kind of its machine.
    #[serde(default, rename = "model")]
    pub machine_kind: String,
    /// Its replica set.
    #[serde(default, rename = "pod_group")]
    pub group: u64,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: String,
    /// Its capacity compared with the others'.
    #[serde(rename = "capacity_hint")]
    pub relative_capacity: Option<f64>,
    /// When its process last started, in Unix milliseconds; 0 for long ago.
    #[serde(default, rename = "boot_ms")]
    pub started_unix_ms: f64,
    /// `read-write` or `read-only`, where the list shows roles.
    #[serde(rename = "mode")]
    pub role: Option<String>,
}
