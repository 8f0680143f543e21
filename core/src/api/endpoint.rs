//! The endpoint list as discovery reports it.

use std::time::Duration;

use super::ids::{GroupId, MachineKindId, ServerId, ZoneId};

/// State of a server's process in the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// The server accepts requests.
    Healthy,
    /// The server completes its requests in progress and must not be sent new ones.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// Entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Server that the entry describes.
    pub server: ServerId,
    /// Zone that the server runs in.
    pub zone: ZoneId,
    /// Kind of the server's machine. The engine does not use it.
    pub machine_kind: MachineKindId,
    /// Replica set that the server belongs to.
    pub group: GroupId,
    /// Whether the list names the server as the primary.
    pub listed_primary: bool,
    /// State of the server's process.
    pub state: EndpointState,
    /// Capacity of the server relative to the other servers.
    pub relative_capacity: f64,
    /// Time at which the server's process last started; `None` if the start is unknown or long ago.
    pub started_at: Option<Duration>,
}

/// Update from discovery.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// Watch event with the entries that changed.
    Changes(Vec<Endpoint>),
    /// The complete list.
    Full(Vec<Endpoint>),
    /// The complete list as an earlier process of this proxy instance cached it.
    Cached(Vec<Endpoint>),
    /// A poll failed or the watch broke.
    Failed,
}
