//! Discovery service for any number of watchers. It serves the endpoint list over HTTP/1.1, and a test can
//! delay or withhold changes.
//!
//! Each watcher receives the complete list first and then each change once, in the order of revisions.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::scripted_discovery::{full_list, list_change};

/// Interval of the empty lines that keep an idle watch alive.
pub(crate) const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Status line and headers of the response to a watch request.
pub(crate) const CHUNKED_RESPONSE_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Minimum wait for a change that is not due yet.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// An entry of the endpoint list, with the field values of the discovery protocol.
#[derive(Debug, Clone, Copy)]
pub struct EndpointEntry<'a> {
    /// Name of the data server.
    pub uid: &'a str,
    /// Address on which the data server listens.
    pub address: SocketAddr,
    /// Number of the replica set that the data server belongs to.
    pub group: u64,
    /// State of the data server: `Ready`, `Terminating` or `Gone`.
    pub state: &'a str,
    /// Role of the data server: `read-write` for the primary, `read-only` for a replica.
    pub mode: &'a str,
}

impl EndpointEntry<'_> {
    /// Returns the entry as JSON.
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
    /// Name of the data server.
    pub uid: String,
    /// Address on which the data server listens.
    pub address: SocketAddr,
    /// Number of the replica set that the data server belongs to.
    pub group: u64,
    /// State of the data server: `Ready` or `Terminating`.
    pub state: &'static str,
    /// Whether the list names the data server as the primary.
    pub is_primary: bool,
}

impl Endpoint {
    /// Returns the endpoint's list entry as JSON.
    pub fn to_json(&self) -> String {
        let mode = if self.is_primary { "read-write" } else { "read-only" };
        let Self { uid, address, group, state, .. } = self;
        EndpointEntry { uid, address: *address, group: *group, state, mode }.to_json()
    }
}

/// A change of one endpoint, as one revision of the list.
struct Change {
    /// Time from which the service sends the change to watchers.
    due: Instant,
    endpoint_json: String,
}

#[derive(Default)]
struct State {
    endpoints: Vec<Endpoint>,
    /// All changes since the start. The index of a change determines its revision.
    changes: Vec<Change>,
    silent: bool,
    stopped: bool,
}

/// The next line to send on a watch.
struct PendingLine {
    due: Instant,
    text: String,
    /// Number of changes that the watcher has received once it has read the line.
    known_changes: usize,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running discovery service. Dropping it ends its watches and its listener.
pub struct DiscoveryServer {
    /// Address on which the service listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl DiscoveryServer {
    /// Starts a service on a free loopback port with these endpoints.
    pub fn start(endpoints: Vec<Endpoint>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { endpoints, ..State::default() });
        let shared = Arc::new(Shared { state, changed: Condvar::new() });
        let service = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                if service.lock().stopped {
                    return;
                }
                thread::spawn(move || drop(service.serve_watch(stream)));
            }
        });
        Ok(Self { address, shared })
    }

    /// Returns the complete list as JSON, in the format of the configuration key `known`.
    pub fn full_list(&self) -> String {
        self.shared.lock().full_list()
    }

    /// Changes an endpoint and sends the change to watchers after `delay`. Does nothing if `uid` is not
    /// listed.
    pub fn update(&self, uid: &str, delay: Duration, change: impl FnOnce(&mut Endpoint)) {
        let mut state = self.shared.lock();
        let Some(endpoint) = state.endpoints.iter_mut().find(|e| e.uid == uid) else { return };
        change(endpoint);
        let endpoint_json = endpoint.to_json();
        state.changes.push(Change { due: Instant::now() + delay, endpoint_json });
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Stops all output to watchers, keep-alive lines included, until [`resume`](Self::resume).
    pub fn silence(&self) {
        self.set_silent(true);
    }

    /// Resumes output to watchers, starting with the changes that they missed.
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
        let _ = TcpStream::connect(self.address); // unblocks `accept`, so that the listener thread ends
    }
}

impl State {
    fn full_list(&self) -> String {
        let endpoints: Vec<_> = self.endpoints.iter().map(Endpoint::to_json).collect();
        full_list(self.changes.len() as u32 + 1, &endpoints)
    }

    /// Returns the next line for a watcher that has received `known_changes` changes, or no list yet if
    /// `None`. Returns `None` if there is no further change.
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
        self.state.lock().expect("the lock is not poisoned")
    }

    fn serve_watch(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut header_lines = BufReader::new(stream.try_clone()?).lines();
        while header_lines.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
        stream.write_all(CHUNKED_RESPONSE_HEAD)?;
        let mut known_changes = None;
        while let Some(line) = self.wait_for_line(&mut known_changes) {
            stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())?;
        }
        Ok(())
    }

    /// Waits for the next line of a watch. Returns an empty line as a keep-alive, and `None` once the service
    /// has stopped.
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
            state = self.changed.wait_timeout(state, wait).expect("the lock is not poisoned").0;
        }
        None
    }
}
