//! Predecessor's side of a hot restart: waits for successors on a Unix socket and hands over to them.
//!
//! This module owns the socket file and the connection to the successor. It serves one successor at a time,
//! until either process exits, and then waits for the next one. The client side hands over only connections
//! without a request in flight. The caller of [`run`] owns its task. The `PeerChannel` spawns the only other
//! task. Errors are logged.

use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{UnixListener, UnixStream};
use tokio::time::timeout;

use super::error::HandoverError;
use super::frame::{receive, send, FrameKind};
use super::peer_channel::{socket_pair, KnownPackets, PeerChannel};
use super::socket::wait_until_closed;
use super::state::{HandoverState, Hello};
use super::successor::Successor;
use crate::net::retry::pause_after_accept_error;

// Re-export for the program, which imports the type from this module. `hot_restart` re-exports it as well.
pub use super::shared_resources::SharedResources;

/// Time limit for receiving the hello of a successor.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed attempt to listen is retried.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Unix socket on which a process waits for its successor.
struct HandoverSocket {
    path: PathBuf,
    /// Inode of the socket file that this process created last; `None` before the first attempt to listen.
    inode: Option<u64>,
}

impl HandoverSocket {
    /// Listens on the path until a successor connects. The path belongs to the newest process. A process
    /// whose socket file was replaced listens on the path again only if no other process accepts connections
    /// there.
    async fn accept(&mut self) -> Result<UnixStream, HandoverError> {
        let current = inode(&self.path);
        let replaced = self.inode.is_some() && current.is_some() && current != self.inode;
        if replaced && UnixStream::connect(&self.path).await.is_ok() {
            return Err(HandoverError::NewerProcess);
        }
        let _ = std::fs::remove_file(&self.path); // an exited process may have left the file
        let listener = UnixListener::bind(&self.path)?;
        self.inode = inode(&self.path);
        Ok(accept_next(&listener).await)
    }
}

/// Accepts the next connection. An error does not end the wait: without it, no successor would find this process.
async fn accept_next(listener: &UnixListener) -> UnixStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::debug!("accept failed on the handover socket: {e}");
                pause_after_accept_error(&e).await;
            }
        }
    }
}

fn inode(path: &Path) -> Option<u64> {
    std::fs::metadata(path).map(|file| file.ino()).ok()
}

/// Mode in which a successor serves.
enum SuccessorMode {
    /// The successor accepts the clients in place of this process.
    TakesOver,
    /// The successor's request for the handover timed out. The successor serves with a listener of its own.
    ServesInParallel,
}

/// Waits for successors on the socket at `path` and hands over to them, one after another. Never returns.
pub async fn run(path: PathBuf, hello: Hello, listener: OwnedFd, resources: Rc<SharedResources>) {
    let mut socket = HandoverSocket { path, inode: None };
    loop {
        match socket.accept().await {
            Ok(stream) => match check_hello(&stream, &hello).await {
                Ok(successor) => {
                    let stream = Rc::new(stream);
                    serve_successor(stream, successor.known_packets(), &listener, &resources).await;
                }
                Err(e) => log::warn!("connection to the handover socket rejected: {e}"),
            },
            Err(e) => {
                log::warn!("listening for a successor at {} failed: {e}", socket.path.display());
                tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Receives and returns the successor's hello. Fails if the proxy instance or the protocol version differs.
async fn check_hello(stream: &UnixStream, expected: &Hello) -> Result<Hello, HandoverError> {
    let frame = timeout(HELLO_TIMEOUT, receive(stream)).await??;
    let frame = frame.ok_or(HandoverError::ConnectionClosed)?;
    let found = Hello::decode(&frame.payload)?;
    if found.matches(expected) {
        Ok(found)
    } else {
        Err(HandoverError::HelloMismatch { found, expected: expected.clone() })
    }
}

/// Hands over to a successor. Returns when the connection to the successor has closed or the handover has
/// failed.
async fn serve_successor(
    stream: Rc<UnixStream>,
    known_packets: KnownPackets,
    listener: &OwnedFd,
    resources: &SharedResources,
) {
    log::info!("successor connected");
    let clients = &resources.clients;
    match negotiate(&stream, known_packets, listener, resources).await {
        Ok(SuccessorMode::TakesOver) => {
            clients.set_successor(Some(Successor(stream.clone())));
            wait_until_closed(&stream).await;
        }
        Ok(SuccessorMode::ServesInParallel) => {
            log::warn!("handover to the successor timed out; the successor serves in parallel");
            resources.serve_in_parallel();
            resources.return_idle_memory();
            clients.set_parallel_successor(Some(Successor(stream.clone())));
            wait_until_closed(&stream).await;
            clients.set_parallel_successor(None);
        }
        Err(e) => log::warn!("handover to the successor failed: {e}"),
    }
    clients.set_successor(None);
    resources.reclaim();
    log::warn!("handover to the successor ended; this process uses all resources again");
}

/// Sends the listener and the state, waits until the successor is ready, and stops accepting clients. Returns
/// the mode in which the successor serves.
async fn negotiate(
    stream: &UnixStream,
    known_packets: KnownPackets,
    listener: &OwnedFd,
    resources: &SharedResources,
) -> Result<SuccessorMode, HandoverError> {
    let mut reply = pin!(receive(stream));
    let reply = tokio::select! {
        biased;
        // A successor that timed out before this process read its hello has already sent `ServesInParallel`.
        reply = &mut reply => reply,
        sent = send_handover(stream, known_packets, listener, resources) => {
            sent?;
            reply.await
        }
    };
    let frame = reply?.ok_or(HandoverError::ConnectionClosed)?;
    match frame.kind {
        FrameKind::Ready => {}
        FrameKind::ServesInParallel => return Ok(SuccessorMode::ServesInParallel),
        other => return Err(HandoverError::UnexpectedFrame(other)),
    }
    // The limits of both processes add up to the limit of this process. Each client that is handed over later
    // lowers the limit of this process by one and raises the successor's limit by one.
    let limit = resources.clients.limit();
    let remaining = resources.clients.stop_accepting();
    resources.share_with_peer();
    resources.return_idle_memory();
    log::info!("successor accepts clients; {remaining} clients remain in this process");
    let successor_limit = (limit - remaining) as u32;
    send(stream, FrameKind::ClientLimit, &successor_limit.to_be_bytes(), None).await?;
    Ok(SuccessorMode::TakesOver)
}

/// Sends the listener, the peer channel and the state. The driver is connected to the peer channel and the
/// state is read without an await in between, so that each later change is sent over the channel.
async fn send_handover(
    stream: &UnixStream,
    known_packets: KnownPackets,
    listener: &OwnedFd,
    resources: &SharedResources,
) -> Result<(), HandoverError> {
    let (local, remote) = socket_pair()?;
    PeerChannel::connect(&resources.driver, &resources.registry, local, known_packets)?;
    let state = current_state(resources);
    send(stream, FrameKind::Listener, &[], Some(listener.as_fd())).await?;
    send(stream, FrameKind::PeerChannel, &[], Some(remote.as_fd())).await?;
    Ok(send(stream, FrameKind::HandoverState, &state.encode(), None).await?)
}

fn current_state(resources: &SharedResources) -> HandoverState {
    let driver = &resources.driver;
    let registry = resources.registry.borrow();
    let zero_unix_ms = driver.clock().zero_unix_ms();
    HandoverState::new(zero_unix_ms, registry.endpoint_list(), registry.server_names(), driver.snapshot())
        .with_executed_ids(driver.executed_ids())
        .with_roles()
}

#[cfg(test)]
mod tests;
