//! The task of a client connection: it reads messages, dispatches them and closes the connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::graceful_shutdown::IdleState;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use super::connection_table::{ConnectionId, IdleReason, NoRequestGuard};
use super::inbound::{Inbound, ReceivedMessage};
use super::service_phase::ServicePhase;
use super::shared::Shared;
use super::statement_memory::has_stalled;
use crate::net::hot_restart::frame::Successor;
use crate::net::postgres;

/// Time limit for receiving the startup packet of a new client, and for receiving the rest of a message whose
/// first bytes have arrived. A client that cannot be served must be disconnected within 3 s of connecting.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time limit for the first request, counted from the accept, of a client that connects while too many
/// clients have sent no request.
const SHORT_FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for receiving a message of any length.
const LONG_MESSAGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Length in bytes of the longest message that must be complete within [`MESSAGE_TIMEOUT`]. A longer message
/// must make progress within that time.
const MAX_SHORT_MESSAGE_BYTES: usize = 144 * 1024;
pub(super) const TOO_MANY_CLIENTS: &str = "sorry, too many clients already";

/// State of a connection when this process takes it on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InitialStage {
    /// The startup packet has not been received. `at_limit` says that the client limit was reached and
    /// the client is to be rejected. `short_deadline` says that the first request must arrive within
    /// [`SHORT_FIRST_REQUEST_TIMEOUT`], because too many clients have sent no request.
    Startup { at_limit: bool, short_deadline: bool },
    /// The predecessor handed the connection over after its startup.
    Ready,
}

/// Protocol stage of a connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Stage {
    /// The startup packet has not been processed. `at_limit` says that the client is to be rejected.
    Startup { at_limit: bool },
    /// The client may send queries.
    Ready,
}

/// Whether a connection stays open after a message.
#[derive(PartialEq)]
pub(super) enum Flow {
    Continue,
    End,
}

/// Result of reading the next message.
enum NextMessage {
    /// A complete message.
    Received(ReceivedMessage),
    /// Messages that were sent too far ahead and discarded.
    Overflow,
    /// A graceful shutdown serves no more requests.
    RequestsEnded,
    /// The client has disconnected, or the connection is to be closed.
    End,
}

/// Result of waiting for more bytes from the client.
enum Wait {
    /// Number of bytes read; 0 means that the client closed the connection.
    Read(usize),
    /// The connection is idle and is to be closed: it was evicted, or its idle deadline has passed.
    Close,
    /// A deadline has passed.
    TimedOut,
    /// A graceful shutdown serves no more requests, and a part of a message was received.
    RequestsEnded,
}

/// Keeps a connection in the connection table while its task runs. The connection counts as active until no
/// more requests are read from it; after that the task only closes or hands over the connection.
struct ConnectionGuard {
    shared: Rc<Shared>,
    id: ConnectionId,
    is_active: Cell<bool>,
}

impl ConnectionGuard {
    fn new(shared: &Rc<Shared>, id: ConnectionId) -> Self {
        shared.active_connections.set(shared.active_connections.get() + 1);
        shared.update_shutdown(|shutdown| shutdown.connection_opened());
        Self { shared: shared.clone(), id, is_active: Cell::new(true) }
    }

