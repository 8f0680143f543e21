//! The faults that a trial injects.

use serde::{Deserialize, Serialize};

/// What happens to a replica set in a round. Serialized names are those of the trial's flags and reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FaultKind {
    /// The primary's process is paused; it is replaced and comes back as a replica.
    #[serde(rename = "hang")]
    PrimaryPaused,
    /// The primary's process crashes.
    #[serde(rename = "death")]
    PrimaryCrash,
    /// The primary is cut off in both directions.
    #[serde(rename = "cut")]
    NetworkPartition,
    /// A planned handover, which discovery announces late.
    #[serde(rename = "switch")]
    Switchover,
    /// Discovery announces that the primary drains, and it hands over.
    #[serde(rename = "drain")]
    DrainingSwitchover,
    /// The primary drains, and is paused before it has handed over.
    #[serde(rename = "hang_in_drain")]
    PauseWhileDraining,
    /// The primary is replaced, comes back and reports for a while that it is the primary.
    #[serde(rename = "false_primary")]
    StalePrimary,
    /// The same, and it comes back when its successor is promoted: two report that they are the primary.
    #[serde(rename = "two_claims")]
    ConcurrentPrimaries,
    /// The new primary crashes during the failover.
    #[serde(rename = "successor_dies")]
    SuccessorCrash,
    /// The primary is paused for a moment and not replaced.
    #[serde(rename = "pause")]
    ShortPause,
    /// The primary is paused and replaced while discovery sends nothing.
    #[serde(rename = "list_silent")]
    DiscoverySilent,
    /// The primary is paused and replaced, and the proxy is upgraded meanwhile.
    #[serde(rename = "upgrade")]
    ProxyUpgrade,
}

impl FaultKind {
    /// All kinds, in the order from which a trial draws.
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

    /// The serialized name.
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
