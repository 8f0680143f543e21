//! The discovery service on sockets: the endpoint list, or a watch on its changes, at an address for each
//! proxy.
//!
//! Owns the connections of the service. A change is sent only after its publication, and counts as known to a
//! proxy only after it was written.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use pipittack_core::api::{Endpoint, ListedRole};
use rand::Rng;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::super::discovery_model::PollOutcome;
use super::super::fleet_model::START_S;
use super::super::link_faults::LinkEnd;
use super::message_stream::MessageStream;
use super::proxy_config::endpoint_entry;
use super::state::{SharedTrial, TrialState};

/// Time in s after which an empty line shows that a watch is alive.
const KEEP_ALIVE_INTERVAL_S: f64 = 2.0;
/// Interval of the checks for changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The address of endpoints that have none: nothing listens there.
const PLACEHOLDER_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// Listens for a proxy, and returns the address.
pub fn listen(shared: &SharedTrial, proxy: usize) -> io::Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let shared = shared.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let shared = shared.clone();
            spawn_local(async move {
                // The proxy may close its connection at any time.
                let _ = serve_connection(&shared, proxy, stream).await;
            });
        }
    });
    Ok(address)
}

async fn serve_connection(shared: &SharedTrial, proxy: usize, stream: TcpStream) -> io::Result<()> {
    let mut stream = MessageStream::new(stream)?;
    let request = stream.read_line().await?;
    while !stream.read_line().await?.is_empty() {}
    if !wait_for_link(shared, proxy).await {
        stream.reset();
        return Ok(());
    }
    let clock = shared.clock();
    match shared.with(|trial| trial.fleet.site.discovery.poll(clock.now())) {
        PollOutcome::Answered { at } => clock.sleep_until(at).await,
        PollOutcome::Failed { at } => {
            clock.sleep_until(at).await;
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
    }
    let connection_usable = wait_for_link(shared, proxy).await;
    if !connection_usable || shared.with(|trial| trial.fleet.site.discovery.is_down(clock.now())) {
        stream.reset();
        return Ok(());
    }
    shared.with(|trial| {
        if let Some(start) = trial.process_start_entry(proxy) {
            start.notified.get_or_insert(clock.now() - START_S - start.at);
        }
    });
    match watch_revision(&request) {
        Some(revision) => watch(shared, proxy, &mut stream, revision.checked_sub(1)).await,
        None => {
            let version = shared.with(|trial| trial.fleet.site.discovery.version(clock.now()));
            let body = list_update(shared, proxy, None, version).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await
        }
    }
}

/// The revision from which a request watches; none if it polls.
fn watch_revision(request: &str) -> Option<usize> {
    if !request.contains("watch=1") {
        return None;
    }
    let value = request.split("from=").nth(1)?;
    value.split([' ', '&']).next()?.parse().ok()
}

/// Waits while the link drops data; whether data passes.
async fn wait_for_link(shared: &SharedTrial, proxy: usize) -> bool {
    loop {
        let link = shared.link_state(proxy, LinkEnd::Discovery);
        if link.cut {
            return false;
        }
        if link.is_open() {
            return true;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        if shared.link_state(proxy, LinkEnd::Discovery).is_open() {
            return false; // the data that was dropped meanwhile is lost
        }
    }
}

/// The full list for a proxy, or the changes after a version. Counts as received by the proxy.
fn list_update(shared: &SharedTrial, proxy: usize, after: Option<usize>, version: usize) -> Value {
    shared.with(|trial| {
        let now = trial.clock.now();
        let known = after.filter(|after| *after <= version);
        let endpoints = match known {
            Some(known) => trial.fleet.site.discovery.changes_since(known, version),
            None => trial.fleet.site.discovery.full_list(version),
        };
        for endpoint in &endpoints {
            let server = endpoint.server.0 as usize;
            trial.fleet.checker.endpoint_listed(proxy, server, endpoint.state, now);
        }
        trial.record_start_times(proxy, &endpoints);
        trial.fleet.cached_versions[proxy] = Some(version);
        match known {
            Some(_) => incremental_list(trial, proxy, &endpoints, version),
            None => full_list(trial, proxy, &endpoints, version),
        }
    })
}

/// A full list in the format of the protocol, with the addresses for one proxy.
pub fn full_list(trial: &TrialState, proxy: usize, endpoints: &[Endpoint], version: usize) -> Value {
    json!({ "rev": version + 1, "all": true, "targets": endpoint_entries(trial, proxy, endpoints) })
}

fn incremental_list(trial: &TrialState, proxy: usize, endpoints: &[Endpoint], version: usize) -> Value {
    json!({ "rev": version + 1, "all": false, "targets": endpoint_entries(trial, proxy, endpoints) })
}

fn endpoint_entries(trial: &TrialState, proxy: usize, endpoints: &[Endpoint]) -> Vec<Value> {
    let lists_roles = trial.fleet.plan.settings.listed_role != ListedRole::Absent;
    let entry = |endpoint: &Endpoint| {
        let server = endpoint.server.0 as usize;
        let address = trial.server_addresses.get(&(proxy, server)).copied();
        let started_unix_ms = endpoint.started_at.map(|at| trial.clock.to_unix_ms(at.as_secs_f64()));
        let mut entry =
            endpoint_entry(endpoint, address.unwrap_or(PLACEHOLDER_ADDRESS.into()), started_unix_ms);
        if lists_roles {
            entry["mode"] = json!(if endpoint.listed_primary { "read-write" } else { "read-only" });
        }
        entry
    };
    endpoints.iter().map(entry).collect()
}

/// Sends changes after a version until the proxy closes the watch or the service is unreachable.
async fn watch(
    shared: &SharedTrial,
    proxy: usize,
    stream: &mut MessageStream,
    mut sent_version: Option<usize>,
) -> io::Result<()> {
    let clock = shared.clock();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let notification_delay_s = shared.with(|trial| {
        let spread_s = trial.fleet.site.discovery.settings().notification_spread_s;
        spread_s * trial.fleet.rng.random::<f64>()
    });
    let mut is_initial = true;
    let mut last_write_at = 0.0;
    loop {
        let now = clock.now();
        let link = shared.link_state(proxy, LinkEnd::Discovery);
        if link.cut || shared.with(|trial| trial.fleet.site.discovery.is_down(now)) {
            return Ok(());
        }
        let publication_cutoff = if is_initial { now } else { now - notification_delay_s };
        let version = shared.with(|trial| trial.fleet.site.discovery.version(publication_cutoff));
        let has_update = sent_version.is_none_or(|sent| version > sent || (is_initial && version < sent));
        if !link.is_open() {
            // What would be sent is dropped, and no side is notified.
            sent_version = sent_version.max(Some(version));
        } else if has_update {
            let line = list_update(shared, proxy, sent_version, version).to_string();
            write_chunk(stream, &line).await?;
            sent_version = Some(version);
            last_write_at = now;
        } else if is_initial || now - last_write_at >= KEEP_ALIVE_INTERVAL_S {
            write_chunk(stream, "").await?;
            last_write_at = now;
        }
        is_initial = false;
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => {}
            () = stream.wait_until_closed() => return Ok(()),
        }
    }
}

async fn write_chunk(stream: &MessageStream, line: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}
