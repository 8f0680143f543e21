//! The side of the clients: the listener, and one task for each connection.
//!
//! Owns every socket to a client. It reads simple queries, hands them to the exchange, and writes the final
//! answer that comes back, whole and in order. It must never talk to a data server, answer a request by
//! itself once the exchange has taken it, or let one client's slowness reach another.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::timeout;

use super::buffers::{self, write_all, Chain, Pool};
use super::exchange::{Call, Final};
use super::pg::{self, Severity, Startup};
use super::servers::{PgExchange, Query};
use crate::interface::*;
use crate::settings::Names;

/// Time within which a new client must have sent its startup packet.
const STARTUP_WITHIN: Duration = Duration::from_secs(10);
/// Time within which a client must have taken an answer.
const WRITE_WITHIN: Duration = Duration::from_secs(10);
/// Time for which what a client still sends is read after its last answer, so that it gets that answer.
const LINGER: Duration = Duration::from_secs(1);
/// Clients over the limit that are told so at the same time.
const TURNED_AWAY_MOST: usize = 16;
const BACKLOG: u32 = 1024;
/// Where the text of a query stands in its message.
const TEXT_AT: usize = 5;

/// What the side of the clients is set up with.
pub struct Options {
    /// Clients at the most; further ones are told so and turned away.
    pub clients: usize,
    /// The classes of requests, and their names.
    pub classes: Vec<Class>,
    /// Names as indices.
    pub names: Names,
}

struct Side {
    exchange: PgExchange,
    options: Options,
    pool: Pool,
    /// For texts that must lie in one piece while they are parsed; one for all, so that none is kept idle.
    scratch: RefCell<Vec<u8>>,
    connected: Cell<usize>,
    left: Notify,
    closing: watch::Sender<bool>,
}

/// The side of the clients.
#[derive(Clone)]
pub struct Clients(Rc<Side>);

/// Listens at an address, which a predecessor may have left a moment ago.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

impl Clients {
    /// A side with no clients yet.
    pub fn new(exchange: PgExchange, options: Options, pool: Pool) -> Self {
        let (connected, left, closing) = (Cell::new(0), Notify::new(), watch::Sender::new(false));
        let scratch = RefCell::default();
        Self(Rc::new(Side { exchange, options, pool, scratch, connected, left, closing }))
    }

    /// Takes in clients until [`Self::close`]. Must run inside a [`tokio::task::LocalSet`].
    pub async fn run(&self, listener: TcpListener) {
        let mut closing = self.0.closing.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => self.admit(accepted).await,
                _ = closing.wait_for(|closing| *closing) => break,
            }
        }
        // Who stands in the queue has been accepted by this machine: it is taken in before the queue goes.
        loop {
            tokio::select! {
                biased;
                accepted = listener.accept() => self.admit(accepted).await,
                () = std::future::ready(()) => return,
            }
        }
    }

    /// Stops taking in clients, and closes connections as soon as they stand between requests.
    pub fn close(&self) {
        self.0.closing.send_replace(true);
    }

    /// Waits until all clients are gone.
    pub async fn gone(&self) {
        while self.0.connected.get() > 0 {
            self.0.left.notified().await;
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
        let side = self.0.clone();
        let limit = side.options.clients;
        while side.connected.get() >= limit + TURNED_AWAY_MOST {
            side.left.notified().await;
        }
        let full = side.connected.get() >= limit;
        if full {
            log::warn!("turning a client away: {limit} are connected");
        }
        side.connected.set(side.connected.get() + 1);
        tokio::task::spawn_local(async move {
            let mut client = Client { inbound: side.pool.chain(), side: &side, stream };
            if let Err(e) = client.serve(full).await {
                log::debug!("client connection: {e}");
            }
            drop(client);
            side.connected.set(side.connected.get() - 1);
            side.left.notify_waiters();
        });
    }
}

struct Client<'s> {
    side: &'s Side,
    stream: TcpStream,
    inbound: Chain,
}

/// Whether a connection goes on.
#[derive(PartialEq)]
enum Flow {
    GoOn,
    End,
}

