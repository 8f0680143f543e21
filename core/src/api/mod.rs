//! The routing engine's API: its settings, the events that it receives and the actions that it returns.
//!
//! Times are [`Duration`](std::time::Duration)s since the zero of the caller's clock, which the caller
//! chooses. Classes, zones, tenants and machine kinds are indices into the caller's tables; the API contains
//! no names.

mod action;
mod attempt;
mod class;
mod endpoint;
mod event;
mod failover_settings;
mod ids;
mod peer_message;
mod request;
mod settings;
mod snapshot;

pub use action::Action;
pub(crate) use attempt::COMMIT_ROUNDING;
pub use attempt::{commit_position, AttemptEnded, LoadReport, Outcome, ServerStatus};
pub use class::{Class, Consistency, Idempotency, KeyScope, Tenant};
pub use endpoint::{Endpoint, EndpointState, EndpointUpdate};
pub use event::Event;
pub use failover_settings::{FailoverSettings, InvalidFailoverSetting};
pub use ids::{
    AttemptId, AttemptNumber, ClassId, GroupId, MachineKindId, RequestId, ServerId, TenantId, TimerId, ZoneId,
};
pub use peer_message::PeerMessage;
pub use request::Request;
pub use settings::{
    DiscoveryMode, Limits, ListedRole, LoadReports, Prices, ServiceRules, SessionTokens, Settings,
    SettingsError, StaleReadPolicy,
};
pub use snapshot::{FailoverKind, ReplicaSetSnapshot, ServerSnapshot, StateSnapshot};
