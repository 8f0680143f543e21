//! Hundreds of planned restarts under clients that never pause: each request gets its final answer, also one that
//! crossed the close of its connection and came again on a new one.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::{Duration, Instant};

use pipittack_testkit::discovery_server::{DiscoveryServer, Endpoint};
use pipittack_testkit::proxy_process::ProxyProcess;
use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};
use pipittack_testkit::wire::{query, read_message, startup};

const PATIENCE: Duration = Duration::from_secs(20);
/// Proxies side by side, and how often each is told to end.
const PROXIES: usize = 20;
const RESTARTS: usize = 10;
/// Clients of each that keep their connection, and those that open one for each request.
const KEEPING: u64 = 4;
const FRESH: u64 = 1;
/// For so long after the word the front still sends new connections.
const FRONT: Duration = Duration::from_millis(300);

/// What became of all requests.
#[derive(Debug, Default)]
struct Tally {
    answered: AtomicU64,
    /// Sent again, since the connection had closed before a byte of an answer came.
    crossed: AtomicU64,
    /// Nobody listened, as happens to a client that stalls for longer than the door stays open: it is told so, and the
    /// front would send it elsewhere.
    unheard: AtomicU64,
    /// Taken by a machine that never answered.
    lost: AtomicU64,
}

fn open(proxy: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(proxy)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Sends bytes and reads one final answer; false where the connection ended before any of it.
fn ask(stream: &mut TcpStream, bytes: &[u8]) -> bool {
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

/// A request of its own id: every third one is a write.
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
    /// A request on a new connection, in one segment with the startup packet.
    fn fresh(&self, proxy: SocketAddr, id: u64) -> Option<TcpStream> {
        let Ok(mut stream) = open(proxy) else {
            self.unheard.fetch_add(1, Relaxed);
            return None;
        };
        let answered = ask(&mut stream, &[startup(), request(id)].concat());
        let count = if answered { &self.answered } else { &self.lost };
        count.fetch_add(1, Relaxed);
        answered.then_some(stream)
    }

    /// Asks on one connection until it is let go; the request that crossed that comes again.
    fn keep_asking(&self, proxy: SocketAddr, mut id: u64) {
        let Some(mut stream) = self.fresh(proxy, id) else { return };
        loop {
            id += 1;
            if !ask(&mut stream, &request(id)) {
                self.crossed.fetch_add(1, Relaxed);
                self.fresh(proxy, id);
                return;
            }
            self.answered.fetch_add(1, Relaxed);
        }
    }
}

/// One process under clients, from its start until it has ended.
fn restart(program: &mut ProxyProcess, round: u64, tally: &Tally) {
    let (proxy, before) = (program.address, tally.answered.load(Relaxed));
    let told = std::sync::OnceLock::<Instant>::new();
    std::thread::scope(|scope| {
        for client in 0..KEEPING {
            scope.spawn(move || tally.keep_asking(proxy, (round << 32) + (client << 24)));
        }
        for client in KEEPING..KEEPING + FRESH {
            let told = &told;
            scope.spawn(move || {
                let mut id = (round << 32) + (client << 24);
                while told.get().is_none_or(|at| at.elapsed() < FRONT) {
                    id += 1;
                    tally.fresh(proxy, id);
                }
            });
        }
        while tally.answered.load(Relaxed) < before + 20 {
            std::thread::yield_now();
        }
        let end = program.terminate();
        told.set(Instant::now()).expect("it is told once");
        end.expect("it runs");
    });
    assert!(program.wait_for_exit().expect("it ends in time"), "a clean end");
}

#[test]
fn every_request_is_answered_though_its_proxy_is_restarted() {
    let server = ScriptedServer::start(ServerRole::Primary, |_| Reply::Row(b"v".to_vec()));
    let uid = "a".to_owned();
    let entry = Endpoint { uid, address: server.address, group: 1, state: "Ready", is_primary: true };
    let list = DiscoveryServer::start(vec![entry]).expect("it listens");
    let config = include_str!("../examples/config.json")
        .replace("127.0.0.1:5433", "LISTEN")
        .replace("127.0.0.1:8500", &list.address.to_string())
        .replace(r#""settings""#, &format!(r#""known": {}, "settings""#, list.full_list()));
    let folder = |proxy: usize| {
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("restart-{}-{proxy}", std::process::id()))
    };
    let tally = Tally::default();
    std::thread::scope(|scope| {
        for proxy in 0..PROXIES {
            let (config, tally) = (&config, &tally);
            scope.spawn(move || {
                let built = Path::new(env!("CARGO_BIN_EXE_pipittack"));
                let mut program = ProxyProcess::start(built, &folder(proxy), config).expect("it starts");
                for round in 0..RESTARTS {
                    if round > 0 {
                        program.restart().expect("it starts again at its address");
                    }
                    restart(&mut program, (proxy * RESTARTS + round) as u64, tally);
                }
            });
        }
    });
    let count = |of: &AtomicU64| of.load(Relaxed);
    assert!(count(&tally.crossed) > 0 && count(&tally.answered) > 1000, "{tally:?}");
    assert_eq!(count(&tally.lost), 0, "{tally:?}");
}
