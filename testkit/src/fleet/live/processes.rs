//! The processes of a trial: started, replaced, told to end, killed, stopped and let go on.
//!
//! Owns every child process, its folder and its log. It must end each of them with the trial, and touch no other
//! process of the machine.

use std::fs::File;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use pipittack_core::api::*;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use tokio::task::{spawn_blocking, spawn_local};

use super::super::report::Start;
use super::{clients, config, service, Place, Shared, START};

/// Time in s within which a successor must be ready, and between looks whether it is.
const READY_S: f64 = 6.0;
const LOOK: Duration = Duration::from_millis(20);
/// Time in s after the word to end after which a process is killed.
const KILLED_S: f64 = 3.7;
/// Time in which a call on the second address must be answered.
const CALL_WITHIN: Duration = Duration::from_secs(2);
/// Descriptors and memory of a process.
const SOCKETS: u32 = 512;
const MEMORY_MB: u32 = 64;
/// Ports from which listeners take theirs: below those that the system gives to whoever connects.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// A child process that is killed and reaped when it is dropped.
struct OwnedChild(Child);

impl Drop for OwnedChild {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A command that starts a process, and the address of that process's admin API.
struct PreparedStart {
    command: Command,
    ops: SocketAddr,
}

/// A process of a proxy.
struct Process {
    child: OwnedChild,
    ops: SocketAddr,
    /// Its place among the starts of the report.
    start: usize,
}

/// What belongs to one proxy.
struct Proxy {
    folder: PathBuf,
    listen: SocketAddr,
    /// The process that serves comes last.
    processes: Vec<Process>,
    started: u32,
    /// When a process of it was last killed.
    struck: Option<f64>,
    /// Until when it last stood still.
    stood: Option<f64>,
}

/// All of them.
pub struct Processes {
    place: Place,
    proxies: Vec<Proxy>,
    /// Processes that ended by themselves, in words.
    unwell: Vec<String>,
    next_port: u32,
}

impl Processes {
    pub fn new(place: Place, proxies: usize) -> io::Result<Self> {
        let next_port = PORTS.start + std::process::id() * 997 % (PORTS.end - PORTS.start);
        let mut all = Self { place, proxies: Vec::new(), unwell: Vec::new(), next_port };
        for proxy in 0..proxies {
            let folder = all.place.folder.join(format!("p{proxy}"));
            std::fs::create_dir_all(&folder)?;
            let listen = all.free_address()?;
            all.proxies.push(Proxy {
                folder,
                listen,
                processes: Vec::new(),
                started: 0,
                struck: None,
                stood: None,
            });
        }
        Ok(all)
    }

    /// An address that nobody listens at.
    fn free_address(&mut self) -> io::Result<SocketAddr> {
        for _ in PORTS {
            self.next_port = PORTS.start + (self.next_port + 1 - PORTS.start) % (PORTS.end - PORTS.start);
            let address = SocketAddr::from(([127, 0, 0, 1], self.next_port as u16));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrNotAvailable.into())
    }

    /// Where clients reach a proxy.
    pub fn address(&self, proxy: usize) -> SocketAddr {
        self.proxies[proxy].listen
    }

    /// The start of the process that serves, by its place in the report.
    pub fn start_of(&self, proxy: usize) -> Option<usize> {
        self.proxies[proxy].processes.last().map(|process| process.start)
    }

    /// Whether a process of a proxy was killed since then.
    pub fn was_struck(&self, proxy: usize, since: f64) -> bool {
        self.proxies[proxy].struck.is_some_and(|at| at >= since)
    }

