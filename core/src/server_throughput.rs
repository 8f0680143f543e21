//! Estimates the throughput of a warm server, as far as this proxy instance's own responses show it.
//!
//! Each proxy instance sees its own share of a server's responses. What the instances allow a server that is
//! warming up on that basis adds up to what one warm server does. Servers differ in load: where reads find
//! few replicas, a primary serves several times what a replica does, which shows what a server of its size is
//! able to do.
//!
//! Owns the decaying counts of responses of all warm servers and of the primaries among them; the higher rate
//! counts. The caller leaves out servers that are warming up or may not be sent to, and primaries of replica
//! sets with a member down, since these get more than their usual share.

use crate::ewma::EwmaConfig;

/// Responses a second of a warm server, over all proxy instances, that are assumed before any response.
const INITIAL_RATE: f64 = 2.0;
/// Lower bound of the time that a rate is divided by, in seconds.
const MIN_RATE_SECS: f64 = 1e-9;

/// The capacity of the servers that are warm, as the sum of their ratings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WarmCapacity {
    /// Of all servers.
    pub all: f64,
    /// Of the primaries of replica sets without a member down.
    pub primaries: f64,
}

/// Responses, and the server seconds in which they arrived: seconds times rating. Both decay.
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

/// The responses of warm servers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServerThroughput {
    all: ResponseCount,
    primaries: ResponseCount,
}

impl ServerThroughput {
    /// The initial estimate for one of `instance_count` proxy instances.
    pub fn new(instance_count: u32) -> Self {
        let initial = ResponseCount { responses: INITIAL_RATE / f64::from(instance_count), server_secs: 1.0 };
        Self { all: initial, primaries: initial }
    }

    /// Records a response of a warm server; `is_primary` if it is the primary of a set without a member down.
    pub fn record_response(&mut self, is_primary: bool) {
        self.all.responses += 1.0;
        self.primaries.responses += f64::from(u8::from(is_primary));
    }

    /// Lets time pass in which servers of this capacity were warm.
    pub fn advance(&mut self, elapsed_secs: f64, warm: WarmCapacity, config: &EwmaConfig) {
        let decay = (-elapsed_secs / config.decay_secs).exp();
        self.all.advance(decay, elapsed_secs * warm.all);
        self.primaries.advance(decay, elapsed_secs * warm.primaries);
    }

    /// Responses a second that this proxy instance gets from a warm server of rating 1: of all servers or of
    /// primaries, whichever is more.
    pub fn per_server(&self) -> f64 {
        self.all.rate().max(self.primaries.rate())
    }

    /// Responses a second of all warm servers together.
    pub fn total(&self, config: &EwmaConfig) -> f64 {
        // The decayed count covers about one time constant.
        self.all.responses / config.decay_secs
    }
}

#[cfg(test)]
mod tests;
