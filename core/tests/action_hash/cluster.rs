//! Simulated data servers: replica sets with service times, faults, failovers and replication lag.

use std::collections::BTreeMap;
use std::time::Duration;

use pipittack_core::api::{
    Endpoint, EndpointState, GroupId, LoadReport, MachineKindId, Outcome, ServerId, ServerStatus,
    StaleReadPolicy, ZoneId,
};

use crate::random::Random;
use crate::settings::{Case, ZONES};

/// Number of requests that a server processes at once.
const SERVICE_SLOTS: usize = 2;
/// Maximum queueing time of an attempt. If it would be exceeded, the server rejects the attempt.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(1500);
/// Time after which a server rejects or declines an attempt.
const REJECT_DELAY: Duration = Duration::from_millis(2);

/// State of a server's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    Hung,
    Dead,
}

/// Simulated data server.
#[derive(Debug, Clone)]
pub struct DataServer {
    pub group: u64,
    pub process: ProcessState,
    pub endpoint_state: EndpointState,
    /// Whether the endpoint list names this server as the primary.
    pub listed_primary: bool,
    pub started_at: Option<Duration>,
    pub lag: Duration,
    /// Time until which the server still reports that it is the primary after it was deposed.
    pub claims_primary_until: Duration,
    zone: usize,
    capacity_percent: u64,
    slot_free_at: [Duration; SERVICE_SLOTS],
}

/// Primary of a group, and the number of its changes.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSet {
    pub primary: u32,
    pub promotions: u32,
}

/// Parameters of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptParams {
    pub server: u32,
    pub is_write: bool,
    pub timeout: Duration,
}

/// Outcome of an attempt, and the time until it is reported.
#[derive(Debug, Clone, Copy)]
pub struct AttemptResult {
    pub delay: Duration,
    pub outcome: Outcome,
}

/// Cluster of all replica sets.
#[derive(Debug, Clone)]
pub struct Cluster {
    pub servers: BTreeMap<u32, DataServer>,
    pub replica_sets: BTreeMap<u64, ReplicaSet>,
    stale_read_policy: StaleReadPolicy,
    responses_carry_position: bool,
    service_ms: u64,
    next_server: u32,
}

impl Cluster {
    pub fn new(case: &Case, random: &mut Random) -> Self {
        let mut cluster = Self {
            servers: BTreeMap::new(),
            replica_sets: BTreeMap::new(),
            stale_read_policy: case.stale_read_policy,
            responses_carry_position: case.responses_carry_position,
            service_ms: case.service_ms,
            next_server: 1,
        };
        for group in 1..=case.groups {
            let primary = cluster.next_server;
            cluster.replica_sets.insert(group, ReplicaSet { primary, promotions: 0 });
            for _ in 0..case.servers_per_group {
                cluster.add(group, None, random);
            }
            cluster.server(primary).listed_primary = true;
        }
        cluster
    }

    /// Adds a replica.
    pub fn add(&mut self, group: u64, started_at: Option<Duration>, random: &mut Random) -> u32 {
        let id = self.next_server;
        self.next_server += 1;
        let server = DataServer {
            group,
            process: ProcessState::Running,
            endpoint_state: EndpointState::Healthy,
            listed_primary: false,
            started_at,
            lag: random.duration_ms(5, 300),
            claims_primary_until: Duration::ZERO,
            zone: id as usize % ZONES,
            capacity_percent: 50 + random.below(150),
            slot_free_at: [Duration::ZERO; SERVICE_SLOTS],
        };
        self.servers.insert(id, server);
        id
    }

    /// Returns the server with this id, which must exist.
    pub fn server(&mut self, id: u32) -> &mut DataServer {
        self.servers.get_mut(&id).expect("servers are never removed")
    }

    pub fn is_primary(&self, id: u32) -> bool {
        self.replica_sets.values().any(|replica_set| replica_set.primary == id)
    }

    /// Returns whether the replica set of a group can serve writes.
    pub fn takes_writes(&self, group: u64) -> bool {
        let primary = &self.servers[&self.replica_sets[&group].primary];
        primary.process == ProcessState::Running && primary.endpoint_state == EndpointState::Healthy
    }

    /// Promotes a random running replica. Returns the new and the old primary, or `None`
    /// if no replica is eligible.
    pub fn promote(&mut self, group: u64, random: &mut Random) -> Option<[u32; 2]> {
        let candidate = |(id, server): (&u32, &DataServer)| {
            let is_eligible =
                server.process == ProcessState::Running && server.endpoint_state == EndpointState::Healthy;
            (server.group == group && is_eligible && !self.is_primary(*id)).then_some(*id)
        };
        let candidates: Vec<u32> = self.servers.iter().filter_map(candidate).collect();
        if candidates.is_empty() {
            return None;
        }
        let new_primary = *random.pick(&candidates);
        let replica_set = self.replica_sets.get_mut(&group).expect("a known group");
        let old_primary = replica_set.primary;
        replica_set.primary = new_primary;
        replica_set.promotions += 1;
        self.server(old_primary).listed_primary = false;
        self.server(new_primary).listed_primary = true;
        Some([new_primary, old_primary])
    }

