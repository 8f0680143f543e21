//! State that a process hands over to its successor in a hot restart.
//!
//! The serialized field names belong to the handover format, which other builds read and write.

use serde::{Deserialize, Serialize};

/// Whether the former primary handed over its role or was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailoverKind {
    /// The primary handed over its role.
    Planned,
    /// The primary died, hung or was partitioned.
    Unplanned,
}

/// Failover state of a replica set. It is stored with each server of the set, because snapshots have no entry
/// for the set itself.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ReplicaSetSnapshot {
    /// Epoch of the replica set: the number of primaries that it has had.
    pub epoch: u64,
    /// Whether the server was the primary and may not know of its deposition.
    pub deposed: bool,
    /// Kind of the failover in progress and its duration so far in seconds; `None` if there is none.
    #[serde(rename = "change")]
    pub failover: Option<(FailoverKind, f64)>,
}

/// State of one server. Times are seconds on the sender's clock.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerSnapshot {
    /// Numeric id of the server.
    pub server: u32,
    /// Last reported replication position; `None` if the server reported none.
    pub position: Option<f64>,
    /// Time of the server's last response; 0 if it never responded.
    #[serde(rename = "heard")]
    pub last_response: f64,
    /// Whether the sender regards the server as the primary; `false` if the server never responded.
    pub primary: bool,
    /// Time at which the server last reported that it is a replica; `None` if it has not, or has become the
    /// primary since.
    pub replica_at: Option<f64>,
    /// Time at which the server's process started; `None` if unknown.
    pub started: Option<f64>,
    /// Remaining work, in average requests, that the server may be sent while it warms up.
    #[serde(rename = "budget")]
    pub warm_up_budget: f64,
    /// Concurrency limit of the server, in attempts; `None` if the sender did not include it.
    #[serde(rename = "window")]
    pub concurrency_limit: Option<f64>,
    /// Time at which the server went down, and whether its process was found dead; `None` if the server is
    /// up.
    pub down: Option<(f64, bool)>,
    /// Failover state of the server's replica set.
    #[serde(rename = "news")]
    pub replica_set: ReplicaSetSnapshot,
}

/// State that a process hands over to its successor. Times are seconds on the sender's clock.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StateSnapshot {
    /// Replication position that reads of sessions without a token must see; `None` if the sender knows
    /// nothing about sessions.
    #[serde(rename = "floor")]
    pub session_floor: Option<f64>,
    /// Sessions that wrote recently, each with the commit position of its last write in seconds.
    #[serde(rename = "marks")]
    pub session_tokens: Vec<(String, f64)>,
    /// State of each known server.
    pub servers: Vec<ServerSnapshot>,
}

impl StateSnapshot {
    /// Shifts all times by `offset_secs`, to a clock whose zero lies that many seconds before that of the
    /// sender's clock.
    pub fn shift_times(&mut self, offset_secs: f64) {
        if let Some(floor) = &mut self.session_floor {
            *floor += offset_secs;
        }
        for (_, token) in &mut self.session_tokens {
            *token += offset_secs;
        }
        for server in &mut self.servers {
            server.shift_times(offset_secs);
        }
    }
}

impl ServerSnapshot {
    fn shift_times(&mut self, offset_secs: f64) {
        self.last_response += offset_secs;
        for time in [&mut self.position, &mut self.replica_at, &mut self.started].into_iter().flatten() {
            *time += offset_secs;
        }
        if let Some((since, _)) = &mut self.down {
            *since += offset_secs;
        }
    }
}
