//! The side of the clients: the listener, and one task for each connection.
//!
//! Owns every socket to a client. It reads simple queries, hands them to the exchange, and writes the final
//! answer that comes back, whole and in order. It must never talk to a data server, answer a request by
//! itself once the exchange has taken it, or let one client's slowness reach another.

mod inbound;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::graceful_shutdown::{GracefulShutdown, IdleState, ShutdownPhase};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout, timeout_at, Instant, MissedTickBehavior};

use crate::api::*;
use crate::net::buffers::{self, write_all, BufferChain, BufferPool, BufferReservation};
use crate::net::driver::{ClientHandle, NewRequest, Response, ServerCommand};
use crate::net::hot_restart::frame::Successor;
use crate::net::postgres::{self, Severity, Startup};
use crate::net::server::{Answer, PgDriver, Query};
use inbound::Inbound;

/// Time within which a new client must have sent its startup packet, and any client the rest of a message
/// that it has begun. Whoever can't be served is owed an end 3 s after connecting.
const MESSAGE_WITHIN: Duration = Duration::from_millis(2500);
/// Time in which a client that is to be turned away must say who it is, to be told so.
const ANSWERED_WITHIN: Duration = Duration::from_millis(100);
/// Time without an open request after which a client may be closed to make room for another.
const STANDS_LEAST: Duration = Duration::from_secs(2);
/// Part of the usual places from which on connections are closed that may be.
const CROWDED: f64 = 0.5;
/// Part of the places for clients that have asked nothing yet. Where it is taken, one that comes has to ask at once.
const SILENT: f64 = 0.25;
/// Time between looks for them.
const SWEEP_EVERY: Duration = Duration::from_millis(50);
/// Time by which a look comes late where the process has stood still.
const STOOD_LEAST: Duration = Duration::from_millis(150);
/// Clients in whose steps sockets are shared with the other side.
const STEP: usize = 4;
/// Time in which a message of any length must have come.
const LONGEST_MESSAGE: Duration = Duration::from_secs(20);
/// Time within which a client must have taken an answer.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
/// Clients over the limit that are told so at the same time; what exceeds them is closed without a word.
const TURNED_AWAY_MOST: usize = 8;
/// Time for which clients still come after the front was told to send no more: it asks each 0.1 s, and sends
/// some for 0.2 s after that.
const STILL_COME: Duration = Duration::from_millis(600);
/// Time for which a class that new settings dropped may still be named by what was on its way.
const STILL_NAMED: Duration = Duration::from_secs(2);
/// Time between warnings of one kind.
const WARN_EVERY: Duration = Duration::from_secs(10);
/// Time in which the last errors of a process whose time is up are written.
const LAST_WORD: Duration = Duration::from_millis(50);
const BACKLOG: u32 = 1024;
const TOO_MANY: &str = "sorry, too many clients already";
/// The longest message that must come as a whole within [`MESSAGE_WITHIN`]; of a longer one, some more must.
const WITHIN_MOST: usize = 144 * 1024;
/// The parts at the start and the end of a long statement that are looked at word by word.
const ENDS: usize = 4096;
/// Where the text of a query stands in its message.
const TEXT_AT: usize = 5;

/// What the side of the clients is set up with.
pub struct ClientOptions {
    /// Clients at the most; further ones are told so and turned away.
    pub max_clients: usize,
    /// Clients beyond whom each one takes a socket from the data servers' side.
    pub usual_clients: usize,
    /// Sockets of both sides together.
    pub sockets: usize,
    /// The classes of requests, by their names.
    pub classes: HashMap<String, (ClassId, Class)>,
}

/// What statements may name: the classes of the settings in force, and for a while those that earlier ones dropped.
struct Rules {
    classes: HashMap<String, (ClassId, Class)>,
    /// Each with when it goes.
    dropped: HashMap<String, (ClassId, Class, Instant)>,
}

impl Rules {
    fn class(&self, name: &str) -> Option<(ClassId, Class)> {
        let dropped = self.dropped.get(name).filter(|(.., until)| Instant::now() < *until);
        self.classes.get(name).cloned().or_else(|| dropped.map(|(id, class, _)| (*id, class.clone())))
    }
}

