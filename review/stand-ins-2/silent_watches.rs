//! All open watches of a fleet of 100 proxies fall silent, and a quarter of the data servers begins to drain. The
//! traffic moves from the proxies of one zone to those of the other one 8.2 s later.

#[path = "harness.rs"]
mod harness;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use harness::*;

/// Number of proxies, as on the days `vast` of the operators' pages.
const PROXIES: usize = 100;
const GROUPS: usize = 2;
const MEMBERS: usize = 4;
/// Time from the silence to the first drain.
const DRAIN_AFTER_MS: u64 = 100;
/// What discovery has to tell counts as told 6 s later at the latest.
const TOLD_AFTER_MS: f64 = 6_000.0;
/// Grace of the settings (StopSendingWithinMs), and the 50 ms by which each limit on sockets is longer.
const GRACE_MS: f64 = 2_000.0 + 50.0;
/// Time from the drain to the move of the traffic: just after the last proxy counts as told and its grace is over.
const MOVE_AFTER_MS: u64 = 8_100;
/// Time for which the traffic of the second zone is watched.
const WATCHED_MS: u64 = 5_000;

/// A statement that arrived at a data server: server, proxy, Unix time, id.
struct Sent {
    server: usize,
    proxy: usize,
    at_ms: f64,
    id: String,
}

fn main() {
    run("silent-watches", body)
}

