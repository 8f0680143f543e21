//! Discovery: the server list over HTTP/1.1, asked for once or watched.
//!
//! Owns the connection to the discovery service and the ids that its servers go by here. It must never judge
//! a server by what the list says of it; it reads entries, and reports a call or a watch that failed as such.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{timeout, timeout_at, Instant};
use winnow::ascii::{crlf, digit1, hex_digit1, space0, space1};
use winnow::combinator::{preceded, repeat, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{literal, take_till};

use crate::api::*;
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::net::buffers::{write_all, BufferPool};
use crate::net::driver::{Clock, DiscoveryCommand};
use crate::net::server::PgDriver;
use crate::settings::NameTable;

/// A line comes every 2 s; without a whole one for so long, a watch has fallen silent. What it misses counts as told
/// 6 s after its last word: time to dial anew (after at most 0.75 s), fail within 0.5 s, and dial again (1.5 s later).
const SILENCE_MOST: Duration = Duration::from_millis(2700);
/// Time within which a connection must be up.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// Time within which a call must be answered, its connection included: the service works through calls one after another,
/// and turns away what has waited for 2 s.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2500);
/// Names of servers that are kept after the list has dropped them.
const PAST_MOST: usize = 4096;
/// The state of a server that has left the list.
const GONE: &str = "Gone";
/// The longest head or list that is read.
const LIST_MOST: usize = 4 << 20;

/// Turns listings into views, and knows the ids of servers.
pub struct EndpointRegistry {
    names: NameTable,
    clock: Clock,
    ids: BTreeMap<ServerId, String>,
    /// Those that the last news dropped.
    leaving: Vec<ServerId>,
    /// The list as it stands, by names.
    held: BTreeMap<String, ListedEndpoint>,
    /// Names that the list has held, those still in it included.
    past: VecDeque<String>,
    rev: u64,
    live: bool,
}

/// A lister that discovery and the operators' calls share.
pub type SharedEndpointRegistry = Rc<RefCell<EndpointRegistry>>;

/// A view, and the addresses of the servers in it.
pub type Listed = (EndpointUpdate, Vec<(ServerId, SocketAddr)>);

impl EndpointRegistry {
    /// One that has seen no list yet.
    pub fn new(names: NameTable, clock: Clock) -> Self {
        let (ids, held) = (BTreeMap::new(), BTreeMap::new());
        let (leaving, past) = (Vec::new(), VecDeque::new());
        Self { names, clock, ids, leaving, held, past, rev: 0, live: false }
    }

    /// Reads a listing; `remembered` is for the one of an earlier run. Changes to an older list than the one in hand don't
    /// fit it: the service does not know that version, and the next call asks for the whole list.
    pub fn apply(&mut self, listing: EndpointList, remembered: bool) -> Option<Listed> {
        if !listing.complete && !remembered && listing.revision < self.rev {
            self.rev = 0;
            return None;
        }
        self.rev = listing.revision;
        self.live |= !remembered;
        for id in self.leaving.drain(..) {
            self.ids.remove(&id);
        }
        let mut addresses = Vec::new();
        let mut entries = Vec::new();
        let all = listing.complete;
        if all {
            self.held.clear();
        }
        for target in listing.endpoints {
            if target.state == GONE {
                self.held.remove(&target.name);
            } else {
                self.held.insert(target.name.clone(), target.clone());
            }
            let server = self.id(&target.name);
            addresses.push((server, target.address));
            entries.push(Endpoint {
                server,
                zone: self.names.zone(&target.zone),
                machine_kind: self.names.kind(&target.machine_kind),
                group: GroupId(target.group),
                listed_primary: target.role.as_deref() == Some("read-write"),
                state: match target.state.as_str() {
                    "Ready" => EndpointState::Healthy,
                    GONE => EndpointState::Removed,
                    _ => EndpointState::Draining, // nothing new goes to a server in a state that is not known
                },
                relative_capacity: target.relative_capacity.unwrap_or(1.0),
                started_at: Some(target.started_unix_ms)
                    .filter(|ms| *ms > 0.0)
                    .map(|ms| self.clock.from_unix_ms(ms)),
            });
        }
        // Names of servers that are gone would only pile up; until the next news they can still be told.
        self.leaving.extend(entries.iter().filter(|e| e.state == EndpointState::Removed).map(|e| e.server));
        if all {
            let named: BTreeSet<_> = entries.iter().map(|e| e.server).collect();
            self.leaving.extend(self.ids.keys().filter(|id| !named.contains(id)));
        }
        let view = match (remembered, all) {
            (true, _) => EndpointUpdate::Cached(entries),
            (false, true) => EndpointUpdate::Full(entries),
            (false, false) => EndpointUpdate::Changes(entries),
        };
        Some((view, addresses))
    }

    /// The number of a zone of this name.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        self.names.zone(name)
    }

    /// The list as it stands.
    pub fn endpoint_list(&self) -> EndpointList {
        EndpointList { revision: self.rev, complete: true, endpoints: self.held.values().cloned().collect() }
    }

    /// The names of the servers in it.
    pub fn names(&self) -> Vec<(u32, String)> {
        self.ids.iter().map(|(id, uid)| (id.0, uid.clone())).collect()
    }

    /// The name of a server, if the list holds it.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.ids.get(&server).map(String::as_str)
    }

    /// Whether the service itself has told of the list by now.
    pub fn is_live(&self) -> bool {
        self.live
    }

    /// Whether the list holds a server or has held it, as far back as names are kept.
    pub fn has_listed(&self, uid: &str) -> bool {
        self.past.iter().any(|past| past == uid)
    }

    /// The id of a server, listed or not: a hash of its name, so that all proxies order servers alike.
    pub fn server_id(&self, uid: &str) -> ServerId {
        let fnv1a = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let mut id = ServerId(uid.bytes().fold(0x811c_9dc5, fnv1a));
        while self.ids.get(&id).is_some_and(|other| other != uid) {
            id = ServerId(id.0.wrapping_add(1));
        }
        id
    }

    fn id(&mut self, uid: &str) -> ServerId {
        let id = self.server_id(uid);
        if self.ids.insert(id, uid.to_owned()).is_none() {
            log::info!("server {} is {uid}", id.0);
            if !self.has_listed(uid) {
                self.past.push_back(uid.to_owned());
                let over = self.past.len().saturating_sub(PAST_MOST);
                self.past.drain(..over);
            }
        }
        id
    }
}

