//! Where clients and data servers meet: the exchange.
//!
//! Owns the decision module, the clock, the requests that are open, the attempts that are out, and the
//! module's timers. It turns what the two sides report into events, steps the module, and hands its actions
//! to the sides. It keeps the books that the module relies on: one final answer a request, attempts numbered
//! in order, none sent for a request that is over, past its deadline or at the attempt limit. It must never
//! decide anything itself, and never look at a protocol's bytes: queries (`Q`) and answers (`A`) pass through
//! it unread, so that a second protocol can enter here.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, Notify};
use tokio::time::Instant;

use pipittack_core::api::{PeerMessage, StateSnapshot};

use crate::api::*;
use crate::RoutingEngine;

/// The one clock: Unix time, read once and advanced by the monotonic one. Its zero lies an hour before the
/// start, so that its seconds are small enough to be exact.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    zero_ms: f64,
}

const BEFORE_START: Duration = Duration::from_secs(3600);
/// The module is stepped at least so often.
const IDLE: Duration = Duration::from_millis(250);
/// Time between two steps after which the process has stood still; less than a successor waits for it.
const STOOD_STILL: Duration = Duration::from_millis(800);
/// Time in which it then finds out who waits for it.
const DOUBTS_FOR: Duration = Duration::from_millis(500);

impl Clock {
    /// Reads Unix time.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(BEFORE_START);
        Self { start: Instant::now(), zero_ms: unix.saturating_sub(BEFORE_START).as_secs_f64() * 1e3 }
    }

    /// Time since the clock's zero.
    pub fn now(&self) -> Duration {
        BEFORE_START + self.start.elapsed()
    }

    /// A time in Unix milliseconds on this clock; what lies before its zero is its zero.
    pub fn from_unix_ms(&self, ms: f64) -> Duration {
        Duration::try_from_secs_f64((ms - self.zero_ms).max(0.0) / 1e3).unwrap_or(Duration::ZERO)
    }

    /// Its zero in Unix milliseconds.
    pub fn zero_unix_ms(&self) -> f64 {
        self.zero_ms
    }

    /// A time on this clock in Unix milliseconds.
    pub(super) fn to_unix_ms(self, time: Duration) -> f64 {
        self.zero_ms + time.as_secs_f64() * 1e3
    }

    /// The instant of a time on this clock.
    pub(super) fn to_instant(self, time: Duration) -> Instant {
        self.start + time.saturating_sub(BEFORE_START)
    }
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Response<A> {
    /// What a data server answered.
    Served(A),
    /// Turned away: a retry is harmless, best after this time.
    Rejected(Option<Duration>),
    /// Failed, with no promise about its effect.
    Failed,
}

/// What the side of the data servers is to do.
#[derive(Debug)]
pub enum ServerCommand<Q> {
    /// Send an attempt.
    Attempt(AttemptCommand<Q>),
    /// Give an attempt up.
    Cancel(AttemptId),
    /// Probe a server.
    HealthCheck(ServerId),
    /// Close idle connections to a server.
    CloseIdle(ServerId),
    /// A server is reached there from now on.
    SetAddress(ServerId, SocketAddr),
    /// A server is gone for good.
    Forget(ServerId),
    /// New settings, with the time after which data servers close a connection that stands idle.
    Reconfigure(Box<Settings>, Duration),
    /// So many sockets are left to the side of the data servers by that of the clients.
    SetSocketLimit(usize),
    /// The part of all sockets and buffers that may be used, the rest being another process's.
    SetShare(f64),
}

/// An attempt to be sent.
#[derive(Debug)]
pub struct AttemptCommand<Q> {
    /// Which one.
    pub id: AttemptId,
    /// Where to.
    pub server: ServerId,
    /// What.
    pub query: Rc<Q>,
    /// When it is given up.
    pub give_up_at: Instant,
    /// After this the server's data may be too old for it: then it must not go out any more.
    pub fresh_until: Option<Instant>,
}

