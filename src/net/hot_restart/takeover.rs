//! Successor's side of a hot restart: requests the handover, restores the state and receives clients.
//!
//! This module owns the connection to the predecessor. It spawns no task; the caller runs each step. The
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
use super::socket::wait_until_closed;
use super::state::{HandoverState, Hello};

/// Time limit for receiving the listener and the state. The predecessor may be paused for a while, but this
/// process must start within a few seconds.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time limit for the predecessor to stop accepting clients and send the client limit.
const STOP_ACCEPTING_TIMEOUT: Duration = Duration::from_secs(1);

/// Format of the predecessor's messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Protocol {
    /// The format of this build: [`super::frame`].
    Current,
    /// The format of builds before 0.2: [`super::legacy`]. Such a build sends the client limit together with
    /// the listener.
    Legacy { client_limit: usize },
}

/// The process that this process replaces, and the connection to it.
pub struct Predecessor {
    pub(super) protocol: Protocol,
    /// State that the predecessor handed over; `None` if it could not be decoded or was already restored.
    pub state: Option<HandoverState>,
    /// This process's end of the peer channel; `None` if the predecessor sent none or it is in use.
    pub peer_channel: Option<OwnedFd>,
    pub(super) stream: Rc<UnixStream>,
}

/// State of the predecessor when this process starts.
pub enum PredecessorStatus {
    /// No other process of this proxy instance runs.
    NotRunning,
    /// A predecessor runs and has handed over its listener and its state.
    HandsOver(TcpListener, Predecessor),
    /// A predecessor runs and has not handed over its listener. The stream closes when the predecessor exits;
    /// `None` unless the request for the handover timed out.
    Unresponsive(Option<UnixStream>),
}

/// A received listener, and the predecessor that sent it.
pub(super) struct Handover {
    pub listener: OwnedFd,
    pub predecessor: Predecessor,
}

/// A client connection received from the predecessor.
struct ReceivedClient {
    descriptor: OwnedFd,
    startup_complete: bool,
}

/// Requests the handover from the process that listens on the socket at `path`, or on the socket of builds
/// before 0.2 at `legacy_path`. A socket file on which no process listens was left by a killed process and
/// counts as no predecessor.
pub async fn take_over_listener(path: &Path, legacy_path: &Path, hello: &Hello) -> PredecessorStatus {
    if let Ok(stream) = UnixStream::connect(path).await {
        return take_over_listener_from(stream, hello).await;
    }
    let Ok(stream) = UnixStream::connect(legacy_path).await else {
        return PredecessorStatus::NotRunning;
    };
    let handover = timeout(HANDOVER_TIMEOUT, legacy::receive_handover(stream)).await;
    let handover = handover.unwrap_or_else(|elapsed| Err(elapsed.into()));
    handover.and_then(use_listener).unwrap_or_else(|e| unresponsive(&e, None))
}

async fn take_over_listener_from(stream: UnixStream, hello: &Hello) -> PredecessorStatus {
    let stream = Rc::new(stream);
    match timeout(HANDOVER_TIMEOUT, request_handover(&stream, hello)).await {
        Ok(handover) => handover.and_then(use_listener).unwrap_or_else(|e| unresponsive(&e, None)),
        // The predecessor may be paused. It reads this frame when it resumes.
        Err(elapsed) => match send(&stream, FrameKind::ServesInParallel, &[], None).await {
            Ok(()) => unresponsive(&elapsed.into(), Rc::into_inner(stream)),
            Err(e) => unresponsive(&e.into(), None),
        },
    }
}

fn use_listener(handover: Handover) -> Result<PredecessorStatus, HandoverError> {
    let listener = std::net::TcpListener::from(handover.listener);
    listener.set_nonblocking(true)?;
    Ok(PredecessorStatus::HandsOver(TcpListener::from_std(listener)?, handover.predecessor))
}

/// Logs the error and returns [`PredecessorStatus::Unresponsive`].
fn unresponsive(error: &HandoverError, stream: Option<UnixStream>) -> PredecessorStatus {
    log::warn!("handover from the predecessor failed; this process opens its own listener: {error}");
    PredecessorStatus::Unresponsive(stream)
}

/// Sends the hello and receives the listener, the peer channel and the state.
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
    let state = state.inspect_err(|e| log::warn!("decoding the predecessor's state failed: {e}")).ok();
    let stream = stream.clone();
    let predecessor = Predecessor { protocol: Protocol::Current, state, peer_channel, stream };
    Ok(Handover { listener, predecessor })
}

