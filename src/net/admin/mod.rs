//! The second address: calls of the operators' staff over HTTP/1.1, one to a connection.
//!
//! Owns the listener for them, and what they have ordered: which servers are out of service by hand. It must
//! never wait for anything but a caller's own bytes, nor say yes to what would not outlast this process.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;
use winnow::ascii::{crlf, digit1};
use winnow::combinator::{delimited, eof, preceded, repeat, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::prelude::*;
use winnow::token::{literal, take_till, take_while};

use crate::net::buffers::{self, write_all, BufferPool};
use crate::net::client::ClientService;
use crate::net::discovery::SharedEndpointRegistry;
use crate::net::server::PgDriver;

/// Calls at the same time; a further one ends the one that has been there longest.
const CALLS_MOST: usize = 8;
/// Time within which a call must have come.
const CALL_WITHIN: Duration = Duration::from_secs(2);
/// Time for which the rest of what a caller sends is read, so that it gets its answer.
const LINGER: Duration = Duration::from_millis(500);
/// Time between looks at what another process of this proxy has been told.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process is ready to serve.
    Ready,
    /// Leave a server out.
    Offline(String),
    /// A server may serve again.
    Online(String),
    /// Send clients away.
    OutOfService,
    /// Take clients again.
    InService,
}

/// An answer's status code.
type Status = u16;

/// Reads the head of a call, up to the empty line at its end: what is asked for, or the status that says what
/// is wrong with it.
pub fn call(mut head: &[u8]) -> Result<AdminCall, Status> {
    let token = || take_while::<_, _, ContextError>(1.., |c: u8| c.is_ascii_graphic() && c != b':');
    let target = take_till(1.., |c: u8| c.is_ascii_whitespace());
    let version = delimited(literal("HTTP/"), (digit1, literal("."), digit1).take(), crlf);
    let line = (token(), preceded(literal(" "), target), preceded(literal(" "), version));
    let field = terminated(separated_pair(token(), literal(":"), take_till(0.., b'\r')), crlf);
    let fields = repeat::<_, _, (), _, _>(0.., field);
    let parsed: Result<_, ContextError> = terminated(line, (fields, crlf, eof)).parse_next(&mut head);
    let (method, target, version) = parsed.map_err(|_| 400u16)?;
    if !version.starts_with(b"1.") {
        return Err(505);
    }
    let target = std::str::from_utf8(target).map_err(|_| 400u16)?;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let server = |id: &str, call: fn(String) -> AdminCall| {
        let id = percent_encoding::percent_decode_str(id).decode_utf8().map_err(|_| 400u16)?;
        Ok::<AdminCall, Status>(call(id.into_owned()))
    };
    let (wanted, call) = match path.strip_prefix("/control/").unwrap_or("") {
        "ready" => (&b"GET"[..], AdminCall::Ready),
        "out-of-service" => (&b"POST"[..], AdminCall::OutOfService),
        "in-service" => (&b"POST"[..], AdminCall::InService),
        rest => {
            let id = rest.strip_prefix("data-servers/").and_then(|r| r.rsplit_once('/'));
            match id.filter(|(id, _)| !id.is_empty() && !id.contains('/')) {
                Some((id, "offline")) => (&b"POST"[..], server(id, AdminCall::Offline)?),
                Some((id, "online")) => (&b"POST"[..], server(id, AdminCall::Online)?),
                _ => return Err(404),
            }
        }
    };
    if method == wanted {
        Ok(call)
    } else {
        Err(405)
    }
}

/// The servers that are out by hand, by the names of the list, and the file that says so to other processes
/// of this proxy: those that replace it, and the one that it replaces.
pub struct OutOfServiceList {
    file: Option<PathBuf>,
    /// Which state of the file was read last.
    read: Cell<Option<(SystemTime, u64)>>,
    out: RefCell<BTreeSet<String>>,
}

#[derive(Default, Serialize, Deserialize)]
struct Kept {
    offline: BTreeSet<String>,
}

impl OutOfServiceList {
    /// Those that `file` tells of; without one, they last as long as the process.
    pub fn new(file: Option<PathBuf>) -> Self {
        Self { file, read: Cell::default(), out: RefCell::default() }
    }

    /// Whether a server is out.
    pub fn contains(&self, uid: &str) -> bool {
        self.out.borrow().contains(uid)
    }

    /// Puts a server out, or back. It is in the file once this returns.
    pub fn set(&self, uid: &str, out: bool) -> io::Result<()> {
        let mut kept = Kept { offline: self.kept()?.unwrap_or_else(|| self.out.borrow().clone()) };
        if out {
            kept.offline.insert(uid.to_owned());
        } else {
            kept.offline.remove(uid);
        }
        if let Some(file) = &self.file {
            let new = file.with_extension(format!("new-{}", std::process::id()));
            std::fs::write(&new, serde_json::to_vec(&kept)?)?;
            std::fs::rename(&new, file)?;
        }
        self.out.replace(kept.offline);
        Ok(())
    }

    /// Takes over what the file says by now, and gives the names of which it says something new.
    pub fn reload(&self) -> io::Result<Vec<(String, bool)>> {
        let changed = match &self.file {
            Some(file) => std::fs::metadata(file).and_then(|m| Ok((m.modified()?, m.ino()))).ok(),
            None => None,
        };
        if changed.is_none() || changed == self.read.get() {
            return Ok(Vec::new());
        }
        self.read.set(changed); // what can't be read is not looked at again until it changes
        let kept = self.kept()?.unwrap_or_default();
        let before = self.out.replace(kept.clone());
        let news = kept.symmetric_difference(&before);
        Ok(news.map(|uid| (uid.clone(), kept.contains(uid))).collect())
    }

