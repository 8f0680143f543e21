//! State machine of the failovers of one replica set.
//!
//! Defines the transition for each phase and input, and owns no other state. The passage of time alone does
//! not change the phase: the caller checks timeouts and passes an input when one expires. Times are seconds
//! on the engine's clock.

use crate::api::FailoverKind;

/// Failover phase of a replica set.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Phase {
    /// The primary accepts writes, and no failover is in progress.
    #[default]
    Steady,
    /// The primary has been silent for longer than the failure detector allows. Writes are buffered until the
    /// primary responds.
    Suspected {
        /// Time at which the silence of the primary began.
        since: f64,
    },
    /// The primary drains, and no server has claimed to be its successor.
    Draining {
        /// Time at which the drain was reported.
        since: f64,
    },
    /// The primary stepped down, and no successor is known.
    HandingOver {
        /// Time at which the failover began.
        since: f64,
    },
    /// The primary is lost, and no successor is known.
    NoPrimary {
        /// Time at which the failover began: the start of the last primary's silence or, if the primary
        /// drained before, the start of the drain.
        since: f64,
    },
    /// A server has claimed to be the primary, or the lost primary has responded again, but this server has
    /// not served a write yet.
    TakingOver {
        /// Time at which the failover began.
        since: f64,
    },
    /// The primary serves writes, and the buffered writes are being released.
    Releasing,
}

/// Input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PhaseInput {
    /// The primary has been silent since this time, for longer than the failure detector allows.
    ResponseOverdue(f64),
    /// The primary responded.
    Responded,
    /// The primary started to drain at this time.
    DrainStarted(f64),
    /// The primary reported at this time that it is no longer the primary.
    SteppedDown(f64),
    /// The primary is down, has been silent for too long or was removed. The time is the start of its
    /// silence, or the time of the removal.
    Lost(f64),
    /// The claim of another server to be the primary was accepted at this time.
    ClaimAccepted(f64),
    /// The primary served a write.
    WriteServed,
    /// No buffered writes are left, or the release no longer limits the writes in flight.
    ReleaseCompleted,
}

impl Phase {
    /// Returns the phase that follows this phase on an input.
    pub fn transition(self, input: PhaseInput) -> Self {
        use PhaseInput::{
            ClaimAccepted, DrainStarted, Lost, ReleaseCompleted, Responded, ResponseOverdue, SteppedDown,
            WriteServed,
        };
        let began_at = self.failover_began_at();
        match (self, input) {
            (Self::Steady | Self::Releasing, ResponseOverdue(since)) => Self::Suspected { since },
            // The successor failed before it served a write, so the same failover continues.
            (Self::TakingOver { since }, ResponseOverdue(_) | Lost(_)) => Self::NoPrimary { since },
            (Self::TakingOver { since }, SteppedDown(_) | DrainStarted(_)) => Self::HandingOver { since },
            (Self::Suspected { .. }, Responded) => Self::Releasing,
            // After a long silence, the primary has to serve a write before the buffered writes are released.
            (Self::NoPrimary { since }, Responded) => Self::TakingOver { since },
            (Self::Suspected { since }, Lost(_)) => Self::NoPrimary { since },
            (Self::Steady | Self::Releasing, Lost(since)) => Self::NoPrimary { since },
            // The primary was lost during a drain or handover, so the failover becomes unplanned.
            (Self::Draining { since } | Self::HandingOver { since }, Lost(_)) => Self::NoPrimary { since },
            (Self::Steady | Self::Releasing, DrainStarted(at)) => Self::Draining { since: at },
            (Self::Suspected { since }, DrainStarted(_)) => Self::NoPrimary { since },
            (Self::Steady | Self::Releasing | Self::Draining { .. }, SteppedDown(at)) => {
                Self::HandingOver { since: began_at.unwrap_or(at) }
            }
            (Self::Suspected { since } | Self::NoPrimary { since }, SteppedDown(_)) => {
                Self::NoPrimary { since }
            }
            (_, ClaimAccepted(at)) => Self::TakingOver { since: began_at.unwrap_or(at) },
            (Self::TakingOver { .. }, WriteServed) => Self::Releasing,
            (Self::Releasing, ReleaseCompleted) => Self::Steady,
            (unchanged, _) => unchanged,
        }
    }

    /// Returns the time at which the failover in progress began; `None` if no failover is in progress.
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

    /// Returns the kind of the failover in progress, as far as it can be observed; `None` if no failover is
    /// in progress.
    pub fn failover_kind(self) -> Option<FailoverKind> {
        match self {
            Self::Steady | Self::Releasing => None,
            Self::Draining { .. } | Self::HandingOver { .. } => Some(FailoverKind::Planned),
            Self::Suspected { .. } | Self::NoPrimary { .. } | Self::TakingOver { .. } => {
                Some(FailoverKind::Unplanned)
            }
        }
    }

    /// Returns whether writes may be sent to the known primary.
    pub fn takes_writes(self) -> bool {
        matches!(self, Self::Steady | Self::Releasing | Self::TakingOver { .. })
    }

    /// Returns the name of the phase in log lines.
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