    /// Writes a process's configuration and opens its log.
    fn prepare_start(&mut self, proxy: usize, config: &str) -> io::Result<PreparedStart> {
        let ops = self.free_address()?;
        let own = &mut self.proxies[proxy];
        let path = own.folder.join("config.json");
        // As a whole or not at all: a process may be told to read it at any time.
        let written = own.folder.join("config.new");
        std::fs::write(&written, config)?;
        std::fs::rename(&written, &path)?;
        let log = File::create(own.folder.join(format!("log-{}.txt", own.started)))?;
        own.started += 1;
        let mut command = Command::new(&self.place.program);
        command
            .args(["serve", "--ops", &ops.to_string()])
            .env("GW_CONFIG", &path)
            .env("TMPDIR", &own.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Ok(PreparedStart { command, ops })
    }

    fn signal(&self, proxy: usize, signal: Signal) {
        for process in &self.proxies[proxy].processes {
            send(&process.child, signal);
        }
    }

    /// Whether a proxy's processes have stood still since then.
    pub fn was_stalled(&self, proxy: usize, since: f64) -> bool {
        self.proxies[proxy].stood.is_some_and(|until| until >= since)
    }

    /// Stops a proxy's processes, or lets them go on.
    pub fn stall(&mut self, proxy: usize, stop: bool, now: f64) {
        self.signal(proxy, if stop { Signal::STOP } else { Signal::CONT });
        self.proxies[proxy].stood = Some(if stop { f64::INFINITY } else { now });
    }

    /// Has a proxy read its configuration again.
    pub fn reload(&self, proxy: usize) {
        self.signal(proxy, Signal::HUP);
    }

    /// Ends all, and gives those that had ended by themselves.
    pub fn end_all(&mut self) -> Vec<String> {
        for (number, proxy) in self.proxies.iter_mut().enumerate() {
            for process in &mut proxy.processes {
                if let Ok(Some(status)) = process.child.0.try_wait() {
                    self.unwell.push(format!("Crashed: a process of proxy {number} ended with {status}"));
                }
            }
            proxy.end(0);
        }
        std::mem::take(&mut self.unwell)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.proxies.iter_mut().for_each(|proxy| proxy.end(0));
    }
}

impl Proxy {
    /// Kills all but so many of the newest processes.
    fn end(&mut self, but: usize) {
        let most = self.processes.len().saturating_sub(but);
        self.processes.drain(..most);
    }
}

fn send(child: &OwnedChild, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.0.id() as i32) {
        let _ = kill_process(pid, signal);
    }
}

/// Starts a process of a proxy. The system call runs on a thread of its own: it may take tens of milliseconds, and the
/// stand-ins of the trial must go on answering meanwhile.
pub async fn start(shared: &Shared, proxy: usize) {
    let (config, start) = shared.with(|world| {
        let now = world.clock.now();
        world.report.starts.push(Start { at: now - START, ..Start::default() });
        let settings = Settings {
            instance_index: proxy as u32,
            instance_count: world.plan.proxies as u32,
            zone: ZoneId(world.zones[proxy]),
            ..world.plan.settings.clone()
        };
        let known = world.memory[proxy].map(|version| {
            let entries = world.site.list.whole(version);
            for entry in &entries {
                if let Some(started) = entry.started_at {
                    world.starts.insert((proxy, entry.server.0 as usize), started.as_secs_f64());
                }
            }
            service::listing(world, proxy, &entries, true, version)
        });
        let seed = rand::Rng::random::<u64>(&mut world.rng);
        let config = json!({
            "name": format!("p{proxy}"),
            "listen": world.processes.address(proxy),
            "discovery": world.services[proxy],
            "seed": format!("{seed:016x}"),
            "limits": { "memory_mb": MEMORY_MB, "sockets": SOCKETS },
            "known": known,
            "settings": config::settings(&settings, world.plan.zones, world.plan.idle_s),
        })
        .to_string();
        (config, world.report.starts.len() - 1)
    });
    let prepared = shared.with(|world| world.processes.prepare_start(proxy, &config));
    let started = match prepared {
        Ok(prepared) => spawn(prepared).await,
        Err(e) => Err(e),
    };
    shared.with(|world| match started {
        Ok((child, ops)) => world.processes.proxies[proxy].processes.push(Process { child, ops, start }),
        Err(e) => {
            let what = format!("the trial itself: proxy {proxy} can't be started: {e}");
            world.report.broken.push(what);
        }
    });
    if !shared.with(|world| world.fronts[proxy].open) {
        spawn_local(clients::look(shared.clone(), proxy));
    }
}

async fn spawn(prepared: PreparedStart) -> io::Result<(OwnedChild, SocketAddr)> {
    let PreparedStart { mut command, ops } = prepared;
    let child = spawn_blocking(move || command.spawn().map(OwnedChild)).await??;
    Ok((child, ops))
}

/// Kills a proxy's processes, and starts one anew after so many s.
pub async fn kill(shared: Shared, proxy: usize, for_s: f64) {
    let clock = shared.clock();
    shared.with(|world| {
        let own = &mut world.processes.proxies[proxy];
        own.struck = Some(clock.now());
        own.end(0);
        world.fronts[proxy].idle.clear();
    });
    clock.until(clock.now() + for_s).await;
    shared.with(|world| world.fronts[proxy].open = false);
    start(&shared, proxy).await;
}

/// Tells a proxy's process to end, and starts one anew so many s after the word.
pub async fn restart(shared: Shared, proxy: usize, for_s: f64) {
    let clock = shared.clock();
    let told = clock.now();
    shared.with(|world| world.processes.signal(proxy, Signal::TERM));
    clock.until(told + 0.4).await;
    // The front sends no more; who is there stays.
    shared.with(|world| world.fronts[proxy].open = false);
    clock.until(told + KILLED_S).await;
    shared.with(|world| {
        let own = &mut world.processes.proxies[proxy];
        own.struck = Some(clock.now());
        own.end(0);
        world.fronts[proxy].idle.clear();
    });
    clock.until(told + for_s.max(KILLED_S)).await;
    start(&shared, proxy).await;
}

/// Starts a successor beside a proxy's process, and tells that one to end once the new one is ready.
pub async fn upgrade(shared: Shared, proxy: usize) {
    let clock = shared.clock();
    let began = clock.now();
    if shared.with(|world| world.processes.proxies[proxy].processes.len() != 1) {
        return;
    }
    start(&shared, proxy).await;
    let Some(ops) = shared.with(|world| Some(world.processes.proxies[proxy].processes.get(1)?.ops)) else {
        return;
    };
    while !matches!(call(ops, "GET /control/ready").await, Ok(200)) {
        if clock.now() > began + READY_S {
            shared.with(|world| {
                let what = format!("proxy {proxy}: its successor was not ready after {READY_S} s");
                world.report.broken.push(what);
            });
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    let told = clock.now();
    shared.with(|world| {
        if let Some(old) = world.processes.proxies[proxy].processes.first() {
            send(&old.child, Signal::TERM);
        }
    });
    while clock.now() < told + KILLED_S {
        let ended = shared.with(|world| {
            let old = world.processes.proxies[proxy].processes.first_mut();
            old.is_none_or(|old| matches!(old.child.0.try_wait(), Ok(Some(_))))
        });
        if ended {
            break;
        }
        tokio::time::sleep(LOOK).await;
    }
    shared.with(|world| {
        let own = &mut world.processes.proxies[proxy];
        if own.processes.len() > 1 {
            own.end(1);
        }
    });
}

/// The operators' word on servers, at every proxy.
pub async fn order(shared: &Shared, servers: &[usize], word: &str) {
    let (clock, back) = (shared.clock(), word == "online");
    let calls: Vec<_> = shared.with(|world| {
        let ops = world.processes.proxies.iter().enumerate();
        let ops = ops.flat_map(|(n, proxy)| proxy.processes.iter().map(move |process| (n, process.ops)));
        ops.flat_map(|(n, ops)| servers.iter().map(move |server| (n, ops, *server))).collect()
    });
    let calls = calls.into_iter().map(|(proxy, ops, server)| {
        let (shared, what) = (shared.clone(), format!("POST /control/data-servers/s{server}/{word}"));
        spawn_local(async move {
            let _ = call(ops, &what).await;
            shared.with(|world| world.checker.listed(proxy, server, back, clock.now()));
        })
    });
    for call in calls.collect::<Vec<_>>() {
        let _ = call.await;
    }
}

/// A call on a second address, and the status that comes back.
async fn call(ops: SocketAddr, what: &str) -> io::Result<u16> {
    let request = format!("{what} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n");
    let done = spawn_blocking(move || {
        let mut stream = TcpStream::connect_timeout(&ops, CALL_WITHIN)?;
        stream.set_read_timeout(Some(CALL_WITHIN))?;
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        io::Read::read_to_string(&mut stream, &mut answer)?;
        let status = answer.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
        status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    });
    done.await?
}
