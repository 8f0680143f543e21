//! The side of the data servers: connections, pooled by server, and the attempts that run on them.
//!
//! Owns every socket to a data server and the budget for them. An attempt runs on one connection, once: it
//! must never be sent again from here, and its outcome must never be told as "never ran" once the last byte
//! of its query was written. An attempt that is given up closes its connection.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use super::buffers::{write_all, Chain, Pool};
use super::exchange::{Clock, Ending, Exchange, Key, Order, Send};
use super::pg;
use crate::interface::*;
use crate::settings::Env;

/// The user and database that data servers are asked for; they welcome any.
const LOGIN: (&str, &str) = ("worker", "catalog");
/// Part of the servers' idle time after which a connection is not used again.
const IDLE_SHARE: f64 = 0.6;

/// A client's query on its way: the message as it came, and where its `d` stands.
pub struct Query {
    /// The whole message, from its type to the zero byte that ends its text.
    pub message: Chain,
    /// Where in it the digits of `d` stand, if it has any.
    pub wait_at: Option<Range<usize>>,
}

/// A whole answer as a data server gave it, up to and with ReadyForQuery.
pub struct Answer(pub Chain);

/// The exchange as both sides of this protocol use it.
pub type PgExchange = Exchange<Query, Answer>;

/// What the side of the data servers is set up with.
#[derive(Debug, Clone)]
pub struct Options {
    /// Sockets to data servers at the most.
    pub sockets: usize,
    /// Time within which a connection must be up.
    pub connect_timeout: Duration,
    /// Idle time after which data servers close a connection; zero for never.
    pub conn_idle: Duration,
    /// Whether load reports are to be had by probes.
    pub probe_reports: bool,
}

impl Options {
    /// What the settings say, with a budget of sockets.
    pub fn new(settings: &Settings, env: &Env, sockets: usize) -> Self {
        Self {
            sockets,
            connect_timeout: settings.limits.connect_timeout,
            conn_idle: env.conn_idle.mul_f64(IDLE_SHARE),
            probe_reports: settings.reports == Reports::Pull,
        }
    }
}

/// A connection that stands idle, or serves the attempt that holds it.
struct Connection {
    stream: TcpStream,
    address: SocketAddr,
    idle_since: Instant,
    _place: Place,
}

/// A place in the budget of sockets.
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

struct Side {
    exchange: PgExchange,
    options: Options,
    pool: Pool,
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    idle: RefCell<HashMap<ServerId, Vec<Connection>>>,
    sockets: Rc<Cell<usize>>,
    attempts: RefCell<HashMap<Key, AbortHandle>>,
}

/// Carries out orders until the exchange is gone. Must run inside a [`tokio::task::LocalSet`].
pub async fn run(
    exchange: PgExchange,
    mut orders: UnboundedReceiver<Order<Query>>,
    options: Options,
    pool: Pool,
) {
    let side = Rc::new(Side {
        exchange,
        options,
        pool,
        addresses: RefCell::default(),
        idle: RefCell::default(),
        sockets: Rc::default(),
        attempts: RefCell::default(),
    });
    let mut sweep = tokio::time::interval(Duration::from_secs(1));
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(order) => side.carry_out(order),
                None => return,
            },
            _ = sweep.tick() => side.sweep(),
        }
    }
}

impl Side {
    fn carry_out(self: &Rc<Self>, order: Order<Query>) {
        match order {
            Order::Send(send) => {
                let (side, key) = (self.clone(), send.key);
                let task = tokio::task::spawn_local(async move {
                    let ending = side.attempt(&send).await;
                    side.attempts.borrow_mut().remove(&key);
                    side.exchange.ended(key, ending);
                });
                self.attempts.borrow_mut().insert(key, task.abort_handle());
            }
            // Ends the task, and with it the connection: the data server sees that nobody waits.
            Order::Cancel(key) => {
                if let Some(task) = self.attempts.borrow_mut().remove(&key) {
                    task.abort();
                }
            }
            Order::Probe(server) => {
                let side = self.clone();
                tokio::task::spawn_local(async move {
                    let (ok, report) = side.probe(server).await;
                    side.exchange.probed(server, ok, report);
                });
            }
            Order::Close(server) => {
                self.idle.borrow_mut().remove(&server);
            }
            Order::Address(server, address) => {
                if self.addresses.borrow_mut().insert(server, address).is_some_and(|old| old != address) {
                    self.idle.borrow_mut().remove(&server);
                }
            }
        }
    }

    /// Closes what has stood idle for too long: a query must not meet the server's own closing.
    fn sweep(&self) {
        let fresh = |c: &Connection| {
            self.options.conn_idle.is_zero() || c.idle_since.elapsed() < self.options.conn_idle
        };
        self.idle.borrow_mut().values_mut().for_each(|idle| idle.retain(fresh));
    }

