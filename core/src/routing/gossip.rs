//! What proxy instances tell each other of the attempts that they saw.
//!
//! In a large fleet each instance sees too little of a server or group that all of them load. So each end of
//! an attempt is sent to a few random instances, as many as the price of gossip permits. What a message says
//! never takes a server down and settles no role and no position, because one side alone may see a fault.

use rand::Rng;

use crate::api::{Action, ServerId, Settings};

use super::fleet::is_large_fleet;

/// Share of the service that messages may cost for each request.
const MAX_COST_SHARE: f64 = 0.002;
/// Largest number of instances that are notified of one attempt.
const MAX_RECIPIENTS: f64 = 8.0;
/// Length in bytes that the price of gossip refers to.
const PRICED_BYTES: f64 = 256.0;
/// Least price that is divided by.
const MIN_PRICE: f64 = 1e-9;
/// Encoded steps of one in a slowness ratio.
const RATIO_STEPS: f64 = 8.0;
/// Flag of a message about a read.
const FLAG_READ: u8 = 1;
/// Flag of a message about an attempt that ended within its latency objective.
const FLAG_IN_TIME: u8 = 2;

/// What kind of request an attempt served, as far as other instances use it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GossipKind {
    /// A write.
    Write,
    /// A read.
    Read,
}

/// Whether an attempt ended within its latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Timeliness {
    /// It succeeded within the objective.
    InTime,
    /// It was late or failed.
    Late,
}

/// What one instance tells another of an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct GossipMessage {
    /// The attempt's server.
    pub server: ServerId,
    /// Its response time as a multiple of the usual time of its class.
    pub slowness_ratio: f64,
    /// What it served.
    pub kind: GossipKind,
    /// Whether it was in time.
    pub timeliness: Timeliness,
}

impl GossipMessage {
    /// The server's id in little-endian order, the ratio in eighths, the flags.
    fn encode(&self) -> Vec<u8> {
        let mut flags = 0;
        if self.kind == GossipKind::Read {
            flags |= FLAG_READ;
        }
        if self.timeliness == Timeliness::InTime {
            flags |= FLAG_IN_TIME;
        }
        let mut bytes = self.server.0.to_le_bytes().to_vec();
        bytes.extend([(self.slowness_ratio * RATIO_STEPS).clamp(0.0, 255.0) as u8, flags]);
        bytes
    }

    /// `None` for bytes that no instance would send.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let &[a, b, c, d, ratio, flags] = bytes else { return None };
        let kind = if flags & FLAG_READ != 0 { GossipKind::Read } else { GossipKind::Write };
        let timeliness = if flags & FLAG_IN_TIME != 0 { Timeliness::InTime } else { Timeliness::Late };
        Some(Self {
            server: ServerId(u32::from_le_bytes([a, b, c, d])),
            slowness_ratio: f64::from(ratio) / RATIO_STEPS,
            kind,
            timeliness,
        })
    }

    /// Sends the message to some random instances, where gossip is permitted and of use.
    pub fn broadcast(&self, settings: &Settings, rng: &mut impl Rng, actions: &mut Vec<Action>) {
        if !(settings.limits.allow_gossip && is_large_fleet(settings)) {
            return;
        }
        let bytes = self.encode();
        let price = settings.prices.gossip * bytes.len() as f64 / PRICED_BYTES;
        for _ in 0..(MAX_COST_SHARE / price.max(MIN_PRICE)).min(MAX_RECIPIENTS) as u32 {
            let recipient = rng.random_range(0..settings.instance_count);
            if recipient != settings.instance_index {
                actions.push(Action::Gossip { to: Some(recipient), bytes: bytes.clone() });
            }
        }
    }
}