/// Follows what the module asks of discovery until the exchange is gone. One call is out at a time, so that no answer of
/// an earlier one undoes a later one's. Where `service` changes, it is made anew at the new address at once.
pub async fn run(
    driver: PgDriver,
    mut asks: UnboundedReceiver<DiscoveryCommand>,
    mut service: watch::Receiver<SocketAddr>,
    registry: SharedEndpointRegistry,
) {
    let mut out: Option<(DiscoveryCommand, JoinHandle<()>)> = None;
    loop {
        let ask = tokio::select! {
            ask = asks.recv() => match ask {
                Some(ask) => ask,
                None => return,
            },
            Ok(()) = service.changed() => match &out {
                Some((ask, _)) => *ask,
                None => continue,
            },
        };
        // Asked again: what runs has not answered, or is not trusted any more.
        if let Some((_, old)) = out.take() {
            old.abort();
        }
        if ask == DiscoveryCommand::Watch(false) {
            continue;
        }
        let (driver, registry, service) = (driver.clone(), registry.clone(), *service.borrow_and_update());
        let call = async move {
            let watches = ask == DiscoveryCommand::Watch(true);
            let result = call(service, watches, &driver, &registry).await;
            if let Err(e) = result {
                log::warn!("discovery {}: {e}", if watches { "watch ended" } else { "call failed" });
                driver.endpoints_updated(EndpointUpdate::Failed, []);
            }
        };
        out = Some((ask, tokio::task::spawn_local(call)));
    }
}