    /// Returns the result of an attempt that is sent at `now`, provided that the state of
    /// its server does not change.
    pub fn attempt(&mut self, params: AttemptParams, now: Duration, random: &mut Random) -> AttemptResult {
        let AttemptParams { server: id, is_write, timeout } = params;
        let primary = self.is_primary(id);
        let stale_read_policy = self.stale_read_policy;
        let service_ms = self.service_ms;
        let server = self.server(id);
        let timed_out = AttemptResult { delay: timeout, outcome: Outcome::Timeout };
        match server.process {
            ProcessState::Hung => return timed_out,
            ProcessState::Dead => return connect_failure(timeout, random),
            ProcessState::Running => {}
        }
        let is_stale = stale_read_policy != StaleReadPolicy::AnswerStale
            && !primary
            && server.lag > Duration::from_millis(800);
        if (is_write && !primary) || (is_stale && !is_write && random.chance(500)) {
            return AttemptResult { delay: REJECT_DELAY, outcome: Outcome::Misdirected };
        }
        if let Some(result) = random_fault(timeout, random) {
            return result;
        }
        let slot = server.slot_free_at.iter_mut().min().expect("at least one slot");
        let service_begins_at = now.max(*slot);
        if service_begins_at - now > MAX_QUEUE_DELAY {
            return AttemptResult { delay: REJECT_DELAY, outcome: Outcome::Rejected };
        }
        let percent = 40 + random.below(120) + if random.chance(30) { 2000 } else { 0 };
        let service = Duration::from_micros(service_ms * 1000 * percent / server.capacity_percent);
        *slot = service_begins_at + service;
        let delay = *slot - now;
        if delay >= timeout {
            return timed_out;
        }
        AttemptResult { delay, outcome: Outcome::Success }
    }

    /// Returns the position and role that a response of the server reports. `None` if there is no response.
    pub fn server_status(
        &self,
        id: u32,
        outcome: Outcome,
        now: Duration,
        random: &mut Random,
    ) -> Option<ServerStatus> {
        let server = &self.servers[&id];
        let primary = self.is_primary(id) || now < server.claims_primary_until;
        let lag = if primary { Duration::ZERO } else { server.lag };
        match outcome {
            Outcome::Success => {
                let position = self.responses_carry_position.then(|| now.saturating_sub(lag));
                Some(ServerStatus { position, primary: Some(primary).filter(|_| !random.chance(50)) })
            }
            Outcome::Misdirected => {
                let position = self.responses_carry_position.then(|| now.saturating_sub(lag));
                Some(ServerStatus { position, primary: Some(primary) })
            }
            _ => None,
        }
    }

    /// Returns a load report of the server, which is up to 250 ms old.
    pub fn load_report(&self, id: u32, now: Duration, random: &mut Random) -> LoadReport {
        let server = &self.servers[&id];
        let primary = self.is_primary(id) || now < server.claims_primary_until;
        let lag = if primary { Duration::ZERO } else { server.lag };
        let at = now.saturating_sub(random.duration_ms(0, 250));
        let busy = server.slot_free_at.iter().filter(|free_at| **free_at > now).count();
        LoadReport {
            position: Some(at.saturating_sub(lag)),
            primary: Some(primary),
            in_flight: Some(busy as f64),
            queued: Some(random.below(5) as f64),
        }
    }

    /// Returns the endpoint of a server.
    pub fn endpoint(&self, id: u32, clock_offset: Duration) -> Endpoint {
        let server = &self.servers[&id];
        Endpoint {
            server: ServerId(id),
            zone: ZoneId(server.zone),
            machine_kind: MachineKindId(id as usize % 2),
            group: GroupId(server.group),
            listed_primary: server.listed_primary,
            state: server.endpoint_state,
            relative_capacity: server.capacity_percent as f64 / 100.0,
            started_at: server.started_at.map(|at| at + clock_offset),
        }
    }

    /// Returns the endpoint list, without removed servers.
    pub fn endpoints(&self, clock_offset: Duration) -> Vec<Endpoint> {
        let listed =
            self.servers.iter().filter(|(_, server)| server.endpoint_state != EndpointState::Removed);
        listed.map(|(id, _)| self.endpoint(*id, clock_offset)).collect()
    }
}

fn connect_failure(timeout: Duration, random: &mut Random) -> AttemptResult {
    let delay = if random.chance(700) { 1 } else { 250 };
    AttemptResult { delay: Duration::from_millis(delay).min(timeout), outcome: Outcome::ConnectFailed }
}

fn random_fault(timeout: Duration, random: &mut Random) -> Option<AttemptResult> {
    let outcome = match random.below(1000) {
        0..15 => Outcome::ServerError,
        15..20 => Outcome::Reset,
        20..24 => Outcome::Rejected,
        24..27 => Outcome::NotSent,
        27..32 => return Some(AttemptResult { delay: timeout, outcome: Outcome::Timeout }),
        32..40 => return Some(connect_failure(timeout, random)),
        _ => return None,
    };
    Some(AttemptResult { delay: random.duration_ms(1, 20).min(timeout), outcome })
}
