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
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

use crate::api::*;
use crate::ewma::{Ewma, EwmaConfig};
use crate::net::buffers::{write_all, BufferChain, BufferPool, BufferReservation};
use crate::net::driver::{AttemptCommand, AttemptResult, Clock, Driver, ServerCommand};
use crate::net::postgres;

/// The user and database that data servers are asked for; they welcome any.
const LOGIN: (&str, &str) = ("worker", "catalog");
/// Part of the servers' idle time after which a connection is not used again.
const IDLE_SHARE: f64 = 0.6;
/// Time within which an answer that has begun goes on: servers write theirs in one go.
const GOES_ON_WITHIN: Duration = Duration::from_millis(500);
/// Time without a byte after which the rest of a large value is not waited for any more.
const SILENT_MOST: Duration = Duration::from_secs(3);
/// The longest row that is read whole and checked before any of it is passed on.
const WHOLE_MOST: usize = 64 * 1024 + 64;
/// Bytes of a large value that are read before they are passed on.
const PIECE: usize = 32 * 1024;
/// Part of the time in which nothing new may go to a server that drains after which an attempt, or a probe, that has not
/// begun is decided on again: its server may drain by now, and nobody have told so.
const BEGUN_SHARE: f64 = 0.75;
/// Milliseconds by which the position in a load report may be told too high: it is said to whole ones, and not which way
/// it is rounded.
const REPORT_ROUNDED: f64 = 1.0;
/// A position ahead of the clock by more than this is none.
const AHEAD_MOST: Duration = Duration::from_secs(1);

/// Idle time up to which connections are young; what befalls them has other causes. The ages beyond it double.
const YOUNG: Duration = Duration::from_millis(64);
const AGES: usize = 8;
/// How much more often than young ones older connections may break at their next query.
const WORN: (f64, f64) = (2.0, 0.1);
/// A share of breaks averages over 60 queries, forgets in 20 s, and weighs what is usual like 3 of its own.
const BREAKS: EwmaConfig = EwmaConfig { max_weight: 60.0, decay_secs: 20.0, prior_weight: 3.0 };

/// How connections that were kept have fared at their next query, by how long they had stood idle. Guards
/// against peers, or machines on the way, that drop a connection much sooner than the settings say, and tell
/// so by a reset when the query is on its way. Harms by handshakes where the resets had another cause.
#[derive(Default)]
pub struct ReuseStatistics {
    young: Ewma,
    old: [Ewma; AGES],
}

impl ReuseStatistics {
    fn age(stood: Duration) -> Option<usize> {
        let doublings = (stood.as_secs_f64() / YOUNG.as_secs_f64()).log2().floor();
        (doublings >= 0.0).then_some((doublings as usize).min(AGES - 1))
    }

    /// Learns, at a time in seconds, whether a connection broke that had stood so long.
    pub fn learn(&mut self, now: f64, stood: Duration, broke: bool) {
        let gauge = Self::age(stood).map_or(&mut self.young, |age| &mut self.old[age]);
        gauge.record(now, f64::from(u8::from(broke)), &BREAKS);
    }

    /// The idle time from which on a connection had better not be used again, if there is one.
    pub fn most(&self, now: f64) -> Option<Duration> {
        let usual = self.young.estimate(now, 0.0, &BREAKS);
        let worn = |gauge: &Ewma| gauge.estimate(now, usual, &BREAKS) > WORN.0 * usual + WORN.1;
        self.old.iter().position(worn).map(|age| YOUNG * (1 << age))
    }
}

/// A client's query on its way: the message as it came, and where its `d` stands.
pub struct Query {
    /// The whole message, from its type to the zero byte that ends its text.
    pub message: BufferChain,
    /// Where in it the digits of `d` stand.
    pub wait_at: Range<usize>,
    /// The room that it takes, where one buffer does not hold it.
    pub room: Option<BufferReservation>,
}

/// A value as a data server gave it: RowDescription, DataRow and CommandComplete, whole or, where it is large,
/// as far as it had come when it began. What the server says of itself beside them stays here.
pub struct Answer {
    bytes: BufferChain,
    messages: Vec<Range<usize>>,
    rest: Option<Rest>,
}