/// Asks for the whole list once, or watches until the watch ends, which is always a failure.
async fn call(
    service: SocketAddr,
    watches: bool,
    driver: &PgDriver,
    registry: &SharedEndpointRegistry,
) -> io::Result<()> {
    let heard = |listing: Option<EndpointList>| {
        let listed = match listing {
            Some(listing) => registry.borrow_mut().apply(listing, false),
            None => {
                registry.borrow_mut().live = true;
                Some((EndpointUpdate::Changes(Vec::new()), Vec::new()))
            }
        };
        let (view, addresses) = listed.ok_or_else(|| io::Error::other("the list's version went back"))?;
        driver.endpoints_updated(view, addresses);
        Ok::<(), io::Error>(())
    };
    if !watches {
        let mut http = Http::get(service, "/v1/endpoints").await?;
        return heard(Some(serde_json::from_slice(&http.body().await?)?));
    }
    let from = registry.borrow().rev;
    let mut http = Http::get(service, &format!("/v1/endpoints?watch=1&from={from}")).await?;
    let mut first = true;
    loop {
        let listing = http.value().await?;
        http.until = Instant::now() + SILENCE_MOST;
        // An empty line: nothing has changed, but the watch stands.
        if first || listing.is_some() {
            heard(listing)?;
        }
        first = false;
    }
}

/// How the body of a response is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// In chunks.
    Chunked,
    /// So many bytes.
    Length(usize),
    /// Up to the end of the connection.
    ToEnd,
}

/// Reads a response's head, without the empty line at its end: its status and how the body is framed.
pub fn head(mut text: &[u8]) -> Option<(u16, Framing)> {
    let version = (literal("HTTP/1."), digit1::<_, ContextError>, space1);
    let line = || terminated(take_till(0.., b'\r'), crlf::<_, ContextError>);
    let status = preceded(version, digit1.parse_to::<u16>());
    let name = take_till(1.., (b':', b'\r'));
    let field = terminated(separated_pair(name, (b':', space0), take_till(0.., b'\r')), crlf);
    let fields = repeat::<_, _, Vec<(&[u8], &[u8])>, _, _>(0.., field);
    let ((status, _), fields) = ((status, line()), fields).parse_next(&mut text).ok()?;
    let value = |name: &str| {
        let field = fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name.as_bytes()));
        field.and_then(|(_, v)| std::str::from_utf8(v).ok()).map(str::trim)
    };
    let chunked = value("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let length = value("content-length").map(str::parse);
    let framing = match length {
        _ if chunked => Framing::Chunked,
        Some(length) => Framing::Length(length.ok()?),
        None => Framing::ToEnd,
    };
    text.is_empty().then_some((status, framing))
}

/// Reads the size line of a chunk, with its line end; extensions are passed over.
pub fn chunk_size(mut line: &[u8]) -> Option<usize> {
    let end = (take_till::<_, _, ContextError>(0.., b'\r'), crlf);
    let digits = terminated(hex_digit1, end).parse_next(&mut line).ok()?;
    usize::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok().filter(|_| line.is_empty())
}

/// One response as it is read.
struct Http {
    stream: TcpStream,
    pool: BufferPool,
    /// Bytes read that are not used yet, and body bytes taken out of their framing.
    raw: Vec<u8>,
    body: Vec<u8>,
    framing: Framing,
    /// Left of the present chunk, or of the body.
    left: usize,
    done: bool,
    /// How much of the body was looked through for the end of a value.
    seen: usize,
    /// When what is waited for must have come, whole.
    until: Instant,
}

