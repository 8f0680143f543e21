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

use super::buffers::Pool;
use super::clients::Clients;
use super::discovery::SharedLister;
use super::exchange::Order;
use super::parcel::{
    ended, greeted, receive, receive_early, send, Greeting, Inheritance, Kind, State, Successor,
};
use super::servers::PgExchange;
use super::twin::{pair, Channel};

/// Part of the buffers and of the sockets to data servers that each process may use while there are two.
const HALF: f64 = 0.5;
/// Time within which the process that serves must have left its door to the successor.
const MOVED_WITHIN: Duration = Duration::from_secs(1);
/// Time between tries to wait for a successor.
const AGAIN_AFTER: Duration = Duration::from_secs(10);
/// Time for which a process that refuses to hand over may go on: until it is told to end, and its longest end.
const DEAF_FOR: Duration = Duration::from_secs(10);

/// What is divided while there are two processes.
pub struct Shares {
    /// The side of the clients.
    pub clients: Clients,
    /// To the side of the data servers.
    pub exchange: PgExchange,
    /// The buffers.
    pub pool: Pool,
    /// The names of servers.
    pub lister: SharedLister,
}

impl Shares {
    /// Leaves the other process its part, or takes all.
    pub fn divide(&self, shared: bool) {
        let part = if shared { HALF } else { 1.0 };
        self.pool.set_part(part);
        self.exchange.order(Order::Share(part));
    }

    /// Another process serves as well, and neither can hear the other: each has its half, and counts the worst of what the
    /// other may have acknowledged.
    fn serve_beside(&self) {
        self.exchange.part();
        self.exchange.blind();
        self.clients.set_limit(Some((self.clients.limit() as f64 * HALF) as usize));
        self.divide(true);
    }

    /// Serves beside a process that could not hand over, until that is gone.
    pub async fn outlast(&self, stream: Option<UnixStream>) {
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
        self.clients.take_all();
        self.divide(false);
        self.exchange.part();
    }
}

impl Inheritance {
    /// Hears from now on what the process that serves as well acknowledges, or else counts the worst.
    pub fn join(&mut self, shares: &Shares) {
        let joined = self.words.take().map(|fd| Channel::join(&shares.exchange, &shares.lister, fd));
        if !matches!(joined, Some(Ok(()))) {
            shares.exchange.blind();
        }
    }

    /// Takes over what it knew, and then the door: once this returns, clients may be taken.
    pub async fn enter(&mut self, shares: &Shares) {
        let mut state = self.state.take().unwrap_or_default();
        for stood in &mut state.heritage.servers {
            let uid = state.names.iter().find(|(id, _)| *id == stood.server);
            stood.server = uid.map_or(stood.server, |(_, uid)| shares.lister.borrow().number(uid).0);
        }
        shares.exchange.inherit(state.heritage, state.zero_unix_ms);
        let places = async {
            if let Some(places) = self.places {
                return Ok(places);
            }
            send(&self.stream, Kind::Serves, &[], None).await?;
            let parcel = receive(&self.stream).await?.ok_or(io::ErrorKind::UnexpectedEof)??;
            match parcel.kind {
                Kind::Places => Ok(parcel.number()? as usize),
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
        if self.is_early() {
            let parcel = receive_early(&self.stream).await?;
            return Ok(parcel.map(|(_, started, fd)| (started != 0, fd)));
        }
        let Some(parcel) = receive(&self.stream).await? else { return Ok(None) };
        match parcel? {
            parcel if parcel.kind == Kind::Client => {
                let fd = parcel.fd.ok_or(io::ErrorKind::InvalidData)?;
                Ok(Some((parcel.content == [1], fd)))
            }
            other => Err(io::Error::other(format!("a parcel out of its turn: {:?}", other.kind))),
        }
    }

    /// Takes over what comes until the process that handed it over is gone.
    pub async fn follow(self, shares: &Shares) {
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
struct Post {
    path: PathBuf,
    /// The file that it has put there.
    own: Option<u64>,
}

impl Post {
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
pub async fn run(path: PathBuf, greeting: Greeting, listener: OwnedFd, shares: Rc<Shares>) {
    let mut post = Post { path, own: None };
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
async fn succeed(successor: Rc<UnixStream>, listener: &OwnedFd, shares: &Shares) {
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
        let parcel = word?.ok_or(io::ErrorKind::UnexpectedEof)??;
        match parcel.kind {
            Kind::Serves => {}
            Kind::Alone => return Ok(false),
            other => return Err(io::Error::other(format!("a parcel out of its turn: {other:?}"))),
        }
        // From now on it takes who comes. Places are divided by how many are here, and move with each that goes over.
        let (limit, kept) = (shares.clients.limit(), shares.clients.yield_door());
        shares.divide(true);
        log::info!("the successor serves; this process keeps {kept} clients");
        let places = (limit - kept) as u32;
        send(&successor, Kind::Places, &places.to_be_bytes(), None).await?;
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
            shares.clients.set_beside(Some(Successor(successor.clone())));
            ended(&successor).await;
            shares.clients.set_beside(None);
        }
        Err(e) => log::warn!("the successor can't take over: {e}"),
    }
    shares.clients.set_successor(None);
    shares.take_all();
    log::warn!("the successor is gone");
}

/// Gives the door, and all that is known. What happens from then on goes over the channel, which is joined in the same
/// moment, so that nothing falls between.
async fn hand_over(to: &UnixStream, listener: &OwnedFd, shares: &Shares) -> io::Result<()> {
    let (here, there) = pair()?;
    Channel::join(&shares.exchange, &shares.lister, here)?;
    let state = {
        let (lister, exchange) = (shares.lister.borrow(), &shares.exchange);
        let zero = exchange.clock().zero_unix_ms();
        State::new(zero, lister.listing(), lister.names(), exchange.heritage())
    };
    send(to, Kind::Door, &[], Some(listener.as_fd())).await?;
    send(to, Kind::Words, &[], Some(there.as_fd())).await?;
    send(to, Kind::State, &state.encode(), None).await
}
