//! What a warm server manages, as far as this gateway's own answers tell.
//!
//! Each gateway sees its own part of a server's answers, so what it allows a cold server by that adds up,
//! over all of them, to what one server does. Servers are not all as busy: where reads find few replicas, a
//! primary serves several times what a replica does, and no less than that is what a server of its size can
//! do. Owns the count of answers of all warm servers, and of the primaries of whole groups among them; the
//! busier kind counts. It must never count a cold server, one that may not be sent to, or a primary that gets
//! more because others are taken to be down.

use crate::ewma::EwmaConfig;

/// Answers a second of a warm server, over all gateways, before any was seen.
const USUAL: f64 = 2.0;

/// Answers, and the seconds times rating in which they came; both fade.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Count {
    answers: f64,
    seconds: f64,
}

impl Count {
    fn pass(&mut self, fade: f64, seconds: f64) {
        (self.answers, self.seconds) = (self.answers * fade, self.seconds * fade + seconds);
    }

    fn rate(&self) -> f64 {
        self.answers / self.seconds.max(1e-9)
    }
}

/// The answers of warm servers.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ServerThroughput {
    all: Count,
    primaries: Count,
}

impl ServerThroughput {
    /// The pace of one of so many gateways that has seen nothing.
    pub fn new(gateways: u32) -> Self {
        let usual = Count { answers: USUAL / f64::from(gateways), seconds: 1.0 };
        Self { all: usual, primaries: usual }
    }

    /// A warm server answered; `primary` if it is that of a whole group.
    pub fn record_response(&mut self, primary: bool) {
        self.all.answers += 1.0;
        self.primaries.answers += f64::from(u8::from(primary));
    }

    /// Time passed with these ratings warm: of all, and of the primaries of whole groups among them.
    pub fn advance(&mut self, elapsed: f64, (all, primaries): (f64, f64), memory: &EwmaConfig) {
        let fade = (-elapsed / memory.decay_secs).exp();
        self.all.pass(fade, elapsed * all);
        self.primaries.pass(fade, elapsed * primaries);
    }

    /// Answers a second that this gateway gets from a warm server of rating 1 of the busier kind.
    pub fn per_server(&self) -> f64 {
        self.all.rate().max(self.primaries.rate())
    }

    /// Answers a second of all.
    pub fn total(&self, memory: &EwmaConfig) -> f64 {
        self.all.answers / memory.decay_secs // what has not faded yet came in about that time
    }
}

#[cfg(test)]
mod tests;
