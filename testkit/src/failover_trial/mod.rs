//! Failover trial: runs the proxy between clients and stand-in replica sets, injects faults into the replica
//! sets under load, and compares the responses that clients received with the writes that the data servers
//! executed.
//!
//! A seed determines the faults and the load. The result is based only on the records of the clients and of
//! the stand-ins.

mod fault;
mod load;
mod options;
mod report;
mod round;

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Barrier, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

pub use fault::FaultKind;
pub use options::TrialOptions;
pub use report::{FaultTally, Report};

use crate::client::RequestRecord;
use crate::discovery_server::{DiscoveryServer, Endpoint};
use crate::proxy_process::{ProcessError, ProxyProcess};
use crate::replica_set::{ReplicaSet, ReplicaSetConfig};
use load::{LoadClient, LoadResult, WeightTotals};
use round::Round;

/// Number of members of each replica set.
const MEMBERS_PER_SET: usize = 3;
/// Time without faults before the first round and after each round, in platform milliseconds.
const SETTLE_MS: f64 = 800.0;
/// Time that a data server takes to execute a request, in platform milliseconds.
const EXECUTION_MS: f64 = 86.0;

/// Error that prevents a trial from completing.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// A stand-in failed to start.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The proxy failed to start.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The thread of a client or of a replica set's rounds panicked.
    #[error("a thread of the failover trial panicked")]
    ThreadPanicked,
}

/// State that the threads of a trial share.
struct Trial {
    options: TrialOptions,
    replica_sets: Vec<ReplicaSet>,
    discovery: DiscoveryServer,
    proxy: Mutex<ProxyProcess>,
    /// Synchronizes the threads of all replica sets before a round that injects a fault into all of them at
    /// once.
    barrier: Barrier,
    stop: AtomicBool,
}

/// Records of a completed trial.
struct Observations {
    /// Requests to each replica set.
    records: Vec<Vec<RequestRecord>>,
    /// Rounds of each replica set.
    rounds: Vec<Vec<Round>>,
    read_weight: WeightTotals,
    write_weight: WeightTotals,
    proxy_survived: bool,
}

/// Returns the name of a member in the endpoint list.
fn member_uid(set: usize, member: usize) -> String {
    format!("db-{set}-{member}")
}

/// Runs a trial and returns its report.
pub fn run(options: TrialOptions) -> Result<Report, TrialError> {
    let trial = Arc::new(Trial::start(options)?);
    let address = trial.proxy().address;
    let mut clients = Vec::new();
    for set in 0..trial.options.replica_set_count {
        for client in LoadClient::of_set(set, address) {
            let trial = trial.clone();
            clients.push((set, client.is_write, thread::spawn(move || client.run(&trial))));
        }
    }
    let mut round_threads = Vec::new();
    for set in 0..trial.options.replica_set_count {
        let trial = trial.clone();
        round_threads.push(thread::spawn(move || trial.run_rounds(set)));
    }
    let rounds = round_threads.into_iter().map(join).collect::<Result<_, _>>()?;
    // Before the records are compared, joining the clients waits for the responses to open requests, and the
    // sleep below lets servers that were paused complete their executions.
    trial.stop.store(true, Ordering::Relaxed);
    let mut records: Vec<Vec<RequestRecord>> =
        (0..trial.options.replica_set_count).map(|_| Vec::new()).collect();
    let mut read_weight = WeightTotals::default();
    let mut write_weight = WeightTotals::default();
    for (set, is_write, client) in clients {
        let LoadResult { records: client_records, weight } = join(client)?;
        records[set].extend(client_records);
        let total = if is_write { &mut write_weight } else { &mut read_weight };
        total.add(weight);
    }
    thread::sleep(trial.options.scaled(SETTLE_MS));
    let proxy_survived = trial.proxy().is_running();
    let observations = Observations { records, rounds, read_weight, write_weight, proxy_survived };
    Ok(report::build(&trial, &observations))
}

fn join<T>(thread: JoinHandle<T>) -> Result<T, TrialError> {
    thread.join().map_err(|_| TrialError::ThreadPanicked)
}

impl Trial {
    /// Starts the replica sets, the discovery service and the proxy.
    fn start(options: TrialOptions) -> Result<Self, TrialError> {
        let config = ReplicaSetConfig {
            synchronous: true,
            max_concurrency: 5,
            execution_time: options.scaled(EXECUTION_MS),
            replication_delay: Duration::from_millis(5),
        };
        let mut replica_sets = Vec::new();
        let mut endpoints = Vec::new();
        for set in 0..options.replica_set_count {
            let replica_set = ReplicaSet::start(MEMBERS_PER_SET, config)?;
            endpoints.extend(replica_set.addresses().iter().enumerate().map(|(member, address)| Endpoint {
                uid: member_uid(set, member),
                address: *address,
                group: set as u64,
                state: "Ready",
                is_primary: member == 0,
            }));
            replica_sets.push(replica_set);
        }
        let discovery = DiscoveryServer::start(endpoints)?;
        let proxy =
            ProxyProcess::start(&options.program, &options.folder, &options.proxy_config(&discovery))?;
        let barrier = Barrier::new(options.replica_set_count);
        let stop = AtomicBool::new(false);
        Ok(Self { options, replica_sets, discovery, proxy: Mutex::new(proxy), barrier, stop })
    }

    fn proxy(&self) -> MutexGuard<'_, ProxyProcess> {
        self.proxy.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
