//! Estimates the throughput of a warm server from the responses that this proxy instance receives.
//!
//! Each proxy instance sees only its own share of a server's responses, and derives from it the budget that
//! it gives a server that is warming up. The budgets of all instances add up to the throughput of one warm
//! server. Servers differ in load: if few replicas can serve reads, a primary serves several times as many
//! requests as a replica, which shows the capacity of a server of its size.
//!
//! This module owns the decaying counts of responses of all warm servers and of the primaries among them. The
//! higher of the two rates is the estimate. The caller leaves out servers that are warming up or must not be
//! used, and primaries of replica sets with a member down, because these get more than their normal share.

use crate::ewma::EwmaConfig;

/// Throughput of a warm server, in responses a second to all proxy instances together, that is assumed before
/// the first response.
const INITIAL_RATE: f64 = 2.0;
/// Lower bound of the time that a response count is divided by, in seconds. It prevents a division by zero.
const MIN_RATE_SECS: f64 = 1e-9;

/// Capacity of the warm servers, as the sum of their relative capacities.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WarmCapacity {
    /// Capacity of all warm servers.
    pub all: f64,
    /// Capacity of the warm primaries of replica sets without a member down.
    pub primaries: f64,
}

/// Number of responses, and the time in which they arrived, in seconds multiplied by
/// relative capacity. Both decay.
#[derive(Debug, Clone, Copy, PartialEq)]
struct ResponseCount {
    responses: f64,
    server_secs: f64,
}

impl ResponseCount {
    fn advance(&mut self, decay: f64, server_secs: f64) {
        self.responses *= decay;
        self.server_secs = self.server_secs * decay + server_secs;
    }

    fn rate(&self) -> f64 {
        self.responses / self.server_secs.max(MIN_RATE_SECS)
    }
}

/// Response counts of warm servers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServerThroughput {
    all: ResponseCount,
    primaries: ResponseCount,
}

impl ServerThroughput {
    /// Creates the initial estimate for one of `instance_count` proxy instances.
    pub fn new(instance_count: u32) -> Self {
        let initial = ResponseCount { responses: INITIAL_RATE / f64::from(instance_count), server_secs: 1.0 };
        Self { all: initial, primaries: initial }
    }

    /// Records a response of a warm server. `is_primary` says whether the server is the primary of a replica
    /// set without a member down.
    pub fn record_response(&mut self, is_primary: bool) {
        self.all.responses += 1.0;
        self.primaries.responses += f64::from(u8::from(is_primary));
    }

    /// Decays the counts and adds `elapsed_secs`. `warm_capacity` is the capacity of the warm servers in that
    /// time.
    pub fn advance(&mut self, elapsed_secs: f64, warm_capacity: WarmCapacity, config: &EwmaConfig) {
        let decay = (-elapsed_secs / config.decay_secs).exp();
        self.all.advance(decay, elapsed_secs * warm_capacity.all);
        self.primaries.advance(decay, elapsed_secs * warm_capacity.primaries);
    }

    /// Returns the responses a second that this proxy instance receives from a warm server with a relative
    /// capacity of 1: the rate of all servers or of primaries, whichever is higher.
    pub fn per_server(&self) -> f64 {
        self.all.rate().max(self.primaries.rate())
    }

    /// Returns the responses a second that this proxy instance receives from all warm servers together.
    pub fn total(&self, config: &EwmaConfig) -> f64 {
        // The decayed count covers about one time constant.
        self.all.responses / config.decay_secs
    }
}

#[cfg(test)]
mod tests;
