//! What is played: the site, its clients, and what goes wrong when.
//!
//! Owns the words in which a trial is described, for gateways that are stepped and for processes alike, and who is meant
//! by a share of them. It must never hold anything that is found out only while it is played.

use pipittack_core::api::Settings;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::copies;
use super::directory::Service;
use super::links::Fault;
use super::load;
use super::machine::{State, Traits};

/// What is played.
#[derive(Debug, Clone)]
pub struct Plan {
    /// What proxies are told at their start, but for their number and zone.
    pub settings: Settings,
    /// Proxies.
    pub proxies: usize,
    /// Zones.
    pub zones: usize,
    /// Sets, and members of each.
    pub sets: usize,
    /// See `sets`.
    pub members: usize,
    /// The servers.
    pub machine: Traits,
    /// Servers start cold, with the trial.
    pub cold: bool,
    /// How copies follow.
    pub copies: copies::Habits,
    /// The list service.
    pub service: Service,
    /// The clients.
    pub load: load::Habits,
    /// Requests a second, over all proxies.
    pub rate: f64,
    /// One way between two zones, and within one, in s.
    pub far_s: f64,
    /// See `far_s`.
    pub near_s: f64,
    /// Round trips of a new connection, and the time in s after which an idle one is closed.
    pub handshake_rtts: f64,
    /// See `handshake_rtts`.
    pub idle_s: f64,
    /// Work in s of a probe.
    pub probe_s: f64,
    /// Age in s of what a load report says.
    pub report_s: f64,
    /// Age in s of the copy that a new server starts from.
    pub seed_s: f64,
    /// What goes wrong, and when.
    pub troubles: Vec<(f64, Trouble)>,
    /// How long clients ask, in s.
    pub length_s: f64,
    /// Time in s over which proxies start.
    pub start_s: f64,
    /// The list that proxies have at their first start.
    pub remembered: Remembered,
    /// For all that is drawn.
    pub seed: u64,
}

/// A list from before the start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Remembered {
    /// None.
    Nothing,
    /// As things stand.
    Fresh,
    /// From long ago: this share of its servers is gone, and others have come in their places.
    Old(f64),
}

/// Who is meant, of proxies or of servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pick {
    /// This one, counted round.
    One(usize),
    /// A share, drawn.
    Share(f64),
    /// Those of a zone.
    Zone(usize),
    /// All.
    All,
}

impl Pick {
    /// The ones that are meant, in order; `zones` is the zone of each.
    pub fn of(self, zones: &[usize], rng: &mut Pcg64Mcg) -> Vec<usize> {
        let all = 0..zones.len();
        match self {
            Self::One(one) => all.clone().nth(one % zones.len().max(1)).into_iter().collect(),
            Self::Zone(zone) => all.filter(|i| zones[*i] == zone).collect(),
            Self::All => all.collect(),
            Self::Share(share) => {
                let mut drawn: Vec<usize> = all.collect();
                drawn.shuffle(rng);
                drawn.truncate((share * zones.len() as f64).round() as usize);
                drawn.sort_unstable();
                drawn
            }
        }
    }
}

/// The other end of a proxy's link.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    /// These servers.
    Servers(Pick),
    /// The list service.
    List,
}

/// Something that goes wrong, or is done.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Servers do this for so many s, and start anew then.
    Strike(Pick, State, f64),
    /// Servers are so many times slower for so many s.
    Slow(Pick, f64, f64),
    /// Replicas of a set apply so many times slower for so many s.
    Lag(usize, f64, f64),
    /// The list service is out of reach for so many s.
    ListDown(f64),
    /// The list service forgets what it heard in the last so many s.
    ListBack(f64),
    /// Servers drain; they go after so many s, and new ones take their places.
    Replace(Pick, f64),
    /// The operators take servers out at every proxy, and call them back after so many s.
    ByHand(Pick, f64),
    /// Proxies' processes are replaced while they run.
    Upgrade(Pick),
    /// Proxies' processes are told to end, and start again so many s after the word.
    Restart(Pick, f64),
    /// Proxies' processes are killed, and start anew after so many s.
    Kill(Pick, f64),
    /// Proxies' processes are killed each so many s after they started, for so many s in all.
    Loop(Pick, f64, f64),
    /// Proxies' processes stand still for so many s.
    Stall(Pick, f64),
    /// Proxies read their configuration again.
    Reload(Pick),
    /// A fault on the links of these proxies to these ends for so many s.
    Link(Pick, End, Fault, f64),
    /// So many times the usual requests for so many s.
    Burst(f64, f64),
}
