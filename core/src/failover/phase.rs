//! The state machine of one replica set's primary.
//!
//! Defines which phase follows which on what input, and owns no other state. Time alone never changes the
//! phase: the caller watches the clock and passes an input when a timeout expires. Times are seconds on the
//! engine's clock.

use crate::api::FailoverKind;

/// The state of a replica set's primary.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Phase {
    /// A primary takes writes, and no failover is in progress.
    #[default]
    Steady,
    /// The primary has been silent for too long: writes are buffered until it responds.
    Suspected {
        /// When its silence began.
        since: f64,
    },
    /// The primary drains, and no server has claimed to be its successor.
    Draining {
        /// When the drain was reported.
        since: f64,
    },
    /// The primary has stepped down by itself, and no successor is known.
    HandingOver {
        /// When the failover began.
        since: f64,
    },
    /// The primary is lost, and no successor is known.
    NoPrimary {
        /// When the last primary's silence began.
        since: f64,
    },
    /// A server has claimed to be the primary, and has served no write yet.
    TakingOver {
        /// When the failover began.
        since: f64,
    },
    /// The primary serves writes, and the buffered ones are being released.
    Releasing,
}

/// An input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PhaseInput {
    /// The primary has been silent for longer than the failure detector allows, since this time.
    ResponseOverdue(f64),
    /// The primary responded.
    Responded,
    /// The primary started to drain at this time.
    DrainStarted(f64),
    /// The primary reported at this time that it is no primary.
    RoleDenied(f64),
    /// The primary counts as down or was removed; its silence began at this time.
    Lost(f64),
    /// Another server's claim to be the primary was accepted at this time.
    ClaimAccepted(f64),
    /// The primary served a write.
    WriteServed,
    /// The buffered writes were released.
    ReleaseCompleted,
}

impl Phase {
    /// The phase that follows on an input.
    pub fn after(self, input: PhaseInput) -> Self {
        use PhaseInput::{
            ClaimAccepted, DrainStarted, Lost, ReleaseCompleted, Responded, ResponseOverdue, RoleDenied,
            WriteServed,
        };
        let began_at = self.failover_began_at();
        match (self, input) {
            (Self::Steady | Self::Releasing, ResponseOverdue(since)) => Self::Suspected { since },
            // A successor that fails before it has served a write: the same failover goes on.
            (Self::TakingOver { since }, ResponseOverdue(_) | Lost(_)) => Self::NoPrimary { since },
            (Self::TakingOver { since }, RoleDenied(_) | DrainStarted(_)) => Self::HandingOver { since },
            (Self::Suspected { .. }, Responded) => Self::Releasing,
            // After a long silence it has to serve a write before it is trusted again.
            (Self::NoPrimary { since }, Responded) => Self::TakingOver { since },
            (Self::Suspected { since }, Lost(_)) => Self::NoPrimary { since },
            (Self::Steady | Self::Releasing, Lost(since)) => Self::NoPrimary { since },
            // The primary is lost during its drain: the failover is no longer a planned one.
            (Self::Draining { since } | Self::HandingOver { since }, Lost(_)) => Self::NoPrimary { since },
            (Self::Steady | Self::Releasing, DrainStarted(at)) => Self::Draining { since: at },
            (Self::Suspected { since }, DrainStarted(_)) => Self::NoPrimary { since },
            (Self::Steady | Self::Releasing | Self::Draining { .. }, RoleDenied(at)) => {
                Self::HandingOver { since: began_at.unwrap_or(at) }
            }
            (Self::Suspected { since } | Self::NoPrimary { since }, RoleDenied(_)) => {
                Self::NoPrimary { since }
            }
            (_, ClaimAccepted(at)) => Self::TakingOver { since: began_at.unwrap_or(at) },
            (Self::TakingOver { .. }, WriteServed) => Self::Releasing,
            (Self::Releasing, ReleaseCompleted) => Self::Steady,
            (unchanged, _) => unchanged,
        }
    }

    /// When the failover in progress began, if there is one.
    pub fn failover_began_at(self) -> Option<f64> {
        match self {
            Self::Steady | Self::Releasing => None,
            Self::Suspected { since }
            | Self::Draining { since }
            | Self::HandingOver { since }
            | Self::NoPrimary { since }
            | Self::TakingOver { since } => Some(since),
        }
    }

    /// The kind of the failover in progress, as far as is known.
    pub fn failover_kind(self) -> Option<FailoverKind> {
        match self {
            Self::Steady | Self::Releasing => None,
            Self::Draining { .. } | Self::HandingOver { .. } => Some(FailoverKind::Planned),
            Self::Suspected { .. } | Self::NoPrimary { .. } | Self::TakingOver { .. } => {
                Some(FailoverKind::Unplanned)
            }
        }
    }

    /// Whether writes may be sent to the known primary.
    pub fn takes_writes(self) -> bool {
        matches!(self, Self::Steady | Self::Releasing | Self::TakingOver { .. })
    }

    /// The name of the phase in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Suspected { .. } => "suspected",
            Self::Draining { .. } => "draining",
            Self::HandingOver { .. } => "handing over",
            Self::NoPrimary { .. } => "without a primary",
            Self::TakingOver { .. } => "taking over",
            Self::Releasing => "releasing",
        }
    }
}

#[cfg(test)]
mod tests;