fn body(case: &Arc<Case>) -> Result<i32, String> {
    let draining = Arc::new((0..GROUPS * MEMBERS).map(|_| AtomicBool::new(false)).collect::<Vec<_>>());
    let sent = shared(Vec::<Sent>::new());
    let server = |index: usize| {
        let (draining, sent) = (draining.clone(), sent.clone());
        DataServer::start(
            |_| 0,
            move |received| {
                let is_primary = index % MEMBERS == 0;
                // The id names the proxy to which its client sent the request.
                let id = field(&received.text, "id").unwrap_or("-").to_owned();
                let proxy = id.split('-').next().and_then(|number| number.parse().ok()).unwrap_or(usize::MAX);
                sent.lock().unwrap().push(Sent { server: index, proxy, at_ms: received.at_ms, id });
                let is_write = received.text.starts_with("INSERT");
                let role = status(is_primary, unix_ms());
                let answer = if draining[index].load(Ordering::SeqCst) {
                    [error("53300"), role, ready()].concat()
                } else if is_write && !is_primary {
                    [error("25006"), role, ready()].concat()
                } else {
                    sleep_ms(20);
                    [row_description(), row(b"value"), command_complete(is_write), role, ready()].concat()
                };
                received.stream.write_all(&answer)
            },
        )
    };
    let servers: Vec<_> = (0..GROUPS * MEMBERS).map(server).collect();
    let uid = |index: usize| format!("s-{index}");
    let entries = servers.iter().enumerate().map(|(index, server)| Entry {
        uid: uid(index),
        address: server.address,
        zone: if index % 2 == 0 { "hall-north" } else { "hall-south" }.into(),
        group: (index / MEMBERS) as u64 + 1,
        state: "Ready".into(),
        mode: if index % MEMBERS == 0 { "read-write" } else { "read-only" }.into(),
    });
    // Times and revisions of the calls to discovery.
    let calls = shared(Vec::<(f64, u64)>::new());
    let seen = calls.clone();
    let discovery = Discovery::start(entries.collect(), move |_, _, revision| {
        seen.lock().unwrap().push((unix_ms(), revision));
    });

    let mut proxies = Vec::new();
    let mut addresses = Vec::new();
    for index in 0..PROXIES {
        let listen = free_address();
        let name = format!("n{index}");
        let settings = windhoek_settings(PROXIES as u32, index as u32);
        let settings = if index < PROXIES / 2 {
            settings
        } else {
            settings.replace(r#""Zone":"hall-north""#, r#""Zone":"hall-south""#)
        };
        let config = write_config(case, &name, listen, &discovery, &settings);
        let state = state_folder(case, &format!("state-{index}"));
        proxies.push(start_proxy(case, &name, &config, free_address(), &state));
        addresses.push(listen);
    }
    for proxy in &mut proxies {
        proxy.wait_ready(Duration::from_secs(30))?;
    }
    case.log(&format!("{PROXIES} proxies are ready"));
    let north = flag();
    let stop = flag();
    let begin = |proxies: std::ops::Range<usize>, stop: &Arc<AtomicBool>| -> Vec<_> {
        let start = |proxy: usize| {
            let (address, stop) = (addresses[proxy], stop.clone());
            std::thread::spawn(move || ask_until(proxy, address, &stop))
        };
        proxies.map(start).collect()
    };
    let mut clients = begin(0..PROXIES / 2, &north);
    let started = case.secs();
    while discovery.open_watches() < PROXIES {
        if case.secs() - started > 30.0 {
            return Err(format!("only {} watches are open", discovery.open_watches()));
        }
        sleep_ms(50);
    }
    sleep_ms(4_000);
    let drained: Vec<usize> = (0..GROUPS).map(|group| group * MEMBERS + 1).collect();
    let before = sent.lock().unwrap().iter().filter(|sent| drained.contains(&sent.server)).count();
    case.log(&format!("{before} statements have arrived at the servers that will drain"));
    if before == 0 {
        return Err("the servers that will drain get no requests".into());
    }
    let mut silent_at = unix_ms();
    if case.trouble {
        let silent = discovery.silence_open_watches();
        silent_at = unix_ms();
        case.log(&format!("discovery: {silent} open watches fall silent; new ones are answered at once"));
    }
    sleep_ms(DRAIN_AFTER_MS);
    let drained_at = unix_ms();
    let uids: Vec<_> = drained.iter().map(|index| uid(*index)).collect();
    let told = discovery.set_state(&uids, "Terminating").len();
    drained.iter().for_each(|index| draining[*index].store(true, Ordering::SeqCst));
    case.log(&format!("discovery: {uids:?} are Terminating; told on {told} open watches at once"));
    sleep_ms(MOVE_AFTER_MS);
    case.log("clients: the traffic moves from the proxies 0 to 49 (hall-north) to the proxies 50 to 99 (hall-south)");
    set(&north, true);
    clients.extend(begin(PROXIES / 2..PROXIES, &stop));
    sleep_ms(WATCHED_MS);
    set(&stop, true);
    let (mut served, mut others) = (0, 0);
    for client in clients {
        let (of_client, rest) = client.join().map_err(|_| "a client panicked".to_owned())?;
        served += of_client;
        others += rest;
    }
    case.log(&format!("clients: {served} requests served, {others} not"));

    // The latest time at which any proxy counts as told: 6 s after discovery had the change, which is later than 6 s
    // after the silence.
    let last_ms = drained_at.max(silent_at) + TOLD_AFTER_MS + GRACE_MS;
    let calls = calls.lock().unwrap();
    for (number, (at_ms, revision)) in calls.iter().filter(|(at_ms, _)| *at_ms > silent_at).enumerate() {
        case.log(&format!("discovery: call {} after the silence, at {:.3} s, told revision {revision}", number + 1, (at_ms - silent_at) / 1e3));
    }
    let mut late_proxies = std::collections::BTreeSet::new();
    let mut late = 0;
    for sent in sent.lock().unwrap().iter().filter(|sent| drained.contains(&sent.server) && sent.at_ms > drained_at + 2_050.0) {
        let is_late = sent.at_ms > last_ms;
        case.log(&format!(
            "data server {}: id={} of proxy {} arrived {:.3} s after it began to drain{}",
            uid(sent.server),
            sent.id,
            sent.proxy,
            (sent.at_ms - drained_at) / 1e3,
            if is_late { ", too late" } else { "" }
        ));
        if is_late {
            late += 1;
            late_proxies.insert(sent.proxy);
        }
    }
    case.log(&format!(
        "{late} statements of {} proxies arrived at draining servers later than {:.2} s after the drain began",
        late_proxies.len(),
        (last_ms - drained_at) / 1e3
    ));
    Ok(if late > 0 { BROKEN } else { KEPT })
}

/// Sends reads, and a write among four, each 0.1 s. Returns the number served, and the number of the others.
fn ask_until(proxy: usize, address: SocketAddr, stop: &AtomicBool) -> (u32, u32) {
    let mut connection = None;
    let (mut served, mut others) = (0, 0);
    let mut number = proxy as u64;
    sleep_ms(4 * (proxy % 50) as u64);
    while !is_set(stop) {
        number += 1;
        let Some(client) = &mut connection else {
            connection = Client::connect(address, Duration::from_secs(2)).ok();
            continue;
        };
        let id = format!("{proxy}-{}", new_id());
        let group = number / 4 % GROUPS as u64 + 1;
        let statement = match number % 4 {
            0 => insert(&id, &format!("k{proxy}"), "usage-write", 3000, group),
            _ => select(&id, &format!("k{proxy}"), "font-lookup", 1200, group, ""),
        };
        match client.ask(&statement, Duration::from_secs(4)) {
            Answer::Served(_) => served += 1,
            Answer::Error(_) => others += 1,
            Answer::Ended(_) | Answer::Nothing => {
                others += 1;
                connection = None;
            }
        }
        sleep_ms(100);
    }
    (served, others)
}
