//! Classes of requests, and the tenants that share the service.

use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution has the same effect as a single one.
    Idempotent,
    /// The request carries an idempotency key, by which servers discard repeats.
    WithKey {
        /// Servers that recognize the key.
        scope: KeyScope,
        /// Time for which servers remember the key, counted from when the first attempt that may have been
        /// executed was sent.
        window: Duration,
    },
    /// The request must not be sent again once it may have been executed.
    NonIdempotent,
}

/// Servers that recognize an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// Servers in the zone of the server that received the first attempt.
    Zone,
    /// Servers of the request's group.
    Group,
}

/// Consistency that a class of requests requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// Write: only the primary executes it.
    Write,
    /// Linearizable read: it sees every commit made before the read arrived.
    Linearizable,
    /// Causal read: it sees every write of its session.
    Causal,
    /// Read with bounded staleness: the data is at most this old when the attempt is sent.
    BoundedStaleness(Duration),
    /// Read that any member of the group may serve.
    Eventual,
}

/// Class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Value of one request of this class relative to requests of other classes.
    pub priority_weight: f64,
    /// Response time within which a request earns its full weight.
    pub latency_objective: Duration,
    /// Factor by which the request's own work extends the latency objective. The engine validates it and does
    /// not use it.
    pub latency_objective_work_factor: f64,
    /// Total time, over all retries, after which the client gives up.
    pub deadline: Duration,
    /// Share of the weight, from 0 to 1, that a response earns after the latency objective.
    pub late_weight: f64,
    /// Whether requests of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// Consistency that requests of this class require.
    pub consistency: Consistency,
    /// Whether responses are streamed.
    pub streaming: bool,
}

/// Tenant of the service.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second, summed over all proxy instances, up to which the tenant's requests keep their
    /// full weight.
    pub quota_per_s: f64,
    /// Tenant's share of the service. The engine validates it and does not use it.
    pub share: f64,
}