impl Predecessor {
    /// Connects the driver to this process's end of the peer channel. Without a usable peer channel, this
    /// process assumes that the predecessor acknowledges writes without a report.
    pub fn connect_peer(&mut self, resources: &SharedResources) {
        let executed_ids = self.state.as_ref().and_then(|state| state.executed_ids.as_deref());
        resources.driver.restore_executed_ids(executed_ids.unwrap_or_default());
        let known_packets = self.state.as_ref().map(HandoverState::known_packets).unwrap_or_default();
        let SharedResources { driver, registry, .. } = resources;
        let channel = self.peer_channel.take();
        let connected = channel.map(|channel| PeerChannel::connect(driver, registry, channel, known_packets));
        if !matches!(connected, Some(Ok(()))) {
            resources.driver.peer_unreachable();
        }
    }

    /// Waits until the predecessor closes the connection, because it has ended. Does not return for a build before
    /// 0.2, which may send clients at any time. Must not be called after [`Self::take_over`].
    pub async fn wait_until_ended(&self) {
        match self.protocol {
            Protocol::Current => wait_until_closed(&self.stream).await,
            Protocol::Legacy { .. } => std::future::pending().await,
        }
    }

    /// Restores the predecessor's state, has the predecessor stop accepting clients, and sets the client
    /// limit of this process. The caller may accept clients after this returns. From the start of this call until
    /// the connection to the predecessor closes, the two processes share their resources.
    pub async fn take_over(&mut self, resources: &SharedResources) {
        resources.share_with_peer();
        self.restore_state(resources);
        let client_limit = timeout(STOP_ACCEPTING_TIMEOUT, self.receive_client_limit()).await;
        match client_limit.unwrap_or_else(|elapsed| Err(elapsed.into())) {
            Ok(limit) => resources.clients.set_limit(Some(limit)),
            Err(e) => log::warn!("receiving the client limit from the predecessor failed: {e}"),
        }
    }

    /// Replaces the predecessor's server ids in the state with those of this process, and passes the state
    /// to the driver.
    fn restore_state(&mut self, resources: &SharedResources) {
        let mut state = self.state.take().unwrap_or_default();
        for server in &mut state.snapshot.servers {
            let entry = state.server_names.iter().find(|(id, _)| *id == server.server);
            if let Some((_, name)) = entry {
                server.server = resources.registry.borrow().server_id(name).0;
            }
        }
        resources.driver.restore(state.snapshot, state.zero_unix_ms);
    }

    /// Returns the client limit of this process, which each client that is handed over later raises by one.
    /// Asks a predecessor of a current build to stop accepting clients.
    async fn receive_client_limit(&self) -> Result<usize, HandoverError> {
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

    /// Receives client connections until the connection to the predecessor closes or fails, then reclaims the
    /// divided resources.
    pub async fn receive_clients(self, resources: &SharedResources) {
        if let Err(e) = self.receive_each_client(|client| take_over_client(client, resources)).await {
            log::warn!("handover from the predecessor failed; this process goes on by itself: {e}");
        }
        resources.reclaim();
        log::info!("handover from the predecessor ended");
    }

    /// Passes each client connection that the predecessor sends to `take_over`, until the predecessor closes
    /// the connection. Ends with an error at a frame whose end is unknown: the bytes after its header must not
    /// be read as further frames.
    async fn receive_each_client(
        &self,
        mut take_over: impl FnMut(ReceivedClient),
    ) -> Result<(), HandoverError> {
        loop {
            match self.receive_client().await {
                Ok(Some(client)) => take_over(client),
                // This client is lost, for example because the limit on open files is reached. Further
                // clients may follow.
                Err(HandoverError::Frame(e)) if e.concerns_one_frame() => {
                    log::warn!("receiving a client connection from the predecessor failed: {e}");
                }
                Ok(None) => return Ok(()),
                Err(e) => return Err(e),
            }
        }
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

fn take_over_client(client: ReceivedClient, resources: &SharedResources) {
    let stream = std::net::TcpStream::from(client.descriptor);
    match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
        Ok(stream) => resources.clients.take_over_connection(stream, client.startup_complete),
        Err(e) => log::warn!("receiving a client connection from the predecessor failed: {e}"),
    }
}

#[cfg(test)]
mod tests;
