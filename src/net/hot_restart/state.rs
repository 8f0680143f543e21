//! What a process and its successor tell each other as JSON, and its encoding.
//!
//! Holds no state. The serialized names are part of the protocol: builds of different versions read them.

use std::fmt;

use pipittack_core::api::StateSnapshot;
use serde::{Deserialize, Serialize};

use crate::endpoint_list::EndpointList;

/// Version of the protocol. A new optional field leaves it as it is; a changed meaning needs a new one.
const VERSION: u32 = 2;

/// JSON that this build cannot use.
#[derive(Debug, thiserror::Error)]
pub(super) enum StateError {
    #[error("invalid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the state has version {found}, and this build reads version {VERSION}")]
    UnsupportedVersion { found: u32 },
}

/// How a successor introduces itself. A process accepts only a hello that is equal to its own.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    version: u32,
    /// The proxy instance's name.
    name: String,
}

impl Hello {
    /// The hello of a process of this build, for the proxy instance of this name.
    pub fn new(name: &str) -> Self {
        Self { version: VERSION, name: name.to_owned() }
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

/// The state that a process hands over to its successor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    pub(super) version: u32,
    /// The zero of the process's clock, in Unix milliseconds.
    pub zero_unix_ms: f64,
    /// The endpoint list.
    #[serde(rename = "listing")]
    pub endpoint_list: Option<EndpointList>,
    /// The ids that the snapshot uses for servers, with the servers' names in the endpoint list.
    #[serde(rename = "names")]
    pub server_names: Vec<(u32, String)>,
    /// The routing engine's state.
    #[serde(rename = "heritage")]
    pub snapshot: StateSnapshot,
}

impl HandoverState {
    /// The state of a process of this build.
    pub fn new(
        zero_unix_ms: f64,
        endpoint_list: EndpointList,
        server_names: Vec<(u32, String)>,
        snapshot: StateSnapshot,
    ) -> Self {
        Self { version: VERSION, zero_unix_ms, endpoint_list: Some(endpoint_list), server_names, snapshot }
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
