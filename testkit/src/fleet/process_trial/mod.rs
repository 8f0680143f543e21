//! Runs a plan with processes of the built program against the models of the fleet over loopback sockets.
//!
//! Owns the clock, the shared state of all sockets, and the schedule of the faults. One thread serves the
//! sockets of all servers and of the discovery service. Each of them listens at a separate address for each
//! proxy: the address identifies the link, so a fault can be applied to a single link. A proxy only receives
//! what it would observe in production. All processes are killed at the end of the trial.

mod admin;
mod clients;
mod clock;
mod discovery_service;
mod exchange;
mod faults;
mod lifecycle;
mod message_stream;
mod pause_monitor;
mod process_owner;
mod process_table;
mod proxy_config;
mod server_connections;
mod server_execution;
mod state;

use std::io;
use std::path::PathBuf;

use rand::Rng;
use tokio::task::{spawn_local, LocalSet};

use super::fleet_model::{FIRST_REQUEST_DELAY_S, START_S};
use super::plan::Plan;
use super::report::Report;
use process_table::ProcessTable;
use state::{SharedTrial, TrialState};

/// Time in seconds from the end of the load until the trial ends. Open requests are answered within it.
const SETTLE_S: f64 = 9.0;

/// Paths of the program and of the trial's files.
#[derive(Debug, Clone)]
pub struct TrialPaths {
    /// Path of the built program.
    pub program: PathBuf,
    /// Folder for the configuration, the logs and the sockets of the processes. No other trial may use it.
    pub folder: PathBuf,
}

/// Runs a plan with processes of the program, and returns the report. The logs of the processes stay in the
/// folder.
pub fn run(plan: Plan, paths: &TrialPaths) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_trial(plan, paths))
}

async fn run_trial(plan: Plan, paths: &TrialPaths) -> io::Result<Report> {
    std::fs::create_dir_all(&paths.folder)?;
    rlimit::increase_nofile_limit(u64::MAX)?;
    let processes = ProcessTable::new(paths.clone(), plan.proxy_count)?;
    let end = START_S + plan.duration_s + SETTLE_S;
    let shared = SharedTrial::new(TrialState::new(plan.clone(), processes));
    for proxy in 0..plan.proxy_count {
        let address = discovery_service::listen(&shared, proxy)?;
        shared.with(|trial| trial.discovery_addresses.push(address));
        server_connections::listen(&shared, proxy)?;
    }
    // The clock starts only now, because all sockets must listen before the first process starts.
    shared.with(|trial| trial.clock = clock::Clock::start());
    for proxy in 0..plan.proxy_count {
        let spread_s = shared.with(|trial| plan.start_spread_s * trial.fleet.rng.random::<f64>());
        spawn_local(run_proxy(shared.clone(), proxy, START_S + spread_s));
    }
    spawn_local(pause_monitor::run(shared.clone()));
    for scheduled in plan.faults {
        let shared = shared.clone();
        spawn_local(async move {
            shared.clock().sleep_until(START_S + scheduled.at_s).await;
            faults::run_fault(&shared, scheduled.fault).await;
        });
    }
    let clock = shared.clock();
    clock.sleep_until(end).await;
    let report = shared.with(|trial| {
        let unexpected_exits = trial.processes.kill_all();
        let mut report = trial.fleet.finish(clock.now());
        report.violations.extend(unexpected_exits);
        report
    });
    Ok(report)
}

/// Starts a proxy at a time, and then runs its clients.
async fn run_proxy(shared: SharedTrial, proxy: usize, start_at: f64) {
    let clock = shared.clock();
    clock.sleep_until(start_at).await;
    lifecycle::start(&shared, proxy).await;
    clock.sleep_until(start_at + FIRST_REQUEST_DELAY_S).await;
    clients::run_clients(&shared, proxy).await;
}
