//! The start of a process beside its predecessor: it requests the handover, restores the state and receives
//! clients.
//!
//! Owns the connection to the predecessor. No task is spawned here; the caller drives each step. The
//! connection closes when the predecessor exits, which ends [`Predecessor::receive_clients`].

use std::os::fd::OwnedFd;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream, UnixStream};
use tokio::time::timeout;

use super::error::HandoverError;
use super::frame::{receive, send, FrameError, FrameKind};
use super::legacy;
use super::peer_channel::PeerChannel;
use super::shared_resources::SharedResources;
use super::state::{HandoverState, Hello};

/// How long the predecessor may take to hand over its listener. It may be paused for a while, and a start has
/// to be done within seconds.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long the predecessor may take to stop accepting clients.
const STOP_ACCEPTING_TIMEOUT: Duration = Duration::from_secs(1);

/// The format of what the predecessor sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Protocol {
    /// That of this build.
    Current,
    /// That of builds before 0.2, which send the client limit first.
    Legacy { client_limit: usize },
}

/// The process that this one replaces.
pub struct Predecessor {
    pub(super) protocol: Protocol,
    /// Its state; `None` if that could not be read.
    pub state: Option<HandoverState>,
    /// This process's end of the peer channel.
    pub peer_channel: Option<OwnedFd>,
    pub(super) stream: Rc<UnixStream>,
}

/// What a process finds when it starts.
pub enum PredecessorStatus {
    /// No process runs.
    NotRunning,
    /// One hands over its listener and its state.
    HandsOver(TcpListener, Predecessor),
    /// One runs and did not hand over. It exits when this stream closes; there is one only after a timeout.
    Unresponsive(Option<UnixStream>),
}

/// A received listener, and the process that it is from.
pub(super) struct Handover {
    pub listener: OwnedFd,
    pub predecessor: Predecessor,
}

/// A client connection as it was received.
struct ReceivedClient {
    descriptor: OwnedFd,
    startup_complete: bool,
}

/// Requests the listener from the process that listens at `path`, or at `legacy_path` if that is of a build
/// before 0.2. A socket file that a killed process left counts as none.
pub async fn inherit(path: &Path, legacy_path: &Path, hello: &Hello) -> PredecessorStatus {
    if let Ok(stream) = UnixStream::connect(path).await {
        return inherit_from(stream, hello).await;
    }
    let Ok(stream) = UnixStream::connect(legacy_path).await else {
        return PredecessorStatus::NotRunning;
    };
    let handover = timeout(HANDOVER_TIMEOUT, legacy::receive_handover(stream)).await;
    let handover = handover.unwrap_or_else(|elapsed| Err(elapsed.into()));
    handover.and_then(accept).unwrap_or_else(|e| unresponsive(&e, None))
}

async fn inherit_from(stream: UnixStream, hello: &Hello) -> PredecessorStatus {
    let stream = Rc::new(stream);
    match timeout(HANDOVER_TIMEOUT, request_handover(&stream, hello)).await {
        Ok(handover) => handover.and_then(accept).unwrap_or_else(|e| unresponsive(&e, None)),
        // The predecessor is paused: it reads this when it goes on.
        Err(elapsed) => match send(&stream, FrameKind::ServesInParallel, &[], None).await {
            Ok(()) => unresponsive(&elapsed.into(), Rc::into_inner(stream)),
            Err(e) => unresponsive(&e.into(), None),
        },
    }
}

fn accept(handover: Handover) -> Result<PredecessorStatus, HandoverError> {
    let listener = std::net::TcpListener::from(handover.listener);
    listener.set_nonblocking(true)?;
    Ok(PredecessorStatus::HandsOver(TcpListener::from_std(listener)?, handover.predecessor))
}

fn unresponsive(error: &HandoverError, stream: Option<UnixStream>) -> PredecessorStatus {
    log::warn!("the predecessor did not hand over its listener: {error}");
    PredecessorStatus::Unresponsive(stream)
}