struct Side {
    driver: PgDriver,
    /// Clients at the most, those beyond whom each takes a socket from the other side, and all sockets.
    most: usize,
    usual: usize,
    sockets: usize,
    /// Sockets that the other side was left.
    left_to_servers: Cell<usize>,
    rules: RefCell<Rules>,
    pool: BufferPool,
    /// For texts that must lie in one piece while they are parsed; one for all, so that none is kept idle.
    scratch: RefCell<Vec<u8>>,
    /// The connections, by the number in which they came, each with the word that it has to make room.
    connected: RefCell<HashMap<u64, Rc<Notify>>>,
    taken: Cell<u64>,
    /// How many of them are served; the others have ended, and wait for their clients to see it.
    served: Cell<usize>,
    /// How many there may be, while another process has a part of them.
    limit: Cell<Option<usize>>,
    /// Another process takes who comes.
    yields: watch::Sender<bool>,
    /// Takes over those that stand between requests, once the door is closed.
    successor: RefCell<Option<Successor>>,
    /// A newer process that has a door of its own at the same address: whoever is let go finds that. It takes this one
    /// for gone when it is let go of.
    beside: RefCell<Option<Successor>>,
    /// Those that have asked nothing yet, and those that stand between requests, each with since when.
    silent: Since,
    idle: Since,
    /// Those that have ended.
    closing: Since,
    /// How many have asked nothing yet.
    unasked: Cell<usize>,
    /// Clients turned away since the last warning, and when that was.
    turned_away: Cell<(u64, Option<Instant>)>,
    /// Ids of the requests that are open, each with its connection.
    ids: RefCell<HashMap<String, Holder>>,
    /// When it last looked for connections to close, and when it last went on after it had stood still for so long.
    looked: Cell<Instant>,
    woke: Cell<(Instant, Duration)>,
    /// How this process ends, once it was told to.
    farewell: RefCell<Option<GracefulShutdown>>,
    /// Something has happened that may bring that end closer.
    nearer: Notify,
    door: watch::Sender<ServicePhase>,
    /// How often the door was moved by the operators.
    moved: Cell<u64>,
}

/// How far the door stands open.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
enum ServicePhase {
    /// To all.
    Open,
    /// The front is told to send no more; who still comes is served.
    Announced,
    /// Connections end as soon as they stand between requests, and new ones at once.
    SentAway,
    /// For good: connections end as their [`Farewell`] has it, and new ones are taken for a request.
    Leaving,
    /// The same, and nobody listens.
    Closed,
    /// The time is up.
    Ended,
}

/// Since when connections have stood without an open request, and their numbers.
type Since = RefCell<BTreeSet<(Instant, u64)>>;

/// The side of the clients.
#[derive(Clone)]
pub struct ClientService(Rc<Side>);