impl Answer {
    /// The bytes that are here, in the pieces they lie in.
    pub fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.messages.iter().flat_map(|at| self.bytes.slices(at.clone()))
    }

    /// Whether there is more to come.
    pub fn goes_on(&self) -> bool {
        self.rest.is_some()
    }

    /// Frees those bytes, once they have been passed on.
    pub fn clear(&mut self) {
        self.messages.clear();
        self.bytes.clear();
    }

    /// The next bytes of a large value as they come; none at its end. What fails here leaves the value spoilt.
    pub async fn more(&mut self) -> io::Result<Option<BufferChain>> {
        match &mut self.rest {
            Some(rest) => {
                let piece = rest.next().await?;
                if piece.is_none() {
                    self.rest.take().into_iter().for_each(Rest::finish);
                }
                Ok(piece)
            }
            None => Ok(None),
        }
    }
}

/// What is still to come of a large value, on the connection that it comes on. It is read as fast as the client
/// takes it, and no faster, so that few buffers do.
struct Rest {
    side: Rc<ServerPool>,
    server: ServerId,
    connection: Connection,
    /// Bytes of the row that have not come.
    left: usize,
    /// What follows the row.
    reply: Reply,
    /// CommandComplete has come and been passed on.
    complete: bool,
}

impl Rest {
    async fn next(&mut self) -> io::Result<Option<BufferChain>> {
        while !self.complete {
            if self.left == 0 {
                self.reply.take_in()?;
                if self.reply.code.is_some() {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if let Some(at) = self.reply.value.get(2) {
                    let mut tag = self.side.pool.chain();
                    self.reply.bytes.slices(at.clone()).for_each(|piece| tag.extend(piece));
                    self.complete = true;
                    return Ok(Some(tag));
                }
            }
            let (stream, bytes) = (&self.connection.stream, &mut self.reply.bytes);
            if timeout(SILENT_MOST, bytes.read_from(stream)).await?? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if self.left > 0 {
                while bytes.len() < PIECE && bytes.try_read_from(stream).is_ok_and(|n| n > 0) {}
                let piece = bytes.split_to(bytes.len().min(self.left));
                self.left -= piece.len();
                return Ok(Some(piece));
            }
        }
        Ok(None)
    }

    /// Reads on to the end of the answer, for the sake of the connection and of what the server says of itself.
    fn finish(mut self) {
        tokio::task::spawn_local(async move {
            let end = async {
                while !self.reply.take_in()? {
                    if self.reply.bytes.read_from(&self.connection.stream).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Ok::<(), io::Error>(())
            };
            if timeout(GOES_ON_WITHIN, end).await.is_ok_and(|end| end.is_ok()) {
                let Self { side, server, connection, reply, .. } = self;
                side.driver.status_reported(server, reply.note(side.driver.clock()));
                if reply.reusable() {
                    side.give_back(server, connection);
                }
            }
        });
    }
}

/// The exchange as both sides of this protocol use it.
pub type PgDriver = Driver<Query, Answer>;

/// What the side of the data servers is set up with.
#[derive(Debug, Clone)]
pub struct ServerOptions {
    /// Sockets to data servers at the most.
    pub max_sockets: usize,
    /// Time within which a connection must be up.
    pub connect_timeout: Duration,
    /// Idle time after which data servers close a connection; zero for never.
    pub max_idle: Duration,
    /// Whether load reports are to be had by probes.
    pub probe_reports: bool,
    /// Time within which what was decided on must begin; none where the settings bound nothing.
    pub start_timeout: Option<Duration>,
}

impl ServerOptions {
    /// What the settings say, with a budget of sockets.
    pub fn new(settings: &Settings, conn_idle: Duration, sockets: usize) -> Self {
        Self {
            max_sockets: sockets,
            connect_timeout: settings.limits.connect_timeout,
            max_idle: conn_idle.mul_f64(IDLE_SHARE),
            probe_reports: settings.load_reports == LoadReports::OnHealthCheck,
            start_timeout: Some(settings.rules.drain_grace_period.mul_f64(BEGUN_SHARE))
                .filter(|at| !at.is_zero()),
        }
    }
}

/// A connection that stands idle, or serves the attempt that holds it.
struct Connection {
    stream: TcpStream,
    address: SocketAddr,
    idle_since: Instant,
    /// Its place in the budget of sockets.
    _place: OwnedSemaphorePermit,
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq)]
enum Stage {
    /// There is no socket for it yet.
    Waits,
    /// Its connection comes up, or its query is being written.
    Connects,
    /// The last byte of its query was written: it may run.
    Written,
}

struct ServerPool {
    driver: PgDriver,
    options: RefCell<ServerOptions>,
    pool: BufferPool,
    addresses: RefCell<HashMap<ServerId, SocketAddr>>,
    idle: RefCell<HashMap<ServerId, Vec<Connection>>>,
    sockets: Arc<Semaphore>,
    /// How many wait for a socket.
    waiting: Cell<usize>,
    wear: RefCell<ReuseStatistics>,
    /// Sockets that clients leave to this side, the part of them that is not another process's, and the places
    /// that are given up so as to keep to that.
    left: Cell<usize>,
    part: Cell<f64>,
    given_up: RefCell<Vec<OwnedSemaphorePermit>>,
    attempts: RefCell<HashMap<AttemptId, AbortHandle>>,
}

/// Carries out orders until the exchange is gone. Must run inside a [`tokio::task::LocalSet`].
pub async fn run(
    driver: PgDriver,
    mut orders: UnboundedReceiver<ServerCommand<Query>>,
    options: ServerOptions,
    pool: BufferPool,
) {
    let sockets = Arc::new(Semaphore::new(options.max_sockets));
    let side = Rc::new(ServerPool {
        driver,
        options: RefCell::new(options),
        pool,
        addresses: RefCell::default(),
        idle: RefCell::default(),
        sockets,
        waiting: Cell::new(0),
        wear: RefCell::default(),
        left: Cell::new(usize::MAX),
        part: Cell::new(1.0),
        given_up: RefCell::default(),
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

impl ServerPool {
    fn carry_out(self: &Rc<Self>, order: ServerCommand<Query>) {
        self.settle();
        match order {
            ServerCommand::Attempt(send) => {
                let (side, key) = (self.clone(), send.id);
                let task = tokio::task::spawn_local(async move {
                    let ending = side.attempt(&send).await;
                    side.attempts.borrow_mut().remove(&key);
                    side.driver.attempt_ended(key, ending);
                });
                self.attempts.borrow_mut().insert(key, task.abort_handle());
            }
            // Ends the task, and with it the connection: the data server sees that nobody waits.
            ServerCommand::Cancel(key) => {
                if let Some(task) = self.attempts.borrow_mut().remove(&key) {
                    task.abort();
                }
            }
            ServerCommand::HealthCheck(server) => {
                let side = self.clone();
                tokio::task::spawn_local(async move {
                    let (ok, report) = side.probe(server).await;
                    side.driver.health_checked(server, ok, report);
                });
            }
            ServerCommand::CloseIdle(server) => {
                self.idle.borrow_mut().remove(&server);
            }
            ServerCommand::SetAddress(server, address) => {
                if self.addresses.borrow_mut().insert(server, address).is_some_and(|old| old != address) {
                    self.idle.borrow_mut().remove(&server);
                }
            }
            ServerCommand::Reconfigure(settings, conn_idle) => {
                let sockets = self.options.borrow().max_sockets;
                self.options.replace(ServerOptions::new(&settings, conn_idle, sockets));
            }
            ServerCommand::SetSocketLimit(left) => {
                self.left.set(left);
                self.settle();
            }
            ServerCommand::SetShare(part) => {
                self.part.set(part);
                self.settle();
            }
            ServerCommand::Forget(server) => {
                self.addresses.borrow_mut().remove(&server);
                self.idle.borrow_mut().remove(&server);
            }
        }
    }

    /// Gives up places until as many are left as this side may use. Idle connections go first; what is in use goes
    /// as it gets free.
    fn settle(&self) {
        let most = self.options.borrow().max_sockets;
        let left = (self.left.get().min(most) as f64 * self.part.get()) as usize;
        let mut given_up = self.given_up.borrow_mut();
        given_up.truncate(most - left);
        while given_up.len() < most - left {
            match self.sockets.clone().try_acquire_owned() {
                Ok(place) => given_up.push(place),
                Err(_) if self.close_idle() => {}
                Err(_) => return,
            }
        }
    }

    /// Closes the connection that has stood idle longest, if there is one.
    fn close_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let longest = idle.values_mut().filter(|c| !c.is_empty()).min_by_key(|c| c[0].idle_since);
        longest.map(|connections| connections.remove(0)).is_some()
    }

    /// Closes what has stood idle for too long: a query must not meet the server's own closing.
    fn sweep(&self) {
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|c| self.is_fresh(c));
            !idle.is_empty()
        });
    }