impl Client<'_> {
    async fn serve(&mut self, full: bool) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let started = timeout(STARTUP_WITHIN, self.start(full)).await??;
        if started == Flow::End {
            return Ok(());
        }
        let mut skipping = false; // after an error in the extended protocol, up to Sync
        while let Some(message) = self.next_message().await? {
            let kind = message.array::<1>(0).map_or(0, |[kind]| kind);
            let flow = match kind {
                b'X' => Flow::End,
                b'S' => {
                    skipping = false;
                    self.reply(pg::ready).await?
                }
                _ if skipping => Flow::GoOn,
                b'Q' => self.query(message).await?,
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                    skipping = true;
                    self.refuse("0A000", "only simple queries are supported").await?
                }
                b'F' => {
                    self.refuse("0A000", "function calls are not supported").await?;
                    self.reply(pg::ready).await?
                }
                _ => self.expel("08P01", "unexpected message type").await?,
            };
            if flow == Flow::End {
                break;
            }
        }
        Ok(())
    }

    /// Reads on; false when the client is gone, or when the proxy closes and nothing was begun.
    async fn more(&mut self) -> io::Result<bool> {
        let mut closing = self.side.closing.subscribe();
        let between = self.inbound.is_empty();
        tokio::select! {
            biased;
            read = self.inbound.fill(&self.stream) => Ok(read? > 0),
            _ = closing.wait_for(|closing| *closing), if between => Ok(false),
        }
    }

    async fn start(&mut self, full: bool) -> io::Result<Flow> {
        loop {
            let length = self.inbound.array::<4>(0).map(|b| u32::from_be_bytes(b) as usize);
            if length.is_some_and(|n| !(8..=pg::STARTUP_MOST).contains(&n)) {
                return self.expel("08P01", "invalid length of startup packet").await;
            }
            let Some(length) = length.filter(|n| self.inbound.len() >= *n) else {
                if !self.more().await? {
                    return Ok(Flow::End);
                }
                continue;
            };
            let packet = self.inbound.split_to(length);
            let body: Vec<u8> = packet.pieces(4..length).flatten().copied().collect();
            match pg::startup(&body) {
                Some(Startup::Encryption) => self.write(b"N").await?,
                Some(Startup::Session(_)) if full => {
                    return self.expel("53300", "sorry, too many clients already").await;
                }
                Some(Startup::Session(minor)) => {
                    self.write(&pg::welcome(minor)).await?;
                    return Ok(Flow::GoOn);
                }
                Some(Startup::Cancel) => return Ok(Flow::End), // no query here can be cancelled by key
                Some(Startup::Unsupported(_)) | None => {
                    return self.expel("0A000", "unsupported frontend protocol").await;
                }
            }
        }
    }

    /// The next whole message; none when the client is gone, or when the proxy closes between requests.
    async fn next_message(&mut self) -> io::Result<Option<Chain>> {
        loop {
            if let Some(header) = self.inbound.array(0) {
                let length = pg::header(header).map(|(_, length)| length).filter(|n| *n <= pg::QUERY_MOST);
                let Some(length) = length else {
                    self.expel("08P01", "invalid message length").await?;
                    return Ok(None);
                };
                if self.inbound.len() >= length {
                    return Ok(Some(self.inbound.split_to(length)));
                }
            }
            if !self.more().await? {
                return Ok(None);
            }
        }
    }

    async fn query(&mut self, message: Chain) -> io::Result<Flow> {
        let parsed = {
            let mut scratch = self.side.scratch.borrow_mut();
            message.copy(TEXT_AT..message.len(), &mut scratch);
            scratch.split_last().filter(|(end, _)| **end == 0).map(|(_, text)| pg::query(text))
        };
        let Some(parsed) = parsed else {
            return self.expel("08P01", "invalid string in message").await;
        };
        match parsed {
            Some(pg::Query::Empty) => {
                self.reply(|out| {
                    pg::empty_query(out);
                    pg::ready(out);
                })
                .await
            }
            Some(pg::Query::Setting(tag)) => {
                self.reply(|out| {
                    pg::complete(out, tag);
                    pg::ready(out);
                })
                .await
            }
            Some(pg::Query::Routed(statement)) => self.request(statement, message).await,
            None => self.reject("42601", "not a statement that this proxy can route").await,
        }
    }

    /// Takes a request through the exchange.
    async fn request(&mut self, statement: pg::Statement, message: Chain) -> io::Result<Flow> {
        let options = &self.side.options;
        let Some(id) = options.names.class(&statement.class) else {
            return self.reject("42601", "the statement names no known class").await;
        };
        let class = &options.classes[id.0];
        if statement.write && class.need != Need::Write {
            return self.reject("42601", "an INSERT in a class that only reads").await;
        }
        let (from, to) = (statement.wait_at.start + TEXT_AT, statement.wait_at.end + TEXT_AT);
        let wait_at = statement.wait.map(|_| from..to);
        let call = Call {
            class: id,
            group: GroupId(statement.group),
            time_left: statement.wait.unwrap_or(class.deadline),
            retry: statement.retry,
            session: matches!(class.need, Need::Write | Need::Causal).then_some(statement.key),
            after_unix_ms: statement.after,
        };
        let (request, mut answer) = self.side.exchange.open(call, Query { message, wait_at });
        let answer = loop {
            let room = self.inbound.len() < buffers::SIZE;
            tokio::select! {
                biased;
                answer = &mut answer => break answer,
                // What a client sends ahead is kept; its end tells that it is gone.
                read = self.inbound.fill(&self.stream), if room => if !read.is_ok_and(|n| n > 0) {
                    self.side.exchange.left(request);
                    return Ok(Flow::End);
                },
            }
        };
        match answer {
            Ok(Final::Served(answer)) => {
                let mut pieces: Vec<_> = answer.0.pieces(0..answer.0.len()).map(IoSlice::new).collect();
                timeout(WRITE_WITHIN, write_all(&self.stream, &mut pieces)).await??;
                Ok(Flow::GoOn)
            }
            Ok(Final::Refused(hint)) => {
                self.reply(|out| {
                    let hint = hint.map(|h| h.as_millis().to_string());
                    pg::error(
                        out,
                        Severity::Error,
                        "53300",
                        "no server can take this in time",
                        hint.as_deref(),
                    );
                    pg::ready(out);
                })
                .await
            }
            Ok(Final::Failed) => {
                self.reject("08007", "no answer from a data server; the statement may have run").await
            }
            Err(_) => self.expel("57P01", "the proxy is shutting down").await,
        }
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
        self.reply(|out| pg::error(out, Severity::Error, code, text, None)).await
    }

    /// An error that ends the query.
    async fn reject(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| {
            pg::error(out, Severity::Error, code, text, None);
            pg::ready(out);
        })
        .await
    }

    /// An error that ends the connection. What the client still sends is read for a moment: closing on
    /// unread bytes would reset the connection and take the error with it.
    async fn expel(&mut self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| pg::error(out, Severity::Fatal, code, text, None)).await?;
        self.stream.shutdown().await?;
        let drain = async {
            let mut sink = self.side.pool.chain();
            while sink.fill(&self.stream).await? > 0 {
                sink = self.side.pool.chain();
            }
            Ok::<(), io::Error>(())
        };
        let _ = timeout(LINGER, drain).await;
        Ok(Flow::End)
    }
}