/// What is asked of discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryCommand {
    /// Follow changes, or stop that.
    Watch(bool),
    /// The whole list once.
    Poll,
}

/// How an attempt ended, as the side of the data servers saw it.
#[derive(Debug)]
pub struct AttemptResult<A> {
    /// The outcome.
    pub outcome: Outcome,
    /// What the answer said of its server.
    pub status: Option<ServerStatus>,
    /// The load report that came with it.
    pub load_report: Option<LoadReport>,
    /// The answer, where the outcome is [`Outcome::Ok`].
    pub response: Option<A>,
}

impl<A> AttemptResult<A> {
    /// An end without an answer.
    pub fn without_answer(outcome: Outcome) -> Self {
        Self { outcome, status: None, load_report: None, response: None }
    }
}

/// The other process of this proxy, while there are two.
pub trait PeerLink {
    /// Tells it a word. What it could not be told counts there as unknown once this returns.
    fn send(&self, word: &PeerMessage);
    /// Tells it that there will be nothing more to tell.
    fn close(&self);
    /// All that it has told by now.
    fn receive(&self) -> Vec<PeerMessage>;
}

/// Who waits for the answer to a request.
pub trait ClientHandle: std::fmt::Debug {
    /// Whether it has gone by now. Asked just before anything is sent for it.
    fn is_gone(&self) -> bool;
}

/// A request as the client side hands it in; its id is given here.
#[derive(Debug, Clone, Default)]
pub struct NewRequest {
    /// Who waits for it; without one, somebody always does.
    pub client: Option<Rc<dyn ClientHandle>>,
    /// Its class.
    pub class: ClassId,
    /// Its group.
    pub group: GroupId,
    /// How long the client waits.
    pub time_left: Duration,
    /// A repeat by the client.
    pub is_retry: bool,
    /// Bytes of its statement.
    pub statement_bytes: u64,
    /// The session.
    pub session: Option<String>,
    /// The position that it must see, in Unix milliseconds.
    pub after_unix_ms: Option<f64>,
}

struct Open<Q, A> {
    query: Rc<Q>,
    caller: Option<Rc<dyn ClientHandle>>,
    class: ClassId,
    bound: Option<Duration>,
    taken: Duration,
    deadline: Duration,
    attempts: u32,
    /// The limit on them when it was taken.
    most_attempts: u32,
    /// Whose write it is, where this proxy keeps marks.
    writes: Option<Rc<str>>,
    done: oneshot::Sender<Response<A>>,
}

struct Out {
    server: ServerId,
    class: ClassId,
    sent: Duration,
    writes: Option<Rc<str>>,
}

struct RequestTable<Q, A> {
    gateway: RoutingEngine,
    /// The classes of all requests that are open, those of the settings in force included.
    classes: Vec<Class>,
    /// Attempts at the most, for requests that come now.
    most_attempts: u32,
    /// This proxy keeps marks of sessions.
    keeps_marks: bool,
    events: Vec<Event>,
    actions: Vec<Action>,
    /// When the module was last stepped.
    stepped: Duration,
    open: HashMap<RequestId, Open<Q, A>>,
    out: HashMap<AttemptId, Out>,
    timers: BTreeSet<(Duration, TimerId)>,
    /// Up to when a server is known to have applied all commits; none for a primary, which is at the present.
    positions: BTreeMap<ServerId, Option<Duration>>,
    /// The servers that the list holds, and the groups that it has ever named.
    servers: BTreeSet<ServerId>,
    groups: HashSet<GroupId>,
    /// Those of them that drain, and those that the operators took out.
    draining: BTreeSet<ServerId>,
    out_by_hand: BTreeSet<ServerId>,
    requests: u64,
}

