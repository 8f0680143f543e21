//! The task of a client connection: it reads messages, dispatches them and closes the connection.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use super::connection_table::{ConnectionId, IdleReason, NoRequestGuard};
use super::inbound::{Inbound, ReceivedMessage};
use super::message_reader::NextMessage;
use super::service_phase::ServicePhase;
use super::shared::Shared;
use crate::net::hot_restart::frame::Successor;
use crate::net::postgres;

/// Time limit for receiving the startup packet of a new client, and for receiving the rest of a message whose
/// first bytes have arrived. A client that cannot be served must be disconnected within 3 s of connecting.
pub(super) const MESSAGE_TIMEOUT: Duration = Duration::from_millis(2500);
pub(super) const TOO_MANY_CLIENTS: &str = "sorry, too many clients already";

/// State of a connection when this process takes it on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum InitialStage {
    /// The startup packet has not been received. `at_limit` says that the client limit was reached and
    /// the client is to be rejected. `short_deadline` says that the first request must arrive soon, because
    /// too many clients have sent no request.
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
    pub(super) stage: Stage,
    /// Counts the connection among those without a request; `None` once a request was submitted.
    pub(super) no_request_guard: Option<NoRequestGuard>,
    /// Whether this process ended the connection while it was idle, with no bytes left unread.
    pub(super) may_be_handed_over: bool,
    /// Notified when the connection table evicts this connection.
    pub(super) eviction: Rc<Notify>,
    /// Number of requests that this connection still serves before its client is sent away; `None` while there is no
    /// limit.
    pub(super) remaining_requests: Option<usize>,
    /// Whether the first request must arrive soon, because too many clients have sent no request.
    pub(super) short_deadline: bool,
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
