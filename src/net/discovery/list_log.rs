//! The parts of the log line that says which endpoint list the proxy holds, and since when.

use std::fmt;

use crate::api::{Endpoint, EndpointState};

/// Source and extent of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ListSource {
    /// The complete list, from the discovery service.
    Full,
    /// The entries that have changed, from the discovery service.
    Changes,
    /// The complete list, from the configuration or from the predecessor.
    Cached,
}

impl fmt::Display for ListSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full => "full",
            Self::Changes => "changes",
            Self::Cached => "cached",
        })
    }
}

/// Number of a list's entries in each state.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(super) struct StateCounts {
    healthy: usize,
    draining: usize,
    removed: usize,
}

impl StateCounts {
    /// Counts the entries of a list.
    pub(super) fn of(entries: &[Endpoint]) -> Self {
        let mut counts = Self::default();
        for entry in entries {
            match entry.state {
                EndpointState::Healthy => counts.healthy += 1,
                EndpointState::Draining => counts.draining += 1,
                EndpointState::Removed => counts.removed += 1,
            }
        }
        counts
    }
}

impl fmt::Display for StateCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ready={} draining={} gone={}", self.healthy, self.draining, self.removed)
    }
}
