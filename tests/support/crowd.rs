//! Crowds: hundreds of clients at once that make the proxy keep bytes, each kind in its own way.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use pipittack_testkit::wire::{message, query, startup};
use socket2::{Domain, SockRef, Socket, Type};

use super::{read_statement_with_id, write_statement_with_id, Proxy};

/// Number of threads that play a crowd.
const THREADS: usize = 4;
/// Time from one turn of a client to its next.
const TURN_INTERVAL: Duration = Duration::from_millis(4);
/// Receive buffer of a client that reads slowly, in bytes.
const SMALL_RECEIVE_BUFFER: usize = 2048;
/// Number of the next connection of any crowd. The ids of its requests contain it.
static NEXT_NUMBER: AtomicUsize = AtomicUsize::new(0);
/// Time that the requests of a crowd give the proxy, in milliseconds.
const TIMEOUT_MS: u64 = 1100;

/// How a client of a crowd behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// Sends the head of an admin call with fields of one character, and no end.
    AdminHeadOfShortFields,
    /// Sends two thirds of a startup packet of short parameters.
    StartupOfShortParameters,
    /// Sends two thirds of a statement of this length in bytes.
    StoppedStatement(usize),
    /// Sends a statement of this length, this many bytes in a turn.
    SlowStatement { bytes: usize, per_turn: usize },
    /// Sends a complete message of this length that is no statement.
    InvalidStatement(usize),
    /// Sends a statement whose comment has this many fields.
    StatementOfShortFields(usize),
    /// Sends this many reads whose answers have this length at once, and reads 512 bytes of them in a turn.
    SlowReader { answer_bytes: usize, requests: usize },
    /// Sends a read that is answered late, and messages of alternating kinds behind it.
    PipelinedMessages,
    /// Sends a statement without a pause, and goes away in the middle of it.
    AbandonedStatement(usize),
}

/// Clients of all kinds of the incident.
pub const MIX: [Behaviour; 13] = [
    Behaviour::AdminHeadOfShortFields,
    Behaviour::StartupOfShortParameters,
    Behaviour::StoppedStatement(1_000),
    Behaviour::StoppedStatement(60_000),
    Behaviour::StoppedStatement(3_000_000),
    Behaviour::SlowStatement { bytes: 6_000, per_turn: 7 },
    Behaviour::SlowStatement { bytes: 200_000, per_turn: 2_000 },
    Behaviour::InvalidStatement(800_000),
    Behaviour::StatementOfShortFields(8_000),
    Behaviour::SlowReader { answer_bytes: 20_000, requests: 50 },
    Behaviour::SlowReader { answer_bytes: 60_000, requests: 4 },
    Behaviour::SlowReader { answer_bytes: 1_900_000, requests: 1 },
    Behaviour::PipelinedMessages,
];

/// Bytes that a client of a crowd sends on one connection: those that all clients of its kind send, and its own.
struct Script {
    shared: Arc<Vec<u8>>,
    own: Vec<u8>,
    /// Number of bytes after which the client sends nothing more.
    end: usize,
    per_turn: usize,
}

impl Script {
    fn next(&self, at: usize) -> &[u8] {
        let shared = self.shared.len();
        let (part, start) = if at < shared { (&self.shared[..], at) } else { (&self.own[..], at - shared) };
        let end = part.len().min(start + self.per_turn).min(start + self.end.saturating_sub(at));
        &part[start..end]
    }
}

/// One client of a crowd.
struct Member {
    behaviour: Behaviour,
    address: SocketAddr,
    shared: Arc<Vec<u8>>,
    connection: Option<(TcpStream, Script)>,
    sent: usize,
}

fn hex_value_statement(id: &str, bytes: usize) -> String {
    write_statement_with_id(id, 3000).replace(r"'\x00'", &format!(r"'\x{}'", "0".repeat(bytes & !1)))
}

/// Returns the bytes that all clients of a kind send.
fn shared_bytes(behaviour: Behaviour) -> Vec<u8> {
    match behaviour {
        Behaviour::AdminHeadOfShortFields => {
            [&b"GET /control/ready HTTP/1.1\r\n"[..], &b"a:\r\n".repeat(2000)].concat()
        }
        Behaviour::StartupOfShortParameters => {
            [&9_900u32.to_be_bytes()[..], &196_608u32.to_be_bytes(), &b"a\0b\0".repeat(1650)].concat()
        }
        Behaviour::StoppedStatement(bytes) | Behaviour::AbandonedStatement(bytes) => {
            let statement = query(&hex_value_statement("stopped", bytes));
            [&startup()[..], &statement[..statement.len() * 2 / 3]].concat()
        }
        Behaviour::StatementOfShortFields(fields) => {
            let statement = read_statement_with_id("fields", TIMEOUT_MS);
            [startup(), query(&statement.replace("/* ", &format!("/* {}", "a=b,".repeat(fields))))].concat()
        }
        Behaviour::InvalidStatement(bytes) => [startup(), query(&"x".repeat(bytes))].concat(),
        Behaviour::PipelinedMessages => startup(),
        Behaviour::SlowStatement { .. } | Behaviour::SlowReader { .. } => startup(),
    }
}

