//! Runs a plan with processes of the built program against the models of the fleet on loopback sockets.
//!
//! Owns the clock, the shared state of all sockets, and the schedule of the faults. One thread serves all
//! stand-ins. Each proxy reaches each server and the discovery service at addresses of its own, so that a
//! link is known by its address and can fail by itself. A proxy only receives what it would observe in
//! service. No process outlives its trial.

mod admin;
mod clients;
mod clock;
mod discovery_service;
mod exchange;
mod faults;
mod lifecycle;
mod message_stream;
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

/// Time in s after the last request in which all are answered.
const SETTLE_S: f64 = 9.0;

/// The program, and where a trial may write.
#[derive(Debug, Clone)]
pub struct TrialPaths {
    /// The program.
    pub program: PathBuf,
    /// A folder for this trial alone.
    pub folder: PathBuf,
}

/// Runs a plan with processes. Their logs stay in the folder.
pub fn run(plan: Plan, paths: &TrialPaths) -> io::Result<Report> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, run_trial(plan, paths))
}

async fn run_trial(plan: Plan, paths: &TrialPaths) -> io::Result<Report> {
    std::fs::create_dir_all(&paths.folder)?;
    rlimit::increase_nofile_limit(u64::MAX)?;
    let processes = ProcessTable::new(paths.clone(), plan.proxies)?;
    let end = START_S + plan.duration_s + SETTLE_S;
    let shared = SharedTrial::new(TrialState::new(plan.clone(), processes));
    for proxy in 0..plan.proxies {
        let address = discovery_service::listen(&shared, proxy)?;
        shared.with(|trial| trial.discovery_addresses.push(address));
        server_connections::listen(&shared, proxy)?;
    }
    // All sockets listen before the clock begins with the first process.
    shared.with(|trial| trial.clock = clock::Clock::start());
    for proxy in 0..plan.proxies {
        let spread_s = shared.with(|trial| plan.start_spread_s * trial.fleet.rng.random::<f64>());
        spawn_local(run_proxy(shared.clone(), proxy, START_S + spread_s));
    }
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

/// Starts a proxy and its clients.
async fn run_proxy(shared: SharedTrial, proxy: usize, start_at: f64) {
    let clock = shared.clock();
    clock.sleep_until(start_at).await;
    lifecycle::start(&shared, proxy).await;
    clock.sleep_until(start_at + FIRST_REQUEST_DELAY_S).await;
    clients::run_clients(&shared, proxy).await;
}
