//! Start and end of the faults of a plan.

use tokio::task::spawn_local;

use super::super::fleet_model::CRASH_LOOP_DOWNTIME_S;
use super::super::link_faults::{LinkEnd, LinkFault};
use super::super::plan::{Fault, LinkTarget, Selection};
use super::admin::{self, ServiceState};
use super::state::{LinkReset, SharedTrial};
use super::{lifecycle, server_connections};

fn select_servers(shared: &SharedTrial, servers: Selection) -> Vec<usize> {
    shared.with(|trial| servers.resolve(&trial.fleet.backends.zones(), &mut trial.fleet.rng))
}

fn select_proxies(shared: &SharedTrial, proxies: Selection) -> Vec<usize> {
    shared.with(|trial| proxies.resolve(&trial.fleet.proxy_zones, &mut trial.fleet.rng))
}

/// Runs a fault from its start to its end. Returns after the start if the fault ends by itself.
pub async fn run_fault(shared: &SharedTrial, fault: Fault) {
    let now = shared.now();
    match fault {
        Fault::FailServers { servers, .. }
        | Fault::SlowServers { servers, .. }
        | Fault::ReplaceServers { servers, .. }
        | Fault::TakeOutOfService { servers, .. } => {
            let servers = select_servers(shared, servers);
            run_server_fault(shared, fault, servers).await;
        }
        Fault::SlowReplication { set, factor, duration_s } => {
            shared.with(|trial| trial.fleet.backends.set_replication_slowdown(set, factor));
            shared.clock().sleep_until(now + duration_s).await;
            shared.with(|trial| trial.fleet.backends.set_replication_slowdown(set, 1.0));
        }
        Fault::DiscoveryDown { duration_s } => {
            shared.with(|trial| trial.fleet.backends.discovery.take_down(now, duration_s));
            shared.handle_effects(Vec::new());
        }
        Fault::DiscoveryRestored { backup_age_s } => {
            shared.with(|trial| trial.fleet.backends.discovery.restore_backup(now, backup_age_s));
        }
        Fault::Link { proxies, target, fault, duration_s } => {
            let proxies = select_proxies(shared, proxies);
            run_link_fault(shared, proxies, target, fault, duration_s).await;
        }
        Fault::Burst { factor, duration_s } => {
            shared.with(|trial| trial.fleet.start_burst(factor, now + duration_s));
        }
        Fault::Pause { proxies, duration_s } => {
            let proxies = select_proxies(shared, proxies);
            let clock = shared.clock();
            shared.with(|trial| proxies.iter().for_each(|proxy| trial.processes.pause(*proxy)));
            clock.sleep_until(now + duration_s).await;
            shared.with(|trial| {
                proxies.iter().for_each(|proxy| trial.processes.resume(*proxy, clock.now()));
            });
        }
        Fault::Upgrade { proxies }
        | Fault::Restart { proxies, .. }
        | Fault::Kill { proxies, .. }
        | Fault::CrashLoop { proxies, .. }
        | Fault::Reload { proxies } => {
            for proxy in select_proxies(shared, proxies) {
                start_proxy_fault(shared, fault, proxy);
            }
        }
    }
}