impl<Q, A> RequestTable<Q, A> {
    /// Notes what the list names, and gives the servers that it has dropped. Guards against growing with
    /// every server that ever was: what the list dropped must go everywhere.
    fn note(&mut self, view: &EndpointUpdate, keeps_gone: bool) -> impl Iterator<Item = ServerId> {
        let (entries, whole) = match view {
            EndpointUpdate::Full(entries) | EndpointUpdate::Cached(entries) => (&entries[..], true),
            EndpointUpdate::Changes(entries) => (&entries[..], false),
            EndpointUpdate::Failed => (&[][..], false),
        };
        self.groups.extend(entries.iter().map(|e| e.group));
        let (gone, present): (Vec<_>, Vec<_>) =
            entries.iter().partition(|e| e.state == EndpointState::Removed);
        let present: BTreeSet<_> = present.iter().map(|e| e.server).collect();
        let mut dropped: Vec<_> = gone.iter().map(|e| e.server).collect();
        if whole {
            dropped.extend(self.servers.difference(&present));
        }
        self.servers.extend(present);
        for entry in entries {
            if entry.state == EndpointState::Draining {
                self.draining.insert(entry.server);
            } else {
                self.draining.remove(&entry.server);
            }
        }
        dropped.retain(|server| !keeps_gone && self.servers.remove(server));
        for server in &dropped {
            self.positions.remove(server);
            self.draining.remove(server);
        }
        dropped.into_iter()
    }
}

/// The exchange. Clones share it.
pub struct Driver<Q, A>(Rc<Shared<Q, A>>);

struct Shared<Q, A> {
    clock: Clock,
    tick: Duration,
    /// A server that the list has dropped may still be sent to.
    keeps_gone: bool,
    books: RefCell<RequestTable<Q, A>>,
    twin: RefCell<Option<Rc<dyn PeerLink>>>,
    orders: UnboundedSender<ServerCommand<Q>>,
    asks: UnboundedSender<DiscoveryCommand>,
    news: Notify,
}

impl<Q, A> Clone for Driver<Q, A> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// The exchange, with the ends of its channels to the data servers' side and to discovery.
pub type DriverParts<Q, A> =
    (Driver<Q, A>, UnboundedReceiver<ServerCommand<Q>>, UnboundedReceiver<DiscoveryCommand>);

impl<Q, A> Driver<Q, A> {
    /// An exchange around a new decision module.
    pub fn new(settings: Settings, seed: u64, clock: Clock) -> Result<DriverParts<Q, A>, SettingsError> {
        let (tick, keeps_gone) = (settings.min_step_interval, settings.rules.removed_may_serve);
        let books = RequestTable {
            classes: settings.classes.clone(),
            most_attempts: settings.limits.max_attempts,
            keeps_marks: settings.session_tokens == SessionTokens::Tracked,
            gateway: RoutingEngine::new(settings, seed)?,
            events: Vec::new(),
            actions: Vec::new(),
            stepped: clock.now(),
            open: HashMap::new(),
            out: HashMap::new(),
            timers: BTreeSet::new(),
            positions: BTreeMap::new(),
            servers: BTreeSet::new(),
            groups: HashSet::new(),
            draining: BTreeSet::new(),
            out_by_hand: BTreeSet::new(),
            requests: 0,
        };
        let ((orders, to_servers), (asks, to_discovery)) = (unbounded_channel(), unbounded_channel());
        let (books, news) = (RefCell::new(books), Notify::new());
        let twin = RefCell::default();
        let shared = Shared { clock, tick, keeps_gone, books, twin, orders, asks, news };
        Ok((Self(Rc::new(shared)), to_servers, to_discovery))
    }

    /// The clock that all times here are on.
    pub fn clock(&self) -> Clock {
        self.0.clock
    }

