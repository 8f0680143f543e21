//! The data servers of a trial, their replica sets, and the discovery service that lists them.
//!
//! Owns the model of each server, the replica sets and the discovery model. Its methods take the present time
//! and have no clock and no I/O, so the stepped simulation and the trial with processes share it.
//! Consequences that come later are returned as [`Effect`]s.

mod operations;

use pipittack_core::api::{
    ClassId, Consistency, Endpoint, EndpointState, GroupId, ListedRole, LoadReport, LoadReports,
    MachineKindId, Outcome, ServerId, ServerStatus, ZoneId,
};

use super::discovery_model::{DiscoveryModel, Publication};
use super::fleet_model::duration;
use super::plan::{CachedList, Plan};
use super::replication::ReplicaSet;
use super::server_model::{Arrival, ServerModel, ServerState};

/// A server.
#[derive(Debug)]
pub struct Server {
    /// Its model.
    pub model: ServerModel,
    /// Its replica set.
    pub set: usize,
    /// Its index among the members of the set.
    pub member: usize,
    /// Its zone.
    pub zone: usize,
    /// It drains and accepts no new requests.
    pub draining: bool,
    /// It was removed for good.
    pub removed: bool,
    /// It is or was the primary of its set.
    pub was_primary: bool,
}

/// A consequence of a call that the caller has to handle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// The discovery service publishes a new version of the list.
    Published(Publication),
    /// The process of a server exited. The requests and connections of this incarnation end.
    ServerExited {
        /// The server.
        server: usize,
        /// The incarnation that ended.
        incarnation: u32,
    },
    /// A replica set elects a primary at a time.
    ElectionDue {
        /// The set.
        set: usize,
        /// The time.
        at: f64,
    },
}

/// What happens to a request that reaches a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestAdmission {
    /// Rejected, because a write needs the primary.
    NotPrimary,
    /// Rejected by the queue limit or by a drain.
    Rejected,
    /// The request overloaded the server, which crashes.
    Crashed {
        /// The share of the load from proxies that were informed of the server's start.
        informed_share: f64,
    },
    /// It is executed between these times.
    Executing {
        /// When the execution starts.
        starts_at: f64,
        /// When the execution ends.
        ends_at: f64,
    },
    /// The server does not answer.
    NoResponse,
}

/// A request that reaches a server.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest {
    /// Its class.
    pub class: ClassId,
    /// Its work in s.
    pub work_s: f64,
    /// Its sender was informed of the last start of the server.
    pub sender_informed: bool,
}

/// The end of an execution.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Completion {
    /// Success, or an error if the server is no longer primary.
    pub outcome: Outcome,
    /// The status in the response. The position of a successful write is its commit.
    pub status: ServerStatus,
}

/// The servers, replica sets and discovery service of a trial.
#[derive(Debug)]
pub struct Site {
    /// The servers by their ids.
    pub servers: Vec<Server>,
    /// The discovery service.
    pub discovery: DiscoveryModel,
    /// Servers that crashed on overload while they warmed up.
    pub overload_crashes: usize,
    replica_sets: Vec<ReplicaSet>,
    plan: Plan,
    /// The largest overload ratio of server processes that have exited.
    past_overload_ratio: f64,
}

/// Time in s after which a failed election is repeated.
const ELECTION_RETRY_INTERVAL_S: f64 = 0.5;

impl Site {
    /// The site of a plan at the start of the trial.
    pub fn new(plan: &Plan, start: f64) -> Self {
        let replica_set = || ReplicaSet::new(plan.members, plan.replication, start);
        let mut site = Self {
            servers: Vec::new(),
            discovery: DiscoveryModel::new(plan.discovery, Vec::new()),
            overload_crashes: 0,
            replica_sets: (0..plan.sets).map(|_| replica_set()).collect(),
            plan: plan.clone(),
            past_overload_ratio: 0.0,
        };
        for set in 0..plan.sets {
            for member in 0..plan.members {
                let mut model = ServerModel::new(plan.server);
                if plan.cold_start {
                    model.start(start);
                }
                site.add_server(model, set, member, (set + member) % plan.zones);
            }
        }
        match plan.cached_list {
            CachedList::Absent | CachedList::Current => {
                site.discovery = DiscoveryModel::new(plan.discovery, site.endpoints());
            }
            CachedList::Outdated { replaced_share } => site.publish_after_outdated_list(replaced_share),
        }
        site
    }

    /// Publishes an outdated list first, in which a share of the servers is missing and others are listed
    /// instead.
    fn publish_after_outdated_list(&mut self, replaced_share: f64) {
        let replaced_every = (1.0 / replaced_share.clamp(0.01, 1.0)).round() as usize;
        let mut outdated = Vec::new();
        let mut changes = Vec::new();
        for (server, endpoint) in self.endpoints().into_iter().enumerate() {
            if server % replaced_every > 0 {
                outdated.push(endpoint);
                continue;
            }
            let mut model = ServerModel::new(self.plan.server);
            model.exit();
            let former =
                self.add_server(model, self.servers[server].set, usize::MAX, self.servers[server].zone);
            outdated.push(self.endpoint(former));
            self.servers[former].removed = true;
            changes.push(self.endpoint(former));
            changes.push(endpoint);
        }
        self.discovery = DiscoveryModel::new(self.plan.discovery, outdated);
        self.discovery.record_past_changes(changes);
    }