impl Http {
    async fn get(service: SocketAddr, path: &str) -> io::Result<Self> {
        let until = Instant::now() + ANSWERED_WITHIN;
        let stream = timeout(CONNECT_WITHIN, TcpStream::connect(service)).await??;
        stream.set_nodelay(true)?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {service}\r\nAccept: application/json\r\n\r\n");
        write_all(&stream, &mut [IoSlice::new(request.as_bytes())]).await?;
        let mut http = Self {
            stream,
            pool: BufferPool::default(),
            raw: Vec::new(),
            body: Vec::new(),
            framing: Framing::ToEnd,
            left: 0,
            done: false,
            seen: 0,
            until,
        };
        let end = loop {
            if let Some(end) = find(&http.raw, b"\r\n\r\n") {
                break end;
            }
            http.more().await?;
        };
        let head: Vec<u8> = http.raw.drain(..end + 4).take(end + 2).collect();
        let (status, framing) = self::head(&head).ok_or(io::ErrorKind::InvalidData)?;
        if status != 200 {
            return Err(io::Error::other(format!("status {status}")));
        }
        http.framing = framing;
        if let Framing::Length(length) = framing {
            http.left = length;
        }
        http.unframe()?;
        Ok(http)
    }

    /// Reads once; silence and the end of the connection are failures.
    async fn more(&mut self) -> io::Result<()> {
        let mut chain = self.pool.chain();
        if timeout_at(self.until, chain.read_from(&self.stream)).await?? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        chain.slices(0..chain.len()).for_each(|piece| self.raw.extend_from_slice(piece));
        if self.raw.len() + self.body.len() > LIST_MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Takes body bytes out of their framing.
    fn unframe(&mut self) -> io::Result<()> {
        loop {
            let n = match self.framing {
                Framing::ToEnd => self.raw.len(),
                _ => self.left.min(self.raw.len()),
            };
            self.body.extend(self.raw.drain(..n));
            if self.framing != Framing::Chunked {
                self.left -= n.min(self.left);
                self.done = self.left == 0 && self.framing != Framing::ToEnd;
                return Ok(());
            }
            self.left -= n;
            // The size line of the next chunk follows the line end of this one's data.
            let skip = if self.raw.starts_with(b"\r\n") { 2 } else { 0 };
            let Some(end) = find(&self.raw[skip..], b"\r\n").filter(|_| self.left == 0 && !self.done) else {
                return Ok(());
            };
            let line: Vec<u8> = self.raw.drain(..skip + end + 2).skip(skip).collect();
            self.left = chunk_size(&line).ok_or(io::ErrorKind::InvalidData)?;
            self.done = self.left == 0;
        }
    }

    async fn body(&mut self) -> io::Result<Vec<u8>> {
        while !self.done {
            match self.more().await {
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof && self.framing == Framing::ToEnd => break,
                other => other?,
            }
            self.unframe()?;
        }
        Ok(std::mem::take(&mut self.body))
    }

    /// The next JSON value of the body, once it is whole, however it is laid out; none for an empty line.
    async fn value(&mut self) -> io::Result<Option<EndpointList>> {
        loop {
            let first = self.body.iter().position(|byte| *byte == b'\n' || !byte.is_ascii_whitespace());
            if let Some(end) = first.filter(|at| self.body[*at] == b'\n') {
                self.body.drain(..=end);
                self.seen = 0;
                return Ok(None);
            }
            // A value ends with its brace, and only there it is worth a look.
            if self.body[self.seen..].contains(&b'}') {
                let mut values = serde_json::Deserializer::from_slice(&self.body).into_iter();
                match values.next() {
                    Some(Err(e)) if e.is_eof() => {}
                    Some(listing) => {
                        let (listing, end) = (listing?, values.byte_offset());
                        self.body.drain(..end);
                        self.seen = 0;
                        return Ok(Some(listing));
                    }
                    None => {}
                }
            }
            self.seen = self.body.len();
            if self.done {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.more().await?;
            self.unframe()?;
        }
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}
