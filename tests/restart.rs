//! Two hundred planned restarts under constant load. Every request must get its final response. A request
//! that crosses the close of its connection is sent again on a new connection.

use std::collections::HashSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use pipittack_testkit::discovery_server::{DiscoveryServer, Endpoint};
use pipittack_testkit::proxy_process::ProxyProcess;
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{query, read_message, startup};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of proxies that run side by side.
const PROXIES: usize = 20;
/// Number of times that each proxy is terminated.
const RESTARTS: usize = 10;
/// Number of clients per proxy that reuse their connection.
const PERSISTENT_CLIENTS: u64 = 4;
/// Number of clients per proxy that open a connection for each request.
const RECONNECTING_CLIENTS: u64 = 1;
/// Time after the signal during which the load balancer still sends new connections.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);

/// Counts of all requests by result.
#[derive(Debug, Default)]
struct RequestCounts {
    /// Requests with a final response.
    answered: AtomicU64,
    /// Requests sent again because the connection was closed before the first byte of the response.
    crossed_close: AtomicU64,
    /// Connects refused because the listener was already closed. The client gets an error. A load balancer
    /// would send the client to another proxy.
    connection_refused: AtomicU64,
    /// Requests on a new connection that got no final response.
    lost: AtomicU64,
}

fn open(proxy: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(proxy)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(stream)
}

/// Sends bytes and reads messages up to the end of a response. Returns whether the response contained
/// CommandComplete or ErrorResponse. Returns false if the connection ended or timed out before.
fn send_and_receive(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    if stream.write_all(bytes).is_err() {
        return false;
    }
    let mut answered = false;
    while let Some((kind, _)) = read_message(stream) {
        match kind {
            b'C' | b'E' => answered = true,
            b'Z' if answered => break,
            _ => {}
        }
    }
    answered
}

/// Returns a query with this id. Every third id is a write.
fn request(id: u64) -> Vec<u8> {
    let comment = |class| format!("/* id={id:x},c={class},d=1000,cluster=1 */");
    query(&match id % 3 {
        0 => format!(
            r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body {}",
            comment("usage-write")
        ),
        _ => format!("SELECT body FROM objects WHERE oid = 'k' {}", comment("font-lookup")),
    })
}

impl RequestCounts {
    /// Sends a request on a new connection, in one write with the startup packet. Returns the connection if
    /// the request was answered.
    fn request_on_new_connection(&self, proxy: SocketAddr, id: u64) -> Option<TcpStream> {
        let Ok(mut stream) = open(proxy) else {
            self.connection_refused.fetch_add(1, Relaxed);
            return None;
        };
        let answered = send_and_receive(&mut stream, &[startup(), request(id)].concat());
        let counter = if answered { &self.answered } else { &self.lost };
        counter.fetch_add(1, Relaxed);
        answered.then_some(stream)
    }

    /// Sends requests on one connection until it is closed. Sends the request that crossed the close again on
    /// a new connection.
    fn request_until_close(&self, proxy: SocketAddr, mut id: u64) {
        let Some(mut stream) = self.request_on_new_connection(proxy, id) else { return };
        loop {
            id += 1;
            if !send_and_receive(&mut stream, &request(id)) {
                self.crossed_close.fetch_add(1, Relaxed);
                self.request_on_new_connection(proxy, id);
                return;
            }
            self.answered.fetch_add(1, Relaxed);
        }
    }
}

/// Returns the writes that a server has received more than once. A write that crosses the close of its
/// connection is sent again, so the proxy must not have forwarded it.
fn writes_received_twice(server: &ScriptedServer) -> Vec<String> {
    let statements = server.statements();
    let writes = statements.iter().filter(|statement| statement.starts_with("INSERT"));
    let ids = writes.filter_map(|statement| statement.split_once("id=")?.1.split(',').next());
    let mut received = HashSet::new();
    ids.filter(|id| !received.insert(*id)).map(str::to_owned).collect()
}

/// Runs one process under load until it has been terminated and has exited. `run` numbers the runs of all
/// processes, so that request ids are unique.
fn run_under_load(process: &mut ProxyProcess, run: u64, counts: &RequestCounts) {
    let proxy = process.address;
    let answered_before = counts.answered.load(Relaxed);
    let terminated_at = std::sync::OnceLock::<Instant>::new();
    std::thread::scope(|scope| {
        for client in 0..PERSISTENT_CLIENTS {
            scope.spawn(move || counts.request_until_close(proxy, (run << 32) + (client << 24)));
        }
        for client in PERSISTENT_CLIENTS..PERSISTENT_CLIENTS + RECONNECTING_CLIENTS {
            let terminated_at = &terminated_at;
            scope.spawn(move || {
                let mut id = (run << 32) + (client << 24);
                while terminated_at.get().is_none_or(|at| at.elapsed() < LOAD_BALANCER_DELAY) {
                    id += 1;
                    counts.request_on_new_connection(proxy, id);
                }
            });
        }
        while counts.answered.load(Relaxed) < answered_before + 20 {
            std::thread::yield_now();
        }
        let result = process.terminate();
        terminated_at.set(Instant::now()).expect("the time is set once");
        result.expect("the process is running");
    });
    assert!(process.wait_for_exit().expect("the process exits in time"), "expected a successful exit");
}

#[test]
fn every_request_is_answered_across_restarts() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Row(b"v".to_vec()));
    let uid = "a".to_owned();
    let endpoint = Endpoint { uid, address: server.address, group: 1, state: "Ready", is_primary: true };
    let discovery = DiscoveryServer::start(vec![endpoint]).expect("the discovery service can be started");
    let config = include_str!("../examples/config.json")
        .replace("127.0.0.1:5433", "LISTEN")
        .replace("127.0.0.1:8500", &discovery.address.to_string())
        .replace(r#""settings""#, &format!(r#""known": {}, "settings""#, discovery.full_list()));
    let folder = |proxy: usize| {
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("restart-{}-{proxy}", std::process::id()))
    };
    let counts = RequestCounts::default();
    std::thread::scope(|scope| {
        for proxy in 0..PROXIES {
            let (config, counts) = (&config, &counts);
            scope.spawn(move || {
                let program = Path::new(env!("CARGO_BIN_EXE_pipittack"));
                let mut process =
                    ProxyProcess::start(program, &folder(proxy), config).expect("the proxy can be started");
                for round in 0..RESTARTS {
                    if round > 0 {
                        process.restart().expect("the proxy can be restarted at its address");
                    }
                    run_under_load(&mut process, (proxy * RESTARTS + round) as u64, counts);
                }
            });
        }
    });
    let count = |counter: &AtomicU64| counter.load(Relaxed);
    assert!(count(&counts.crossed_close) > 0 && count(&counts.answered) > 1000, "{counts:?}");
    assert_eq!(count(&counts.lost), 0, "{counts:?}");
    assert_eq!(writes_received_twice(&server), Vec::<String>::new(), "{counts:?}");
}
