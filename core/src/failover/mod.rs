//! Changes of primary: who is the primary of a set, when its writes are held, how long that will last, and
//! how what was held goes out again.
//!
//! Each set of servers has a [`Set`], which is fed with evidence and asked before each write. Its parts are
//! [`Primacy`] (claims, ordered by epochs), [`Phase`] (the state machine), [`Patience`] (early suspicion),
//! [`Forecast`] (how long changes take), [`Release`] (how held writes go out) and [`Hold`] (hold or refuse).
//! The [`Fate`] of a request says what has become of its attempts. Nothing in here may choose a server for a
//! read, send anything, or read a clock: times are seconds on the caller's clock. `docs/failover.md` has the
//! design.

mod attempt_log;
mod buffer_release;
mod failover_duration;
mod failure_detector;
mod phase;
mod primary_tracker;
mod replica_set;
mod write_buffer;

pub use attempt_log::{AttemptLog, ExecutionEvidence, RetrySafety};
pub use buffer_release::BufferRelease;
pub use failover_duration::{FailoverDurations, RecoveryForecast};
pub use failure_detector::{ResponseTimes, SilenceThreshold};
pub use phase::{Phase, PhaseInput};
pub use primary_tracker::{ClaimVerdict, PrimaryClaim, PrimaryTracker, RoleEvidence};
pub(crate) use replica_set::MAX_SILENCE_TO_ASK;
pub use replica_set::{PrimaryObservation, ReplicaSet};
pub use write_buffer::{retry_after_hint, BufferDecision, BufferUsage, BufferedWrite};
