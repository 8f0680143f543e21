//! State that all tasks of a trial share.
//!
//! Owns the models of the fleet, the addresses, and the information that each proxy has received. All tasks
//! run on one thread. A borrow of the state must not last across an `await`.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use pipittack_core::api::Endpoint;
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::super::backends::Effect;
use super::super::fleet_model::FleetModel;
use super::super::link_faults::{LinkEnd, LinkState};
use super::super::plan::Plan;
use super::super::report::ProcessStart;
use super::super::workload::ClientRequest;
use super::clients::BalancerTarget;
use super::clock::Clock;
use super::process_table::ProcessTable;

/// Reset of all connections between some proxies and some link ends, at a time in seconds.
pub struct LinkReset {
    pub proxies: Vec<usize>,
    pub ends: Vec<LinkEnd>,
    pub at: f64,
}

/// State of a trial.
pub struct TrialState {
    pub fleet: FleetModel,
    pub clock: Clock,
    /// The client request of each try, by the id of the try.
    pub client_requests: HashMap<u64, ClientRequest>,
    /// Id of the last try, which is in the comment of its statement. For the proxy and the rule checker, each
    /// try is a request of its own.
    pub last_request_id: u64,
    /// Commit times in seconds of the writes whose response no client has received yet, by the id of the try.
    pub unacknowledged_commits: HashMap<u64, f64>,
    /// Address of each server for each proxy, by proxy and server.
    pub server_addresses: HashMap<(usize, usize), SocketAddr>,
    /// Address of the discovery service for each proxy.
    pub discovery_addresses: Vec<SocketAddr>,
    /// State of each proxy in the clients' load balancer.
    pub balancer_targets: Vec<BalancerTarget>,
    pub processes: ProcessTable,
    /// Time of the first response that informed a proxy that a server is not primary, by proxy and server. A
    /// response with another role removes the entry.
    pub not_primary_since: BTreeMap<(usize, usize), f64>,
    /// Start time in seconds of a server that a proxy has received in an endpoint list, by proxy and server.
    pub known_starts: HashMap<(usize, usize), f64>,
    /// Counter that is incremented by changes that may end connections.
    pub state_changes: watch::Sender<u64>,
    pub link_resets: Vec<LinkReset>,
}

impl TrialState {
    /// Returns the state before the trial starts.
    pub fn new(plan: Plan, processes: ProcessTable) -> Self {
        Self {
            clock: Clock::start(),
            client_requests: HashMap::new(),
            last_request_id: 0,
            unacknowledged_commits: HashMap::new(),
            server_addresses: HashMap::new(),
            discovery_addresses: Vec::new(),
            balancer_targets: (0..plan.proxy_count).map(|_| BalancerTarget::default()).collect(),
            processes,
            not_primary_since: BTreeMap::new(),
            known_starts: HashMap::new(),
            state_changes: watch::Sender::new(0),
            link_resets: Vec::new(),
            fleet: FleetModel::new(plan),
        }
    }

    /// Notifies all connections, which then check whether they have been reset.
    pub fn notify_connections(&self) {
        self.state_changes.send_modify(|count| *count += 1);
    }

    /// Records the start times of servers from endpoints that a proxy receives.
    pub fn record_start_times(&mut self, proxy: usize, endpoints: &[Endpoint]) {
        for endpoint in endpoints {
            if let Some(started_at) = endpoint.started_at {
                let server = endpoint.server.0 as usize;
                self.known_starts.insert((proxy, server), started_at.as_secs_f64());
            }
        }
    }

    /// Returns the report's entry for the start of a proxy's newest process. Returns `None` if the proxy has
    /// no process.
    pub fn process_start_entry(&mut self, proxy: usize) -> Option<&mut ProcessStart> {
        let index = self.processes.start_index(proxy)?;
        self.fleet.report.starts.get_mut(index)
    }
}

/// Handle for the state of a trial.
#[derive(Clone)]
pub struct SharedTrial(Rc<RefCell<TrialState>>);

impl SharedTrial {
    pub fn new(state: TrialState) -> Self {
        Self(Rc::new(RefCell::new(state)))
    }

    /// Borrows the state for one operation, and returns its result.
    pub fn with<T>(&self, operation: impl FnOnce(&mut TrialState) -> T) -> T {
        operation(&mut self.0.borrow_mut())
    }

    pub fn clock(&self) -> Clock {
        self.0.borrow().clock
    }

    pub fn now(&self) -> f64 {
        self.clock().now()
    }

    /// Returns the current state of the link between a proxy and a server or the discovery service.
    pub fn link_state(&self, proxy: usize, end: LinkEnd) -> LinkState {
        let trial = self.0.borrow();
        trial.fleet.link_state(proxy, end, trial.clock.now())
    }

    /// Sleeps for `factor` times the one-way delay between a proxy and a server.
    pub async fn sleep_one_way(&self, proxy: usize, server: usize, factor: f64) {
        let clock = self.clock();
        let now = clock.now();
        let delay = self.with(|trial| trial.fleet.one_way_delay(proxy, server, now));
        clock.sleep_until(now + factor * delay).await;
    }

    /// Handles the effects of an operation on the backends: schedules elections, registers new servers and
    /// notifies the connections. Publications need no handling, because each watch checks the version of the
    /// endpoint list.
    pub fn handle_effects(&self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::ElectionDue { set, at } = effect {
                spawn_local(self.clone().run_election(set, at));
            }
        }
        self.with(|trial| {
            trial.fleet.register_new_servers();
            trial.notify_connections();
        });
    }

    async fn run_election(self, set: usize, at: f64) {
        let clock = self.clock();
        clock.sleep_until(at).await;
        let mut effects = Vec::new();
        self.with(|trial| trial.fleet.backends.elect(set, clock.now(), &mut effects));
        self.handle_effects(effects);
    }
}
