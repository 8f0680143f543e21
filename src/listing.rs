//! The server list as discovery and the configuration file word it.
//!
//! Owns the names of its fields and nothing else. It must never judge an entry.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// A list, or changes to it, as the service words them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    /// Version of the list.
    pub rev: u64,
    /// It is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The entries.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// An entry of the list. What a reader can do without may be absent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// The server's name, the same at every proxy and over restarts.
    pub uid: String,
    /// Where this proxy reaches it.
    pub endpoint: SocketAddr,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// What machine it is.
    #[serde(default)]
    pub model: String,
    /// Its group.
    #[serde(default)]
    pub pod_group: u64,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: String,
    /// Its size compared with the others'.
    pub capacity_hint: Option<f64>,
    /// When it last started, in Unix milliseconds; 0 for long ago.
    #[serde(default)]
    pub boot_ms: f64,
    /// `read-write` or `read-only`, where the list shows roles.
    pub mode: Option<String>,
}