    fn is_fresh(&self, connection: &Connection) -> bool {
        let stood = connection.idle_since.elapsed();
        let most = self.options.borrow().max_idle;
        (most.is_zero() || stood < most)
            && self.wear.borrow().most(self.now()).is_none_or(|most| stood < most)
    }

    fn connected_by(&self) -> Instant {
        Instant::now() + self.options.borrow().connect_timeout
    }

    /// When what is decided on now must have begun, where the settings bound that.
    fn begun_by(&self) -> Option<Instant> {
        self.options.borrow().start_timeout.map(|within| Instant::now() + within)
    }

    fn now(&self) -> f64 {
        self.driver.clock().now().as_secs_f64()
    }

    async fn attempt(self: &Rc<Self>, send: &AttemptCommand<Query>) -> AttemptResult<Answer> {
        let stage = Cell::new(Stage::Waits);
        let outcome = match timeout_at(send.give_up_at, self.converse(send, &stage)).await {
            Ok(Ok(ending)) => return ending,
            Ok(Err(e)) => {
                log::debug!("attempt at server {}: {e}", send.server.0);
                match stage.get() {
                    // It ran and its server is up: only what came back can't be used.
                    Stage::Written if e.kind() == io::ErrorKind::InvalidData => Outcome::ServerError,
                    Stage::Written => Outcome::Reset,
                    _ => Outcome::ConnectFailed,
                }
            }
            Err(_) => match stage.get() {
                Stage::Written => Outcome::Timeout,
                Stage::Connects => Outcome::ConnectFailed, // what was not written whole was not begun
                Stage::Waits => Outcome::NotSent,
            },
        };
        AttemptResult::without_answer(outcome)
    }

