//! Floods: clients that send bytes to the proxy as fast as it reads them, beside usual clients whose response
//! times are measured.

use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use pipittack_testkit::closing_stream::ClosingStream;
use pipittack_testkit::wire::{query, startup};

use super::{message_kinds, read_statement_with_id, Client, Proxy};

/// Pause of a flooding client whose socket is full and has nothing to read.
const BLOCKED_PAUSE: Duration = Duration::from_micros(100);
/// Time from one request of a usual client to the next.
const USUAL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of usual clients.
const USUAL_CLIENTS: usize = 4;
/// Time that a usual client waits for a response, in milliseconds.
const TIMEOUT_MS: u64 = 400;
/// A response up to half a second after its time is late; a later one is lost.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(TIMEOUT_MS + 500);

/// What a flooding client sends.
#[derive(Clone)]
pub struct Flood {
    /// Bytes that each connection starts with.
    pub opening: Vec<u8>,
    /// Bytes that are sent again and again after `opening`.
    pub repeated: Vec<u8>,
    /// Whether the client reads what it gets.
    pub reads: bool,
    /// Whether the client closes its connection once it has sent everything a first time.
    pub reconnects: bool,
}

impl Flood {
    /// Returns a flood of these bytes on connections whose startup is not complete.
    pub fn of_startup_packets(packet: &[u8]) -> Self {
        Self { opening: Vec::new(), repeated: packet.repeat(1000), reads: true, reconnects: false }
    }

    /// Returns a flood of these messages on connections whose startup is complete.
    pub fn of_messages(messages: &[u8]) -> Self {
        let repeated = messages.repeat(1 + 16_384 / messages.len());
        Self { opening: startup(), repeated, reads: true, reconnects: false }
    }

    /// Returns a flood of statements, each made from its number.
    pub fn of_statements(statement: impl Fn(usize) -> String) -> Self {
        Self::of_messages(&(0..2000).flat_map(|number| query(&statement(number))).collect::<Vec<_>>())
    }

    /// Returns a flood of connections that each send these bytes once.
    pub fn of_connections(bytes: &[u8]) -> Self {
        Self { opening: Vec::new(), repeated: bytes.to_vec(), reads: true, reconnects: true }
    }
}

/// Clients that send a flood until this handle is dropped.
pub struct FloodingClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl FloodingClients {
    /// Starts `count` clients that connect to `address`. A client whose connection ends opens another one.
    pub fn start(address: SocketAddr, count: usize, flood: &Flood) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start_client = |_| {
            let (flood, stop) = (flood.clone(), stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    match ClosingStream::connect(address) {
                        Ok(stream) => send_flood(&stream, &flood, &stop),
                        Err(_) => thread::sleep(BLOCKED_PAUSE),
                    }
                }
            })
        };
        let threads = (0..count).map(start_client).collect();
        Self { stop, threads }
    }
}

impl Drop for FloodingClients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Sends a flood on one connection until the connection ends or `stop` is set.
fn send_flood(mut stream: &std::net::TcpStream, flood: &Flood, stop: &AtomicBool) {
    if stream.set_nonblocking(true).is_err() {
        return;
    }
    let mut pending: &[u8] = &flood.opening;
    let mut buffer = vec![0; 1 << 16];
    while !stop.load(Ordering::Relaxed) {
        if pending.is_empty() {
            pending = &flood.repeated;
        }
        let written = match stream.write(pending) {
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => return,
        };
        pending = &pending[written..];
        if flood.reconnects && pending.is_empty() {
            return;
        }
        let read = match stream.read(&mut buffer[..if flood.reads { 1 << 16 } else { 0 }]) {
            Ok(0) if flood.reads => return,
            Ok(count) => count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => 0,
            Err(_) => return,
        };
        if written == 0 && read == 0 {
            thread::sleep(BLOCKED_PAUSE);
        }
    }
}

/// Responses that usual clients got.
#[derive(Debug, Default, Clone, Copy)]
pub struct UsualResponses {
    pub sent: usize,
    /// Responses that came later than half a second after their time, or never.
    pub lost: usize,
    /// Requests that got an error in time.
    pub rejected: usize,
    pub longest: Duration,
}

