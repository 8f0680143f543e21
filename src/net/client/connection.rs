//! A client connection: its task, and the messages that it reads.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::graceful_shutdown::IdleState;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout, Instant};

use super::connection_table::{ConnectionNumber, IdleReason, NoRequestGuard};
use super::inbound::{Inbound, ReceivedMessage};
use super::service_phase::ServicePhase;
use super::shared::Shared;
use crate::net::buffers::{self, write_all, BufferReservation};
use crate::net::hot_restart::frame::Successor;
use crate::net::postgres::{self, Severity};

/// Time within which a new client must have sent its startup packet, and any client the rest of a message
/// that it has begun. A client that can't be served is owed an end 3 s after it connected.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time from the accept in which a client must send its first request where too many have sent none.
const HURRIED_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which a message of any length must be complete.
const LONG_MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest message that must be complete within [`MESSAGE_TIMEOUT`]; a longer one must make progress in
/// that time.
const MAX_SHORT_MESSAGE_BYTES: usize = 144 * 1024;
/// Time within which a client must have taken what is written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
pub(super) const TOO_MANY_CLIENTS: &str = "sorry, too many clients already";

/// How a connection comes to this process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Admission {
    /// Accepted; its startup packet is to come. It is rejected if the limit was reached, and must send a
    /// request at once if too many clients have sent none.
    New { is_full: bool, must_hurry: bool },
    /// Handed over by the predecessor after its startup.
    Started,
}

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// Its startup packet is to come; it is then rejected where the limit was reached.
    New { is_full: bool },
    /// Queries may come.
    Started,
}

/// Whether a connection stays open.
#[derive(PartialEq)]
pub(super) enum Flow {
    Continue,
    End,
}

/// What the wait for more bytes ended with.
enum Wait {
    /// Some were read, or the client has closed: the count.
    Read(usize),
    /// The connection is to be closed because it is idle.
    Close,
    /// A deadline has passed.
    TimedOut,
}

/// A connection's entry in the table, as long as its task runs. It counts as served until it ends; then its
/// client still has to see the end.
struct ConnectionGuard {
    shared: Rc<Shared>,
    number: ConnectionNumber,
    is_served: Cell<bool>,
}

impl ConnectionGuard {
    fn new(shared: &Rc<Shared>, number: ConnectionNumber) -> Self {
        shared.served.set(shared.served.get() + 1);
        shared.update_shutdown(|shutdown| shutdown.connection_opened());
        Self { shared: shared.clone(), number, is_served: Cell::new(true) }
    }

    /// No request is read any more.
    fn end_service(&self) {
        if self.is_served.replace(false) {
            let shared = &self.shared;
            shared.served.set(shared.served.get() - 1);
            let now = shared.driver.clock().now();
            shared.update_shutdown(|shutdown| shutdown.connection_closed(now));
            shared.shutdown_progress.notify_waiters();
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.end_service();
        self.shared.connections.remove(self.number);
        self.shared.share_sockets();
        self.shared.shutdown_progress.notify_waiters();
    }
}

/// Serves a connection in a task of its own.
pub(super) fn spawn(shared: &Rc<Shared>, stream: TcpStream, admission: Admission) {
    let number = shared.connections.next_number();
    let guard = ConnectionGuard::new(shared, number);
    let (stage, must_hurry) = match admission {
        Admission::New { is_full, must_hurry } => (Stage::New { is_full }, must_hurry),
        Admission::Started => (Stage::Started, false),
    };
    let no_request = (stage != Stage::Started).then(|| NoRequestGuard::new(&shared.connections));
    let evicted = shared.connections.insert(number);
    spawn_local(async move {
        let shared = &*guard.shared;
        let stream = Rc::new(stream);
        let mut connection = Connection {
            shared,
            number,
            accepted_at: shared.driver.clock().now(),
            inbound: Inbound::new(stream.clone(), &shared.pool),
            stream,
            stage,
            reservation: None,
            no_request,
            may_be_handed_over: false,
            evicted,
            must_hurry,
        };
        let served = connection.serve().await;
        connection.log_end(served);
        match connection.new_owner() {
            Some(successor) => connection.hand_over(&successor).await,
            None => {
                guard.end_service();
                connection.close().await;
            }
        }
    });
    shared.share_sockets();
}

/// A client connection.
pub(super) struct Connection<'s> {
    pub(super) shared: &'s Shared,
    pub(super) number: ConnectionNumber,
    /// When it was accepted, on the driver's clock.
    accepted_at: Duration,
    pub(super) stream: Rc<TcpStream>,
    pub(super) inbound: Inbound,
    stage: Stage,
    /// Room for the message that is being read, where one buffer does not hold it.
    pub(super) reservation: Option<BufferReservation>,
    /// It has submitted no request yet.
    pub(super) no_request: Option<NoRequestGuard>,
    /// It is between requests, and this process closes it.
    may_be_handed_over: bool,
    evicted: Rc<Notify>,
    /// It was accepted when too many had sent no request, and has to send one at once.
    must_hurry: bool,
}