    async fn converse(
        self: &Rc<Self>,
        send: &AttemptCommand<Query>,
        stage: &Cell<Stage>,
    ) -> io::Result<AttemptResult<Answer>> {
        let begun_by = self.begun_by();
        let connection = match self.checkout(send.server, stage).await? {
            Checkout::Ready(connection) => connection,
            Checkout::Rejected(outcome) => return Ok(AttemptResult::without_answer(outcome)),
        };
        // A bound on age counts from the send, and so does a drain. A connection may have taken long to come up:
        // then the attempt goes back unsent, and is decided on again with what is known by now.
        let stale = begun_by.into_iter().chain(send.fresh_until).any(|until| Instant::now() >= until);
        if stale || !self.driver.may_write(send.id, send.server) {
            self.give_back(send.server, connection);
            return Ok(AttemptResult::without_answer(Outcome::NotSent));
        }
        let left = send.give_up_at.saturating_duration_since(Instant::now());
        let stood = connection.idle_since.elapsed();
        let asked = async {
            send_query(&connection.stream, &send.query, left).await?;
            stage.set(Stage::Written);
            self.reply(&connection.stream, Asked::Statement).await
        };
        let reply = asked.await;
        let broke = reply.as_ref().is_err_and(|e| e.kind() != io::ErrorKind::InvalidData);
        self.wear.borrow_mut().learn(self.now(), stood, broke);
        let reply = reply?;
        if let Some(left) = reply.begun {
            return Ok(self.begin(reply, left, send.server, connection));
        }
        if reply.reusable() {
            self.give_back(send.server, connection);
        }
        Ok(reply.ending(self.driver.clock()))
    }

    /// A large value has begun: it is its request's answer, whatever becomes of the rest.
    fn begin(
        self: &Rc<Self>,
        reply: Reply,
        left: usize,
        server: ServerId,
        connection: Connection,
    ) -> AttemptResult<Answer> {
        let mut rest = Reply::new(self.pool.chain(), Asked::Statement);
        rest.value = vec![0..0; 2];
        let Reply { bytes, value: messages, .. } = reply;
        let rest = Rest { side: self.clone(), server, connection, left, reply: rest, complete: false };
        let answer = Some(Answer { bytes, messages, rest: Some(rest) });
        AttemptResult { response: answer, ..AttemptResult::without_answer(Outcome::Success) }
    }