    /// Records that no more requests are read from the connection.
    fn mark_inactive(&self) {
        if self.is_active.replace(false) {
            let shared = &self.shared;
            shared.active_connections.set(shared.active_connections.get() - 1);
            let now = shared.driver.clock().now();
            shared.update_shutdown(|shutdown| shutdown.connection_closed(now));
            shared.shutdown_notify.notify_waiters();
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.mark_inactive();
        self.shared.connections.remove(self.id);
        self.shared.share_sockets();
        self.shared.shutdown_notify.notify_waiters();
    }
}

/// Spawns the task that serves a connection.
pub(super) fn spawn(shared: &Rc<Shared>, stream: TcpStream, initial_stage: InitialStage) {
    let id = shared.connections.next_id();
    let guard = ConnectionGuard::new(shared, id);
    let (stage, short_deadline) = match initial_stage {
        InitialStage::Startup { at_limit, short_deadline } => (Stage::Startup { at_limit }, short_deadline),
        InitialStage::Ready => (Stage::Ready, false),
    };
    let no_request_guard = (stage != Stage::Ready).then(|| NoRequestGuard::new(&shared.connections));
    let eviction = shared.connections.insert(id);
    spawn_local(async move {
        let shared = &*guard.shared;
        let stream = Rc::new(stream);
        let mut connection = Connection {
            shared,
            id,
            accepted_at: shared.driver.clock().now(),
            inbound: Inbound::new(stream.clone(), &shared.pool),
            stream,
            stage,
            no_request_guard,
            may_be_handed_over: false,
            eviction,
            remaining_requests: None,
            short_deadline,
        };
        let result = connection.serve().await;
        connection.log_connection_end(result);
        match connection.handover_target() {
            Some(successor) => boxed(|| connection.hand_over(&successor)).await,
            None => {
                guard.mark_inactive();
                boxed(|| connection.close()).await;
            }
        }
    });
    shared.share_sockets();
}

/// Creates a future on the heap. The task of an idle connection then has no memory for it.
pub(super) fn boxed<F: Future>(create: impl FnOnce() -> F) -> Pin<Box<F>> {
    Box::pin(create())
}

/// A client connection.
pub(super) struct Connection<'s> {
    pub(super) shared: &'s Shared,
    pub(super) id: ConnectionId,
    /// Time at which this process accepted or took over the connection, on the driver's clock.
    pub(super) accepted_at: Duration,
    pub(super) stream: Rc<TcpStream>,
    pub(super) inbound: Inbound,
    stage: Stage,
    /// Counts the connection among those without a request; `None` once a request was submitted.
    pub(super) no_request_guard: Option<NoRequestGuard>,
    /// Whether this process ended the connection while it was idle, with no bytes left unread.
    may_be_handed_over: bool,
    /// Notified when the connection table evicts this connection.
    eviction: Rc<Notify>,
    /// Number of requests that this connection still serves before its client is sent away; `None` while there is no
    /// limit.
    remaining_requests: Option<usize>,
    /// Whether the first request must arrive within [`SHORT_FIRST_REQUEST_TIMEOUT`].
    short_deadline: bool,
}