impl Connection<'_> {
    async fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        if let Stage::New { is_full } = self.stage {
            if self.start(is_full).await? == Flow::End {
                return Ok(());
            }
            self.stage = Stage::Started;
        }
        let mut skips_to_sync = false; // after an error in the extended protocol
        while let Some(message) = self.next_message().await? {
            if self.handle(message, &mut skips_to_sync).await? == Flow::End {
                return Ok(());
            }
        }
        self.may_be_handed_over &= !skips_to_sync; // the successor could not know
        Ok(())
    }

    async fn handle(&mut self, message: ReceivedMessage, skips_to_sync: &mut bool) -> io::Result<Flow> {
        let kind = message.bytes.array::<1>(0).map_or(0, |[kind]| kind);
        match kind {
            b'X' => Ok(Flow::End),
            b'S' => {
                *skips_to_sync = false;
                self.reply(postgres::push_ready_for_query).await
            }
            _ if *skips_to_sync => Ok(Flow::Continue),
            b'Q' => self.query(message).await,
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                *skips_to_sync = true;
                self.reply_error("0A000", "only simple queries are supported").await
            }
            b'F' => {
                self.reply_error("0A000", "function calls are not supported").await?;
                self.reply(postgres::push_ready_for_query).await
            }
            _ => self.fail_connection("08P01", "unexpected message type").await,
        }
    }

    /// Reads more, but not past `deadline`; false when the client is gone, or when the connection is to be
    /// closed. Half a message must not occupy its place forever.
    pub(super) async fn read_more(&mut self, deadline: Option<Instant>) -> io::Result<bool> {
        let state = self.idle_state();
        let hurries = self.must_hurry && state == IdleState::NoRequestYet;
        let hurry_deadline = hurries
            .then(|| self.shared.driver.clock().to_instant(self.accepted_at) + HURRIED_FIRST_REQUEST_TIMEOUT);
        let deadline = deadline.into_iter().chain(hurry_deadline).min();
        match self.wait_for_bytes(state, deadline).await? {
            Wait::Read(count) => Ok(count > 0),
            Wait::Close => self.read_unless_empty().await,
            Wait::TimedOut if state == IdleState::PartialMessage => {
                self.fail_connection("08P01", "a message was not complete in time").await?;
                Ok(false)
            }
            Wait::TimedOut => {
                if hurries && self.stage == Stage::Started {
                    self.fail_connection("53300", TOO_MANY_CLIENTS).await?;
                }
                Ok(false)
            }
        }
    }

    /// Writes to the log how its service ended, where a client may miss something.
    fn log_end(&self, served: io::Result<()>) {
        let number = self.number;
        if let Err(e) = served {
            log::debug!("client connection {number}: {e}");
        }
        let unread_bytes = self.inbound.bytes().len();
        if unread_bytes > 0 {
            log::debug!("client connection {number}: ended with {unread_bytes} bytes of unfinished messages");
        }
    }

    fn idle_state(&self) -> IdleState {
        match self.stage {
            _ if !self.inbound.bytes().is_empty() => IdleState::PartialMessage,
            Stage::Started if self.no_request.is_none() => IdleState::BetweenRequests,
            _ => IdleState::NoRequestYet,
        }
    }

    async fn wait_for_bytes(&mut self, state: IdleState, deadline: Option<Instant>) -> io::Result<Wait> {
        let is_idle = state != IdleState::PartialMessage;
        let is_started = self.stage == Stage::Started;
        Ok(tokio::select! {
            biased;
            read = self.inbound.read() => Wait::Read(read?),
            () = self.shared.idle_deadline(state, is_started, self.accepted_at), if is_idle => Wait::Close,
            () = self.evicted.notified(), if is_idle => Wait::Close,
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => Wait::TimedOut,
        })
    }

    /// Before the connection is closed: what the system has received, and the runtime has not noticed, is
    /// served like all that was read.
    async fn read_unless_empty(&mut self) -> io::Result<bool> {
        let unread = SockRef::from(&*self.stream).peek(&mut [MaybeUninit::uninit()]);
        if unread.is_ok_and(|count| count > 0) {
            return Ok(self.inbound.read().await? > 0);
        }
        self.may_be_handed_over = true;
        Ok(false)
    }

    /// The next complete message; `None` when the client is gone, or when the connection is to be closed
    /// between requests. A message that does not fit into a buffer is read on once there is room for it.
    async fn next_message(&mut self) -> io::Result<Option<ReceivedMessage>> {
        let mut deadline = None;
        let mut began_at = Instant::now();
        let mut is_long = false;
        self.reservation = None;
        loop {
            if let Some(header) = self.inbound.bytes().array(0) {
                let header = postgres::parse_header(header);
                let length = header.map(|header| header.length).filter(|n| *n <= postgres::MAX_QUERY_BYTES);
                let Some(length) = length else {
                    self.fail_connection("08P01", "invalid message length").await?;
                    return Ok(None);
                };
                if self.inbound.bytes().len() >= length {
                    return Ok(Some(self.inbound.split_to(length)));
                }
                if self.inbound.bytes().len() >= buffers::BUFFER_BYTES && self.reservation.is_none() {
                    self.reservation = Some(self.shared.pool.reserve(length).await);
                    is_long = length > MAX_SHORT_MESSAGE_BYTES;
                    began_at = Instant::now();
                }
            }
            let is_between = self.inbound.bytes().is_empty();
            let _idle =
                is_between.then(|| self.shared.connections.mark_idle(self.idle_reason(), self.number));
            if !is_between && (deadline.is_none() || is_long) {
                deadline = Some((Instant::now() + MESSAGE_TIMEOUT).min(began_at + LONG_MESSAGE_TIMEOUT));
            }
            if !self.read_more(deadline).await? {
                return Ok(None);
            }
        }
    }

    fn idle_reason(&self) -> IdleReason {
        if self.no_request.is_none() {
            IdleReason::BetweenRequests
        } else {
            IdleReason::NoRequestYet
        }
    }

    pub(super) async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        self.write_slices(&mut [IoSlice::new(bytes)]).await
    }

    pub(super) async fn write_slices(&self, slices: &mut [IoSlice<'_>]) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, write_all(&self.stream, slices)).await?
    }

    /// Writes messages, after which the connection stays open.
    pub(super) async fn reply(&self, push_messages: impl FnOnce(&mut Vec<u8>)) -> io::Result<Flow> {
        let mut out = Vec::new();
        push_messages(&mut out);
        self.write(&out).await?;
        Ok(Flow::Continue)
    }

    /// Writes an error without ReadyForQuery.
    async fn reply_error(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| postgres::push_error(out, Severity::Error, code, text, None)).await
    }

    /// Ends a query with an error.
    pub(super) async fn fail_query(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| {
            postgres::push_error(out, Severity::Error, code, text, None);
            postgres::push_ready_for_query(out);
        })
        .await
    }

    /// Ends the connection with an error.
    pub(super) async fn fail_connection(&self, code: &str, text: &str) -> io::Result<Flow> {
        self.reply(|out| postgres::push_error(out, Severity::Fatal, code, text, None)).await?;
        Ok(Flow::End)
    }

    /// The successor, where this connection may go to it.
    fn new_owner(&self) -> Option<Successor> {
        let is_closed = self.shared.phase.current() >= ServicePhase::ListenerClosed;
        let successor = self.shared.successor.borrow().clone();
        successor.filter(|_| self.may_be_handed_over && is_closed)
    }

    async fn hand_over(self, successor: &Successor) {
        let Self { shared, number, stream, inbound, stage, .. } = self;
        drop(inbound);
        let Some(stream) = Rc::into_inner(stream) else { return };
        match successor.hand_over_client(stream, stage == Stage::Started).await {
            Ok(()) => {
                let limit = shared.reduced_limit.get();
                shared.reduced_limit.set(limit.map(|limit| limit.saturating_sub(1)));
            }
            Err(e) => log::debug!("client connection {number}: can't be handed over: {e}"),
        }
    }

    /// Closes the connection in order, whatever ended it. It may be evicted meanwhile.
    async fn close(&mut self) {
        let _idle = self.shared.connections.mark_idle(IdleReason::Closing, self.number);
        tokio::select! {
            () = self.inbound.close() => {}
            () = self.evicted.notified() => {}
        }
    }
}
