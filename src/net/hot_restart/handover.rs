//! The running process: waits for successors on a Unix socket, and hands over to them.
//!
//! Owns the socket file and the connection to the successor. A successor is served until either process
//! exits; then the next one is waited for. Only connections without a request in flight are handed over. The
//! caller of [`run`] owns its task; no further task is spawned here but that of the `PeerChannel`, and
//! errors are logged.

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
use super::peer_channel::{pair, PeerChannel};
use super::socket::wait_until_closed;
use super::state::{HandoverState, Hello};
use super::successor::Successor;

pub use super::shared_resources::SharedResources;

/// How long a successor may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a failed attempt to listen is repeated.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// The Unix socket on which a process waits for its successor.
struct HandoverSocket {
    path: PathBuf,
    /// Inode of the socket file that this process created.
    inode: Option<u64>,
}

impl HandoverSocket {
    /// Waits for a connection. The newest process owns the path: an older one takes it back only if that is
    /// gone.
    async fn accept(&mut self) -> Result<UnixStream, HandoverError> {
        let current = inode(&self.path);
        let replaced = self.inode.is_some() && current.is_some() && current != self.inode;
        if replaced && UnixStream::connect(&self.path).await.is_ok() {
            return Err(HandoverError::NewerProcess);
        }
        let _ = std::fs::remove_file(&self.path); // a process that is gone may have left one
        let listener = UnixListener::bind(&self.path)?;
        self.inode = inode(&self.path);
        let (stream, _) = listener.accept().await?;
        Ok(stream)
    }
}

fn inode(path: &Path) -> Option<u64> {
    std::fs::metadata(path).map(|file| file.ino()).ok()
}

/// How a successor serves.
enum SuccessorMode {
    /// It accepts the clients in place of this process.
    TakesOver,
    /// It timed out, and has a listener of its own.
    ServesInParallel,
}

/// Waits for successors at a path and hands over to them, one after another. Never returns.
pub async fn run(path: PathBuf, hello: Hello, listener: OwnedFd, resources: Rc<SharedResources>) {
    let mut socket = HandoverSocket { path, inode: None };
    loop {
        match socket.accept().await {
            Ok(stream) => match check_hello(&stream, &hello).await {
                Ok(()) => serve_successor(Rc::new(stream), &listener, &resources).await,
                Err(e) => log::warn!("a connection to the handover socket was refused: {e}"),
            },
            Err(e) => {
                log::warn!("cannot listen for a successor at {}: {e}", socket.path.display());
                tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Reads the successor's hello. Fails for another proxy instance and for another protocol version.
async fn check_hello(stream: &UnixStream, expected: &Hello) -> Result<(), HandoverError> {
    let frame = timeout(HELLO_TIMEOUT, receive(stream)).await??;
    let frame = frame.ok_or(HandoverError::ConnectionClosed)?;
    let found = Hello::decode(&frame.payload)?;
    if found == *expected {
        Ok(())
    } else {
        Err(HandoverError::HelloMismatch { found, expected: expected.clone() })
    }
}

/// Hands over to a successor. Returns only if the successor is gone before this process exits.
async fn serve_successor(stream: Rc<UnixStream>, listener: &OwnedFd, resources: &SharedResources) {
    log::info!("a successor connected");
    let clients = &resources.clients;
    match negotiate(&stream, listener, resources).await {
        Ok(SuccessorMode::TakesOver) => {
            clients.set_successor(Some(Successor(stream.clone())));
            wait_until_closed(&stream).await;
        }
        Ok(SuccessorMode::ServesInParallel) => {
            log::warn!("the successor timed out: it serves in parallel and takes nothing over");
            resources.serve_in_parallel();
            clients.set_parallel_successor(Some(Successor(stream.clone())));
            wait_until_closed(&stream).await;
            clients.set_parallel_successor(None);
        }
        Err(e) => log::warn!("the handover failed: {e}"),
    }
    clients.set_successor(None);
    resources.reclaim();
    log::warn!("the successor is gone");
}

/// Sends the listener and the state, waits until the successor is ready, and stops accepting clients.
async fn negotiate(
    stream: &UnixStream,
    listener: &OwnedFd,
    resources: &SharedResources,
) -> Result<SuccessorMode, HandoverError> {
    let mut reply = pin!(receive(stream));
    let reply = tokio::select! {
        biased;
        // A successor that timed out before this process read its hello has sent that by now.
        reply = &mut reply => reply,
        handed_over = hand_over(stream, listener, resources) => {
            handed_over?;
            reply.await
        }
    };
    let frame = reply?.ok_or(HandoverError::ConnectionClosed)?;
    match frame.kind {
        FrameKind::Ready => {}
        FrameKind::ServesInParallel => return Ok(SuccessorMode::ServesInParallel),
        other => return Err(HandoverError::UnexpectedFrame(other)),
    }
    // The successor may have the clients that this process has no more; each one handed over moves the limit
    // by one.
    let limit = resources.clients.limit();
    let remaining = resources.clients.stop_accepting();
    resources.share_with_peer();
    log::info!("the successor accepts clients; {remaining} remain in this process");
    let successor_limit = (limit - remaining) as u32;
    send(stream, FrameKind::ClientLimit, &successor_limit.to_be_bytes(), None).await?;
    Ok(SuccessorMode::TakesOver)
}

/// Sends the listener, the peer channel and the state. The peer channel is connected in the same step in
/// which the state is read, so that each later event is sent over it.
async fn hand_over(
    stream: &UnixStream,
    listener: &OwnedFd,
    resources: &SharedResources,
) -> Result<(), HandoverError> {
    let (local, remote) = pair()?;
    PeerChannel::join(&resources.driver, &resources.registry, local)?;
    let state = current_state(resources);
    send(stream, FrameKind::Listener, &[], Some(listener.as_fd())).await?;
    send(stream, FrameKind::PeerChannel, &[], Some(remote.as_fd())).await?;
    Ok(send(stream, FrameKind::HandoverState, &state.encode(), None).await?)
}

fn current_state(resources: &SharedResources) -> HandoverState {
    let driver = &resources.driver;
    let registry = resources.registry.borrow();
    let zero_unix_ms = driver.clock().zero_unix_ms();
    HandoverState::new(zero_unix_ms, registry.endpoint_list(), registry.names(), driver.snapshot())
}

#[cfg(test)]
mod tests;