impl Connection<'_> {
    async fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        if let Stage::Startup { at_limit } = self.stage {
            if boxed(|| self.run_startup(at_limit)).await? == Flow::End {
                return Ok(());
            }
            self.stage = Stage::Ready;
        }
        let mut ignores_until_sync = false; // set after an error in the extended query protocol
        loop {
            match self.next_message().await? {
                NextMessage::Received(message) => {
                    if self.handle_message(message, &mut ignores_until_sync).await? == Flow::End {
                        return Ok(());
                    }
                }
                NextMessage::Overflow => {
                    if boxed(|| self.answer_overflow()).await? == Flow::End {
                        return Ok(());
                    }
                }
                NextMessage::RequestsEnded => return boxed(|| self.reject_received_requests()).await,
                NextMessage::End => break,
            }
        }
        // The handover does not carry this flag, so the successor would process messages that are to be
        // ignored.
        self.may_be_handed_over &= !ignores_until_sync;
        Ok(())
    }

    async fn handle_message(
        &mut self,
        message: ReceivedMessage,
        ignores_until_sync: &mut bool,
    ) -> io::Result<Flow> {
        let kind = message.bytes.array::<1>(0).map_or(0, |[kind]| kind);
        match kind {
            b'X' => Ok(Flow::End),
            b'S' => {
                *ignores_until_sync = false;
                self.reply(postgres::push_ready_for_query).await
            }
            _ if *ignores_until_sync => Ok(Flow::Continue),
            b'Q' => {
                self.remaining_requests = self.remaining_requests.map(|count| count.saturating_sub(1));
                boxed(|| self.handle_query(message)).await
            }
            b'P' | b'B' | b'D' | b'E' | b'C' | b'H' => {
                *ignores_until_sync = true;
                self.reply_error("0A000", "only simple queries are supported").await
            }
            b'F' => {
                self.reply_error("0A000", "function calls are not supported").await?;
                self.reply(postgres::push_ready_for_query).await
            }
            _ => self.fail_connection("08P01", "unexpected message type").await,
        }
    }

    /// Reads more bytes, until `deadline` at the latest, so that an incomplete message does not occupy the
    /// connection indefinitely. Returns false if the client has disconnected or the connection is to be
    /// closed.
    pub(super) async fn read_more(&mut self, deadline: Option<Instant>) -> io::Result<bool> {
        let state = self.idle_state();
        let applies_short_deadline = self.short_deadline && state == IdleState::NoRequestYet;
        let first_request_deadline = applies_short_deadline
            .then(|| self.shared.driver.clock().to_instant(self.accepted_at) + SHORT_FIRST_REQUEST_TIMEOUT);
        let deadline = deadline.into_iter().chain(first_request_deadline).min();
        match self.wait_for_bytes(state, deadline).await? {
            Wait::Read(count) => Ok(count > 0),
            Wait::Close => self.read_received_before_close().await,
            Wait::RequestsEnded => Ok(true),
            Wait::TimedOut if state == IdleState::PartialMessage => {
                self.fail_connection("08P01", "a message was not complete in time").await?;
                Ok(false)
            }
            Wait::TimedOut => {
                if applies_short_deadline && self.stage == Stage::Ready {
                    self.fail_connection("53300", TOO_MANY_CLIENTS).await?;
                }
                Ok(false)
            }
        }
    }

    /// Logs an error, and bytes that were received but not processed: the client may miss a response to them.
    fn log_connection_end(&self, result: io::Result<()>) {
        let id = self.id;
        if let Err(e) = result {
            log::debug!("client connection {id} failed: {e}");
        }
        let unread_bytes = self.inbound.bytes().len();
        if unread_bytes > 0 {
            log::debug!("client connection {id} ended: {unread_bytes} received bytes were not processed");
        }
    }

    pub(super) fn idle_state(&self) -> IdleState {
        match self.stage {
            _ if !self.inbound.bytes().is_empty() => IdleState::PartialMessage,
            Stage::Ready if self.no_request_guard.is_none() => IdleState::BetweenRequests,
            _ => IdleState::NoRequestYet,
        }
    }

    async fn wait_for_bytes(&mut self, state: IdleState, deadline: Option<Instant>) -> io::Result<Wait> {
        let is_idle = state != IdleState::PartialMessage;
        let is_ready = self.stage == Stage::Ready;
        let demand = self.inbound.demand_for_reserved_buffers();
        Ok(tokio::select! {
            biased;
            read = self.inbound.read() => Wait::Read(read?),
            () = self.shared.idle_deadline(state, is_ready, self.accepted_at), if is_idle => Wait::Close,
            () = self.eviction.notified(), if is_idle => Wait::Close,
            () = self.shared.requests_ended(), if is_ready && !is_idle => Wait::RequestsEnded,
            () = has_stalled(demand.as_ref()), if demand.is_some() => Wait::TimedOut,
            () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => Wait::TimedOut,
        })
    }

    /// Reads what the kernel has received, before the connection is closed. The runtime learns of received
    /// bytes only when it polls, so a request that arrived in time may still be unread. Returns false if
    /// nothing was received.
    async fn read_received_before_close(&mut self) -> io::Result<bool> {
        if self.inbound.has_unread_bytes() {
            return Ok(self.inbound.read().await? > 0);
        }
        self.may_be_handed_over = true;
        Ok(false)
    }

    /// Reads the next complete message. When a message does not fit into one buffer, waits for a reservation
    /// before it reads the rest.
    async fn next_message(&mut self) -> io::Result<NextMessage> {
        let mut deadline = None;
        let mut reserved_at = None;
        let mut is_long = false;
        self.inbound.drop_reservation();
        loop {
            if self.shared.requests_have_ended(&mut self.inbound) || self.served_last_request() {
                return Ok(NextMessage::RequestsEnded);
            }
            if self.inbound.overflow().is_some() {
                return Ok(NextMessage::Overflow);
            }
            if let Some(header) = self.inbound.bytes().array(0) {
                let header = postgres::parse_header(header);
                let length = header.map(|header| header.length).filter(|n| *n <= postgres::MAX_QUERY_BYTES);
                let Some(length) = length else {
                    self.fail_connection("08P01", "invalid message length").await?;
                    return Ok(NextMessage::End);
                };
                if self.inbound.bytes().len() >= length {
                    return Ok(NextMessage::Received(self.inbound.take_message(length).await));
                }
                if self.inbound.bytes().is_full() {
                    if !boxed(|| self.reserve_memory(length)).await {
                        continue;
                    }
                    is_long = length > MAX_SHORT_MESSAGE_BYTES;
                    reserved_at.get_or_insert_with(Instant::now);
                }
            }
            self.inbound.join_reads();
            let is_between_messages = self.inbound.bytes().is_empty();
            let _idle_guard =
                is_between_messages.then(|| self.shared.connections.mark_idle(self.idle_reason(), self.id));
            if !is_between_messages && (deadline.is_none() || is_long) {
                let now = Instant::now();
                let started_at = reserved_at.unwrap_or(now);
                deadline = Some((now + MESSAGE_TIMEOUT).min(started_at + LONG_MESSAGE_TIMEOUT));
            }
            if !self.read_more(deadline).await? {
                return Ok(NextMessage::End);
            }
        }
    }

    /// Returns whether the client is to be sent away, and the requests that had been received when that began have been
    /// served.
    fn served_last_request(&mut self) -> bool {
        if !self.shared.sends_busy_clients_away() {
            self.remaining_requests = None;
            return false;
        }
        let is_within_message = !self.inbound.bytes().is_empty();
        let received = self.inbound.waiting_queries() + usize::from(is_within_message);
        *self.remaining_requests.get_or_insert(received) == 0
    }

    fn idle_reason(&self) -> IdleReason {
        if self.no_request_guard.is_none() {
            IdleReason::BetweenRequests
        } else {
            IdleReason::NoRequestYet
        }
    }

    /// Returns the successor if this connection is to be handed over to it.
    fn handover_target(&self) -> Option<Successor> {
        let listener_closed = self.shared.phase.current() >= ServicePhase::ListenerClosed;
        let successor = self.shared.successor.borrow().clone();
        successor.filter(|_| self.may_be_handed_over && listener_closed)
    }

    async fn hand_over(self, successor: &Successor) {
        let Self { shared, id, stream, inbound, stage, .. } = self;
        drop(inbound);
        let Some(stream) = Rc::into_inner(stream) else { return };
        match successor.hand_over_client(stream, stage == Stage::Ready).await {
            Ok(()) => {
                let limit = shared.reduced_limit.get();
                shared.reduced_limit.set(limit.map(|limit| limit.saturating_sub(1)));
            }
            Err(e) => log::debug!("handover of client connection {id} failed: {e}"),
        }
    }

    /// Closes the connection gracefully, also after an error. Eviction closes it at once.
    async fn close(&mut self) {
        let _idle_guard = self.shared.connections.mark_idle(IdleReason::Closing, self.id);
        tokio::select! {
            () = self.inbound.close() => {}
            () = self.eviction.notified() => {}
        }
    }
}
