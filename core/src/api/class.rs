//! Classes of requests and the tenants that share the service.

use std::time::Duration;

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of executions has the effect of one.
    Idempotent,
    /// It carries an idempotency key: servers discard a repeat.
    WithKey {
        /// Which servers know the key.
        scope: KeyScope,
        /// How long the key is remembered, from the first send that may have been executed.
        window: Duration,
    },
    /// It must not be sent again once it may have been executed.
    NonIdempotent,
}

/// The servers that recognize an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyScope {
    /// Every server.
    All,
    /// Those in the zone of the server that got the first attempt.
    Zone,
    /// Those of the request's own group.
    Group,
}

/// The consistency that a class of requests needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Consistency {
    /// A write: only the primary executes it.
    Write,
    /// A linearizable read: it sees all commits from before its arrival.
    Linearizable,
    /// A causal read: it sees all writes of its session.
    Causal,
    /// A read of data that is at most this old when the attempt is sent.
    BoundedStaleness(Duration),
    /// A read that any member may serve.
    Eventual,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// What one request is worth, compared with those of other classes.
    pub priority_weight: f64,
    /// Response time within which a request earns its full weight.
    pub latency_objective: Duration,
    /// How much the objective grows by each unit of the request's own work.
    pub latency_objective_stretch: f64,
    /// Time after which the client gives up over all its retries.
    pub deadline: Duration,
    /// Share of the weight that a response past the objective earns.
    pub late_weight: f64,
    /// Whether it may be executed more than once.
    pub idempotency: Idempotency,
    /// The consistency it needs.
    pub consistency: Consistency,
    /// Responses are streamed.
    pub streaming: bool,
}

/// One of those who share the cluster.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all proxy instances, up to which its requests keep their full weight.
    pub quota_per_s: f64,
    /// Its share of the service.
    pub share: f64,
}