fn own_bytes(behaviour: Behaviour, number: usize) -> Vec<u8> {
    let id = format!("crowd-{number}");
    match behaviour {
        Behaviour::SlowStatement { bytes, .. } => query(&hex_value_statement(&id, bytes)),
        Behaviour::SlowReader { answer_bytes, requests } => (0..requests)
            .flat_map(|part| {
                query(&read_statement_with_id(&format!("bytes{answer_bytes}-{id}-{part}"), TIMEOUT_MS))
            })
            .collect(),
        Behaviour::PipelinedMessages => {
            let first = query(&read_statement_with_id(&format!("late-{id}"), TIMEOUT_MS));
            [first, [message(b'S', b""), message(b'P', b"\0\0\0\0")].concat().repeat(40_000)].concat()
        }
        _ => Vec::new(),
    }
}

impl Member {
    fn connect(&mut self, number: usize) {
        let Ok(socket) = Socket::new(Domain::IPV4, Type::STREAM, None) else { return };
        if matches!(self.behaviour, Behaviour::SlowReader { .. }) {
            let _ = socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER);
        }
        if socket.connect(&self.address.into()).is_err() || socket.set_nonblocking(true).is_err() {
            return;
        }
        let own = own_bytes(self.behaviour, number);
        let end = self.shared.len() + own.len();
        let per_turn = match self.behaviour {
            Behaviour::SlowStatement { per_turn, .. } => per_turn,
            _ => 1 << 16,
        };
        self.sent = 0;
        self.connection = Some((socket.into(), Script { shared: self.shared.clone(), own, end, per_turn }));
    }

    /// Writes and reads once. Drops the connection if it has ended.
    fn take_turn(&mut self, buffer: &mut [u8]) {
        if self.connection.is_none() {
            self.connect(NEXT_NUMBER.fetch_add(1, Ordering::Relaxed));
        }
        let Some((stream, script)) = &mut self.connection else { return };
        let piece = script.next(self.sent);
        let mut has_ended = false;
        if piece.is_empty() {
            has_ended = matches!(self.behaviour, Behaviour::AbandonedStatement(_));
        } else {
            match stream.write(piece) {
                Ok(count) => self.sent += count,
                Err(e) => has_ended = !is_transient(&e),
            }
        }
        let is_slow = matches!(self.behaviour, Behaviour::SlowReader { .. });
        let read_bytes = if is_slow { 512 } else { buffer.len() };
        match stream.read(&mut buffer[..read_bytes]) {
            Ok(0) => has_ended = true,
            Ok(_) => {}
            Err(e) => has_ended |= !is_transient(&e),
        }
        if has_ended {
            let (stream, _) = self.connection.take().expect("the connection was used above");
            // A close without TIME_WAIT, so that a crowd does not use up the ports of the loopback address.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }
}

fn is_transient(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// A crowd that goes on until this handle is dropped.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `count` clients whose kinds are in turn those of `behaviours`. A client whose connection ends opens
    /// another one.
    pub fn start(proxy: &Proxy, count: usize, behaviours: &[Behaviour]) -> Self {
        Self::start_at(proxy.address, proxy.admin_address, count, behaviours)
    }

    /// Starts clients like [`Self::start`] at these addresses.
    pub fn start_at(
        address: SocketAddr,
        admin_address: SocketAddr,
        count: usize,
        behaviours: &[Behaviour],
    ) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let shared: Vec<_> = behaviours.iter().map(|kind| Arc::new(shared_bytes(*kind))).collect();
        let member = |number: usize| {
            let kind = number % behaviours.len();
            let behaviour = behaviours[kind];
            let is_admin = behaviour == Behaviour::AdminHeadOfShortFields;
            let address = if is_admin { admin_address } else { address };
            Member { behaviour, address, shared: shared[kind].clone(), connection: None, sent: 0 }
        };
        let start_thread = |thread: usize| {
            let mut members: Vec<_> =
                (0..count).filter(|number| number % THREADS == thread).map(member).collect();
            let stop = stop.clone();
            thread::spawn(move || {
                let mut buffer = vec![0; 1 << 16];
                while !stop.load(Ordering::Relaxed) {
                    members.iter_mut().for_each(|member| member.take_turn(&mut buffer));
                    thread::sleep(TURN_INTERVAL);
                }
            })
        };
        let threads = (0..THREADS).map(start_thread).collect();
        Self { stop, threads }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Returns the length that the id of a read asks of its answer; `None` if it asks for none.
pub fn requested_answer_bytes(statement: &str) -> Option<usize> {
    let digits = statement.split_once("id=bytes")?.1.split('-').next()?;
    digits.parse().ok()
}
