//! Kinds of faults that a failover trial injects.

use serde::{Deserialize, Serialize};

/// Fault that a round injects into a replica set. The serialized names are used in reports and by the flag
/// `--only`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FaultKind {
    /// The primary's process is paused. A replica is promoted, and the former primary returns as a replica.
    #[serde(rename = "hang")]
    PrimaryPaused,
    /// The primary's process crashes. A replica is promoted, and the former primary returns as a replica.
    #[serde(rename = "death")]
    PrimaryCrash,
    /// The primary's network fails in both directions. A replica is promoted, and the former primary returns
    /// as a replica.
    #[serde(rename = "cut")]
    NetworkPartition,
    /// A planned switchover, which discovery announces late.
    #[serde(rename = "switch")]
    Switchover,
    /// Discovery announces that the primary is draining. The primary hands over to a replica, exits and
    /// returns as a replica.
    #[serde(rename = "drain")]
    DrainingSwitchover,
    /// The draining primary is paused before it has handed over.
    #[serde(rename = "hang_in_drain")]
    PauseWhileDraining,
    /// The primary becomes unreachable and is replaced. After a while it is reachable again and reports for
    /// some time that it is the primary.
    #[serde(rename = "false_primary")]
    StalePrimary,
    /// As `StalePrimary`, but the former primary is reachable again as soon as its successor is promoted, so
    /// that two members report that they are the primary.
    #[serde(rename = "two_claims")]
    ConcurrentPrimaries,
    /// The new primary crashes shortly after its promotion.
    #[serde(rename = "successor_dies")]
    SuccessorCrash,
    /// The primary is paused briefly and not replaced.
    #[serde(rename = "pause")]
    ShortPause,
    /// The primary is paused and replaced while discovery sends nothing.
    #[serde(rename = "list_silent")]
    DiscoverySilent,
    /// The primary is paused and replaced, and the proxy is upgraded by hot restart before the promotion.
    #[serde(rename = "upgrade")]
    ProxyUpgrade,
}

impl FaultKind {
    /// All kinds of faults. A trial shuffles a copy of this array with its seed, so the order affects its
    /// rounds.
    pub const ALL: [Self; 12] = [
        Self::PrimaryPaused,
        Self::PrimaryCrash,
        Self::NetworkPartition,
        Self::Switchover,
        Self::DrainingSwitchover,
        Self::PauseWhileDraining,
        Self::StalePrimary,
        Self::ConcurrentPrimaries,
        Self::SuccessorCrash,
        Self::ShortPause,
        Self::DiscoverySilent,
        Self::ProxyUpgrade,
    ];

    /// Returns the serialized name.
    pub fn name(self) -> String {
        let value = serde_json::to_value(self).ok();
        value.and_then(|value| value.as_str().map(str::to_owned)).unwrap_or_default()
    }
}

impl std::str::FromStr for FaultKind {
    type Err = serde_json::Error;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        serde_json::from_value(serde_json::Value::from(name))
    }
}
