//! Clients of a soak: usual ones, which keep to the protocol, and ones that leave.

use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use pipittack_testkit::closing_stream::ClosingStream;
use pipittack_testkit::wire::{query, read_message, startup};

use crate::balancer::Balancer;
use crate::instance::Instance;
use crate::support::*;

/// Number of usual clients.
const USUAL_CLIENTS: usize = 6;
/// Time from one request of a usual client to the next.
const USUAL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a usual client waits for a response.
pub const TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which a client stops waiting for a response that has not come.
const PATIENCE: Duration = Duration::from_secs(6);
/// Time that a leaving client stays after its first statement.
const STAY: Duration = Duration::from_millis(30);

/// Client that closed its connection.
#[derive(Debug, Clone)]
pub struct Departure {
    /// Start of the ids of its requests.
    pub id_prefix: String,
    pub at: Instant,
}

/// What clients did.
#[derive(Default)]
pub struct RequestLog {
    pub departures: Mutex<Vec<Departure>>,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    Served,
    /// Rejected or failed.
    Error,
    /// The connection ended before the response, on a connection that had responses before or on a new one.
    ConnectionEnded {
        is_new: bool,
    },
    /// No connection could be opened, or none may be.
    Unreachable,
}

/// A request of a usual client.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub sent_at: Instant,
    /// Time at which the client sent the request once more, as its connection had ended.
    pub sent_again_at: Option<Instant>,
    pub ended_at: Instant,
    pub ending: Ending,
}

/// Usual clients until they are finished.
pub struct UsualClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Outcome>>>,
}

impl UsualClients {
    pub fn start(instance: &Instance) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..USUAL_CLIENTS)
            .map(|number| {
                let (stop, balancer) = (stop.clone(), instance.balancer.clone());
                thread::spawn(move || send_usual_requests(number, &balancer, &stop))
            })
            .collect();
        Self { stop, threads }
    }

    /// Stops the clients and returns all outcomes.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a client does not panic")).collect()
    }
}

fn send_usual_requests(client: usize, balancer: &Balancer, stop: &AtomicBool) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut connection: Option<ClosingStream> = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("u{client}-{number}");
        let statement = match number % 3 {
            0 => write_statement_with_id(&id, TIMEOUT.as_millis() as u32),
            _ => read_statement_with_id(&id, TIMEOUT.as_millis() as u64),
        };
        let sent_at = Instant::now();
        let mut sent_again_at = None;
        let ending = send(&mut connection, balancer, &query(&statement), &mut sent_again_at);
        outcomes.push(Outcome { id, sent_at, sent_again_at, ended_at: Instant::now(), ending });
        thread::sleep(USUAL_INTERVAL.saturating_sub(sent_at.elapsed()));
    }
    outcomes
}

/// Sends a request on the open connection or, if a close between two requests has crossed it, once more on a new one.
/// Sets `sent_again_at` then.
fn send(
    connection: &mut Option<ClosingStream>,
    balancer: &Balancer,
    request: &[u8],
    sent_again_at: &mut Option<Instant>,
) -> Ending {
    let sent_at = Instant::now();
    let is_open = connection.is_some();
    if let Some(mut stream) = connection.take() {
        if stream.write_all(request).is_ok() {
            if let Some(ending) = read_ending(&mut stream) {
                *connection = Some(stream);
                return ending;
            }
        }
    }
    if is_open && !balancer.may_send_again(sent_at) {
        return Ending::ConnectionEnded { is_new: false };
    }
    let Some(address) = balancer.address() else { return Ending::Unreachable };
    *sent_again_at = is_open.then(Instant::now);
    let Ok(mut stream) = ClosingStream::connect(address) else { return Ending::Unreachable };
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let is_sent = stream.write_all(&[&startup(), request].concat()).is_ok();
    // The response to the startup packet comes first; an error there is the response to the request as well.
    match is_sent.then(|| read_ending(&mut stream)).flatten() {
        Some(Ending::Error) => return Ending::Error,
        Some(_) => {}
        None => return Ending::ConnectionEnded { is_new: true },
    }
    match read_ending(&mut stream) {
        Some(ending) => {
            *connection = Some(stream);
            ending
        }
        None => Ending::ConnectionEnded { is_new: true },
    }
}

/// Reads a response to its end. Returns `None` if the connection ends before.
fn read_ending(stream: &mut ClosingStream) -> Option<Ending> {
    let mut has_error = false;
    while let Some((kind, _)) = read_message(&mut **stream) {
        has_error |= kind == b'E';
        if kind == b'Z' {
            return Some(if has_error { Ending::Error } else { Ending::Served });
        }
    }
    has_error.then_some(Ending::Error)
}

/// Clients that send requests and leave.
pub struct LeavingClient;

impl LeavingClient {
    /// Sends a write and `bytes_ahead` bytes of reads, and closes the connection a moment later.
    pub fn run(instance: &Instance, bytes_ahead: usize) {
        static NEXT: Mutex<usize> = Mutex::new(0);
        let number = {
            let mut next = NEXT.lock().expect("no thread panics");
            *next += 1;
            *next
        };
        let id_prefix = format!("leaving{number}-");
        let Ok(mut stream) = ClosingStream::connect(instance.current().address) else { return };
        let mut bytes = [startup(), query(&write_statement_with_id(&format!("{id_prefix}w"), 2000))].concat();
        while bytes.len() < bytes_ahead {
            let id = format!("{id_prefix}{}", bytes.len());
            bytes.extend(query(&read_statement_with_id(&id, 1500)));
        }
        let _ = stream.set_write_timeout(Some(STAY));
        let _ = stream.write_all(&bytes);
        thread::sleep(STAY);
        drop(stream);
        let departure = Departure { id_prefix, at: Instant::now() };
        instance.requests.departures.lock().expect("no thread panics").push(departure);
    }

    /// Sends writes, leaves while they run, and sends each again under its id.
    pub fn run_repeats(instance: &Instance) {
        for round in 0..4 {
            let id =
                format!("repeat{}-{round}", instance.requests.departures.lock().expect("no panic").len());
            let request = [startup(), query(&write_statement_with_id(&id, 2000))].concat();
            for _ in 0..2 {
                if let Ok(mut stream) = ClosingStream::connect(instance.current().address) {
                    let _ = stream.write_all(&request);
                    thread::sleep(Duration::from_millis(4 * (round + 1)));
                }
            }
        }
        let departure = Departure { id_prefix: "none-".to_owned(), at: Instant::now() };
        instance.requests.departures.lock().expect("no thread panics").push(departure);
    }
}