    fn kept(&self) -> io::Result<Option<BTreeSet<String>>> {
        let Some(file) = &self.file else { return Ok(None) };
        match std::fs::read(file) {
            Ok(text) => Ok(Some(serde_json::from_slice::<Kept>(&text)?.offline)),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }
}

/// What the calls act on.
pub struct AdminApi {
    /// The exchange.
    pub driver: PgDriver,
    /// The names of the list.
    pub registry: SharedEndpointRegistry,
    /// The side of the clients.
    pub clients: ClientService,
    /// Servers that are out by hand.
    pub out_of_service: OutOfServiceList,
    /// Clients are taken, and the list is known.
    pub ready: Cell<bool>,
}

impl AdminApi {
    /// Follows what other processes of this proxy are told. Never returns.
    pub async fn follow_file(&self) {
        let mut look = tokio::time::interval(LOOK_EVERY);
        loop {
            self.sync_file();
            look.tick().await;
        }
    }

    /// Takes over at once what other processes of this proxy have been told.
    pub fn sync_file(&self) {
        match self.out_of_service.reload() {
            Ok(news) => news.iter().for_each(|(uid, out)| self.order(uid, *out)),
            Err(e) => log::warn!("ops: can't read which servers are out: {e}"),
        }
    }

    /// Waits until discovery has told of the list.
    pub async fn wait_for_endpoints(&self) {
        while !self.registry.borrow().is_live() {
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    fn order(&self, uid: &str, out: bool) {
        log::info!("ops: server {uid} is {} by hand", if out { "out" } else { "back" });
        let server = self.registry.borrow_mut().server_id(uid);
        self.driver.set_out_of_service(server, out);
    }

    fn answer(&self, call: AdminCall) -> (Status, &'static str) {
        match call {
            AdminCall::Ready if self.clients.is_out_of_service() => (503, "out of service"),
            AdminCall::Ready if !self.ready.get() => (503, "no list of data servers yet"),
            AdminCall::Ready => (200, "ready"),
            AdminCall::Offline(uid) => self.set(&uid, true),
            AdminCall::Online(uid) => self.set(&uid, false),
            AdminCall::OutOfService => {
                self.clients.take_out_of_service();
                (200, "out of service")
            }
            AdminCall::InService => {
                self.clients.return_to_service();
                (200, "in service")
            }
        }
    }

    fn set(&self, uid: &str, out: bool) -> (Status, &'static str) {
        self.sync_file(); // what another process was told first comes first
        if !self.registry.borrow().has_listed(uid) && !self.out_of_service.contains(uid) {
            return (404, "no such data server was ever listed");
        }
        let changes = self.out_of_service.contains(uid) != out;
        match self.out_of_service.set(uid, out) {
            Ok(()) if !changes => (200, "as before"),
            Ok(()) => {
                self.order(uid, out);
                (200, if out { "out" } else { "back" })
            }
            Err(e) => {
                log::warn!("ops: can't keep that server {uid} is {}: {e}", if out { "out" } else { "back" });
                (500, "it could not be written down")
            }
        }
    }
}

/// Answers calls. Never returns; must run inside a [`tokio::task::LocalSet`].
pub async fn run(listener: TcpListener, control: Rc<AdminApi>, pool: BufferPool) {
    let mut calls: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("ops: accept failed: {e}");
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        // Guards against callers that stay and say nothing: they keep nobody else out.
        calls.retain(|call| !call.is_finished());
        if calls.len() >= CALLS_MOST {
            calls.pop_front().iter().for_each(AbortHandle::abort);
        }
        let (control, pool) = (control.clone(), pool.clone());
        let call = spawn_local(async move {
            if let Err(e) = serve(stream, &control, &pool).await {
                log::debug!("ops: {e}");
            }
        });
        calls.push_back(call.abort_handle());
    }
}

async fn serve(mut stream: TcpStream, control: &AdminApi, pool: &BufferPool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut bytes = pool.chain();
    let mut head = Vec::new();
    let read = async {
        loop {
            bytes.copy(0..bytes.len(), &mut head);
            if let Some(end) = head.windows(4).position(|w| w == b"\r\n\r\n") {
                head.truncate(end + 4);
                return Ok::<_, io::Error>(call(&head));
            }
            if bytes.len() >= buffers::BUFFER_BYTES {
                return Ok(Err(431));
            }
            if bytes.read_from(&stream).await? == 0 {
                return if bytes.is_empty() {
                    Err(io::ErrorKind::UnexpectedEof.into())
                } else {
                    Ok(Err(400))
                };
            }
        }
    };
    let call = timeout(CALL_WITHIN, read).await.unwrap_or(Ok(Err(408)))?;
    let (status, text) = match call {
        Ok(call) => {
            let (status, text) = control.answer(call.clone());
            log::debug!("ops: {call:?}: {status} {text}");
            (status, text)
        }
        Err(status) => (status, ""),
    };
    drop(bytes);
    write_all(&stream, &mut [IoSlice::new(response(status, text).as_bytes())]).await?;
    stream.shutdown().await?;
    // Closing on unread bytes would reset the connection and take the answer with it.
    let rest = async { while pool.chain().read_from(&stream).await.is_ok_and(|n| n > 0) {} };
    let _ = timeout(LINGER, rest).await;
    Ok(())
}

fn response(status: Status, text: &str) -> String {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        505 => "HTTP Version Not Supported",
        _ => "Service Unavailable",
    };
    let text = if text.is_empty() { reason } else { text };
    let allow = if status == 405 { "Allow: GET, POST\r\n" } else { "" };
    let length = text.len() + 1;
    format!(
        "HTTP/1.1 {status} {reason}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{text}\n"
    )
}

/// Listens for calls.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
