//! Two hundred planned restarts under constant load: each request gets its final response, also one that
//! crossed the close of its connection and is sent again on a new one.

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
/// Proxies side by side.
const PROXIES: usize = 20;
/// How often each proxy is terminated.
const RESTARTS: usize = 10;
/// Clients of each proxy that reuse their connection.
const PERSISTENT_CLIENTS: u64 = 4;
/// Clients of each proxy that open a connection for each request.
const RECONNECTING_CLIENTS: u64 = 1;
/// Time after the signal during which the load balancer in front still sends new connections.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(300);

/// Counts of all requests, by what became of them.
#[derive(Debug, Default)]
struct Tally {
    answered: AtomicU64,
    /// Sent again, because the connection was closed before a byte of a response came.
    crossed_close: AtomicU64,
    /// Not connected, because the client came after the listener had closed. It gets an error, and the load
    /// balancer would send it elsewhere.
    connection_refused: AtomicU64,
    /// Accepted and never answered.
    lost: AtomicU64,
}

fn open(proxy: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(proxy)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    Ok(stream)
}

/// Sends bytes and reads one final response; false where the connection ended before any of it.
fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> bool {
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

/// A query with this id; every third one is a write.
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

impl Tally {
    /// Sends a request on a new connection, in one segment with the startup packet.
    fn request_on_new_connection(&self, proxy: SocketAddr, id: u64) -> Option<TcpStream> {
        let Ok(mut stream) = open(proxy) else {
            self.connection_refused.fetch_add(1, Relaxed);
            return None;
        };
        let answered = exchange(&mut stream, &[startup(), request(id)].concat());
        let count = if answered { &self.answered } else { &self.lost };
        count.fetch_add(1, Relaxed);
        answered.then_some(stream)
    }

    /// Sends requests on one connection until it is closed, and the one that crossed the close again.
    fn request_until_close(&self, proxy: SocketAddr, mut id: u64) {
        let Some(mut stream) = self.request_on_new_connection(proxy, id) else { return };
        loop {
            id += 1;
            if !exchange(&mut stream, &request(id)) {
                self.crossed_close.fetch_add(1, Relaxed);
                self.request_on_new_connection(proxy, id);
                return;
            }
            self.answered.fetch_add(1, Relaxed);
        }
    }
}

/// Runs one process under load, from its start until it has exited.
fn run_under_load(process: &mut ProxyProcess, round: u64, tally: &Tally) {
    let proxy = process.address;
    let answered_before = tally.answered.load(Relaxed);
    let terminated_at = std::sync::OnceLock::<Instant>::new();
    std::thread::scope(|scope| {
        for client in 0..PERSISTENT_CLIENTS {
            scope.spawn(move || tally.request_until_close(proxy, (round << 32) + (client << 24)));
        }
        for client in PERSISTENT_CLIENTS..PERSISTENT_CLIENTS + RECONNECTING_CLIENTS {
            let terminated_at = &terminated_at;
            scope.spawn(move || {
                let mut id = (round << 32) + (client << 24);
                while terminated_at.get().is_none_or(|at| at.elapsed() < LOAD_BALANCER_DELAY) {
                    id += 1;
                    tally.request_on_new_connection(proxy, id);
                }
            });
        }
        while tally.answered.load(Relaxed) < answered_before + 20 {
            std::thread::yield_now();
        }
        let result = process.terminate();
        terminated_at.set(Instant::now()).expect("it is set once");
        result.expect("it runs");
    });
    assert!(process.wait_for_exit().expect("it exits in time"), "a clean exit");
}

#[test]
fn every_request_is_answered_across_restarts() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Row(b"v".to_vec()));
    let uid = "a".to_owned();
    let endpoint = Endpoint { uid, address: server.address, group: 1, state: "Ready", is_primary: true };
    let discovery = DiscoveryServer::start(vec![endpoint]).expect("it listens");
    let config = include_str!("../examples/config.json")
        .replace("127.0.0.1:5433", "LISTEN")
        .replace("127.0.0.1:8500", &discovery.address.to_string())
        .replace(r#""settings""#, &format!(r#""known": {}, "settings""#, discovery.full_list()));
    let folder = |proxy: usize| {
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("restart-{}-{proxy}", std::process::id()))
    };
    let tally = Tally::default();
    std::thread::scope(|scope| {
        for proxy in 0..PROXIES {
            let (config, tally) = (&config, &tally);
            scope.spawn(move || {
                let program = Path::new(env!("CARGO_BIN_EXE_pipittack"));
                let mut process = ProxyProcess::start(program, &folder(proxy), config).expect("it starts");
                for round in 0..RESTARTS {
                    if round > 0 {
                        process.restart().expect("it starts again at its address");
                    }
                    run_under_load(&mut process, (proxy * RESTARTS + round) as u64, tally);
                }
            });
        }
    });
    let count = |of: &AtomicU64| of.load(Relaxed);
    assert!(count(&tally.crossed_close) > 0 && count(&tally.answered) > 1000, "{tally:?}");
    assert_eq!(count(&tally.lost), 0, "{tally:?}");
}