/// Usual clients that send a read each 20 ms.
///
/// A client whose connection is closed between requests sends its request once more on a new connection, if it
/// reconnects.
pub struct UsualClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<UsualResponses>>,
}

impl UsualClients {
    /// Connects the clients and starts to send. The ids of their requests start with `prefix`.
    pub fn start(proxy: &Proxy, prefix: &str) -> Self {
        Self::start_each(prefix, |prefix, stop| {
            let client = Client::connect(proxy);
            thread::spawn(move || send_usual_requests(client, None, &prefix, &stop))
        })
    }

    /// Starts clients that reconnect to the proxy's address, which its successors share. A client that the proxy
    /// rejects while others take all places tries again, and must get a place as soon as a response.
    pub fn start_reconnecting(proxy: &Proxy, prefix: &str) -> Self {
        Self::start_each(prefix, |prefix, stop| {
            let address = proxy.address;
            let started_at = Instant::now();
            let client = Client::connect_to(address);
            let time = started_at.elapsed();
            assert!(time <= MAX_RESPONSE_TIME, "a usual client was connected after {time:?}");
            thread::spawn(move || send_usual_requests(client, Some(address), &prefix, &stop))
        })
    }

    fn start_each(
        prefix: &str,
        start: impl Fn(String, Arc<AtomicBool>) -> JoinHandle<UsualResponses>,
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let start_client = |client_number| start(format!("{prefix}-{client_number}"), stop.clone());
        let threads = (0..USUAL_CLIENTS).map(start_client).collect();
        Self { stop, threads }
    }

    /// Stops the clients and returns the sum of their responses.
    pub fn finish(self) -> UsualResponses {
        self.stop.store(true, Ordering::Relaxed);
        let results = self.threads.into_iter().map(|thread| thread.join().expect("a client does not panic"));
        results.fold(UsualResponses::default(), |sum, result| UsualResponses {
            sent: sum.sent + result.sent,
            lost: sum.lost + result.lost,
            rejected: sum.rejected + result.rejected,
            longest: sum.longest.max(result.longest),
        })
    }
}

fn send_usual_requests(
    mut client: Client,
    reconnects_to: Option<SocketAddr>,
    prefix: &str,
    stop: &AtomicBool,
) -> UsualResponses {
    let mut responses = UsualResponses::default();
    while !stop.load(Ordering::Relaxed) {
        let sent_at = Instant::now();
        let id = format!("{prefix}-{}", responses.sent);
        let statement = read_statement_with_id(&id, TIMEOUT_MS);
        let mut response = client.try_request(&statement);
        if let (true, Some(address)) = (response.is_empty(), reconnects_to) {
            client = Client::connect_to(address);
            response = client.try_request(&statement);
        }
        let time = sent_at.elapsed();
        responses.sent += 1;
        responses.longest = responses.longest.max(time);
        let kinds = message_kinds(&response);
        let is_answered = ["TDCZ", "EZ"].contains(&kinds.as_str());
        responses.rejected += usize::from(kinds == "EZ");
        responses.lost += usize::from(!is_answered || time > MAX_RESPONSE_TIME);
        if !is_answered {
            return responses;
        }
        thread::sleep(USUAL_INTERVAL.saturating_sub(time));
    }
    responses
}

/// Floods the proxy for `period` beside usual clients, which start before the flood. Returns the responses of
/// the usual clients.
pub fn usual_responses_beside_flood(
    proxy: &Proxy,
    address: SocketAddr,
    clients: usize,
    flood: &Flood,
    period: Duration,
) -> UsualResponses {
    static NEXT: Mutex<usize> = Mutex::new(0);
    let number = {
        let mut next = NEXT.lock().expect("no thread panics with the lock");
        *next += 1;
        *next
    };
    let usual_clients = UsualClients::start(proxy, &format!("usual-{number}"));
    thread::sleep(5 * USUAL_INTERVAL);
    let flooding_clients = FloodingClients::start(address, clients, flood);
    thread::sleep(period);
    let responses = usual_clients.finish();
    drop(flooding_clients);
    responses
}

/// Returns the largest amount of physical memory that a process has used, in bytes.
pub fn peak_memory_bytes(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("the kernel reports it");
    let kilobytes: u64 =
        line.trim().trim_end_matches(" kB").parse().expect("the kernel reports a number of kilobytes");
    kilobytes * 1024
}
