//! Model of the services behind the proxies: data servers, replica sets and the discovery service.
//!
//! Owns the model of each server, the replica sets and the discovery model. Its methods take the current time
//! and use no clock and no I/O, so that the stepped simulation and the process trial can share them. A method
//! returns follow-up events that the caller has to handle or schedule as [`Effect`]s. Times and durations are
//! in seconds.

mod operations;

use pipittack_core::api::{
    ClassId, Consistency, Endpoint, EndpointState, GroupId, ListedRole, LoadReport, LoadReports,
    MachineKindId, Outcome, ServerId, ServerStatus, ZoneId,
};

use super::discovery_model::{DiscoveryModel, Publication};
use super::fleet_model::duration_from_secs;
use super::plan::{CachedList, Plan};
use super::replication::ReplicaSet;
use super::server_model::{Arrival, ServerModel, ServerState};

/// A data server.
#[derive(Debug)]
pub struct Server {
    /// Model of the server process.
    pub model: ServerModel,
    /// Index of the server's replica set.
    pub set: usize,
    /// Index of the server among the members of the replica set.
    pub member: usize,
    /// Index of the server's zone.
    pub zone: usize,
    /// Whether the server drains. A draining server rejects new requests.
    pub draining: bool,
    /// Whether the server was removed permanently.
    pub removed: bool,
    /// Whether the server is or was the primary of its replica set.
    pub was_primary: bool,
}

/// A follow-up event that the caller of a method has to handle or schedule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Effect {
    /// The discovery service publishes a new version of the endpoint list.
    Published(Publication),
    /// The process of a server exited, which ends the requests and connections of this incarnation.
    ServerExited {
        /// Id of the server.
        server: usize,
        /// Incarnation that ended.
        incarnation: u32,
    },
    /// A replica set is due to elect a primary.
    ElectionDue {
        /// Index of the replica set.
        set: usize,
        /// Time of the election, in seconds.
        at: f64,
    },
}

/// Decision on a request that reaches a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestAdmission {
    /// The server rejects the request, because it is a write and the server is not the primary.
    NotPrimary,
    /// The server rejects the request, because the queue is full or the server drains.
    Rejected,
    /// The request overloads the server, which crashes.
    Crashed {
        /// Share of the load that came from proxies that were informed of the server's start.
        informed_share: f64,
    },
    /// The server executes the request between these times.
    Executing {
        /// Start of the execution, in seconds.
        starts_at: f64,
        /// End of the execution, in seconds.
        ends_at: f64,
    },
    /// The server never responds.
    NoResponse,
}

/// A request that reaches a server.
#[derive(Debug, Clone, Copy)]
pub struct IncomingRequest {
    /// Class of the request.
    pub class: ClassId,
    /// Work of the request, in seconds.
    pub work_s: f64,
    /// Whether the sender was informed of the last start of the server.
    pub sender_informed: bool,
}

/// Result of an execution.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Completion {
    /// `Success`, or `ServerError` for a write if the server is no longer the primary.
    pub outcome: Outcome,
    /// Server status in the response. After a successful write, the position is that of its commit.
    pub status: ServerStatus,
}

/// Data servers, replica sets and discovery service of a trial.
#[derive(Debug)]
pub struct Backends {
    /// Servers by id, including removed servers.
    pub servers: Vec<Server>,
    /// Model of the discovery service.
    pub discovery: DiscoveryModel,
    /// Number of crashes on overload while a server warmed up.
    pub overload_crashes: usize,
    replica_sets: Vec<ReplicaSet>,
    plan: Plan,
    /// Largest overload ratio of the server processes that ended in [`Backends::crash`].
    exited_max_overload_ratio: f64,
}

/// Time after which an election without an eligible member is repeated, in seconds.
const ELECTION_RETRY_INTERVAL_S: f64 = 0.5;

impl Backends {
    /// Creates the servers, replica sets and discovery service of a plan at the start of the trial.
    pub fn new(plan: &Plan, start: f64) -> Self {
        let replica_set = || ReplicaSet::new(plan.members_per_set, plan.replication, start);
        let mut backends = Self {
            servers: Vec::new(),
            discovery: DiscoveryModel::new(plan.discovery, Vec::new()),
            overload_crashes: 0,
            replica_sets: (0..plan.replica_set_count).map(|_| replica_set()).collect(),
            plan: plan.clone(),
            exited_max_overload_ratio: 0.0,
        };
        for set in 0..plan.replica_set_count {
            for member in 0..plan.members_per_set {
                let mut model = ServerModel::new(plan.server);
                if plan.cold_start {
                    model.start(start);
                }
                backends.add_server(model, set, member, (set + member) % plan.zone_count);
            }
        }
        match plan.cached_list {
            CachedList::Absent | CachedList::Current => {
                backends.discovery = DiscoveryModel::new(plan.discovery, backends.endpoints());
            }
            CachedList::Outdated { replaced_share } => backends.publish_outdated_and_current(replaced_share),
        }
        backends
    }

