//! A discovery service for any number of watchers: the endpoint list over HTTP/1.1, with changes that a test may
//! delay or withhold.
//!
//! Owns the endpoints and their revisions. Each watcher gets the complete list first and then each change once, in
//! the order of revisions.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::scripted_discovery::{full_list, list_change};

/// Time after which an empty line shows that a watch is alive.
pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Head of the response to a watch.
pub(crate) const CHUNKED_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Shortest wait for a change that is not due yet.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// An entry of the endpoint list, in the terms of the wire.
#[derive(Debug, Clone, Copy)]
pub struct EndpointEntry<'a> {
    /// Its name.
    pub uid: &'a str,
    /// Where the server listens.
    pub address: SocketAddr,
    /// The replica set that it belongs to.
    pub group: u64,
    /// `Ready`, `Terminating` or `Gone`.
    pub state: &'a str,
    /// `read-write` or `read-only`.
    pub mode: &'a str,
}

impl EndpointEntry<'_> {
    /// The entry as JSON.
    pub fn to_json(self) -> String {
        let Self { uid, address, group, state, mode } = self;
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"north","model":"std","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":0,"mode":"{mode}"}}"#
        )
    }
}

/// An endpoint as the discovery service stores it.
#[derive(Debug, Clone)]
pub struct Endpoint {
    /// Its name.
    pub uid: String,
    /// Where the server listens.
    pub address: SocketAddr,
    /// The replica set that it belongs to.
    pub group: u64,
    /// `Ready` or `Terminating`.
    pub state: &'static str,
    /// Whether the list names it as the primary.
    pub is_primary: bool,
}

impl Endpoint {
    /// Its entry as JSON.
    pub fn to_json(&self) -> String {
        let mode = if self.is_primary { "read-write" } else { "read-only" };
        let Self { uid, address, group, state, .. } = self;
        EndpointEntry { uid, address: *address, group: *group, state, mode }.to_json()
    }
}

/// A change of one endpoint.
struct Change {
    /// When watchers may get it.
    due: Instant,
    endpoint_json: String,
}

#[derive(Default)]
struct State {
    endpoints: Vec<Endpoint>,
    changes: Vec<Change>,
    silent: bool,
    stopped: bool,
}

/// The next line for a watcher.
struct PendingLine {
    due: Instant,
    text: String,
    /// Changes that the watcher knows once it has the line.
    known_changes: usize,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The service. Dropping it ends its watches.
pub struct DiscoveryServer {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl DiscoveryServer {
    /// Starts a service with these endpoints.
    pub fn start(endpoints: Vec<Endpoint>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { endpoints, ..State::default() });
        let shared = Arc::new(Shared { state, changed: Condvar::new() });
        let served = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                if served.lock().stopped {
                    return;
                }
                thread::spawn(move || drop(served.serve_watch(stream)));
            }
        });
        Ok(Self { address, shared })
    }

    /// The complete list, in the form of the configuration's `known`.
    pub fn full_list(&self) -> String {
        self.shared.lock().full_list()
    }

    /// Changes an endpoint; watchers are notified after `delay`.
    pub fn update(&self, uid: &str, delay: Duration, change: impl FnOnce(&mut Endpoint)) {
        let mut state = self.shared.lock();
        let Some(endpoint) = state.endpoints.iter_mut().find(|e| e.uid == uid) else { return };
        change(endpoint);
        let endpoint_json = endpoint.to_json();
        state.changes.push(Change { due: Instant::now() + delay, endpoint_json });
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Sends nothing more to any watcher, until [`resume`](Self::resume).
    pub fn silence(&self) {
        self.set_silent(true);
    }

    /// Ends a silence: watchers get what they missed.
    pub fn resume(&self) {
        self.set_silent(false);
    }

    fn set_silent(&self, silent: bool) {
        self.shared.lock().silent = silent;
        self.shared.changed.notify_all();
    }
}

impl Drop for DiscoveryServer {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
        self.shared.changed.notify_all();
        let _ = TcpStream::connect(self.address); // wakes the listener, which then ends
    }
}

impl State {
    fn full_list(&self) -> String {
        let endpoints: Vec<_> = self.endpoints.iter().map(Endpoint::to_json).collect();
        full_list(self.changes.len() as u32 + 1, &endpoints)
    }

    /// The next line for a watcher that knows so many changes, or nothing yet.
    fn next_line(&self, known_changes: Option<usize>) -> Option<PendingLine> {
        let Some(known) = known_changes else {
            let known_changes = self.changes.len();
            return Some(PendingLine { due: Instant::now(), text: self.full_list(), known_changes });
        };
        let change = self.changes.get(known)?;
        let text = list_change(known as u32 + 2, std::slice::from_ref(&change.endpoint_json));
        Some(PendingLine { due: change.due, text, known_changes: known + 1 })
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread of the service panics")
    }

    fn serve_watch(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut head = BufReader::new(stream.try_clone()?).lines();
        while head.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
        stream.write_all(CHUNKED_RESPONSE_HEAD)?;
        let mut known_changes = None;
        while let Some(line) = self.wait_for_line(&mut known_changes) {
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
        }
        Ok(())
    }

    /// Waits for the next line of a watch, empty as a keep-alive; none once the service has stopped.
    fn wait_for_line(&self, known_changes: &mut Option<usize>) -> Option<String> {
        let mut state = self.lock();
        let keep_alive_due = Instant::now() + KEEP_ALIVE_INTERVAL;
        while !state.stopped {
            let wait = if state.silent {
                KEEP_ALIVE_INTERVAL
            } else {
                let next = state.next_line(*known_changes);
                let now = Instant::now();
                match next {
                    Some(line) if line.due <= now => {
                        *known_changes = Some(line.known_changes);
                        return Some(line.text);
                    }
                    _ if now >= keep_alive_due => return Some(String::new()),
                    Some(line) => line.due.min(keep_alive_due).saturating_duration_since(now).max(MIN_WAIT),
                    None => keep_alive_due.saturating_duration_since(now).max(MIN_WAIT),
                }
            };
            state = self.changed.wait_timeout(state, wait).expect("no thread of the service panics").0;
        }
        None
    }
}
