//! Discovery service on sockets, with a separate address for each proxy.
//!
//! Owns the connections of the service. A request is answered with the endpoint list, or with a watch on its
//! changes. A change is sent only after its publication, and counts as received by the proxy when it is
//! written to the socket.

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

/// Time in seconds without a write after which a watch sends an empty line as a keep-alive.
const KEEP_ALIVE_INTERVAL_S: f64 = 2.0;
/// Interval between the checks for changes of the endpoint list and of the link.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Address in the list for endpoints without a listening socket. Nothing listens at the discard port.
const PLACEHOLDER_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// Opens the listening socket for a proxy, and returns its address.
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
                // An error only means that the proxy has closed the connection.
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
    match shared.with(|trial| trial.fleet.backends.discovery.poll(clock.now())) {
        PollOutcome::Answered { at } => clock.sleep_until(at).await,
        PollOutcome::Failed { at } => {
            clock.sleep_until(at).await;
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
    }
    let connection_usable = wait_for_link(shared, proxy).await;
    if !connection_usable || shared.with(|trial| trial.fleet.backends.discovery.is_down(clock.now())) {
        stream.reset();
        return Ok(());
    }
    shared.with(|trial| {
        if let Some(start) = trial.process_start_entry(proxy) {
            start.notified.get_or_insert(clock.now() - START_S - start.started_at);
        }
    });
    match watch_revision(&request) {
        Some(revision) => watch(shared, proxy, &mut stream, revision.checked_sub(1)).await,
        None => {
            let version = shared.with(|trial| trial.fleet.backends.discovery.version(clock.now()));
            let body = list_update(shared, proxy, None, version).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await
        }
    }
}

/// Returns the first revision that a watch requests. Returns `None` for a request of the full list.
fn watch_revision(request: &str) -> Option<usize> {
    if !request.contains("watch=1") {
        return None;
    }
    let value = request.split("from=").nth(1)?;
    value.split([' ', '&']).next()?.parse().ok()
}

/// Waits while the link drops data. Returns whether the exchange can go on: false if the link is cut, or if
/// data was dropped and is lost.
async fn wait_for_link(shared: &SharedTrial, proxy: usize) -> bool {
    loop {
        let link = shared.link_state(proxy, LinkEnd::Discovery);
        if link.down {
            return false;
        }
        if link.is_open() {
            return true;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
        if shared.link_state(proxy, LinkEnd::Discovery).is_open() {
            return false; // the dropped data is not sent again
        }
    }
}

/// Returns the changes of the endpoint list between two versions, or the full list of `version` if `after` is
/// `None` or later than `version`. Records that the proxy has received the returned endpoints.
fn list_update(shared: &SharedTrial, proxy: usize, after: Option<usize>, version: usize) -> Value {
    shared.with(|trial| {
        let now = trial.clock.now();
        let known_version = after.filter(|after| *after <= version);
        let endpoints = match known_version {
            Some(known_version) => trial.fleet.backends.discovery.changes_since(known_version, version),
            None => trial.fleet.backends.discovery.full_list(version),
        };
        for endpoint in &endpoints {
            let server = endpoint.server.0 as usize;
            trial.fleet.checker.endpoint_listed(proxy, server, endpoint.state, now);
        }
        trial.record_start_times(proxy, &endpoints);
        trial.fleet.cached_versions[proxy] = Some(version);
        match known_version {
            Some(_) => incremental_list(trial, proxy, &endpoints, version),
            None => full_list(trial, proxy, &endpoints, version),
        }
    })
}

/// Returns a full endpoint list in the format of the discovery API, with the addresses for one proxy.
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

/// Sends the changes after a version until the proxy closes the watch, or the link or the service fails.
async fn watch(
    shared: &SharedTrial,
    proxy: usize,
    stream: &mut MessageStream,
    mut sent_version: Option<usize>,
) -> io::Result<()> {
    let clock = shared.clock();
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let notification_delay_s = shared.with(|trial| {
        let spread_s = trial.fleet.backends.discovery.settings().notification_spread_s;
        spread_s * trial.fleet.rng.random::<f64>()
    });
    let mut is_initial = true;
    let mut last_write_at = 0.0;
    loop {
        let now = clock.now();
        let link = shared.link_state(proxy, LinkEnd::Discovery);
        if link.down || shared.with(|trial| trial.fleet.backends.discovery.is_down(now)) {
            return Ok(());
        }
        let publication_cutoff = if is_initial { now } else { now - notification_delay_s };
        let version = shared.with(|trial| trial.fleet.backends.discovery.version(publication_cutoff));
        let has_update = sent_version.is_none_or(|sent| version > sent || (is_initial && version < sent));
        if !link.is_open() {
            // The link drops the update, and neither side is notified.
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
