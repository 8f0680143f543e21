//! Failover: tracks the primary of each replica set, buffers writes while there is none, and releases them to
//! the new primary.
//!
//! Each replica set has a [`ReplicaSet`], which receives evidence and is consulted before each write. A
//! `ReplicaSet` consists of the [`PrimaryTracker`] (claims, ordered by epochs), the [`Phase`] (the state
//! machine), the failure detector ([`ResponseTimes`] and [`SilenceThreshold`]), the [`FailoverDurations`]
//! (durations of earlier failovers), the [`BufferRelease`] (the limit on buffered writes in flight) and the
//! schedule of the search for the primary. A [`BufferedWrite`] is kept or rejected according to the
//! [`RecoveryForecast`], within the limits of [`BufferUsage`]. The [`AttemptLog`] of a request records
//! whether the request may have been executed.
//!
//! This module selects no servers for reads, performs no I/O and reads no clock. Times are seconds on the
//! engine's clock. `docs/failover.md` describes the design.

mod attempt_log;
mod buffer_release;
mod failover_duration;
mod failure_detector;
mod former_members;
mod phase;
mod primary_loss;
mod primary_search;
mod primary_tracker;
mod replica_set;
mod write_buffer;

pub use attempt_log::{AttemptLog, ExecutionEvidence, PossibleExecution, RetrySafety};
pub use buffer_release::BufferRelease;
pub use failover_duration::{FailoverDurations, RecoveryForecast};
pub use failure_detector::{ResponseTimes, SilenceThreshold};
pub use phase::{Phase, PhaseInput};
pub use primary_loss::{PrimaryLossCause, PrimaryLossCounts, PrimaryLossEvidence};
pub use primary_search::PrimaryCandidate;
pub(crate) use primary_search::MAX_RESPONSIVE_SILENCE_SECS;
pub use primary_tracker::{ClaimVerdict, PrimaryClaim, PrimaryTracker, RoleEvidence, RoleReport};
pub use replica_set::{PrimaryObservation, ReplicaSet};
pub use write_buffer::{retry_after_hint, BufferDecision, BufferUsage, BufferedWrite};
