//! The plan of a trial: the site, its clients, and the faults with their times.
//!
//! A plan is plain data. The stepped simulation and the trial with processes run the same plans. Nothing in
//! it changes while a trial runs.

use pipittack_core::api::Settings;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::discovery_model::DiscoverySettings;
use super::link_faults::LinkFault;
use super::replication::ReplicationSettings;
use super::server_model::{ServerModelSettings, ServerState};
use super::workload::WorkloadSettings;

/// The plan of a trial.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The settings of every proxy, except for its index and zone.
    pub settings: Settings,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of replica sets.
    pub sets: usize,
    /// Members of each replica set.
    pub members: usize,
    /// The data servers.
    pub server: ServerModelSettings,
    /// The servers start with the trial, and warm up.
    pub cold_start: bool,
    /// Replication within a set.
    pub replication: ReplicationSettings,
    /// The discovery service.
    pub discovery: DiscoverySettings,
    /// The clients.
    pub workload: WorkloadSettings,
    /// Requests per second over all proxies.
    pub requests_per_s: f64,
    /// One-way delay in s between two zones.
    pub cross_zone_delay_s: f64,
    /// One-way delay in s within a zone.
    pub intra_zone_delay_s: f64,
    /// Round trips that a new connection takes.
    pub handshake_rtts: f64,
    /// Time in s after which an idle connection is closed.
    pub idle_timeout_s: f64,
    /// Work of a health check in s.
    pub health_check_work_s: f64,
    /// Maximum age in s of a load report.
    pub load_report_age_s: f64,
    /// Age in s of the snapshot from which a new server starts.
    pub snapshot_age_s: f64,
    /// The faults.
    pub faults: Vec<ScheduledFault>,
    /// How long clients send requests, in s.
    pub duration_s: f64,
    /// Time in s over which the starts of proxies are spread.
    pub start_spread_s: f64,
    /// The endpoint list that proxies have cached at their first start.
    pub cached_list: CachedList,
    /// The seed of all random draws.
    pub seed: u64,
}

/// The endpoint list that a proxy has cached when it starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CachedList {
    /// No list.
    Absent,
    /// The current list.
    Current,
    /// An old list.
    Outdated {
        /// The share of its servers that has been replaced since.
        replaced_share: f64,
    },
}

/// Selects proxies or servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Selection {
    /// The one with this index, modulo their number.
    One(usize),
    /// A random share.
    Share(f64),
    /// Those of a zone.
    Zone(usize),
    /// All.
    All,
}

impl Selection {
    /// The selected indices in ascending order; `zones` has the zone of each candidate.
    pub fn resolve(self, zones: &[usize], rng: &mut Pcg64Mcg) -> Vec<usize> {
        let all = 0..zones.len();
        match self {
            Self::One(index) => all.clone().nth(index % zones.len().max(1)).into_iter().collect(),
            Self::Zone(zone) => all.filter(|index| zones[*index] == zone).collect(),
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

/// The far end of the links that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkTarget {
    /// These servers.
    Servers(Selection),
    /// The discovery service.
    Discovery,
}

/// A fault and when it begins.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// Time in s after the start of the trial.
    pub at_s: f64,
    /// The fault.
    pub fault: Fault,
}

/// A fault, or an operation that a deployment must survive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Servers enter a failed state, and restart afterwards.
    FailServers {
        /// The servers.
        servers: Selection,
        /// The failed state.
        state: ServerState,
        /// How long it lasts, in s.
        duration_s: f64,
    },
    /// Servers work more slowly by a factor.
    SlowServers {
        /// The servers.
        servers: Selection,
        /// How many times slower they are.
        factor: f64,
        /// How long it lasts, in s.
        duration_s: f64,
    },
    /// Replicas of a set apply commits more slowly by a factor.
    SlowReplication {
        /// The replica set, modulo their number.
        set: usize,
        /// How many times slower they are.
        factor: f64,
        /// How long it lasts, in s.
        duration_s: f64,
    },
    /// The discovery service is unreachable.
    DiscoveryDown {
        /// How long it lasts, in s.
        duration_s: f64,
    },
    /// The discovery service is restored from a backup, and loses the changes since.
    DiscoveryRestored {
        /// Age of the backup in s.
        backup_age_s: f64,
    },
    /// Servers drain, and new ones replace them afterwards.
    ReplaceServers {
        /// The servers.
        servers: Selection,
        /// How long they drain, in s.
        drain_s: f64,
    },
    /// Operators take servers out of service at every proxy, restart them, and return them afterwards.
    TakeOutOfService {
        /// The servers.
        servers: Selection,
        /// How long it lasts, in s.
        duration_s: f64,
    },
    /// Proxies are replaced by a hot restart.
    Upgrade {
        /// The proxies.
        proxies: Selection,
    },
    /// Proxies shut down gracefully, and start again this long after the signal.
    Restart {
        /// The proxies.
        proxies: Selection,
        /// Time from the signal until the next start, in s.
        downtime_s: f64,
    },
    /// Proxies are killed, and start again afterwards.
    Kill {
        /// The proxies.
        proxies: Selection,
        /// Time until the next start, in s.
        downtime_s: f64,
    },
    /// Proxies are killed again and again.
    CrashLoop {
        /// The proxies.
        proxies: Selection,
        /// Time between two kills, in s.
        interval_s: f64,
        /// How long it lasts in all, in s.
        duration_s: f64,
    },
    /// The processes of proxies are paused.
    Pause {
        /// The proxies.
        proxies: Selection,
        /// How long it lasts, in s.
        duration_s: f64,
    },
    /// Proxies reload their configuration.
    Reload {
        /// The proxies.
        proxies: Selection,
    },
    /// A fault on the links of these proxies.
    Link {
        /// The proxies.
        proxies: Selection,
        /// The far end of the links.
        target: LinkTarget,
        /// The fault.
        fault: LinkFault,
        /// How long it lasts, in s.
        duration_s: f64,
    },
    /// The request rate is multiplied by a factor.
    Burst {
        /// The factor of the request rate.
        factor: f64,
        /// How long it lasts, in s.
        duration_s: f64,
    },
}
