//! Data servers of a soak: a primary and two replicas that record what arrives, and misbehave on command.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pipittack_testkit::discovery_server::EndpointEntry;
use pipittack_testkit::wire::{
    load_report, message, read_message, read_startup, ready_for_query, row, startup_response,
};

/// Time that a server takes for a statement.
const EXECUTION_TIME: Duration = Duration::from_millis(8);

/// Statement that a server has received.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// Time that the proxy still waits, as it told the server.
    pub time_left: Duration,
    pub is_write: bool,
    /// Whether the server is the primary. A replica declines a write without executing it.
    pub is_at_primary: bool,
}

/// How all servers behave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behavior {
    Usual = 0,
    Hanging = 1,
    Endless = 2,
}

/// State that the threads of all servers share.
#[derive(Default)]
struct Shared {
    behavior: AtomicU8,
    arrivals: Mutex<Vec<Arrival>>,
    streams: Mutex<Vec<TcpStream>>,
}

/// The data servers.
#[derive(Clone)]
pub struct Servers {
    shared: Arc<Shared>,
    /// Entries of the endpoint list.
    pub endpoints: Vec<String>,
}

impl Servers {
    pub fn start() -> Self {
        let shared = Arc::new(Shared::default());
        let endpoints = [("a", true), ("b", false), ("c", false)].map(|(uid, is_primary)| {
            let address = start_server(shared.clone(), is_primary);
            let mode = if is_primary { "read-write" } else { "read-only" };
            EndpointEntry { uid, address, group: 1, state: "Ready", mode }.to_json()
        });
        Self { shared, endpoints: endpoints.to_vec() }
    }

    /// Lets all servers behave so for `period`.
    pub fn behave(&self, behavior: Behavior, period: Duration) {
        self.shared.behavior.store(behavior as u8, Ordering::Relaxed);
        thread::sleep(period);
        self.shared.behavior.store(Behavior::Usual as u8, Ordering::Relaxed);
    }

    pub fn close_connections(&self) {
        for stream in self.shared.streams.lock().expect("no thread panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().expect("no thread panics").clone()
    }
}

fn start_server(shared: Arc<Shared>, is_primary: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            shared.streams.lock().expect("no thread panics").extend(stream.try_clone());
            thread::spawn(move || serve(stream, &shared, is_primary));
        }
    });
    address
}

fn serve(mut stream: TcpStream, shared: &Shared, is_primary: bool) {
    if read_startup(&mut stream).is_err() || stream.write_all(&startup_response()).is_err() {
        return;
    }
    while let Some((b'Q', text)) = read_message(&mut stream) {
        let text = String::from_utf8_lossy(&text).into_owned();
        let arrival = parse_arrival(&text, is_primary);
        let is_write = arrival.is_write;
        shared.arrivals.lock().expect("no thread panics").push(arrival);
        thread::sleep(EXECUTION_TIME);
        let behavior = shared.behavior.load(Ordering::Relaxed);
        if behavior == Behavior::Hanging as u8 {
            continue;
        }
        while shared.behavior.load(Ordering::Relaxed) == Behavior::Endless as u8 {
            if stream.write_all(&message(b'N', &[b'n'; 4000])).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(1));
        }
        let result = match is_write && !is_primary {
            true => message(b'E', b"SERROR\0C25006\0Mno\0\0"),
            false => row(b"v"),
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970");
        let report = load_report(is_primary, since_epoch.as_millis() as i64);
        if stream.write_all(&[result, report, ready_for_query()].concat()).is_err() {
            return;
        }
    }
}

fn parse_arrival(text: &str, is_at_primary: bool) -> Arrival {
    let field = |name: &str| {
        let (_, rest) = text.rsplit_once(&format!("{name}="))?;
        rest.split([',', ' ']).next().map(str::to_owned)
    };
    let time_left_ms = field(",d").and_then(|ms| ms.parse().ok()).unwrap_or(0);
    Arrival {
        id: field(" id").unwrap_or_default(),
        at: Instant::now(),
        time_left: Duration::from_millis(time_left_ms),
        is_write: text.starts_with("INSERT"),
        is_at_primary,
    }
}