async fn run_server_fault(shared: &SharedTrial, fault: Fault, mut servers: Vec<usize>) {
    let clock = shared.clock();
    let now = clock.now();
    let mut effects = Vec::new();
    match fault {
        Fault::FailServers { state, duration_s, .. } => {
            shared.with(|trial| {
                servers.retain(|server| trial.fleet.backends.fail_server(*server, state, now, &mut effects));
            });
            shared.handle_effects(std::mem::take(&mut effects));
            clock.sleep_until(now + duration_s).await;
            shared.with(|trial| {
                servers.iter().for_each(|s| trial.fleet.backends.recover(*s, clock.now(), &mut effects));
            });
            shared.handle_effects(effects);
        }
        Fault::SlowServers { factor, duration_s, .. } => {
            shared.with(|trial| servers.iter().for_each(|s| trial.fleet.backends.set_slowdown(*s, factor)));
            clock.sleep_until(now + duration_s).await;
            shared.with(|trial| servers.iter().for_each(|s| trial.fleet.backends.set_slowdown(*s, 1.0)));
        }
        Fault::ReplaceServers { drain_s, .. } => {
            shared.with(|trial| {
                servers.retain(|server| trial.fleet.backends.drain(*server, now, &mut effects));
            });
            shared.handle_effects(std::mem::take(&mut effects));
            clock.sleep_until(now + drain_s).await;
            replace_servers(shared, &servers);
        }
        Fault::TakeOutOfService { duration_s, .. } => {
            admin::set_service_state(shared, &servers, ServiceState::OutOfService).await;
            clock.sleep_until(now + duration_s).await;
            shared.with(|trial| {
                servers.iter().for_each(|s| trial.fleet.backends.restart(*s, clock.now(), &mut effects));
            });
            shared.handle_effects(effects);
            admin::set_service_state(shared, &servers, ServiceState::InService).await;
        }
        _ => {}
    }
}

/// Replaces servers that have drained, and opens listening sockets for the new servers.
fn replace_servers(shared: &SharedTrial, servers: &[usize]) {
    let clock = shared.clock();
    let mut effects = Vec::new();
    let proxy_count = shared.with(|trial| {
        servers.iter().for_each(|server| trial.fleet.backends.replace(*server, clock.now(), &mut effects));
        trial.fleet.plan.proxy_count
    });
    if let Err(error) = (0..proxy_count).try_for_each(|proxy| server_connections::listen(shared, proxy)) {
        let violation = format!("trial error: failed to open listening sockets for new servers: {error}");
        shared.with(|trial| trial.fleet.report.violations.push(violation));
    }
    shared.handle_effects(effects);
}

fn start_proxy_fault(shared: &SharedTrial, fault: Fault, proxy: usize) {
    let shared = shared.clone();
    match fault {
        Fault::Upgrade { .. } => {
            spawn_local(lifecycle::upgrade(shared, proxy));
        }
        Fault::Restart { downtime_s, .. } => {
            spawn_local(lifecycle::restart(shared, proxy, downtime_s));
        }
        Fault::Kill { downtime_s, .. } => {
            spawn_local(lifecycle::kill(shared, proxy, downtime_s));
        }
        Fault::CrashLoop { interval_s, duration_s, .. } => {
            let until = shared.now() + duration_s;
            spawn_local(crash_loop(shared, proxy, interval_s, until));
        }
        Fault::Reload { .. } => shared.with(|trial| trial.processes.reload(proxy)),
        _ => {}
    }
}

/// Kills and restarts a proxy until a time, with a pause of `interval_s` after each restart.
async fn crash_loop(shared: SharedTrial, proxy: usize, interval_s: f64, until: f64) {
    let clock = shared.clock();
    while clock.now() < until {
        lifecycle::kill(shared.clone(), proxy, CRASH_LOOP_DOWNTIME_S).await;
        clock.sleep_until(clock.now() + interval_s).await;
    }
}

async fn run_link_fault(
    shared: &SharedTrial,
    proxies: Vec<usize>,
    target: LinkTarget,
    fault: LinkFault,
    duration_s: f64,
) {
    let clock = shared.clock();
    let now = clock.now();
    let ends = match target {
        LinkTarget::Discovery => vec![LinkEnd::Discovery],
        LinkTarget::Servers(servers) => {
            select_servers(shared, servers).into_iter().map(LinkEnd::Server).collect()
        }
    };
    shared.with(|trial| {
        if fault == LinkFault::Reset {
            let reset = LinkReset { proxies: proxies.clone(), ends: ends.clone(), at: now };
            trial.link_resets.push(reset);
        }
        trial.fleet.links.inject(proxies, ends, fault, now + duration_s);
        trial.notify_connections();
    });
    clock.sleep_until(now + duration_s).await;
    shared.with(|trial| trial.notify_connections());
}