    async fn attempt(&self, send: &Send<Query>) -> Ending<Answer> {
        let written = Cell::new(false);
        match timeout_at(send.until, self.converse(send, &written)).await {
            Ok(Ok(ending)) => ending,
            Ok(Err(e)) => {
                log::debug!("attempt at server {}: {e}", send.server.0);
                Ending::without_answer(if written.get() { Outcome::Reset } else { Outcome::ConnectFailed })
            }
            // What was not written whole was not begun.
            Err(_) => {
                Ending::without_answer(if written.get() { Outcome::Timeout } else { Outcome::ConnectFailed })
            }
        }
    }

    async fn converse(&self, send: &Send<Query>, written: &Cell<bool>) -> io::Result<Ending<Answer>> {
        let connection = match self.checkout(send.server).await? {
            Checkout::Ready(connection) => connection,
            Checkout::Rejected(outcome) => return Ok(Ending::without_answer(outcome)),
        };
        // A bound on age counts from the send. A connection may have taken long to come up: then the attempt
        // goes back unsent, and is decided on again with what is known by now.
        if send.fresh_until.is_some_and(|until| Instant::now() >= until) {
            self.give_back(send.server, connection);
            return Ok(Ending::without_answer(Outcome::Moot));
        }
        let left = send.until.saturating_duration_since(Instant::now());
        send_query(&connection.stream, &send.query, left).await?;
        written.set(true);
        let reply = self.reply(&connection.stream).await?;
        if reply.ready {
            self.give_back(send.server, connection);
        }
        Ok(reply.ending(self.exchange.clock()))
    }

    async fn probe(&self, server: ServerId) -> (bool, Option<Report>) {
        let text = if self.options.probe_reports { "SHOW stats" } else { "SELECT 1" };
        let ask = async {
            let Checkout::Ready(connection) = self.checkout(server).await? else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            write_all(&connection.stream, &mut [IoSlice::new(&pg::simple_query(text))]).await?;
            let reply = self.reply(&connection.stream).await?;
            if reply.ready {
                self.give_back(server, connection);
            }
            Ok::<Reply, io::Error>(reply)
        };
        // A probe that takes longer than a connection may has shown what it was to show.
        match timeout_at(Instant::now() + self.options.connect_timeout, ask).await {
            Ok(Ok(reply)) => (reply.row.is_some(), reply.probe_report(self.exchange.clock())),
            _ => (false, None),
        }
    }

    /// An idle connection that is still good, or a new one.
    async fn checkout(&self, server: ServerId) -> io::Result<Checkout> {
        loop {
            let Some(connection) = self.idle.borrow_mut().get_mut(&server).and_then(Vec::pop) else { break };
            let fresh =
                self.options.conn_idle.is_zero() || connection.idle_since.elapsed() < self.options.conn_idle;
            // Whatever can be read on an idle connection, its end included, makes it useless.
            let quiet = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
            if fresh && self.pool.chain().fill_now(&connection.stream).is_err_and(quiet) {
                return Ok(Checkout::Ready(connection));
            }
        }
        let address = self.addresses.borrow().get(&server).copied();
        let Some(address) = address else { return Ok(Checkout::Rejected(Outcome::ConnectFailed)) };
        let Some(place) = self.place() else { return Ok(Checkout::Rejected(Outcome::Moot)) };
        let connect = self.connect(address, place);
        match timeout_at(Instant::now() + self.options.connect_timeout, connect).await {
            Ok(done) => done,
            Err(_) => Ok(Checkout::Rejected(Outcome::ConnectFailed)),
        }
    }