    fn add_server(&mut self, model: ServerModel, set: usize, member: usize, zone: usize) -> usize {
        self.servers.push(Server {
            model,
            set,
            member,
            zone,
            draining: false,
            removed: false,
            was_primary: member == 0,
        });
        self.servers.len() - 1
    }

    /// The zone of each server.
    pub fn zones(&self) -> Vec<usize> {
        self.servers.iter().map(|server| server.zone).collect()
    }

    /// The version of the endpoint list that a process has cached at its first start.
    pub fn initial_list_version(&self, now: f64) -> Option<usize> {
        match self.plan.cached_list {
            CachedList::Absent => None,
            CachedList::Current => Some(self.discovery.version(now)),
            CachedList::Outdated { .. } => Some(0),
        }
    }

    /// Whether a server is the primary of its set.
    pub fn is_primary(&self, server: usize) -> bool {
        let server = &self.servers[server];
        self.replica_sets[server.set].primary() == Some(server.member)
    }

    fn is_write(&self, class: ClassId) -> bool {
        self.plan.settings.classes[class.0].consistency == Consistency::Write
    }

    fn reported_position(&mut self, server: usize, now: f64) -> f64 {
        let server = &self.servers[server];
        self.replica_sets[server.set].reported_position(server.member, now)
    }

    /// The status that a server sends with its responses.
    pub fn status(&mut self, server: usize, now: f64) -> ServerStatus {
        let primary = Some(self.is_primary(server));
        let position = if self.plan.settings.responses_carry_position {
            Some(duration(self.reported_position(server, now)))
        } else {
            None
        };
        ServerStatus { position, primary }
    }

    /// The load report in a health check's response, collected some time before; none if servers send no
    /// reports.
    pub fn load_report(&mut self, server: usize, age_s: f64, now: f64) -> Option<LoadReport> {
        if self.plan.settings.load_reports == LoadReports::Never {
            return None;
        }
        let primary = Some(self.is_primary(server));
        // The position at that time was at most the present one less the age.
        let position = Some(duration(self.reported_position(server, now) - age_s));
        Some(LoadReport { position, primary, ..LoadReport::default() })
    }

    /// Handles the arrival of a request at a server.
    pub fn admit(&mut self, server: usize, request: IncomingRequest, now: f64) -> RequestAdmission {
        let needs_primary = self.is_write(request.class);
        let primary = self.is_primary(server);
        let server = &mut self.servers[server];
        if server.model.state != ServerState::Up {
            return RequestAdmission::NoResponse;
        }
        if server.draining {
            return RequestAdmission::Rejected;
        }
        if needs_primary && !primary {
            return RequestAdmission::NotPrimary;
        }
        match server.model.arrive(now, request.work_s, request.sender_informed) {
            Arrival::Rejected => RequestAdmission::Rejected,
            Arrival::Executing { starts_at, ends_at } => RequestAdmission::Executing { starts_at, ends_at },
            Arrival::Crashed { informed_share } => {
                self.overload_crashes += 1;
                RequestAdmission::Crashed { informed_share }
            }
        }
    }

    /// Starts the execution of a request. Returns the position of the server if it is a replica.
    pub fn start_execution(&mut self, server: usize, class: ClassId, work_s: f64, now: f64) -> Option<f64> {
        if self.is_primary(server) {
            return None;
        }
        let server = &self.servers[server];
        let replica_set = &mut self.replica_sets[server.set];
        let position = replica_set.position(server.member, now);
        if self.plan.workload.class_loads[class.0].blocks_replication {
            let speed = self.plan.server.speed * server.model.capacity_share(now);
            let time_s = work_s * server.model.slowdown / speed;
            replica_set.block(server.member, now, now + time_s);
        }
        Some(position)
    }

    /// Ends the execution of a request.
    pub fn finish_execution(&mut self, server: usize, class: ClassId, now: f64) -> Completion {
        let mut status = self.status(server, now);
        if !self.is_write(class) {
            return Completion { outcome: Outcome::Success, status };
        }
        if !self.is_primary(server) {
            return Completion { outcome: Outcome::ServerError, status };
        }
        self.replica_sets[self.servers[server].set].commit(now);
        // Commits are rounded up to milliseconds, so that a reported position never claims one that is
        // missing.
        status.position = Some(duration((now * 1e3).ceil() / 1e3));
        Completion { outcome: Outcome::Success, status }
    }

    /// The endpoint of a server in its present state.
    pub fn endpoint(&self, server: usize) -> Endpoint {
        let index = server;
        let server = &self.servers[index];
        let listed_primary = match self.plan.settings.listed_role {
            ListedRole::Static => server.member == 0,
            ListedRole::Delayed => self.is_primary(index),
            ListedRole::Absent => false,
        };
        let state = match (server.removed, server.draining) {
            (true, _) => EndpointState::Removed,
            (_, true) => EndpointState::Draining,
            _ => EndpointState::Healthy,
        };
        Endpoint {
            server: ServerId(index as u32),
            zone: ZoneId(server.zone),
            machine_kind: MachineKindId(0),
            group: GroupId(server.set as u64),
            listed_primary,
            state,
            relative_capacity: 1.0,
            started_at: server.model.started_at.map(duration),
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        (0..self.servers.len()).map(|server| self.endpoint(server)).collect()
    }

    /// The largest overload ratio of any server that warmed up; a server crashes above 1.
    pub fn max_overload_ratio(&self) -> f64 {
        let ratios = self.servers.iter().map(|server| server.model.max_overload_ratio);
        ratios.fold(self.past_overload_ratio, f64::max)
    }
}
