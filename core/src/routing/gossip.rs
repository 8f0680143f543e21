//! Messages about attempts that proxy instances send each other.
//!
//! In a large fleet all instances send requests to the same servers and groups, but each instance sees only a
//! few attempts. So the result of each attempt is sent to a few random instances, as many as the price of
//! gossip permits. A message never marks a server as down and changes no role or replication position,
//! because the fault may be visible to the sender alone.

use rand::Rng;

use crate::api::{Action, ServerId, Settings};

use super::fleet::is_large_fleet;

/// Upper bound of the cost of the messages about one attempt, as a share of the service's value.
const MAX_COST_SHARE: f64 = 0.002;
/// Largest number of messages about one attempt.
const MAX_RECIPIENTS: f64 = 8.0;
/// Message length in bytes that the price of gossip refers to.
const PRICED_BYTES: f64 = 256.0;
/// Lower bound of the price as a divisor.
const MIN_PRICE: f64 = 1e-9;
/// Steps per unit in the encoded slowness ratio.
const RATIO_STEPS: f64 = 8.0;
/// Flag of a message about a read.
const FLAG_READ: u8 = 1;
/// Flag of a message about an attempt that succeeded within its latency objective.
const FLAG_IN_TIME: u8 = 2;

/// Kind of an attempt's request. Load shedding counts only reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GossipKind {
    /// A write.
    Write,
    /// A read.
    Read,
}

/// Whether an attempt succeeded within its latency objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Timeliness {
    /// The attempt succeeded within the latency objective.
    InTime,
    /// The attempt ended late or failed.
    Late,
}

/// Result of one attempt, as one instance sends it to another.
#[derive(Debug, Clone, Copy)]
pub(super) struct GossipMessage {
    /// Server of the attempt.
    pub server: ServerId,
    /// Duration of the attempt as a multiple of the mean response time of its class.
    pub slowness_ratio: f64,
    /// Kind of the attempt's request.
    pub kind: GossipKind,
    /// Whether the attempt succeeded in time.
    pub timeliness: Timeliness,
}

impl GossipMessage {
    /// Encodes the server's id in little-endian order (4 bytes), the ratio in eighths (1 byte) and the flags
    /// (1 byte).
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

    /// Decodes a message. Returns `None` if the length is wrong.
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

    /// Sends the message to random instances, if the settings permit gossip and the fleet is large.
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