    /// Publishes an outdated endpoint list as version 0, in which removed servers are listed in place of a
    /// share of the current servers, and the current list as version 1.
    fn publish_outdated_and_current(&mut self, replaced_share: f64) {
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
            let removed_server =
                self.add_server(model, self.servers[server].set, usize::MAX, self.servers[server].zone);
            outdated.push(self.endpoint(removed_server));
            self.servers[removed_server].removed = true;
            changes.push(self.endpoint(removed_server));
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

    /// Returns the zone of each server, by server id.
    pub fn zones(&self) -> Vec<usize> {
        self.servers.iter().map(|server| server.zone).collect()
    }

    /// Returns the version of the endpoint list that a proxy has cached at its first start; `None` if no list
    /// is cached.
    pub fn initial_list_version(&self, now: f64) -> Option<usize> {
        match self.plan.cached_list {
            CachedList::Absent => None,
            CachedList::Current => Some(self.discovery.version(now)),
            CachedList::Outdated { .. } => Some(0),
        }
    }

    /// Returns whether a server is the primary of its replica set.
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

    /// Returns the status that a server sends with a response at `now`.
    pub fn status(&mut self, server: usize, now: f64) -> ServerStatus {
        let primary = Some(self.is_primary(server));
        let position = if self.plan.settings.responses_carry_position {
            Some(duration_from_secs(self.reported_position(server, now)))
        } else {
            None
        };
        ServerStatus { position, primary }
    }

    /// Returns the load report in the response to a health check, with data that is `age_s` seconds old;
    /// `None` if servers send no load reports.
    pub fn load_report(&mut self, server: usize, age_s: f64, now: f64) -> Option<LoadReport> {
        if self.plan.settings.load_reports == LoadReports::Never {
            return None;
        }
        let primary = Some(self.is_primary(server));
        // Approximates the position at that time. The result never exceeds the current position.
        let position = Some(duration_from_secs(self.reported_position(server, now) - age_s));
        Some(LoadReport { position, primary, ..LoadReport::default() })
    }

    /// Decides on a request that arrives at a server, and schedules its work if the server accepts it.
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
        match server.model.handle_arrival(now, request.work_s, request.sender_informed) {
            Arrival::Rejected => RequestAdmission::Rejected,
            Arrival::Executing { starts_at, ends_at } => RequestAdmission::Executing { starts_at, ends_at },
            Arrival::Crashed { informed_share } => {
                self.overload_crashes += 1;
                RequestAdmission::Crashed { informed_share }
            }
        }
    }

    /// Starts the execution of a request. Returns the replication position of the server, in seconds; `None`
    /// if it is the primary.
    pub fn start_execution(&mut self, server: usize, class: ClassId, work_s: f64, now: f64) -> Option<f64> {
        if self.is_primary(server) {
            return None;
        }
        let server = &self.servers[server];
        let replica_set = &mut self.replica_sets[server.set];
        let position = replica_set.position(server.member, now);
        if self.plan.workload.class_loads[class.0].blocks_replication {
            let speed = self.plan.server.speed * server.model.capacity_share(now);
            let duration_s = work_s * server.model.slowdown / speed;
            replica_set.block(server.member, now, now + duration_s);
        }
        Some(position)
    }

    /// Ends the execution of a request, and commits it if it is a write.
    pub fn finish_execution(&mut self, server: usize, class: ClassId, now: f64) -> Completion {
        let mut status = self.status(server, now);
        if !self.is_write(class) {
            return Completion { outcome: Outcome::Success, status };
        }
        if !self.is_primary(server) {
            return Completion { outcome: Outcome::ServerError, status };
        }
        self.replica_sets[self.servers[server].set].commit(now);
        // Positions of commits are rounded up to milliseconds and reported positions are rounded down, so
        // that a reported position never covers a commit that is not applied.
        status.position = Some(duration_from_secs((now * 1e3).ceil() / 1e3));
        Completion { outcome: Outcome::Success, status }
    }

    /// Returns the endpoint of a server in its current state, as the discovery service lists it.
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
            started_at: server.model.started_at.map(duration_from_secs),
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        (0..self.servers.len()).map(|server| self.endpoint(server)).collect()
    }

    /// Returns the largest overload ratio of any server while it warmed up. A server crashes above 1.
    pub fn max_overload_ratio(&self) -> f64 {
        let ratios = self.servers.iter().map(|server| server.model.max_overload_ratio);
        ratios.fold(self.exited_max_overload_ratio, f64::max)
    }
}