    async fn probe(&self, server: ServerId) -> (bool, Option<LoadReport>) {
        let text = if self.options.borrow().probe_reports { "SHOW stats" } else { "SELECT 1" };
        let ask = async {
            let Checkout::Ready(connection) = self.checkout(server, &Cell::new(Stage::Waits)).await? else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            if !self.driver.accepts_attempts(server) {
                return Err(io::ErrorKind::NotConnected.into());
            }
            write_all(&connection.stream, &mut [IoSlice::new(&postgres::encode_simple_query(text))]).await?;
            let reply = self.reply(&connection.stream, Asked::Statement).await?;
            if reply.reusable() {
                self.give_back(server, connection);
            }
            Ok::<Reply, io::Error>(reply)
        };
        // A probe that takes longer than a connection may has shown what it was to show.
        let connected_by = self.connected_by();
        let until = self.begun_by().map_or(connected_by, |by| by.min(connected_by));
        match timeout_at(until, ask).await {
            Ok(Ok(reply)) => (reply.served(), reply.probe_report(self.driver.clock())),
            // What can't be read came from a server that is up.
            Ok(Err(e)) => (e.kind() == io::ErrorKind::InvalidData, None),
            Err(_) => (false, None),
        }
    }

    /// An idle connection that is still good, or a new one.
    async fn checkout(&self, server: ServerId, stage: &Cell<Stage>) -> io::Result<Checkout> {
        loop {
            let Some(connection) = self.idle.borrow_mut().get_mut(&server).and_then(Vec::pop) else { break };
            // Whatever can be read on an idle connection, its end included, makes it useless.
            let quiet = |e: io::Error| e.kind() == io::ErrorKind::WouldBlock;
            if self.is_fresh(&connection)
                && self.pool.chain().try_read_from(&connection.stream).is_err_and(quiet)
            {
                stage.set(Stage::Connects);
                return Ok(Checkout::Ready(connection));
            }
        }
        let place = self.place().await;
        stage.set(Stage::Connects);
        let address = self.addresses.borrow().get(&server).copied();
        let Some(address) = address else { return Ok(Checkout::Rejected(Outcome::ConnectFailed)) };
        let connect = self.connect(address, place);
        match timeout_at(self.connected_by(), connect).await {
            Ok(done) => done,
            Err(_) => Ok(Checkout::Rejected(Outcome::ConnectFailed)),
        }
    }

    /// A place for one more socket. Where there is none, the connection that has stood idle longest goes;
    /// where none is idle, this waits for its turn. Guards against spending a request's attempts in a few
    /// ticks on a want of sockets that ends with the next answer.
    async fn place(&self) -> OwnedSemaphorePermit {
        if let Ok(place) = self.sockets.clone().try_acquire_owned() {
            return place;
        }
        self.close_idle();
        let _waits = Waits::new(&self.waiting);
        self.sockets.clone().acquire_owned().await.expect("it is never closed")
    }