    /// Takes a request. The receiver gets its final answer; giving it up goes through [`Self::left`].
    pub fn submit(&self, call: NewRequest, query: Q) -> (RequestId, oneshot::Receiver<Response<A>>) {
        let now = self.0.clock.now();
        let (done, answer) = oneshot::channel();
        let mut books = self.0.books.borrow_mut();
        books.requests += 1;
        let id = RequestId(books.requests);
        let need = books.classes.get(call.class.0).map(|class| class.consistency);
        let bound = match need {
            Some(Consistency::BoundedStaleness(age)) => Some(age),
            _ => None,
        };
        let writes =
            call.session.as_deref().filter(|_| books.keeps_marks && need == Some(Consistency::Write));
        let writes = writes.map(Rc::from);
        let deadline = now + call.time_left;
        let (class, query, most_attempts) = (call.class, Rc::new(query), books.most_attempts);
        let (taken, attempts, caller) = (now, 0, call.client);
        let open =
            Open { query, caller, class, bound, taken, deadline, attempts, most_attempts, writes, done };
        books.open.insert(id, open);
        let wrote_ago = call.after_unix_ms.map(|ms| now.saturating_sub(self.0.clock.from_unix_ms(ms)));
        books.events.push(Event::Request(Request {
            id,
            class: call.class,
            group: call.group,
            tenant: None,
            time_left: call.time_left,
            is_retry: call.is_retry,
            statement_bytes: call.statement_bytes,
            expected_work: None,
            session: call.session,
            last_write_age: wrote_ago,
        }));
        self.0.news.notify_one();
        (id, answer)
    }

    /// The client of a request went away. No answer is owed any more.
    pub fn client_gone(&self, request: RequestId) {
        let mut books = self.0.books.borrow_mut();
        if books.open.remove(&request).is_some() {
            books.events.push(Event::ClientGone(request));
            self.0.news.notify_one();
        }
    }

    /// Whether an attempt may still be written, asked just before its first byte is: its client is there, nobody has
    /// answered it, and its server has not been withdrawn since it was decided on.
    pub fn may_write(&self, attempt: AttemptId, server: ServerId) -> bool {
        let caller = self.0.books.borrow().open.get(&attempt.request).map(|open| open.caller.clone());
        let Some(caller) = caller else { return false };
        if caller.is_some_and(|caller| caller.is_gone()) {
            self.client_gone(attempt.request);
            return false;
        }
        self.accepts_attempts(server)
    }

    /// Whether anything new may go to a server, by what the list and the operators say of it now.
    pub fn accepts_attempts(&self, server: ServerId) -> bool {
        let books = self.0.books.borrow();
        let listed = self.0.keeps_gone || books.servers.contains(&server);
        listed && !books.draining.contains(&server) && !books.out_by_hand.contains(&server)
    }

    /// An attempt ended. What comes for one that has ended before is dropped.
    pub fn attempt_ended(&self, key: AttemptId, ending: AttemptResult<A>) {
        let now = self.0.clock.now();
        let Some(out) = self.0.books.borrow_mut().out.remove(&key) else { return };
        if let Some(note) = ending.status {
            self.heard(out.server, note);
        }
        // A commit is told before its client can act on it.
        let commit =
            ending.status.and_then(|note| note.position).filter(|_| ending.outcome == Outcome::Success);
        if let (Some(session), Some(commit), Some(twin)) = (&out.writes, commit, &*self.0.twin.borrow()) {
            twin.send(&PeerMessage::SessionWrite {
                session: session.to_string(),
                commit: commit.as_secs_f64(),
            });
        }
        let mut books = self.0.books.borrow_mut();
        // The first answer goes to the client at once, and ends the request.
        if let Some(answer) = ending.response.filter(|_| ending.outcome == Outcome::Success) {
            if let Some(open) = books.open.remove(&key.request) {
                let _ = open.done.send(Response::Served(answer));
            }
        }
        let complete = !books.open.contains_key(&key.request);
        books.events.push(Event::AttemptEnded(AttemptEnded {
            request: key.request,
            attempt: key.number,
            server: out.server,
            outcome: ending.outcome,
            round_trip: now.saturating_sub(out.sent),
            request_complete: complete,
            status: ending.status,
            load_report: ending.load_report,
        }));
        self.0.news.notify_one();
    }

    /// A server told where it stands beside an answer that had ended before.
    pub fn status_reported(&self, server: ServerId, note: Option<ServerStatus>) {
        let Some(ServerStatus { position, primary }) = note else { return };
        self.heard(server, ServerStatus { position, primary });
        self.tell(Event::HealthChecked {
            server,
            ok: true,
            load_report: Some(LoadReport { position, primary, ..LoadReport::default() }),
        });
    }

