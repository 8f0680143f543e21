//! The endpoint list as discovery reports it.

use std::time::Duration;

use super::ids::{GroupId, MachineKindId, ServerId, ZoneId};

/// What the endpoint list says of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Healthy,
    /// Completes what it has; nothing new may be sent.
    Draining,
    /// No longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// The zone it runs in.
    pub zone: ZoneId,
    /// The kind of its machine.
    pub machine_kind: MachineKindId,
    /// The replica set it belongs to.
    pub group: GroupId,
    /// The list names it as the primary.
    pub listed_primary: bool,
    /// State of its process.
    pub state: EndpointState,
    /// Its capacity compared with the others'.
    pub relative_capacity: f64,
    /// When its process last started, where that was not long ago.
    pub started_at: Option<Duration>,
}

/// A message from discovery.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// A watch event: the entries that changed.
    Changes(Vec<Endpoint>),
    /// The complete list.
    Full(Vec<Endpoint>),
    /// The complete list as an earlier run of this instance cached it.
    Cached(Vec<Endpoint>),
    /// A poll failed or the watch broke.
    Failed,
}
