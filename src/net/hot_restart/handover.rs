//! Replacing the process: a new one takes the clients' door, and then the clients, from the one that runs.
//!
//! Owns the Unix socket on which a process waits for its successor, and what goes over it: the listener, so
//! that no connection in its queue is lost, what is known, and connections that stand between requests. The two count
//! as one proxy, so each must stay within its part of what one may hold until the other is gone, and each keeps what the
//! other has promised (`docs/design.md` has the table). It must never pass on a connection of which a byte has been read
//! and not answered.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::time::timeout;

use super::frame::{
    ended, greeted, receive, receive_early, send, FrameKind, HandoverState, Hello, Predecessor, Successor,
};
use super::peer_channel::{pair, PeerChannel};
use crate::net::buffers::BufferPool;
use crate::net::client::ClientService;
use crate::net::discovery::SharedEndpointRegistry;
use crate::net::driver::ServerCommand;
use crate::net::server::PgDriver;

/// Part of the buffers and of the sockets to data servers that each process may use while there are two.
const HALF: f64 = 0.5;
/// Time within which the process that serves must have left its door to the successor.
const MOVED_WITHIN: Duration = Duration::from_secs(1);
/// Time between tries to wait for a successor.
const AGAIN_AFTER: Duration = Duration::from_secs(10);
/// Time for which a process that refuses to hand over may go on: until it is told to end, and its longest end.
const DEAF_FOR: Duration = Duration::from_secs(10);

/// What is divided while there are two processes.
pub struct SharedResources {
    /// The side of the clients.
    pub clients: ClientService,
    /// To the side of the data servers.
    pub driver: PgDriver,
    /// The buffers.
    pub pool: BufferPool,
    /// The names of servers.
    pub registry: SharedEndpointRegistry,
}

impl SharedResources {
    /// Leaves the other process its part, or takes all.
    pub fn divide(&self, shared: bool) {
        let part = if shared { HALF } else { 1.0 };
        self.pool.set_share(part);
        self.driver.command(ServerCommand::SetShare(part));
    }

    /// Another process serves as well, and neither can hear the other: each has its half, and counts the worst of what the
    /// other may have acknowledged.
    fn serve_beside(&self) {
        self.driver.peer_gone();
        self.driver.peer_unreachable();
        self.clients.set_limit(Some((self.clients.limit() as f64 * HALF) as usize));
        self.divide(true);
    }

    /// Serves beside a process that could not hand over, until that is gone.
    pub async fn serve_until_gone(&self, stream: Option<UnixStream>) {
        self.serve_beside();
        match stream {
            Some(stream) => ended(&stream).await,
            None => tokio::time::sleep(DEAF_FOR).await,
        }
        self.take_all();
        log::info!("the process before this one is gone");
    }

    /// The other process is gone.
    fn take_all(&self) {
        self.clients.clear_limit();
        self.divide(false);
        self.driver.peer_gone();
    }
}

impl Predecessor {
    /// Hears from now on what the process that serves as well acknowledges, or else counts the worst.
    pub fn connect_peer(&mut self, shares: &SharedResources) {
        let joined =
            self.peer_channel.take().map(|fd| PeerChannel::join(&shares.driver, &shares.registry, fd));
        if !matches!(joined, Some(Ok(()))) {
            shares.driver.peer_unreachable();
        }
    }

    /// Takes over what it knew, and then the door: once this returns, clients may be taken.
    pub async fn take_over(&mut self, shares: &SharedResources) {
        let mut state = self.state.take().unwrap_or_default();
        for stood in &mut state.snapshot.servers {
            let uid = state.server_names.iter().find(|(id, _)| *id == stood.server);
            stood.server = uid.map_or(stood.server, |(_, uid)| shares.registry.borrow().server_id(uid).0);
        }
        shares.driver.restore(state.snapshot, state.zero_unix_ms);
        let places = async {
            if let Some(places) = self.client_limit {
                return Ok(places);
            }
            send(&self.stream, FrameKind::Ready, &[], None).await?;
            let frame = receive(&self.stream).await?.ok_or(io::ErrorKind::UnexpectedEof)??;
            match frame.kind {
                FrameKind::ClientLimit => Ok(frame.number()? as usize),
                other => Err(io::Error::other(format!("a parcel out of its turn: {other:?}"))),
            }
        };
        let places: io::Result<usize> = timeout(MOVED_WITHIN, places).await.unwrap_or_else(|e| Err(e.into()));
        match places {
            Ok(places) => {
                shares.clients.set_limit(Some(places));
                shares.divide(true);
            }
            Err(e) => log::warn!("the process before this one goes without a word: {e}"),
        }
    }

    /// The next client that comes over; none once the process is gone.
    async fn next(&self) -> io::Result<Option<(bool, OwnedFd)>> {
        if self.is_early_build() {
            let frame = receive_early(&self.stream).await?;
            return Ok(frame.map(|(_, started, fd)| (started != 0, fd)));
        }
        let Some(frame) = receive(&self.stream).await? else { return Ok(None) };
        match frame? {
            frame if frame.kind == FrameKind::Client => {
                let fd = frame.fd.ok_or(io::ErrorKind::InvalidData)?;
                Ok(Some((frame.payload == [1], fd)))
            }
            other => Err(io::Error::other(format!("a parcel out of its turn: {:?}", other.kind))),
        }
    }

