//! Failover: who the primary of a replica set is, when writes are buffered, and how they are released.
//!
//! Each replica set has a [`ReplicaSet`], which receives evidence and is asked before each write. Its parts
//! are the [`PrimaryTracker`] (claims, ordered by epochs), the [`Phase`] (the state machine), the failure
//! detector ([`ResponseTimes`] and [`SilenceThreshold`]), the [`FailoverDurations`] (how long failovers
//! take), the [`BufferRelease`] (how buffered writes are released) and the schedule of inquiries after the
//! primary. A [`BufferedWrite`] is kept or rejected by the forecast, within the limits of [`BufferUsage`].
//! The [`AttemptLog`] of a request records whether it may have been executed.
//!
//! This module chooses no server for a read, sends nothing and reads no clock: times are seconds on the
//! engine's clock. `docs/failover.md` describes the design.

mod attempt_log;
mod buffer_release;
mod failover_duration;
mod failure_detector;
mod phase;
mod primary_inquiry;
mod primary_loss;
mod primary_tracker;
mod replica_set;
mod write_buffer;

pub use attempt_log::{AttemptLog, ExecutionEvidence, PossibleExecution, RetrySafety};
pub use buffer_release::BufferRelease;
pub use failover_duration::{FailoverDurations, RecoveryForecast};
pub use failure_detector::{ResponseTimes, SilenceThreshold};
pub use phase::{Phase, PhaseInput};
pub use primary_inquiry::InquiryCandidate;
pub(crate) use primary_inquiry::MAX_SILENCE_TO_ASK;
pub use primary_loss::{PrimaryLossCause, PrimaryLossCounts, PrimaryLossEvidence};
pub use primary_tracker::{ClaimVerdict, PrimaryClaim, PrimaryTracker, RoleEvidence, RoleReport};
pub use replica_set::{PrimaryObservation, ReplicaSet};
pub use write_buffer::{retry_after_hint, BufferDecision, BufferUsage, BufferedWrite};
