//! Starts, hot restarts, graceful shutdowns and kills of proxy processes.

use std::io;
use std::time::Duration;

use rand::Rng;
use serde_json::json;
use tokio::task::spawn_local;

use super::super::fleet_model::SHUTDOWN_TIMEOUT_S;
use super::state::{SharedTrial, TrialState};
use super::{admin, clients, discovery_service, proxy_config};

/// Time in seconds within which a successor must be ready, from the beginning of a hot restart.
const READY_TIMEOUT_S: f64 = 6.0;
/// Interval between the checks whether a process is ready or has exited.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in seconds from the shutdown signal until the load balancer removes the proxy.
const BALANCER_DELAY_S: f64 = 0.4;
/// Maximum number of sockets of a process, in its configuration.
const MAX_SOCKETS: u32 = 512;
/// Maximum memory of a process in MiB, in its configuration.
const MAX_MEMORY_MB: u32 = 64;

/// Starts a process of a proxy, and returns its start index. If that fails, records a violation.
pub async fn start(shared: &SharedTrial, proxy: usize) -> Option<usize> {
    let (config, start_index) = shared.with(|trial| {
        let start_index = trial.fleet.record_start(trial.clock.now());
        (process_config(trial, proxy), start_index)
    });
    let result = start_process(shared, proxy, config, start_index).await;
    if let Err(error) = &result {
        let violation = format!("trial error: failed to start a process of proxy {proxy}: {error}");
        shared.with(|trial| trial.fleet.report.violations.push(violation));
    }
    if !shared.with(|trial| trial.balancer_targets[proxy].admitted) {
        spawn_local(clients::admit_when_ready(shared.clone(), proxy));
    }
    result.ok().map(|()| start_index)
}

/// Starts a process of a proxy with a configuration, and adds it to the process table.
async fn start_process(
    shared: &SharedTrial,
    proxy: usize,
    config: String,
    start_index: usize,
) -> io::Result<()> {
    let prepared = shared.with(|trial| trial.processes.prepare_start(proxy, config))?;
    let started = prepared.spawn(start_index).await;
    shared.with(|trial| {
        trial.processes.start_ended(proxy);
        trial.processes.add_process(proxy, started?);
        Ok(())
    })
}

/// Returns the text of the configuration file for a new process.
fn process_config(trial: &mut TrialState, proxy: usize) -> String {
    let settings = trial.fleet.proxy_settings(proxy);
    let cached_list = trial.fleet.cached_versions[proxy].map(|version| {
        let endpoints = trial.fleet.backends.discovery.full_list(version);
        trial.record_start_times(proxy, &endpoints);
        discovery_service::full_list(trial, proxy, &endpoints, version)
    });
    let seed = trial.fleet.rng.random::<u64>();
    let plan = &trial.fleet.plan;
    json!({
        "name": format!("p{proxy}"),
        "listen": trial.processes.listen_address(proxy),
        "discovery": trial.discovery_addresses[proxy],
        "seed": format!("{seed:016x}"),
        "limits": { "memory_mb": MAX_MEMORY_MB, "sockets": MAX_SOCKETS },
        "known": cached_list,
        "settings": proxy_config::settings(&settings, plan.zone_count, plan.idle_timeout_s),
    })
    .to_string()
}

/// Kills the processes of a proxy, and starts a new one after `downtime_s` seconds unless an upgrade has
/// started one meanwhile.
pub async fn kill(shared: SharedTrial, proxy: usize, downtime_s: f64) {
    let clock = shared.clock();
    shared.with(|trial| {
        trial.processes.kill(proxy, clock.now());
        trial.balancer_targets[proxy].idle.clear();
    });
    clock.sleep_until(clock.now() + downtime_s).await;
    shared.with(|trial| trial.balancer_targets[proxy].admitted = false);
    if shared.with(|trial| trial.processes.process_count(proxy)) == 0 {
        start(&shared, proxy).await;
    }
}

/// Shuts down the processes of a proxy gracefully, and starts a new one. `downtime_s` is the time in seconds
/// from the shutdown signal until that start, which comes after the shutdown timeout at the earliest.
///
/// Only the processes that got the signal are killed at the timeout. If an upgrade has started a successor
/// meanwhile, it stays, and no further process is started.
pub async fn restart(shared: SharedTrial, proxy: usize, downtime_s: f64) {
    let clock = shared.clock();
    let signalled_at = clock.now();
    let signalled = shared.with(|trial| trial.processes.shut_down(proxy));
    clock.sleep_until(signalled_at + BALANCER_DELAY_S).await;
    // Clients open no new connections to the proxy and keep their open ones.
    shared.with(|trial| trial.balancer_targets[proxy].admitted = false);
    clock.sleep_until(signalled_at + SHUTDOWN_TIMEOUT_S).await;
    shared.with(|trial| trial.processes.kill_processes(proxy, &signalled, clock.now()));
    clock.sleep_until(signalled_at + downtime_s.max(SHUTDOWN_TIMEOUT_S)).await;
    if shared.with(|trial| trial.processes.process_count(proxy)) == 0 {
        start(&shared, proxy).await;
    }
}

/// Upgrades a proxy by hot restart: starts a successor, and shuts down the predecessor once the successor is
/// ready. The predecessor may already be in its graceful shutdown, or may have ended it.
/// Does nothing if the proxy does not have exactly one process.
pub async fn upgrade(shared: SharedTrial, proxy: usize) {
    let clock = shared.clock();
    let started_at = clock.now();
    let predecessor = shared.with(|trial| {
        let has_one_process = trial.processes.process_count(proxy) == 1;
        trial.processes.start_index(proxy).filter(|_| has_one_process)
    });
    let Some(predecessor) = predecessor else { return };
    let Some(successor) = start(&shared, proxy).await else { return };
    loop {
        let address = shared.with(|trial| trial.processes.admin_address(proxy, successor));
        let Some(address) = address else { return }; // the trial has killed the successor
        if admin::is_ready(address).await {
            break;
        }
        if clock.now() > started_at + READY_TIMEOUT_S {
            let violation = format!("proxy {proxy}: the successor was not ready after {READY_TIMEOUT_S} s");
            shared.with(|trial| trial.fleet.report.violations.push(violation));
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let signalled_at = clock.now();
    shared.with(|trial| trial.processes.shut_down_process(proxy, predecessor));
    while clock.now() < signalled_at + SHUTDOWN_TIMEOUT_S {
        if shared.with(|trial| trial.processes.has_exited(proxy, predecessor)) {
            break;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    shared.with(|trial| trial.processes.end_process(proxy, predecessor));
}
