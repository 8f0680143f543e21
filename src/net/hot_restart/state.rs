//! JSON payloads of a hot restart: the successor's hello and the predecessor's state.
//!
//! The serialized names are part of the handover protocol, which builds of different versions share.

use std::fmt;

use pipittack_core::api::StateSnapshot;
use serde::{Deserialize, Serialize};

use super::peer_channel::KnownPackets;
use crate::endpoint_list::EndpointList;

/// Version of the handover protocol. A new optional field keeps the version; a changed meaning requires a new
/// version.
const VERSION: u32 = 2;

/// Reason why a payload could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub(super) enum StateError {
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("unsupported state version {found}: this build supports version {VERSION}")]
    UnsupportedVersion { found: u32 },
}

/// First payload that a successor sends. A predecessor accepts only a hello of its own version and proxy
/// instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    version: u32,
    /// Name of the proxy instance.
    name: String,
    /// Whether the sender knows packets with ids of requests on the peer channel.
    #[serde(rename = "executed", default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) knows_request_ids: bool,
    /// Whether the sender knows packets with roles of data servers on the peer channel.
    #[serde(rename = "roles", default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) knows_roles: bool,
}

impl Hello {
    /// Creates the hello of this build for the proxy instance `name`.
    pub fn new(name: &str) -> Self {
        Self { version: VERSION, name: name.to_owned(), knows_request_ids: false, knows_roles: false }
    }

    /// States that the sender knows packets with ids of requests on the peer channel.
    #[must_use]
    pub fn with_request_ids(self) -> Self {
        Self { knows_request_ids: true, ..self }
    }

    /// States that the sender knows packets with roles of data servers on the peer channel.
    #[must_use]
    pub fn with_roles(self) -> Self {
        Self { knows_roles: true, ..self }
    }

    /// Returns the packets of the peer channel that the sender can decode.
    pub(super) fn known_packets(&self) -> KnownPackets {
        KnownPackets { request_ids: self.knows_request_ids, roles: self.knows_roles }
    }

    /// Returns whether the sender of `other` has the same version and proxy instance.
    pub(super) fn matches(&self, other: &Self) -> bool {
        self.version == other.version && self.name == other.name
    }

    pub(super) fn encode(&self) -> Result<Vec<u8>, StateError> {
        Ok(serde_json::to_vec(self)?)
    }

    pub(super) fn decode(payload: &[u8]) -> Result<Self, StateError> {
        Ok(serde_json::from_slice(payload)?)
    }
}

impl fmt::Display for Hello {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (protocol version {})", self.name, self.version)
    }
}

/// State that a process hands over to its successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    pub(super) version: u32,
    /// Zero of the predecessor's clock, in Unix milliseconds.
    pub zero_unix_ms: f64,
    /// Endpoint list; `None` from a build before 0.2, or after this process has taken it.
    #[serde(rename = "listing")]
    pub endpoint_list: Option<EndpointList>,
    /// Server ids that the snapshot uses, with the names of the servers in the endpoint list.
    #[serde(rename = "names")]
    pub server_names: Vec<(u32, String)>,
    /// State of the routing engine.
    #[serde(rename = "heritage")]
    pub snapshot: StateSnapshot,
    /// Ids of the requests that the predecessor may have executed; `None` from a build that does not know
    /// packets with such ids either.
    #[serde(rename = "executed", skip_serializing_if = "Option::is_none")]
    pub executed_ids: Option<Vec<String>>,
    /// Whether the predecessor knows packets with roles of data servers on the peer channel.
    #[serde(rename = "roles", skip_serializing_if = "std::ops::Not::not")]
    pub knows_roles: bool,
}

impl HandoverState {
    /// Creates the state that this process hands over.
    pub fn new(
        zero_unix_ms: f64,
        endpoint_list: EndpointList,
        server_names: Vec<(u32, String)>,
        snapshot: StateSnapshot,
    ) -> Self {
        Self {
            version: VERSION,
            zero_unix_ms,
            endpoint_list: Some(endpoint_list),
            server_names,
            snapshot,
            executed_ids: None,
            knows_roles: false,
        }
    }

    /// Adds the ids of the requests that this process may have executed.
    #[must_use]
    pub fn with_executed_ids(self, ids: Vec<String>) -> Self {
        Self { executed_ids: Some(ids), ..self }
    }

    /// States that this process knows packets with roles of data servers on the peer channel.
    #[must_use]
    pub fn with_roles(self) -> Self {
        Self { knows_roles: true, ..self }
    }

    /// Returns the packets of the peer channel that the predecessor can decode.
    pub(super) fn known_packets(&self) -> KnownPackets {
        KnownPackets { request_ids: self.executed_ids.is_some(), roles: self.knows_roles }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    pub(super) fn decode(payload: &[u8]) -> Result<Self, StateError> {
        let state: Self = serde_json::from_slice(payload)?;
        match state.version {
            VERSION => Ok(state),
            found => Err(StateError::UnsupportedVersion { found }),
        }
    }
}

#[cfg(test)]
mod tests;
