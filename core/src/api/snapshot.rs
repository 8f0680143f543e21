//! The state that a process hands over to its successor in a hot restart.
//!
//! The serialized field names are those of the hand-over format, which other builds read and write.

use serde::{Deserialize, Serialize};

/// Kinds of failover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailoverKind {
    /// The primary handed over.
    Planned,
    /// It died, hung or was partitioned.
    Unplanned,
}

/// What is known of the failovers of a server's replica set.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ReplicaSetSnapshot {
    /// The epoch: how many primaries the set has had.
    pub epoch: u64,
    /// The server was deposed and is not known to have noticed.
    pub deposed: bool,
    /// A failover under way: its kind, and how many seconds it has lasted.
    #[serde(rename = "change")]
    pub failover: Option<(FailoverKind, f64)>,
}

/// What is known of one server; times are in seconds on the sender's clock.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerSnapshot {
    /// The server.
    pub server: u32,
    /// Its last reported replication position.
    pub position: Option<f64>,
    /// When it last responded.
    #[serde(rename = "heard")]
    pub last_response: f64,
    /// It was the primary when it last responded.
    pub primary: bool,
    /// When it reported that it is a replica, if that was its last report.
    pub replica_at: Option<f64>,
    /// When its process started, as far as that is known.
    pub started: Option<f64>,
    /// The work that it may still be sent while it warms up.
    #[serde(rename = "budget")]
    pub warm_up_budget: f64,
    /// Its concurrency limit.
    #[serde(rename = "window")]
    pub concurrency_limit: Option<f64>,
    /// Since when it gives no responses, and whether its process was seen to be dead.
    pub down: Option<(f64, bool)>,
    /// The failovers of its replica set.
    #[serde(rename = "news")]
    pub replica_set: ReplicaSetSnapshot,
}

/// All that the successor of a process must know.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StateSnapshot {
    /// The position that reads of sessions without a token must see; `None` where nothing is known of
    /// sessions.
    #[serde(rename = "floor")]
    pub session_floor: Option<f64>,
    /// The last commit of each session that wrote recently.
    #[serde(rename = "marks")]
    pub session_tokens: Vec<(String, f64)>,
    /// The servers.
    pub servers: Vec<ServerSnapshot>,
}

impl StateSnapshot {
    /// Moves its times to a clock whose zero lies `offset_secs` before the sender's.
    pub fn shift(&mut self, offset_secs: f64) {
        if let Some(floor) = &mut self.session_floor {
            *floor += offset_secs;
        }
        for (_, token) in &mut self.session_tokens {
            *token += offset_secs;
        }
        for server in &mut self.servers {
            server.shift(offset_secs);
        }
    }
}

impl ServerSnapshot {
    fn shift(&mut self, offset_secs: f64) {
        self.last_response += offset_secs;
        for time in [&mut self.position, &mut self.replica_at, &mut self.started].into_iter().flatten() {
            *time += offset_secs;
        }
        if let Some((since, _)) = &mut self.down {
            *since += offset_secs;
        }
    }
}