    fn heard(&self, server: ServerId, note: ServerStatus) {
        let mut books = self.0.books.borrow_mut();
        let known = books.positions.get(&server).copied().flatten();
        let replica = note.primary == Some(false);
        books.positions.insert(server, note.position.max(known).filter(|_| replica));
    }

    /// What another process of this proxy must know, what happened since the last step included: a client may have its
    /// answer before the module has heard of it.
    pub fn snapshot(&self) -> StateSnapshot {
        self.step();
        self.0.books.borrow().gateway.snapshot()
    }

    /// Takes over what another process of this proxy knew, on a clock of that zero in Unix milliseconds.
    pub fn restore(&self, mut heritage: StateSnapshot, zero_unix_ms: f64) {
        heritage.shift((zero_unix_ms - self.0.clock.zero_unix_ms()) / 1e3);
        let mut books = self.0.books.borrow_mut();
        for stood in heritage.servers.iter().filter(|stood| !stood.primary) {
            let position = stood.position.and_then(|at| Duration::try_from_secs_f64(at).ok());
            let position = position.filter(|at| *at <= self.0.clock.now());
            books.positions.entry(ServerId(stood.server)).or_insert(position);
        }
        books.events.push(Event::SnapshotReceived(Box::new(heritage)));
        self.0.news.notify_one();
    }

    /// A probe ended.
    pub fn health_checked(&self, server: ServerId, ok: bool, report: Option<LoadReport>) {
        self.tell(Event::HealthChecked { server, ok, load_report: report });
    }

    /// Discovery brought news of the list, with the addresses of the servers in it.
    pub fn endpoints_updated(
        &self,
        view: EndpointUpdate,
        addresses: impl IntoIterator<Item = (ServerId, SocketAddr)>,
    ) {
        for (server, address) in addresses {
            let _ = self.0.orders.send(ServerCommand::SetAddress(server, address));
        }
        let dropped: Vec<_> = self.0.books.borrow_mut().note(&view, self.0.keeps_gone).collect();
        for server in &dropped {
            let _ = self.0.orders.send(ServerCommand::Forget(*server));
        }
        if let (Some(twin), EndpointUpdate::Changes(entries) | EndpointUpdate::Full(entries)) =
            (&*self.0.twin.borrow(), &view)
        {
            let drains =
                entries.iter().filter(|entry| entry.state != EndpointState::Healthy).map(|e| e.server);
            drains.chain(dropped).for_each(|server| twin.send(&PeerMessage::ServerWithdrawn(server)));
        }
        self.tell(Event::Endpoints(view));
    }

    /// Another process of this proxy serves as well, and is told what happens here.
    pub fn connect_peer(&self, twin: Rc<dyn PeerLink>) {
        self.0.twin.replace(Some(twin));
        self.0.news.notify_one();
    }

    /// This process has answered all that it took, and takes nothing more.
    pub fn close_peer(&self) {
        if let Some(twin) = &*self.0.twin.borrow() {
            twin.close();
        }
    }

    /// Another process of this proxy serves as well, and what happens there can't be heard.
    pub fn peer_unreachable(&self) {
        self.tell(Event::PeerMessage(PeerMessage::PeerUnreachable(true)));
    }

    /// The other process is gone.
    pub fn peer_gone(&self) {
        let twin = self.0.twin.take();
        let words = twin.map(|twin| twin.receive()).unwrap_or_default();
        self.0.books.borrow_mut().events.extend(words.into_iter().map(Event::PeerMessage));
        self.tell(Event::PeerMessage(PeerMessage::PeerUnreachable(false)));
    }

    /// Has the module stepped.
    pub fn wake(&self) {
        self.0.news.notify_one();
    }

    /// Gives the side of the data servers an order that is no decision.
    pub fn command(&self, order: ServerCommand<Q>) {
        let _ = self.0.orders.send(order);
    }