    /// A place for one more socket; where there is none, the connection that has stood idle longest goes.
    fn place(&self) -> Option<Place> {
        if self.sockets.get() >= self.options.sockets {
            let mut idle = self.idle.borrow_mut();
            let oldest = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since)?;
            oldest.remove(0);
        }
        self.sockets.set(self.sockets.get() + 1);
        Some(Place(self.sockets.clone()))
    }

    async fn connect(&self, address: SocketAddr, place: Place) -> io::Result<Checkout> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let hello = pg::startup_packet(LOGIN.0, LOGIN.1);
        write_all(&stream, &mut [IoSlice::new(&hello)]).await?;
        let reply = self.reply(&stream).await?;
        Ok(match (reply.ready, reply.code) {
            (true, None) => {
                Checkout::Ready(Connection { stream, address, idle_since: Instant::now(), _place: place })
            }
            (_, Some(code)) if &code == b"53300" => Checkout::Rejected(Outcome::Full),
            _ => Checkout::Rejected(Outcome::ConnectFailed),
        })
    }

    fn give_back(&self, server: ServerId, mut connection: Connection) {
        if self.addresses.borrow().get(&server) == Some(&connection.address) {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(server).or_default().push(connection);
        }
    }

    /// Reads up to ReadyForQuery. A server may close after its answer: then the connection's end will do.
    async fn reply(&self, stream: &TcpStream) -> io::Result<Reply> {
        let mut reply = Reply::new(self.pool.chain());
        loop {
            if reply.take_in()? {
                return Ok(reply);
            }
            if reply.bytes.fill(stream).await? == 0 {
                let told = reply.code.is_some() || reply.served();
                return told.then_some(reply).ok_or(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

enum Checkout {
    Ready(Connection),
    /// No connection: the outcome that this means.
    Rejected(Outcome),
}

/// Writes a query with the time that is left for it in place of the client's.
async fn send_query(stream: &TcpStream, query: &Query, left: Duration) -> io::Result<()> {
    let (message, length) = (&query.message, query.message.len());
    let wait = left.as_millis().max(1).to_string();
    let (at, wait) = query.wait_at.clone().map_or((length..length, ""), |at| (at, &*wait));
    let header = pg::query_header(length - at.len() + wait.len());
    let mut pieces = vec![IoSlice::new(&header)];
    pieces.extend(message.pieces(header.len()..at.start).map(IoSlice::new));
    pieces.push(IoSlice::new(wait.as_bytes()));
    pieces.extend(message.pieces(at.end..length).map(IoSlice::new));
    write_all(stream, &mut pieces).await
}

/// A data server's answer as it comes in.
struct Reply {
    bytes: Chain,
    /// Where the next message starts.
    at: usize,
    scratch: Vec<u8>,
    ready: bool,
    complete: bool,
    /// Where the body of the first DataRow lies.
    row: Option<Range<usize>>,
    code: Option<[u8; 5]>,
    primary: Option<bool>,
    position_ms: Option<f64>,
    stats: Option<String>,
}

impl Reply {
    fn new(bytes: Chain) -> Self {
        Self {
            bytes,
            at: 0,
            scratch: Vec::new(),
            ready: false,
            complete: false,
            row: None,
            code: None,
            primary: None,
            position_ms: None,
            stats: None,
        }
    }

    /// Takes in the messages that are whole; says whether the last one was ReadyForQuery.
    fn take_in(&mut self) -> io::Result<bool> {
        while let Some(header) = self.bytes.array(self.at) {
            let (kind, length) = pg::header(header).ok_or(io::ErrorKind::InvalidData)?;
            let end = self.at.saturating_add(length);
            if end > pg::ANSWER_MOST {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if end > self.bytes.len() {
                return Ok(false);
            }
            let body = self.at + 5..end;
            self.at = end;
            match kind {
                b'S' => self.parameter(body),
                b'E' => {
                    self.bytes.copy(body, &mut self.scratch);
                    self.code = Some(pg::sqlstate(&self.scratch).unwrap_or(*b"XX000"));
                }
                b'D' => self.row = self.row.take().or(Some(body)),
                b'C' => self.complete = true,
                b'Z' if end == self.bytes.len() => {
                    self.ready = true;
                    return Ok(true);
                }
                b'Z' => return Err(io::ErrorKind::InvalidData.into()),
                _ => {}
            }
        }
        Ok(false)
    }

    /// Whether it is a value, whole.
    fn served(&self) -> bool {
        self.row.is_some() && self.complete && self.code.is_none()
    }

    fn parameter(&mut self, body: Range<usize>) {
        self.bytes.copy(body, &mut self.scratch);
        let Some((name, value)) = pg::parameter(&self.scratch) else { return };
        match (name.as_str(), value.as_str()) {
            ("mode", "read-write") => self.primary = Some(true),
            ("mode", "read-only") => self.primary = Some(false),
            ("wal_time", _) => self.position_ms = value.parse().ok().filter(|ms| *ms > 0.0),
            ("stats", _) => self.stats = Some(value),
            _ => {}
        }
    }

    /// What it means for the attempt.
    fn ending(mut self, clock: Clock) -> Ending<Answer> {
        let outcome = match self.code.as_ref() {
            None if self.served() => Outcome::Ok,
            Some(b"25006" | b"72000") => Outcome::Miss,
            Some(b"53300") => Outcome::Full,
            _ => Outcome::Error,
        };
        let position = self.position_ms.map(|ms| clock.of_unix_ms(ms));
        let heard = position.is_some() || self.primary.is_some();
        let note = heard.then_some(Note { position, primary: self.primary });
        let report = self.stats.as_deref().map(|text| report(text, clock));
        if !self.ready {
            // The connection ended after CommandComplete, or in the middle of what follows it.
            self.bytes = self.bytes.split_to(self.at);
            let mut ready = Vec::new();
            pg::ready(&mut ready);
            self.bytes.extend(&ready);
        }
        Ending { outcome, note, report, answer: (outcome == Outcome::Ok).then_some(Answer(self.bytes)) }
    }

    fn probe_report(&self, clock: Clock) -> Option<Report> {
        let mut row = Vec::new();
        self.bytes.copy(self.row.clone()?, &mut row);
        let text = std::str::from_utf8(pg::only_column(&row)?).ok()?;
        text.contains('=').then(|| report(text, clock))
    }
}

fn report(text: &str, clock: Clock) -> Report {
    let mut report = Report::default();
    for (name, value) in pg::load_report(text) {
        match name {
            "x0" => report.position = Some(clock.of_unix_ms(value * 1e3)),
            "x1" => report.primary = Some(value == 1.0),
            "busy_reqs" | "inflight" => report.in_flight = Some(value),
            "pending" | "queue" => report.waiting = Some(value),
            _ => {}
        }
    }
    report
}
