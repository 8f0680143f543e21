//! A discovery service for many watchers: the server list over HTTP/1.1, told late or not at all where a script
//! says so.
//!
//! Owns the entries and their versions. It must never tell a watcher a version twice, nor out of order.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which an empty line shows that a watch stands.
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// An entry of the list, in its words.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: SocketAddr,
    /// The set that it belongs to.
    pub group: u64,
    /// `Ready` or `Terminating`.
    pub state: &'static str,
    /// Whether the list takes it for the primary.
    pub primary: bool,
}

impl Target {
    /// The entry as JSON.
    pub fn json(&self) -> String {
        let Self { uid, endpoint, group, state, primary } = self;
        let mode = if *primary { "read-write" } else { "read-only" };
        format!(
            r#"{{"uid":"{uid}","endpoint":"{endpoint}","az":"north","model":"std","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":0,"mode":"{mode}"}}"#
        )
    }
}

#[derive(Default)]
struct State {
    targets: Vec<Target>,
    /// What changed, and when that may be told.
    changes: Vec<(Instant, String)>,
    silent: bool,
    ended: bool,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The service. Dropping it ends its watches.
pub struct ListServer {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl ListServer {
    /// One that starts with these entries.
    pub fn start(targets: Vec<Target>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { targets, ..State::default() });
        let shared = Arc::new(Shared { state, changed: Condvar::new() });
        let served = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                if served.lock().ended {
                    return;
                }
                thread::spawn(move || drop(served.watch(stream)));
            }
        });
        Ok(Self { address, shared })
    }

    /// The whole list as it stands, in the form of the configuration's `known`.
    pub fn whole(&self) -> String {
        self.shared.lock().whole()
    }

    /// Changes an entry; watchers are told so after `late`.
    pub fn update(&self, uid: &str, late: Duration, change: impl FnOnce(&mut Target)) {
        let mut state = self.shared.lock();
        let Some(target) = state.targets.iter_mut().find(|t| t.uid == uid) else { return };
        change(target);
        let json = target.json();
        state.changes.push((Instant::now() + late, json));
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Says nothing more to anybody, or goes on.
    pub fn silence(&self, silent: bool) {
        self.shared.lock().silent = silent;
        self.shared.changed.notify_all();
    }
}

impl Drop for ListServer {
    fn drop(&mut self) {
        self.shared.lock().ended = true;
        self.shared.changed.notify_all();
        let _ = TcpStream::connect(self.address);
    }
}

impl State {
    fn whole(&self) -> String {
        let targets: Vec<_> = self.targets.iter().map(Target::json).collect();
        format!(r#"{{"rev":{},"all":true,"targets":[{}]}}"#, self.changes.len() + 1, targets.join(","))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread of the list panics")
    }

    fn watch(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut head = BufReader::new(stream.try_clone()?).lines();
        while head.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut told = None;
        loop {
            let mut state = self.lock();
            let due = Instant::now() + KEEP_ALIVE;
            let line = loop {
                if state.ended {
                    return Ok(());
                }
                let now = Instant::now();
                let next = match told {
                    None => Some((now, state.whole(), state.changes.len())),
                    Some(n) => state.changes.get(n).map(|(at, json)| {
                        (*at, format!(r#"{{"rev":{},"all":false,"targets":[{json}]}}"#, n + 2), n + 1)
                    }),
                };
                let next = next.filter(|_| !state.silent);
                if let Some((at, line, version)) = &next {
                    if *at <= now {
                        told = Some(*version);
                        break line.clone();
                    }
                }
                if now >= due && !state.silent {
                    break String::new();
                }
                let until = next.map_or(due, |(at, ..)| at.min(due));
                let wait = until.saturating_duration_since(now).max(Duration::from_millis(1));
                let wait = if state.silent { KEEP_ALIVE } else { wait };
                state = self.changed.wait_timeout(state, wait).expect("no thread of the list panics").0;
            };
            drop(state);
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
        }
    }
}
