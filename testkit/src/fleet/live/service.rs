//! The list service on sockets: the whole list, or a watch on changes, at an address of its own for each proxy.
//!
//! Owns what each proxy is told and when. It must never tell a change before the service has heard of it, nor count as told
//! what was not written.

use std::io;
use std::time::Duration;

use pipittack_core::api::*;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::super::directory::Call;
use super::super::links::Far;
use super::config::target;
use super::wire::Wire;
use super::{Shared, START};

/// Time after which an empty line shows that a watch stands.
const KEEP_ALIVE_S: f64 = 2.0;
/// Time between looks for something to tell.
const LOOK: Duration = Duration::from_millis(20);

/// Opens the service for a proxy, and gives its address.
pub fn listen(shared: &Shared, proxy: usize) -> io::Result<std::net::SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let shared = shared.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let shared = shared.clone();
            spawn_local(async move {
                let _ = serve(&shared, proxy, stream).await;
            });
        }
    });
    Ok(address)
}

async fn serve(shared: &Shared, proxy: usize, stream: TcpStream) -> io::Result<()> {
    let mut wire = Wire::new(stream)?;
    let asked = wire.line().await?;
    while !wire.line().await?.is_empty() {}
    if !open(shared, proxy).await {
        wire.reset();
        return Ok(());
    }
    let call = shared.with(|world| world.site.list.call(world.clock.now()));
    let clock = shared.clock();
    match call {
        Call::Answered(at, _) => clock.until(at).await,
        Call::Failed(at) => {
            clock.until(at).await;
            return wire.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
    }
    if !open(shared, proxy).await || shared.with(|world| world.site.list.is_down(clock.now())) {
        wire.reset();
        return Ok(());
    }
    shared.with(|world| {
        let (now, process) = (clock.now(), world.processes.start_of(proxy));
        if let Some(start) = process.and_then(|at| world.report.starts.get_mut(at)) {
            start.told.get_or_insert(now - START - start.at);
        }
    });
    let from =
        asked.split("from=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse::<usize>().ok());
    match from.filter(|_| asked.contains("watch=1")) {
        Some(from) => watch(shared, proxy, &mut wire, from.checked_sub(1)).await,
        None => {
            let version = shared.with(|world| world.site.list.version(clock.now()));
            let body = tell(shared, proxy, None, version).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            wire.write([head.as_bytes(), body.as_bytes()].concat().as_slice()).await
        }
    }
}

/// Whether words pass; waits for as long as they are lost without a sign.
async fn open(shared: &Shared, proxy: usize) -> bool {
    loop {
        let way = shared.way(proxy, Far::List);
        if way.cut {
            return false;
        }
        if way.is_open() {
            return true;
        }
        tokio::time::sleep(LOOK).await;
        if shared.way(proxy, Far::List).is_open() {
            return false; // what was lost meanwhile is not said again
        }
    }
}

/// What a proxy is told: all, or what changed after a version.
fn tell(shared: &Shared, proxy: usize, after: Option<usize>, version: usize) -> Value {
    shared.with(|world| {
        let now = world.clock.now();
        let known = after.filter(|after| *after <= version);
        let entries = match known {
            Some(after) => world.site.list.since(after, version),
            None => world.site.list.whole(version),
        };
        for entry in &entries {
            let server = entry.server.0 as usize;
            world.checker.listed(proxy, server, entry.state == EndpointState::Healthy, now);
            if let Some(started) = entry.started_at {
                world.starts.insert((proxy, server), started.as_secs_f64());
            }
        }
        world.memory[proxy] = Some(version);
        listing(world, proxy, &entries, known.is_none(), version)
    })
}

/// A listing in the words of the protocol, as one proxy gets it.
pub fn listing(world: &super::World, proxy: usize, entries: &[Endpoint], all: bool, version: usize) -> Value {
    let roles = world.plan.settings.listed_role != ListedRole::Absent;
    let unix_ms = |at| world.clock.to_unix_ms(at);
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    let endpoint =
        |entry: &Endpoint| world.endpoints.get(&(proxy, entry.server.0 as usize)).copied().unwrap_or(nowhere);
    let targets: Vec<_> = entries.iter().map(|e| target(e, endpoint(e), unix_ms, roles)).collect();
    json!({ "rev": version + 1, "all": all, "targets": targets })
}

async fn watch(shared: &Shared, proxy: usize, wire: &mut Wire, mut after: Option<usize>) -> io::Result<()> {
    let clock = shared.clock();
    wire.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let spread = shared.with(|world| {
        let spread = world.site.list.service().spread_s;
        spread * rand::Rng::random::<f64>(&mut world.rng)
    });
    let (mut first, mut said) = (true, 0.0);
    loop {
        let now = clock.now();
        let way = shared.way(proxy, Far::List);
        if way.cut || shared.with(|world| world.site.list.is_down(now)) {
            return Ok(()); // the connection ends with it
        }
        let version = shared.with(|world| world.site.list.version(if first { now } else { now - spread }));
        let news = after.is_none_or(|after| version > after) || (first && after.is_some_and(|a| version < a));
        if !way.is_open() {
            // What would be said is lost, and nothing tells so.
            after = after.max(Some(version));
        } else if news {
            let line = tell(shared, proxy, after, version).to_string();
            chunk(wire, &line).await?;
            (after, said) = (Some(version), now);
        } else if first || now - said >= KEEP_ALIVE_S {
            chunk(wire, "").await?;
            said = now;
        }
        first = false;
        tokio::select! {
            () = tokio::time::sleep(LOOK) => {}
            () = wire.ended() => return Ok(()),
        }
    }
}

async fn chunk(wire: &Wire, line: &str) -> io::Result<()> {
    wire.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}