    /// The operators took a server out by hand, or called it back.
    pub fn set_out_of_service(&self, server: ServerId, out: bool) {
        if out {
            self.command(ServerCommand::CloseIdle(server));
            self.0.books.borrow_mut().out_by_hand.insert(server);
        } else {
            self.0.books.borrow_mut().out_by_hand.remove(&server);
        }
        self.tell(if out { Event::TakenOutOfService(server) } else { Event::ReturnedToService(server) });
    }

    /// Takes new settings for requests that come from now on. Of their classes, those in `kept` are what they
    /// were and keep their ids; each other one gets an id that neither an open request nor `reserved` has, and
    /// so those that are open keep the rules that they came under. Gives the ids in the order of the classes.
    pub fn reconfigure(
        &self,
        settings: Settings,
        kept: &[Option<ClassId>],
        reserved: &[ClassId],
    ) -> Vec<ClassId> {
        let mut books = self.0.books.borrow_mut();
        let held = books.open.values().map(|open| open.class).chain(books.out.values().map(|out| out.class));
        let mut taken: HashSet<_> = held.chain(kept.iter().copied().flatten()).collect();
        taken.extend(reserved);
        let mut ids = Vec::new();
        for (class, kept) in settings.classes.iter().zip(kept) {
            let free = || (0..).map(ClassId).find(|id| !taken.contains(id)).expect("there are more numbers");
            let id = kept.unwrap_or_else(free);
            taken.insert(id);
            match books.classes.get_mut(id.0) {
                Some(place) => *place = class.clone(),
                None => books.classes.push(class.clone()),
            }
            ids.push(id);
        }
        books.most_attempts = settings.limits.max_attempts;
        books.keeps_marks = settings.session_tokens == SessionTokens::Tracked;
        let settings = Settings { classes: books.classes.clone(), ..settings };
        books.events.push(Event::Settings(Box::new(settings)));
        self.0.news.notify_one();
        ids
    }