/// Listens at an address, which a predecessor may have left a moment ago, or may still have.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl ClientService {
    /// A side with no clients yet.
    pub fn new(driver: PgDriver, options: ClientOptions, pool: BufferPool) -> Self {
        Self(Rc::new(Side {
            driver,
            most: options.max_clients,
            usual: options.usual_clients,
            sockets: options.sockets,
            left_to_servers: Cell::new(options.sockets - options.usual_clients),
            rules: RefCell::new(Rules { classes: options.classes, dropped: HashMap::new() }),
            pool,
            scratch: RefCell::default(),
            connected: RefCell::default(),
            taken: Cell::new(0),
            served: Cell::new(0),
            limit: Cell::default(),
            yields: watch::Sender::new(false),
            successor: RefCell::default(),
            beside: RefCell::default(),
            silent: RefCell::default(),
            idle: RefCell::default(),
            closing: RefCell::default(),
            unasked: Cell::new(0),
            turned_away: Cell::new((0, None)),
            ids: RefCell::default(),
            looked: Cell::new(Instant::now()),
            woke: Cell::new((Instant::now(), Duration::ZERO)),
            farewell: RefCell::default(),
            nearer: Notify::new(),
            door: watch::Sender::new(ServicePhase::Open),
            moved: Cell::new(0),
        }))
    }

    /// Takes in clients until the farewell closes the door. `holds` is a task that has a copy of the listener for
    /// successors; while it has, the queue goes on. Must run inside a [`tokio::task::LocalSet`].
    pub async fn run(&self, listener: TcpListener, holds: Option<JoinHandle<()>>) {
        let (mut door, mut yields) = (self.0.door.subscribe(), self.0.yields.subscribe());
        let mut sweep = tokio::time::interval(SWEEP_EVERY);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // Whoever comes in the moment in which the places are told to a successor is the successor's.
                biased;
                Ok(()) = yields.changed() => {}
                _ = door.wait_for(|door| *door >= ServicePhase::Closed) => break,
                _ = sweep.tick() => {
                    self.0.look();
                    while self.is_crowded() && self.0.make_room() {}
                }
                accepted = listener.accept(), if !*yields.borrow() => self.admit(accepted).await,
            }
        }
        // A successor has the same queue.
        if !self.has_successor() {
            if let Some(holds) = holds {
                holds.abort();
                let _ = holds.await;
            }
            if let Err(e) = self.take_queue(listener).await {
                log::warn!("the queue could not be taken in: {e}");
            }
        }
        if let Some(farewell) = &mut *self.0.farewell.borrow_mut() {
            farewell.listener_closed();
        }
        self.0.nearer.notify_waiters();
    }

    /// Closes the door behind all that stands in its queue: they have been accepted by this machine. Asks the system
    /// and not the runtime, which knows only what it heard when it last waited.
    async fn take_queue(&self, listener: TcpListener) -> io::Result<()> {
        let queue = listener.into_std()?;
        loop {
            match queue.accept() {
                Ok((stream, from)) => {
                    stream.set_nonblocking(true)?;
                    self.admit(TcpStream::from_std(stream).map(|stream| (stream, from))).await;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Lets all clients go, as the end of the process wants it. Returns once nothing is owed any more, or the time is
    /// up; then whatever is still open ends with an error.
    pub async fn shut_down(&self) {
        let side = &*self.0;
        let clock = side.driver.clock();
        let farewell =
            GracefulShutdown::new(clock.now(), side.driver.max_deadline(), side.served.get(), side.stood());
        let ends = clock.to_instant(farewell.deadline());
        side.farewell.replace(Some(farewell));
        loop {
            let mut nearer = std::pin::pin!(side.nearer.notified());
            nearer.as_mut().enable();
            let now = clock.now();
            let (phase, next) = {
                let mut farewell = side.farewell.borrow_mut();
                let farewell = farewell.as_mut().expect("it was just begun, and none takes it");
                farewell.set_handed_over(self.has_successor() || self.0.beside.borrow().is_some());
                (farewell.phase(now), farewell.next_transition(now))
            };
            match phase {
                ShutdownPhase::Notice => {}
                ShutdownPhase::Draining => self.shut_to(ServicePhase::Leaving),
                ShutdownPhase::ListenerClosing => self.shut_to(ServicePhase::Closed),
                ShutdownPhase::AttemptEnded => break,
            }
            tokio::select! {
                () = nearer => {}
                () = sleep_until(clock.to_instant(next)) => {}
            }
        }
        // Those that have ended may still have to read their last answers.
        let _ = timeout_at(ends, self.gone()).await;
        self.shut_to(ServicePhase::Ended);
        let _ = timeout(LAST_WORD, self.gone()).await;
    }

    /// Moves the door for good, and never back.
    fn shut_to(&self, to: ServicePhase) {
        self.0.door.send_if_modified(|door| *door < to && std::mem::replace(door, to) != to);
    }

    /// Takes new settings, whose classes go by these names, for requests that come from now on.
    pub fn reconfigure(&self, settings: Settings, names: &[String]) {
        let mut rules = self.0.rules.borrow_mut();
        let classes = settings.classes.clone();
        let same = |(name, class): (&String, &Class)| {
            rules.classes.get(name).filter(|(_, known)| known == class).map(|(id, _)| *id)
        };
        let kept: Vec<_> = names.iter().zip(&classes).map(same).collect();
        let (old, now) = (std::mem::take(&mut rules.classes), Instant::now());
        rules.dropped.retain(|_, (.., until)| now < *until);
        let dropped = old.into_iter().map(|(name, (id, class))| (name, (id, class, now + STILL_NAMED)));
        rules.dropped.extend(dropped);
        let reserved: Vec<_> = rules.dropped.values().map(|(id, ..)| *id).collect();
        let ids = self.0.driver.reconfigure(settings, &kept, &reserved);
        rules.classes = names.iter().cloned().zip(ids.into_iter().zip(classes)).collect();
    }

    /// Has the front send its clients elsewhere: empty queries get an error from now on, and who is here is
    /// served and then let go. The process goes on.
    pub fn take_out_of_service(&self) {
        if self.is_out_of_service() {
            return;
        }
        self.move_door(ServicePhase::Announced);
        let (clients, moved) = (self.clone(), self.0.moved.get());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(STILL_COME).await;
            if clients.0.moved.get() == moved {
                clients.move_door(ServicePhase::SentAway);
            }
        });
    }

    /// Takes clients again after [`Self::send_away`].
    pub fn return_to_service(&self) {
        self.move_door(ServicePhase::Open);
    }

    /// Whether clients are sent away.
    pub fn is_out_of_service(&self) -> bool {
        *self.0.door.borrow() != ServicePhase::Open
    }

    fn move_door(&self, to: ServicePhase) {
        self.0.moved.set(self.0.moved.get() + 1);
        self.0
            .door
            .send_if_modified(|door| *door < ServicePhase::Leaving && std::mem::replace(door, to) != to);
    }

    /// Waits until all clients are gone.
    async fn gone(&self) {
        loop {
            let nearer = self.0.nearer.notified();
            if self.0.connected.borrow().is_empty() {
                return;
            }
            nearer.await;
        }
    }

    async fn admit(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            // Out of descriptors, or a client that left at once: neither may end or spin the listener.
            Err(e) => {
                log::warn!("accept failed: {e}");
                return tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let (side, limit) = (self.0.clone(), self.limit());
        let connected = || side.connected.borrow().len();
        let room = self.is_crowded() && side.make_room();
        let full = connected() >= limit && !room;
        if full {
            side.warn_full();
        }
        if connected() >= limit + TURNED_AWAY_MOST {
            return tokio::task::yield_now().await; // those that were closed must get to go
        }
        let hurried = side.unasked.get() as f64 >= limit as f64 * SILENT;
        self.spawn(stream, Stage::New { full }, hurried);
    }

    fn is_crowded(&self) -> bool {
        self.0.connected.borrow().len() as f64 >= self.0.usual.min(self.limit()) as f64 * CROWDED
    }

    /// Serves a connection in a task of its own, from a stage on.
    fn spawn(&self, stream: TcpStream, stage: Stage, hurried: bool) {
        let side = self.0.clone();
        let number = side.taken.get() + 1;
        side.taken.set(number);
        let place = Place::new(&side, number);
        let unwanted = Rc::new(Notify::new());
        // Who comes over from another process has stood there.
        let unasked = (stage != Stage::Started).then(|| Unasked::new(&side));
        side.connected.borrow_mut().insert(number, unwanted.clone());
        tokio::task::spawn_local(async move {
            let side = &*place.side;
            let stream = Rc::new(stream);
            let inbound = Inbound::new(stream.clone(), &side.pool);
            let (came, room, leaves) = (side.driver.clock().now(), None, false);
            let mut client = Client {
                inbound,
                side,
                number,
                came,
                stream,
                stage,
                room,
                unasked,
                leaves,
                unwanted,
                hurried,
            };
            if let Err(e) = client.serve().await {
                log::debug!("client connection: {e}");
            }
            let successor = side.successor.borrow().clone();
            let successor =
                successor.filter(|_| client.leaves && *side.door.borrow() >= ServicePhase::Closed);
            let Some(successor) = successor else {
                place.ends();
                return client.close().await;
            };
            let Client { stream, inbound, stage, .. } = client;
            drop(inbound);
            let Some(stream) = Rc::into_inner(stream) else { return };
            match successor.hand_over_client(stream, stage == Stage::Started).await {
                Ok(()) => side.limit.set(side.limit.get().map(|limit| limit.saturating_sub(1))),
                Err(e) => log::debug!("client connection: can't be handed over: {e}"),
            }
        });
        if let Some(farewell) = &mut *side.farewell.borrow_mut() {
            farewell.connection_opened();
        }
        side.share_sockets();
    }

    /// Takes over a connection that stands between requests; `started` if its startup is done.
    pub fn adopt(&self, stream: TcpStream, started: bool) {
        self.0.limit.set(self.0.limit.get().map(|limit| limit + 1));
        self.spawn(stream, if started { Stage::Started } else { Stage::New { full: false } }, false);
    }

    /// How many clients there may be.
    pub fn limit(&self) -> usize {
        self.0.limit.get().unwrap_or(self.0.most)
    }

    /// Sets that while another process has its part.
    pub fn set_limit(&self, limit: Option<usize>) {
        self.0.limit.set(limit);
    }

    /// Has all places again, and takes who comes: no other process does any more.
    pub fn clear_limit(&self) {
        self.set_limit(None);
        self.0.yields.send_replace(false);
    }

    /// Takes nobody any more, and keeps the places that are taken; gives how many these are.
    pub fn stop_accepting(&self) -> usize {
        let kept = self.0.connected.borrow().len().min(self.limit());
        self.set_limit(Some(kept));
        self.0.yields.send_replace(true);
        kept
    }

    /// Who takes over connections once the door is closed.
    pub fn set_successor(&self, successor: Option<Successor>) {
        self.0.successor.replace(successor);
        self.0.nearer.notify_waiters();
    }

    /// A newer process has a door of its own, or it is gone.
    pub fn set_parallel_successor(&self, other: Option<Successor>) {
        self.0.beside.replace(other);
        self.0.nearer.notify_waiters();
    }

    /// Whether there is one.
    pub fn has_successor(&self) -> bool {
        self.0.successor.borrow().is_some()
    }
}

impl Side {
    /// Notes that the process goes on, and whether it had stood still.
    fn look(&self) {
        let late = self.looked.replace(Instant::now()).elapsed().saturating_sub(SWEEP_EVERY);
        if late >= STOOD_LEAST {
            self.woke.set((Instant::now(), late));
        }
    }

    /// For how long the process has stood still up to this moment.
    fn stood(&self) -> Duration {
        self.look();
        let (woke, stood) = self.woke.get();
        if woke.elapsed() < SWEEP_EVERY {
            stood
        } else {
            Duration::ZERO
        }
    }

    /// Closes the client that has longest stood without an open request, if any may be closed: one that has ended
    /// anyway, else one that has asked nothing yet, else one between requests. Guards against clients that connect and
    /// stay, and keep out those that have something to ask.
    fn make_room(&self) -> bool {
        let longest = |standing: &Since, least: Duration| {
            let first = standing.borrow().first().copied();
            let first = first.filter(|(since, _)| since.elapsed() >= least)?;
            standing.borrow_mut().remove(&first);
            Some(first.1)
        };
        let client = longest(&self.closing, Duration::ZERO)
            .or_else(|| longest(&self.silent, STANDS_LEAST))
            .or_else(|| longest(&self.idle, STANDS_LEAST));
        if let Some(unwanted) = client.and_then(|number| self.connected.borrow().get(&number).cloned()) {
            unwanted.notify_waiters();
        }
        client.is_some()
    }

    /// Leaves the side of the data servers what clients don't need, in steps, and always what clients may not have: those
    /// that are only turned away have a reserve.
    fn share_sockets(&self) {
        let clients = self.connected.borrow().len().next_multiple_of(STEP) + STEP;
        let left = self.sockets - clients.clamp(self.usual, self.most);
        if self.left_to_servers.replace(left) != left {
            self.driver.command(ServerCommand::SetSocketLimit(left));
        }
    }

    /// Waits until a connection may end that stands so and came at `came`.
    async fn lets_go(&self, standing: IdleState, stage: Stage, came: Duration) {
        let mut door = self.door.subscribe();
        loop {
            let now = *door.borrow_and_update();
            let until = match (&*self.farewell.borrow(), stage) {
                (Some(farewell), _) if now >= ServicePhase::Leaving => farewell.idle_deadline(standing, came),
                // Who connects while clients are sent away is told so; its startup may be on its way.
                (_, Stage::Started) if now == ServicePhase::SentAway => return,
                _ => None,
            };
            let until = until.map(|at| self.driver.clock().to_instant(at));
            tokio::select! {
                () = sleep_until(until.unwrap_or_else(Instant::now)), if until.is_some() => return,
                moved = door.changed() => if moved.is_err() {
                    return;
                }
            }
        }
    }

    /// How much of its time a request may take that comes now.
    fn time_left(&self, wanted: Duration) -> Duration {
        let farewell = self.farewell.borrow();
        farewell
            .as_ref()
            .map_or(wanted, |farewell| farewell.request_time_left(self.driver.clock().now(), wanted))
    }

    /// Warns of a client that is turned away, not more often than whoever reads the log can bear.
    fn warn_full(&self) {
        let (before, warned) = self.turned_away.get();
        let count = before + 1;
        if warned.is_some_and(|at| at.elapsed() < WARN_EVERY) {
            return self.turned_away.set((count, warned));
        }
        log::warn!(
            "turned {count} clients away: {} are connected, {} of them silent, {} idle and {} with an open request",
            self.connected.borrow().len(),
            self.silent.borrow().len(),
            self.idle.borrow().len(),
            self.ids.borrow().len()
        );
        self.turned_away.set((0, Some(Instant::now())));
    }
}

/// A connection's place among the others, for as long as its task lives. It is served until it ends, and then has to be
/// seen by its client.
struct Place {
    side: Rc<Side>,
    number: u64,
    served: Cell<bool>,
}

impl Place {
    fn new(side: &Rc<Side>, number: u64) -> Self {
        side.served.set(side.served.get() + 1);
        if let Some(farewell) = &mut *side.farewell.borrow_mut() {
            farewell.connection_opened();
        }
        Self { side: side.clone(), number, served: Cell::new(true) }
    }

    /// Nothing more is read on it to be served.
    fn ends(&self) {
        let side = &self.side;
        if self.served.replace(false) {
            side.served.set(side.served.get() - 1);
            if let Some(farewell) = &mut *side.farewell.borrow_mut() {
                farewell.connection_closed(side.driver.clock().now());
            }
            side.nearer.notify_waiters();
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.ends();
        self.side.connected.borrow_mut().remove(&self.number);
        self.side.share_sockets();
        self.side.nearer.notify_waiters();
    }
}

/// A connection's entry among those that stand, for as long as it does.
struct Stands<'s>(&'s Since, (Instant, u64));

impl<'s> Stands<'s> {
    fn new(standing: &'s Since, number: u64) -> Self {
        let entry = (Instant::now(), number);
        standing.borrow_mut().insert(entry);
        Self(standing, entry)
    }
}

impl Drop for Stands<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// A connection that has asked nothing yet, for as long as that is so.
struct Unasked(Rc<Side>);

impl Unasked {
    fn new(side: &Rc<Side>) -> Self {
        side.unasked.set(side.unasked.get() + 1);
        Self(side.clone())
    }
}

impl Drop for Unasked {
    fn drop(&mut self) {
        self.0.unasked.set(self.0.unasked.get() - 1);
    }
}

/// Whose an id is: the connection's number and the request, and what tells whether its client is there.
struct Holder {
    number: u64,
    request: RequestId,
    client: Rc<TcpStream>,
}

/// A request's id, for as long as the request is open and no other has taken the id over.
struct OpenId<'s>(&'s Side, String, u64);

impl Drop for OpenId<'_> {
    fn drop(&mut self) {
        let mut ids = self.0.ids.borrow_mut();
        if ids.get(&self.1).is_some_and(|holder| holder.number == self.2) {
            ids.remove(&self.1);
        }
    }
}

