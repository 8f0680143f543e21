//! The plan of a trial: its servers, proxies and clients, and the schedule of its faults.
//!
//! A plan is immutable data. The stepped simulation and the process trial run the same plans.
//!
//! Work is measured as the seconds that one core of a warm server with speed 1 takes for it.

use pipittack_core::api::Settings;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use super::discovery_model::DiscoverySettings;
use super::link_faults::LinkFault;
use super::replication::ReplicationSettings;
use super::server_model::{ServerModelSettings, ServerState};
use super::workload::WorkloadSettings;

/// Parameters of a trial.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Settings of every proxy. Each proxy replaces the instance index and the zone by its own.
    pub settings: Settings,
    /// Number of proxies.
    pub proxy_count: usize,
    /// Number of zones.
    pub zone_count: usize,
    /// Number of replica sets at the start.
    pub replica_set_count: usize,
    /// Number of members of each replica set at the start.
    pub members_per_set: usize,
    /// Parameters of each data server.
    pub server: ServerModelSettings,
    /// Whether the servers start at the start of the trial and have to warm up.
    pub cold_start: bool,
    /// Parameters of the replication and failover of each replica set.
    pub replication: ReplicationSettings,
    /// Parameters of the discovery service.
    pub discovery: DiscoverySettings,
    /// Parameters of the clients.
    pub workload: WorkloadSettings,
    /// Request rate over all proxies, in requests per second, not counting retries.
    pub requests_per_s: f64,
    /// One-way network delay between two zones, in seconds.
    pub cross_zone_delay_s: f64,
    /// One-way network delay within a zone, in seconds.
    pub intra_zone_delay_s: f64,
    /// Number of round trips that it takes to establish a connection.
    pub handshake_rtts: f64,
    /// Time after which a proxy closes an idle connection to a server, in seconds.
    pub idle_timeout_s: f64,
    /// Work of a health check at a server, in seconds.
    pub health_check_work_s: f64,
    /// Maximum age of the data in a load report, in seconds.
    pub load_report_age_s: f64,
    /// Age of the snapshot from which a new replica is restored, in seconds.
    pub snapshot_age_s: f64,
    /// Faults to inject, in any order.
    pub faults: Vec<ScheduledFault>,
    /// Time for which clients create requests, in seconds.
    pub duration_s: f64,
    /// Time over which the first starts of the proxies are spread, in seconds.
    pub start_spread_s: f64,
    /// Endpoint list that each proxy has cached at its first start.
    pub cached_list: CachedList,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Endpoint list that a proxy has cached at its first start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CachedList {
    /// No list is cached.
    Absent,
    /// The cached list is current.
    Current,
    /// The cached list is outdated.
    Outdated {
        /// Share of the cached servers that have been replaced since, between 0 and 1.
        replaced_share: f64,
    },
}

/// Selection of proxies or servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Selection {
    /// The proxy or server with this index, modulo the number of candidates.
    One(usize),
    /// A random subset with this share of the candidates, between 0 and 1.
    Share(f64),
    /// All candidates in this zone.
    Zone(usize),
    /// All candidates.
    All,
}

impl Selection {
    /// Returns the selected indices in ascending order. `zones` holds the zone of each candidate.
    pub fn resolve(self, zones: &[usize], rng: &mut Pcg64Mcg) -> Vec<usize> {
        let all = 0..zones.len();
        match self {
            Self::One(index) => all.clone().nth(index % zones.len().max(1)).into_iter().collect(),
            Self::Zone(zone) => all.filter(|index| zones[*index] == zone).collect(),
            Self::All => all.collect(),
            Self::Share(share) => {
                let mut selected: Vec<usize> = all.collect();
                selected.shuffle(rng);
                selected.truncate((share * zones.len() as f64).round() as usize);
                selected.sort_unstable();
                selected
            }
        }
    }
}

/// Remote ends of the links that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkTarget {
    /// Links to these data servers.
    Servers(Selection),
    /// Links to the discovery service.
    Discovery,
}

/// A fault with its start time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScheduledFault {
    /// Time from the start of the trial to the start of the fault, in seconds.
    pub at_s: f64,
    /// Fault to inject.
    pub fault: Fault,
}

/// A fault, or an operation during which the deployment must keep serving.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Servers enter a failed state and restart when the fault ends.
    FailServers {
        /// Affected servers.
        servers: Selection,
        /// State of the servers during the fault.
        state: ServerState,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// Servers execute requests more slowly.
    SlowServers {
        /// Affected servers.
        servers: Selection,
        /// Factor by which the execution time grows.
        factor: f64,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// The replicas of a replica set apply commits more slowly.
    SlowReplication {
        /// Index of the replica set, modulo the number of replica sets.
        set: usize,
        /// Factor by which the time to apply a commit grows.
        factor: f64,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// The discovery service is unreachable for all proxies.
    DiscoveryDown {
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// The discovery service is restored from a backup and loses all later versions of the endpoint list.
    DiscoveryRestored {
        /// Age of the backup, in seconds.
        backup_age_s: f64,
    },
    /// Servers drain and are replaced by new servers when the drain ends.
    ReplaceServers {
        /// Affected servers.
        servers: Selection,
        /// Duration of the drain, in seconds.
        drain_s: f64,
    },
    /// Operators take servers out of service at every proxy, then restart the servers and return them to
    /// service when the fault ends.
    TakeOutOfService {
        /// Affected servers.
        servers: Selection,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// Each proxy performs a hot restart.
    Upgrade {
        /// Affected proxies.
        proxies: Selection,
    },
    /// Proxies shut down gracefully and start again.
    Restart {
        /// Affected proxies.
        proxies: Selection,
        /// Time from the shutdown signal to the next start, in seconds.
        downtime_s: f64,
    },
    /// Proxies are killed and start again.
    Kill {
        /// Affected proxies.
        proxies: Selection,
        /// Time from the kill to the next start, in seconds.
        downtime_s: f64,
    },
    /// Proxies are killed repeatedly. Each starts again shortly after each kill.
    CrashLoop {
        /// Affected proxies.
        proxies: Selection,
        /// Time between two kills, in seconds.
        interval_s: f64,
        /// Total duration of the crash loop, in seconds.
        duration_s: f64,
    },
    /// The processes of proxies are paused and resume when the fault ends.
    Pause {
        /// Affected proxies.
        proxies: Selection,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// Proxies reload their configuration.
    Reload {
        /// Affected proxies.
        proxies: Selection,
    },
    /// A network fault affects links of these proxies.
    Link {
        /// Affected proxies.
        proxies: Selection,
        /// Remote ends of the affected links.
        target: LinkTarget,
        /// Fault to inject.
        fault: LinkFault,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
    /// Clients create requests at a multiple of the usual rate.
    Burst {
        /// Factor of the request rate.
        factor: f64,
        /// Duration of the fault, in seconds.
        duration_s: f64,
    },
}