async fn request_handover(stream: &Rc<UnixStream>, hello: &Hello) -> Result<Handover, HandoverError> {
    send(stream, FrameKind::Hello, &hello.encode()?, None).await?;
    let mut listener = None;
    let mut peer_channel = None;
    let state = loop {
        let frame = receive(stream).await?.ok_or(HandoverError::ConnectionClosed)?;
        match frame.kind {
            FrameKind::Listener => listener = frame.descriptor,
            FrameKind::PeerChannel => peer_channel = frame.descriptor,
            FrameKind::HandoverState => break HandoverState::decode(&frame.payload),
            other => return Err(HandoverError::UnexpectedFrame(other)),
        }
    };
    let listener = listener.ok_or(HandoverError::MissingListener)?;
    let state = state.inspect_err(|e| log::warn!("the predecessor's state cannot be restored: {e}")).ok();
    let stream = stream.clone();
    let predecessor = Predecessor { protocol: Protocol::Current, state, peer_channel, stream };
    Ok(Handover { listener, predecessor })
}

impl Predecessor {
    /// Connects this process's end of the peer channel to the driver. Without one, this process assumes that
    /// the predecessor acknowledges writes that it does not learn of.
    pub fn connect_peer(&mut self, resources: &SharedResources) {
        let channel = self.peer_channel.take();
        let joined =
            channel.map(|channel| PeerChannel::join(&resources.driver, &resources.registry, channel));
        if !matches!(joined, Some(Ok(()))) {
            resources.driver.peer_unreachable();
        }
    }

    /// Restores the predecessor's state and has it stop accepting clients. This process may accept clients
    /// once this returns.
    pub async fn take_over(&mut self, resources: &SharedResources) {
        self.restore_state(resources);
        let client_limit = timeout(STOP_ACCEPTING_TIMEOUT, self.client_limit()).await;
        match client_limit.unwrap_or_else(|elapsed| Err(elapsed.into())) {
            Ok(limit) => {
                resources.clients.set_limit(Some(limit));
                resources.share_with_peer();
            }
            Err(e) => log::warn!("the predecessor sent no client limit: {e}"),
        }
    }

    /// Replaces the predecessor's server ids in the state with this process's, and passes it to the driver.
    fn restore_state(&mut self, resources: &SharedResources) {
        let mut state = self.state.take().unwrap_or_default();
        for server in &mut state.snapshot.servers {
            let named = state.server_names.iter().find(|(id, _)| *id == server.server);
            if let Some((_, name)) = named {
                server.server = resources.registry.borrow().server_id(name).0;
            }
        }
        resources.driver.restore(state.snapshot, state.zero_unix_ms);
    }

    /// How many clients this process may have until more are handed over.
    async fn client_limit(&self) -> Result<usize, HandoverError> {
        if let Protocol::Legacy { client_limit } = self.protocol {
            return Ok(client_limit);
        }
        send(&self.stream, FrameKind::Ready, &[], None).await?;
        let frame = receive(&self.stream).await?.ok_or(HandoverError::ConnectionClosed)?;
        match frame.kind {
            FrameKind::ClientLimit => Ok(frame.payload_as_u32()? as usize),
            other => Err(HandoverError::UnexpectedFrame(other)),
        }
    }

    /// Receives client connections until the predecessor is gone, then reclaims the resources that were
    /// divided.
    pub async fn receive_clients(self, resources: &SharedResources) {
        loop {
            match self.receive_client().await {
                Ok(Some(client)) => adopt(client, resources),
                // Such a client is lost, for example at the limit on open files, but others may follow.
                Err(HandoverError::Frame(e)) if e.is_malformed() => {
                    log::warn!("a client connection could not be taken over: {e}");
                }
                Ok(None) | Err(_) => break,
            }
        }
        resources.reclaim();
        log::info!("the predecessor is gone");
    }

    async fn receive_client(&self) -> Result<Option<ReceivedClient>, HandoverError> {
        if let Protocol::Legacy { .. } = self.protocol {
            let message = legacy::receive(&self.stream).await?;
            return Ok(message.map(|message| ReceivedClient {
                descriptor: message.descriptor,
                startup_complete: message.value != 0,
            }));
        }
        let Some(frame) = receive(&self.stream).await? else { return Ok(None) };
        if frame.kind != FrameKind::Client {
            return Err(HandoverError::UnexpectedFrame(frame.kind));
        }
        let descriptor = frame.descriptor.ok_or(FrameError::MissingDescriptor)?;
        Ok(Some(ReceivedClient { descriptor, startup_complete: frame.payload == [1] }))
    }
}

fn adopt(client: ReceivedClient, resources: &SharedResources) {
    let stream = std::net::TcpStream::from(client.descriptor);
    match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
        Ok(stream) => resources.clients.take_over_connection(stream, client.startup_complete),
        Err(e) => log::warn!("a client connection could not be taken over: {e}"),
    }
}