struct Client<'s> {
    side: &'s Side,
    number: u64,
    /// When it came, on the exchange's clock.
    came: Duration,
    stream: Rc<TcpStream>,
    inbound: Inbound,
    stage: Stage,
    /// Room for the message that comes in, where one buffer does not hold it.
    room: Option<BufferReservation>,
    /// It has asked nothing yet that went to the exchange.
    unasked: Option<Unasked>,
    /// It stands between requests, and this process lets it go.
    leaves: bool,
    /// Its place is wanted for another.
    unwanted: Rc<Notify>,
    /// It came where too many had asked nothing, and has to ask at once.
    hurried: bool,
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// Its startup is to come, and is then turned away where the places were full.
    New { full: bool },
    /// Queries may come.
    Started,
}

/// Whether a connection goes on.
#[derive(PartialEq)]
enum Flow {
    GoOn,
    End,
}

impl Client<'_> {
    async fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        if let Stage::New { full } = self.stage {
            if self.start(full).await? == Flow::End {
                return Ok(());
            }
            self.stage = Stage::Started;
        }
        let mut skipping = false; // after an error in the extended protocol, up to Sync
        while let Some((message, came)) = self.next_message().await? {
            let kind = message.array::<1>(0).map_or(0, |[kind]| kind);
            let flow = match kind {
                b'X' => Flow::End,
                b'S' => {
                    skipping = false;
                    self.reply(postgres::push_ready_for_query).await?
                }
                _ if skipping => Flow::GoOn,
                b'Q' => self.query(message, came).await?,
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                    skipping = true;
                    self.refuse("0A000", "only simple queries are supported").await?
                }
                b'F' => {
                    self.refuse("0A000", "function calls are not supported").await?;
                    self.reply(postgres::push_ready_for_query).await?
                }
                _ => self.expel("08P01", "unexpected message type").await?,
            };
            if flow == Flow::End {
                return Ok(());
            }
        }
        self.leaves &= !skipping; // the successor could not know
        Ok(())
    }

    /// Reads on, but not past `late`; false when the client is gone, or when it is let go. Guards against half a
    /// message that keeps its place for good.
    async fn more(&mut self, late: Option<Instant>) -> io::Result<bool> {
        let standing = match self.stage {
            _ if !self.inbound.bytes().is_empty() => IdleState::PartialMessage,
            Stage::Started if self.unasked.is_none() => IdleState::BetweenRequests,
            _ => IdleState::NoRequestYet,
        };
        let hurries = self.hurried && standing == IdleState::NoRequestYet;
        let asks_by = hurries.then(|| self.side.driver.clock().to_instant(self.came) + ANSWERED_WITHIN);
        let late = late.into_iter().chain(asks_by).min();
        let goes = tokio::select! {
            biased;
            read = self.inbound.fill() => return Ok(read? > 0),
            () = self.side.lets_go(standing, self.stage, self.came), if standing != IdleState::PartialMessage => true,
            () = self.unwanted.notified(), if standing != IdleState::PartialMessage => true,
            () = sleep_until(late.unwrap_or_else(Instant::now)), if late.is_some() => false,
        };
        if goes {
            // What the system has and the runtime has not heard of is served like all that was read.
            let unread = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
            if unread.is_ok_and(|n| n > 0) {
                return Ok(self.inbound.fill().await? > 0);
            }
            self.leaves = true;
            return Ok(false);
        }
        if standing == IdleState::PartialMessage {
            self.expel("08P01", "a message was not complete in time").await?;
        } else if hurries && self.stage == Stage::Started {
            self.reply(|out| postgres::push_error(out, Severity::Fatal, "53300", TOO_MANY, None)).await?;
        }
        Ok(false)
    }

    async fn start(&mut self, full: bool) -> io::Result<Flow> {
        let late = Some(Instant::now() + if full { ANSWERED_WITHIN } else { MESSAGE_WITHIN });
        loop {
            let length = self.inbound.bytes().array::<4>(0).map(|b| u32::from_be_bytes(b) as usize);
            if length.is_some_and(|n| !(8..=postgres::MAX_STARTUP_BYTES).contains(&n)) {
                return self.expel("08P01", "invalid length of startup packet").await;
            }
            let Some(length) = length.filter(|n| self.inbound.bytes().len() >= *n) else {
                // Who is slow is not silent.
                let silent = self.inbound.bytes().is_empty();
                let _stands = silent.then(|| Stands::new(&self.side.silent, self.number));
                if !self.more(late).await? {
                    return Ok(Flow::End);
                }
                continue;
            };
            let (packet, _) = self.inbound.split_to(length);
            let body: Vec<u8> = packet.slices(4..length).flatten().copied().collect();
            match postgres::parse_startup(&body) {
                Some(Startup::Encryption) => self.write(b"N").await?,
                Some(Startup::Session(_)) if full => {
                    return self.expel("53300", TOO_MANY).await;
                }
                Some(Startup::Session(_)) if *self.side.door.borrow() == ServicePhase::SentAway => {
                    return self.expel("57P03", "the proxy is out of service").await;
                }
                Some(Startup::Session(minor)) => {
                    self.write(&postgres::encode_welcome(minor)).await?;
                    return Ok(Flow::GoOn);
                }
                Some(Startup::Cancel) => return Ok(Flow::End), // no query here can be cancelled by key
                Some(Startup::Unsupported(_)) | None => {
                    return self.expel("0A000", "unsupported frontend protocol").await;
                }
            }
        }
    }

    /// The next whole message, with the time at which its last byte came; none when the client is gone, or when the proxy
    /// closes between requests. One that does not fit into a buffer is read on once there is room for it.
    async fn next_message(&mut self) -> io::Result<Option<(BufferChain, Instant)>> {
        let (mut late, mut begun, mut long) = (None, Instant::now(), false);
        self.room = None;
        loop {
            if let Some(header) = self.inbound.bytes().array(0) {
                let length = postgres::parse_header(header)
                    .map(|header| header.length)
                    .filter(|n| *n <= postgres::MAX_QUERY_BYTES);
                let Some(length) = length else {
                    self.expel("08P01", "invalid message length").await?;
                    return Ok(None);
                };
                if self.inbound.bytes().len() >= length {
                    return Ok(Some(self.inbound.split_to(length)));
                }
                if self.inbound.bytes().len() >= buffers::BUFFER_BYTES && self.room.is_none() {
                    self.room = Some(self.side.pool.reserve(length).await);
                    long = length > WITHIN_MOST;
                    begun = Instant::now();
                }
            }
            let between = self.inbound.bytes().is_empty();
            let standing = if self.unasked.is_none() { &self.side.idle } else { &self.side.silent };
            let _stands = between.then(|| Stands::new(standing, self.number));
            if !between && (late.is_none() || long) {
                late = Some((Instant::now() + MESSAGE_WITHIN).min(begun + LONGEST_MESSAGE));
            }
            if !self.more(late).await? {
                return Ok(None);
            }
        }
    }

    async fn query(&mut self, message: BufferChain, came: Instant) -> io::Result<Flow> {
        let cut = cut(&message);
        let parsed = {
            let mut scratch = self.side.scratch.borrow_mut();
            scratch.clear();
            for part in [TEXT_AT..cut.start, cut.end..message.len()] {
                message.slices(part).for_each(|piece| scratch.extend_from_slice(piece));
            }
            scratch.split_last().filter(|(end, _)| **end == 0).map(|(_, text)| postgres::parse_query(text))
        };
        let Some(parsed) = parsed else {
            return self.expel("08P01", "invalid string in message").await;
        };
        match parsed {
            Some(postgres::Query::Empty) if *self.side.door.borrow() != ServicePhase::Open => {
                self.reject("57P03", "the proxy is out of service").await
            }
            Some(postgres::Query::Empty) => {
                self.reply(|out| {
                    postgres::push_empty_query_response(out);
                    postgres::push_ready_for_query(out);
                })
                .await
            }
            Some(postgres::Query::Setting(tag)) => {
                self.reply(|out| {
                    postgres::push_command_complete(out, tag);
                    postgres::push_ready_for_query(out);
                })
                .await
            }
            Some(postgres::Query::Routed(statement)) => self.request(statement, message, cut, came).await,
            None => self.reject("42601", "not a statement that this proxy can route").await,
        }
    }

    /// Takes a request through the exchange.
    async fn request(
        &mut self,
        statement: postgres::Statement,
        message: BufferChain,
        cut: Range<usize>,
        came: Instant,
    ) -> io::Result<Flow> {
        let class = self.side.rules.borrow().class(&statement.class);
        let Some((id, class)) = class else {
            return self.reject("42601", "the statement names no known class").await;
        };
        // What a data server would turn away or close on costs a connection there, or passes for its fault.
        if statement.is_write != (class.consistency == Consistency::Write) {
            return self.reject("42601", "reads and writes have classes of their own").await;
        }
        if !self.side.driver.knows_group(GroupId(statement.group)) {
            return self.reject("42601", "the statement names no known cluster").await;
        }
        let holder = self.side.ids.borrow().get(&statement.id).map(|h| (h.request, h.client.is_gone()));
        match holder {
            Some((_, false)) => {
                return self.reject("08P01", "the statement has the id of another open request").await;
            }
            // Its client has come again before the end of its connection was read.
            Some((request, true)) => self.side.driver.client_gone(request),
            None => {}
        }
        let place =
            |at: usize| if at + TEXT_AT < cut.start { at + TEXT_AT } else { at + TEXT_AT + cut.len() };
        let wait_at = place(statement.timeout_range.start)..place(statement.timeout_range.end);
        let call = NewRequest {
            client: Some(self.stream.clone()),
            class: id,
            group: GroupId(statement.group),
            // No client waits longer over all its tries, and no request outlasts the process. What it waited for its
            // turn, behind others on its connection, was its client's time too.
            time_left: self
                .side
                .time_left(statement.timeout.min(class.deadline).saturating_sub(came.elapsed())),
            is_retry: statement.is_retry,
            statement_bytes: message.len() as u64,
            session: matches!(class.consistency, Consistency::Write | Consistency::Causal)
                .then_some(statement.key),
            after_unix_ms: statement.after_unix_ms,
        };
        self.unasked = None;
        let (request, mut answer) =
            self.side.driver.submit(call, Query { message, wait_at, room: self.room.take() });
        let holder = Holder { number: self.number, request, client: self.stream.clone() };
        self.side.ids.borrow_mut().insert(statement.id.clone(), holder);
        let open_id = OpenId(self.side, statement.id, self.number);
        let mut door = self.side.door.subscribe();
        let answer = tokio::select! {
            biased;
            answer = &mut answer => answer,
            _ = door.wait_for(|door| *door == ServicePhase::Ended) => {
                self.side.driver.client_gone(request);
                return self.expel("57P01", "the proxy is shutting down").await;
            }
            () = self.inbound.gone() => {
                self.side.driver.client_gone(request);
                return Ok(Flow::End);
            }
        };
        drop(open_id);
        match answer {
            Ok(Response::Served(answer)) => self.serve_value(answer).await,
            Ok(Response::Rejected(hint)) => {
                self.reply(|out| {
                    let hint = hint.map(|h| h.as_millis().to_string());
                    postgres::push_error(
                        out,
                        Severity::Error,
                        "53300",
                        "no server can take this in time",
                        hint.as_deref(),
                    );
                    postgres::push_ready_for_query(out);
                })
                .await
            }
            Ok(Response::Failed) => {
                self.reject("40003", "no answer from a data server; the statement may have run").await
            }
            // Its client was seen to be gone before anything went out for it.
            Err(_) => Ok(Flow::End),
        }
    }

    /// Passes a value on. A large one goes on as it comes; where its rest fails, so does this connection: what
    /// has been passed on can't be taken back, and its client must be able to tell.
    async fn serve_value(&self, mut answer: Answer) -> io::Result<Flow> {
        let mut ready = Vec::new();
        postgres::push_ready_for_query(&mut ready);
        let whole = !answer.goes_on();
        let mut pieces: Vec<_> = answer.pieces().map(IoSlice::new).collect();
        if whole {
            pieces.push(IoSlice::new(&ready));
        }
        timeout(WRITE_WITHIN, write_all(&self.stream, &mut pieces)).await??;
        drop(pieces);
        if whole {
            return Ok(Flow::GoOn);
        }
        answer.clear();
        while let Some(piece) = answer.more().await? {
            let mut pieces: Vec<_> = piece.slices(0..piece.len()).map(IoSlice::new).collect();
            timeout(WRITE_WITHIN, write_all(&self.stream, &mut pieces)).await??;
        }
        self.write(&ready).await?;
        Ok(Flow::GoOn)
    }

    async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        timeout(WRITE_WITHIN, write_all(&self.stream, &mut [IoSlice::new(bytes)])).await?
    }

    async fn reply(&self, body: impl FnOnce(&mut Vec<u8>)) -> io::Result<Flow> {
        let mut out = Vec::new();
        body(&mut out);
        self.write(&out).await?;
        Ok(Flow::GoOn)
    }

    /// An error, after which the client goes on without a ReadyForQuery.
    async fn refuse(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| postgres::push_error(out, Severity::Error, code, text, None)).await
    }

    /// An error that ends the query.
    async fn reject(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| {
            postgres::push_error(out, Severity::Error, code, text, None);
            postgres::push_ready_for_query(out);
        })
        .await
    }

    /// An error that ends the connection.
    async fn expel(&mut self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| postgres::push_error(out, Severity::Fatal, code, text, None)).await?;
        Ok(Flow::End)
    }

    /// Ends the connection in order, whatever led to that. Its place may go to another meanwhile.
    async fn close(&mut self) {
        let _stands = Stands::new(&self.side.closing, self.number);
        tokio::select! {
            () = self.inbound.close() => {}
            () = self.unwanted.notified() => {}
        }
    }
}

/// The digits in the middle of a long statement's value, which need not be looked at word by word: an even number
/// of them, so that the rest is a statement as the whole is. Empty where there are none. Guards against copying
/// megabytes into one piece.
fn cut(message: &BufferChain) -> Range<usize> {
    let (start, end) = (TEXT_AT + ENDS, message.len().saturating_sub(ENDS) & !1 | (TEXT_AT + ENDS) & 1);
    let digits = |piece: &[u8]| piece.iter().fold(true, |all, byte| all & byte.is_ascii_hexdigit());
    if start < end && end < message.len() && message.slices(start..end).all(digits) {
        start..end
    } else {
        start..start
    }
}
