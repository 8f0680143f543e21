//! The state machine of a set's primary.
//!
//! Owns which phase follows which on what input, and nothing else: a table that can be read and tested whole.
//! It must never be moved by time alone; who watches the clock gives it an input.

use crate::api::FailoverKind;

/// How a set stands. Times are in s on the caller's clock.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub enum Phase {
    /// A primary takes writes.
    #[default]
    Steady,
    /// It is silent: writes are held until it speaks.
    Suspected {
        /// When it was last heard.
        since: f64,
    },
    /// It drains, and no successor has spoken.
    Draining {
        /// When that was told.
        since: f64,
    },
    /// It has said that it is the primary no longer.
    HandingOver {
        /// When the change began.
        since: f64,
    },
    /// There is none.
    Without {
        /// When the last one was last heard.
        since: f64,
    },
    /// One has claimed, and has served no write yet.
    TakingOver {
        /// When the change began.
        since: f64,
    },
    /// It serves, and what was held goes out.
    Settling,
}

/// What moves it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PhaseInput {
    /// The primary has been silent for too long; when it was last heard.
    Silent(f64),
    /// It spoke.
    Spoke,
    /// It is to drain, by the list or the operators.
    Drains(f64),
    /// It says that it is none.
    Denied(f64),
    /// It is taken to be down, or is gone; when it was last heard.
    Lost(f64),
    /// Another one's claim was accepted.
    Claimed(f64),
    /// The primary served a write.
    Served,
    /// What was held is out, and the primary has proved itself.
    Settled,
}

impl Phase {
    /// The phase after an input.
    pub fn after(self, input: PhaseInput) -> Self {
        use PhaseInput::{Claimed, Denied, Drains, Lost, Served, Settled, Silent, Spoke};
        let began = self.began();
        match (self, input) {
            (Self::Steady | Self::Settling, Silent(heard)) => Self::Suspected { since: heard },
            // A successor that falls silent before it served: the change goes on.
            (Self::TakingOver { since }, Silent(_) | Lost(_)) => Self::Without { since },
            (Self::TakingOver { since }, Denied(_) | Drains(_)) => Self::HandingOver { since },
            (Self::Suspected { .. }, Spoke) => Self::Settling,
            // It was only silent for long: it must prove itself anew.
            (Self::Without { since }, Spoke) => Self::TakingOver { since },
            (Self::Suspected { since }, Lost(_)) => Self::Without { since },
            (Self::Steady | Self::Settling, Lost(heard)) => Self::Without { since: heard },
            // A failover that begins while it drains: what is planned is planned no more.
            (Self::Draining { since } | Self::HandingOver { since }, Lost(_)) => Self::Without { since },
            (Self::Steady | Self::Settling, Drains(at)) => Self::Draining { since: at },
            (Self::Suspected { since }, Drains(_)) => Self::Without { since },
            (Self::Steady | Self::Settling | Self::Draining { .. }, Denied(at)) => {
                Self::HandingOver { since: began.unwrap_or(at) }
            }
            (Self::Suspected { since } | Self::Without { since }, Denied(_)) => Self::Without { since },
            (_, Claimed(at)) => Self::TakingOver { since: began.unwrap_or(at) },
            (Self::TakingOver { .. }, Served) => Self::Settling,
            (Self::Settling, Settled) => Self::Steady,
            (same, _) => same,
        }
    }

    /// When the change that is under way began.
    pub fn began(self) -> Option<f64> {
        match self {
            Self::Steady | Self::Settling => None,
            Self::Suspected { since }
            | Self::Draining { since }
            | Self::HandingOver { since }
            | Self::Without { since }
            | Self::TakingOver { since } => Some(since),
        }
    }

    /// The kind of change that is under way, as far as is known.
    pub fn change(self) -> Option<FailoverKind> {
        match self {
            Self::Steady | Self::Settling => None,
            Self::Draining { .. } | Self::HandingOver { .. } => Some(FailoverKind::Planned),
            Self::Suspected { .. } | Self::Without { .. } | Self::TakingOver { .. } => {
                Some(FailoverKind::Unplanned)
            }
        }
    }

    /// Whether writes may go to the primary that is known.
    pub fn takes_writes(self) -> bool {
        matches!(self, Self::Steady | Self::Settling | Self::TakingOver { .. })
    }

    /// Its name, for the log and the operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Suspected { .. } => "suspected",
            Self::Draining { .. } => "draining",
            Self::HandingOver { .. } => "handing over",
            Self::Without { .. } => "without a primary",
            Self::TakingOver { .. } => "taking over",
            Self::Settling => "settling",
        }
    }
}

#[cfg(test)]
mod tests;