    async fn connect(&self, address: SocketAddr, place: OwnedSemaphorePermit) -> io::Result<Checkout> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let hello = postgres::encode_startup_packet(LOGIN.0, LOGIN.1);
        write_all(&stream, &mut [IoSlice::new(&hello)]).await?;
        let reply = self.reply(&stream, Asked::Welcome).await?;
        Ok(match reply.code {
            None if reply.reusable() => {
                Checkout::Ready(Connection { stream, address, idle_since: Instant::now(), _place: place })
            }
            Some(code) if &code == b"53300" => Checkout::Rejected(Outcome::Rejected),
            _ => Checkout::Rejected(Outcome::ConnectFailed),
        })
    }

    /// Keeps a connection for later, unless somebody waits for its socket or its server has gone elsewhere.
    fn give_back(&self, server: ServerId, mut connection: Connection) {
        if self.waiting.get() == 0 && self.addresses.borrow().get(&server) == Some(&connection.address) {
            connection.idle_since = Instant::now();
            self.idle.borrow_mut().entry(server).or_default().push(connection);
        }
    }

    /// Reads up to ReadyForQuery. A server may close after its answer: then the connection's end will do.
    async fn reply(&self, stream: &TcpStream, asked: Asked) -> io::Result<Reply> {
        let mut reply = Reply::new(self.pool.chain(), asked);
        loop {
            if reply.take_in()? || reply.begun.is_some() {
                return Ok(reply);
            }
            let begun = !reply.bytes.is_empty();
            let fill = reply.bytes.read_from(stream);
            let read = if begun {
                // Guards against an answer whose length does not fit and whose end never comes.
                timeout(GOES_ON_WITHIN, fill)
                    .await
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
            } else {
                fill.await
            };
            if read? == 0 {
                let told = reply.code.is_some() || reply.served();
                return told.then_some(reply).ok_or(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Counts one who waits for a socket, for as long as it lives.
struct Waits<'s>(&'s Cell<usize>);

impl<'s> Waits<'s> {
    fn new(count: &'s Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
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
    let at = query.wait_at.clone();
    let header = postgres::encode_query_header(length - at.len() + wait.len());
    let mut pieces = vec![IoSlice::new(&header)];
    pieces.extend(message.slices(header.len()..at.start).map(IoSlice::new));
    pieces.push(IoSlice::new(wait.as_bytes()));
    pieces.extend(message.slices(at.end..length).map(IoSlice::new));
    write_all(stream, &mut pieces).await
}

/// What a reply answers.
#[derive(Clone, Copy, PartialEq)]
enum Asked {
    Welcome,
    Statement,
}

/// A data server's answer as it comes in. What breaks the protocol in any way is not believed in anything:
/// it may be another answer's middle, or noise.
struct Reply {
    asked: Asked,
    bytes: BufferChain,
    /// Where the next message starts.
    at: usize,
    scratch: Vec<u8>,
    ready: bool,
    /// Where the messages of the value lie, as far as they have come.
    value: Vec<Range<usize>>,
    /// Its row is large and has begun: bytes of it that are still to come.
    begun: Option<usize>,
    welcomed: bool,
    code: Option<[u8; 5]>,
    primary: Option<bool>,
    position_ms: Option<f64>,
    stats: Option<String>,
}

impl Reply {
    fn new(bytes: BufferChain, asked: Asked) -> Self {
        Self {
            asked,
            bytes,
            at: 0,
            scratch: Vec::new(),
            ready: false,
            value: Vec::new(),
            begun: None,
            welcomed: false,
            code: None,
            primary: None,
            position_ms: None,
            stats: None,
        }
    }

    /// Takes in the messages that are whole; says whether the last one was ReadyForQuery.
    fn take_in(&mut self) -> io::Result<bool> {
        while let Some(header) = self.bytes.array(self.at) {
            let parsed = postgres::parse_header(header).ok_or(io::ErrorKind::InvalidData)?;
            let postgres::MessageHeader { kind, length } = parsed;
            let end = self.at.saturating_add(length);
            if !postgres::is_plausible_length(parsed) || end > postgres::MAX_RESPONSE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if end > self.bytes.len() {
                self.begin(kind, length)?;
                return Ok(false);
            }
            let whole = self.at..end;
            self.at = end;
            self.bytes.copy(whole.start + header.len()..end, &mut self.scratch);
            self.message(kind, whole).ok_or(io::ErrorKind::InvalidData)?;
            if self.ready {
                return Ok(true);
            }
        }
        Ok(false)
    }

    /// Sees whether a large row has begun as it must. Guards against passing on what was spoilt from the start,
    /// and against waiting for all of what no buffers would hold.
    fn begin(&mut self, kind: u8, length: usize) -> io::Result<()> {
        let fits = self.asked == Asked::Statement && kind == b'D' && length > WHOLE_MOST;
        let column = self.bytes.array::<6>(self.at + 5).filter(|_| fits);
        let Some([0, 1, column @ ..]) = column else {
            return if column.is_some() { Err(io::ErrorKind::InvalidData.into()) } else { Ok(()) };
        };
        let whole = u32::from_be_bytes(column) as usize + 11 == length;
        if !whole || self.value.len() != 1 || self.code.is_some() {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.value.push(self.at..self.bytes.len());
        self.begun = Some(self.at + length - self.bytes.len());
        Ok(())
    }

    /// Takes in a message whose body lies in `scratch`; none if it can't be what comes next.
    fn message(&mut self, kind: u8, whole: Range<usize>) -> Option<()> {
        let body = &self.scratch[..];
        let statement = self.asked == Asked::Statement;
        let open = self.code.is_none();
        let fits = match (kind, self.value.len()) {
            (b'S', _) => return self.parameter(),
            (b'N', _) => true,
            (b'R', _) => {
                let first = !statement && open && !std::mem::replace(&mut self.welcomed, true);
                first && body == [0; 4]
            }
            (b'K', _) => !statement && open && self.welcomed,
            (b'T', 0) => statement && open && postgres::is_single_column_description(body),
            (b'D', 1) => open && postgres::parse_single_column(body).is_some(),
            (b'C', 2) => open && postgres::is_command_tag(body),
            (b'E', 0..3) => {
                // What fails after its row has begun has run, whatever the code says.
                let code =
                    postgres::parse_sqlstate(body)
                        .map(|code| if self.value.is_empty() { code } else { *b"XX000" });
                return (open && code.is_some()).then(|| self.code = code);
            }
            (b'Z', values) => {
                self.ready = true;
                let told = if statement { values == 3 } else { self.welcomed };
                (!open || told) && matches!(body, [b'I' | b'T' | b'E'])
            }
            _ => false,
        };
        if matches!(kind, b'T' | b'D' | b'C') {
            self.value.push(whole);
        }
        fits.then_some(())
    }

    fn parameter(&mut self) -> Option<()> {
        // An unreadable load report spoils nothing else.
        let is_report = self.scratch.starts_with(b"stats\0");
        let Some((name, value)) = postgres::parse_parameter_status(&self.scratch) else {
            return is_report.then_some(());
        };
        match (name, value) {
            ("mode", "read-write") => self.primary = Some(true),
            ("mode", "read-only") => self.primary = Some(false),
            ("mode", _) => return None,
            ("wal_time", _) => {
                let ms: f64 = value.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms >= 0.0)?;
                self.position_ms = Some(ms).filter(|ms| *ms > 0.0);
            }
            ("stats", _) => self.stats = Some(value.to_owned()),
            _ => {}
        }
        Some(())
    }

    /// Whether it is a value, whole.
    fn served(&self) -> bool {
        self.value.len() == 3 && self.code.is_none()
    }

    /// Whether its connection can carry another request: nothing may be left on it that the next answer
    /// would be taken from.
    fn reusable(&self) -> bool {
        self.ready && self.bytes.len() == self.at
    }

    /// What it means for the attempt.
    fn ending(self, clock: Clock) -> AttemptResult<Answer> {
        let outcome = match self.code.as_ref() {
            None if self.served() => Outcome::Success,
            Some(b"25006" | b"72000") => Outcome::Misdirected,
            Some(b"53300") => Outcome::Rejected,
            _ => Outcome::ServerError,
        };
        let note = self.note(clock);
        let report = self.stats.as_deref().map(|text| report(text, clock));
        let value = Some(self.value).filter(|value| value.len() == 3 && outcome == Outcome::Success);
        let answer = value.map(|messages| Answer { bytes: self.bytes, messages, rest: None });
        AttemptResult { outcome, status: note, load_report: report, response: answer }
    }

    /// What it says of its server.
    fn note(&self, clock: Clock) -> Option<ServerStatus> {
        let position = self.position_ms.and_then(|ms| position(ms, clock));
        let heard = position.is_some() || self.primary.is_some();
        heard.then_some(ServerStatus { position, primary: self.primary })
    }

    fn probe_report(&self, clock: Clock) -> Option<LoadReport> {
        let mut row = Vec::new();
        let at = self.value.get(1)?;
        self.bytes.copy(at.start + 5..at.end, &mut row);
        let text = std::str::from_utf8(postgres::parse_single_column(&row)?).ok()?;
        text.contains('=').then(|| report(text, clock))
    }
}

/// A position on the clock. One from the future would let data of any age pass for fresh from then on.
fn position(ms: f64, clock: Clock) -> Option<Duration> {
    Some(clock.from_unix_ms(ms)).filter(|at| *at <= clock.now() + AHEAD_MOST)
}

fn report(text: &str, clock: Clock) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in postgres::parse_load_report(text) {
        match name {
            "x0" => report.position = position(value * 1e3 - REPORT_ROUNDED, clock),
            "x1" => report.primary = Some(value == 1.0),
            "busy_reqs" | "inflight" => report.in_flight = Some(value),
            "pending" | "queue" => report.queued = Some(value),
            _ => {}
        }
    }
    report
}

#[cfg(test)]
mod tests;