    /// Takes over what comes until the process that handed it over is gone.
    pub async fn receive_clients(self, shares: &SharedResources) {
        loop {
            match self.next().await {
                Ok(Some((started, fd))) => {
                    let stream = std::net::TcpStream::from(fd);
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    match stream {
                        Ok(stream) => shares.clients.adopt(stream, started),
                        Err(e) => log::warn!("a client could not be taken over: {e}"),
                    }
                }
                // Its descriptor is lost where there is none left for it, but others may follow.
                Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                    log::warn!("a client could not be taken over: {e}");
                }
                Ok(None) | Err(_) => break,
            }
        }
        shares.take_all();
        log::info!("the process before this one is gone");
    }
}

/// The place where a process waits for its successor.
struct HandoverSocket {
    path: PathBuf,
    /// The file that it has put there.
    own: Option<u64>,
}

impl HandoverSocket {
    /// Waits for a successor. The newest process has the place: one before it takes it again only if that is gone.
    async fn wait(&mut self) -> io::Result<UnixStream> {
        let there = std::fs::metadata(&self.path).map(|file| file.ino()).ok();
        let another = self.own.is_some() && there.is_some() && there != self.own;
        if another && UnixStream::connect(&self.path).await.is_ok() {
            return Err(io::Error::new(io::ErrorKind::AddrInUse, "a newer process waits there"));
        }
        let _ = std::fs::remove_file(&self.path); // what a process that is gone left there
        let waits = UnixListener::bind(&self.path)?;
        self.own = std::fs::metadata(&self.path).map(|file| file.ino()).ok();
        waits.accept().await.map(|(stream, _)| stream)
    }
}

/// Waits for successors at a path, one after another. Never returns.
pub async fn run(path: PathBuf, greeting: Hello, listener: OwnedFd, shares: Rc<SharedResources>) {
    let mut post = HandoverSocket { path, own: None };
    loop {
        match post.wait().await {
            Ok(successor) => match greeted(&successor, &greeting).await {
                Ok(()) => succeed(Rc::new(successor), &listener, &shares).await,
                Err(e) => log::warn!("who came as a successor is none: {e}"),
            },
            Err(e) => {
                log::warn!("can't wait for a successor at {}: {e}", post.path.display());
                tokio::time::sleep(AGAIN_AFTER).await;
            }
        }
    }
}

/// Is replaced, which ends with the process; returns if the successor goes first.
async fn succeed(successor: Rc<UnixStream>, listener: &OwnedFd, shares: &SharedResources) {
    log::info!("a successor has come");
    let done = async {
        let mut word = pin!(receive(&successor));
        let word = tokio::select! {
            biased;
            // One that has waited for too long has said so by now.
            word = &mut word => word,
            handed = hand_over(&successor, listener, shares) => {
                handed?;
                word.await
            }
        };
        let frame = word?.ok_or(io::ErrorKind::UnexpectedEof)??;
        match frame.kind {
            FrameKind::Ready => {}
            FrameKind::ServesAlone => return Ok(false),
            other => return Err(io::Error::other(format!("a parcel out of its turn: {other:?}"))),
        }
        // From now on it takes who comes. Places are divided by how many are here, and move with each that goes over.
        let (limit, kept) = (shares.clients.limit(), shares.clients.stop_accepting());
        shares.divide(true);
        log::info!("the successor serves; this process keeps {kept} clients");
        let places = (limit - kept) as u32;
        send(&successor, FrameKind::ClientLimit, &places.to_be_bytes(), None).await?;
        Ok(true)
    };
    match done.await {
        Ok(true) => {
            shares.clients.set_successor(Some(Successor(successor.clone())));
            ended(&successor).await;
        }
        Ok(false) => {
            log::warn!("the successor has waited for too long: it serves beside this process, and takes nothing over");
            shares.serve_beside();
            shares.clients.set_parallel_successor(Some(Successor(successor.clone())));
            ended(&successor).await;
            shares.clients.set_parallel_successor(None);
        }
        Err(e) => log::warn!("the successor can't take over: {e}"),
    }
    shares.clients.set_successor(None);
    shares.take_all();
    log::warn!("the successor is gone");
}

/// Gives the door, and all that is known. What happens from then on goes over the channel, which is joined in the same
/// moment, so that nothing falls between.
async fn hand_over(to: &UnixStream, listener: &OwnedFd, shares: &SharedResources) -> io::Result<()> {
    let (here, there) = pair()?;
    PeerChannel::join(&shares.driver, &shares.registry, here)?;
    let state = {
        let (registry, driver) = (shares.registry.borrow(), &shares.driver);
        let zero = driver.clock().zero_unix_ms();
        HandoverState::new(zero, registry.endpoint_list(), registry.names(), driver.snapshot())
    };
    send(to, FrameKind::Listener, &[], Some(listener.as_fd())).await?;
    send(to, FrameKind::PeerChannel, &[], Some(there.as_fd())).await?;
    send(to, FrameKind::HandoverState, &state.encode(), None).await
}