    /// The longest that any open request may take.
    pub fn max_deadline(&self) -> Duration {
        self.0.books.borrow().classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Whether the list has ever named a group. Before any list, all may exist.
    pub fn knows_group(&self, group: GroupId) -> bool {
        let books = self.0.books.borrow();
        books.groups.is_empty() || books.groups.contains(&group)
    }

    fn tell(&self, event: Event) {
        self.0.books.borrow_mut().events.push(event);
        self.0.news.notify_one();
    }

    /// Requests that have no final answer yet.
    pub fn requests_in_flight(&self) -> usize {
        self.0.books.borrow().open.len()
    }

    /// Steps the module whenever there is news or a timer is due, at most once a tick. Never returns. A step
    /// each millisecond shortens a request's wait by 2 ms and gains no service: `docs/design.md` has the figures.
    pub async fn run(&self) {
        loop {
            let timer = self.0.books.borrow().timers.first().map(|(at, _)| self.0.clock.to_instant(*at));
            let idle = Instant::now() + IDLE;
            tokio::select! {
                () = self.0.news.notified() => {}
                () = tokio::time::sleep_until(timer.unwrap_or(idle)) => {}
            }
            self.step();
            tokio::time::sleep(self.0.tick).await;
        }
    }

    /// One step of the module, and what it asks for.
    pub fn step(&self) {
        let now = self.0.clock.now();
        let mut books = self.0.books.borrow_mut();
        let books = &mut *books;
        // What the other process was told before a request came here comes before it, and so does what it may have been.
        let mut words = self.0.twin.borrow().as_ref().map(|twin| twin.receive()).unwrap_or_default();
        if now.saturating_sub(books.stepped) > STOOD_STILL {
            words.push(PeerMessage::ProcessPaused(DOUBTS_FOR));
        }
        books.stepped = now;
        books.events.splice(0..0, words.into_iter().map(Event::PeerMessage));
        while let Some((at, id)) = books.timers.first().copied().filter(|(at, _)| *at <= now) {
            books.timers.remove(&(at, id));
            books.events.push(Event::Timer(id));
        }
        let mut actions = std::mem::take(&mut books.actions);
        books.gateway.step(now, books.events.drain(..), &mut actions);
        for action in actions.drain(..) {
            self.carry_out(now, action, books);
        }
        books.actions = actions;
    }

    fn carry_out(&self, now: Duration, action: Action, books: &mut RequestTable<Q, A>) {
        let order = match action {
            Action::Forward { request, server, timeout } => {
                return self.send(now, (request, server, timeout), books);
            }
            Action::Reject { request, retry_after } => {
                return Self::finish(now, request, Response::Rejected(retry_after), books);
            }
            Action::Fail { request } => return Self::finish(now, request, Response::Failed, books),
            Action::Cancel { request, attempt } => {
                let key = AttemptId { request, number: attempt };
                let Some(out) = books.out.remove(&key) else { return };
                books.events.push(Event::AttemptEnded(AttemptEnded {
                    request,
                    attempt,
                    server: out.server,
                    outcome: Outcome::Cancelled,
                    round_trip: now.saturating_sub(out.sent),
                    request_complete: !books.open.contains_key(&request),
                    status: None,
                    load_report: None,
                }));
                self.0.news.notify_one();
                ServerCommand::Cancel(key)
            }
            Action::HealthCheck { server } => ServerCommand::HealthCheck(server),
            Action::CloseIdle { server } => ServerCommand::CloseIdle(server),
            Action::Watch { on } => {
                let _ = self.0.asks.send(DiscoveryCommand::Watch(on));
                return;
            }
            Action::Poll => {
                let _ = self.0.asks.send(DiscoveryCommand::Poll);
                return;
            }
            Action::SetTimer { after, id } => {
                books.timers.insert((now + after, id));
                return;
            }
            Action::Log(text) => return log::info!("module: {text}"),
            // Proxies share nothing here; a message to a peer has nowhere to go.
            Action::Gossip { .. } => return,
        };
        let _ = self.0.orders.send(order);
    }

    /// Gives the final answer that the module has decided on, at once.
    fn finish(now: Duration, request: RequestId, answer: Response<A>, books: &mut RequestTable<Q, A>) {
        let Some(open) = books.open.remove(&request) else { return };
        let word = if matches!(answer, Response::Failed) { "failed" } else { "refused" };
        let waited = now.saturating_sub(open.taken).as_millis();
        let wait = open.deadline.saturating_sub(open.taken).as_millis();
        let (class, sends) = (open.class.0, open.attempts);
        log::debug!("{word} a request of class {class} after {waited} of {wait} ms and {sends} attempts");
        let _ = open.done.send(answer);
    }

    fn send(
        &self,
        now: Duration,
        (request, server, timeout): (RequestId, ServerId, Duration),
        books: &mut RequestTable<Q, A>,
    ) {
        let Some(open) = books.open.get_mut(&request) else { return };
        let key = AttemptId { request, number: AttemptNumber(open.attempts) };
        open.attempts += 1;
        let until = (now + timeout).min(open.deadline);
        if key.number.0 >= open.most_attempts || until <= now {
            books.events.push(Event::AttemptEnded(AttemptEnded {
                request,
                attempt: key.number,
                server,
                outcome: Outcome::NotSent,
                round_trip: Duration::ZERO,
                request_complete: false,
                status: None,
                load_report: None,
            }));
            return self.0.news.notify_one();
        }
        let out = Out { server, class: open.class, sent: now, writes: open.writes.clone() };
        books.out.insert(key, out);
        let known = books.positions.get(&server).copied().flatten();
        let fresh_until = known.zip(open.bound).map(|(known, bound)| self.0.clock.to_instant(known + bound));
        let query = open.query.clone();
        let until = self.0.clock.to_instant(until);
        let _ = self.0.orders.send(ServerCommand::Attempt(AttemptCommand {
            id: key,
            server,
            query,
            give_up_at: until,
            fresh_until,
        }));
    }
}
