//! Replacing the process: a new one takes the clients' door, and then the clients, from the one that runs.
//!
//! Owns the Unix socket on which a process waits for its successor, and what goes over it: the listener, so
//! that no connection in its queue is lost, what is known, and connections that stand between requests. The two count
//! as one proxy, so each must stay within its part of what one may hold until the other is gone, and each keeps what the
//! other has promised (`docs/design.md` has the table). It must never pass on a connection of which a byte has been read
//! and not answered.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpStream, UnixStream};

use super::buffers::Pool;
use super::clients::Clients;
use super::discovery::SharedLister;
use super::exchange::Order;
use super::parcel::{
    bind, ended, greeted, receive, receive_early, send, Greeting, Inheritance, Kind, State, Successor,
};
use super::servers::PgExchange;
use super::twin::{pair, Channel};

/// Part of the buffers and of the sockets to data servers that each process may use while there are two.
const HALF: f64 = 0.5;
/// Time between tries to wait for a successor.
const AGAIN_AFTER: Duration = Duration::from_secs(10);

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

    /// The other process is gone.
    fn take_all(&self) {
        self.clients.set_limit(None);
        self.divide(false);
        self.exchange.part();
    }
}

impl Inheritance {
    /// Joins the process that serves as well: from now on this one hears what it acknowledges, or counts the worst.
    pub fn join(&mut self, shares: &Shares) {
        shares.clients.set_limit(Some(self.clients));
        shares.divide(true);
        let joined = self.words.take().map(|fd| Channel::join(&shares.exchange, &shares.lister, fd));
        if !matches!(joined, Some(Ok(()))) {
            shares.exchange.blind();
        }
    }

    /// Takes over what it knew. To be called before anything is served.
    pub fn recall(&mut self, shares: &Shares) {
        let mut state = self.state.take().unwrap_or_default();
        for stood in &mut state.heritage.servers {
            let uid = state.names.iter().find(|(id, _)| *id == stood.server);
            stood.server = uid.map_or(stood.server, |(_, uid)| shares.lister.borrow().number(uid).0);
        }
        shares.exchange.inherit(state.heritage, state.zero_unix_ms);
    }

    /// The next client that comes over; none once the process is gone.
    async fn next(&self) -> io::Result<Option<(bool, OwnedFd)>> {
        if self.early {
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

/// Waits for successors at a path, one after another. Never returns.
pub async fn run(path: PathBuf, greeting: Greeting, listener: OwnedFd, shares: Rc<Shares>) {
    loop {
        let _ = std::fs::remove_file(&path); // what a process that is gone left there
        let waits = match bind(&path).await {
            Ok(waits) => waits,
            Err(e) => {
                log::warn!("can't wait for a successor at {}: {e}", path.display());
                tokio::time::sleep(AGAIN_AFTER).await;
                continue;
            }
        };
        let successor = loop {
            match waits.accept().await {
                Ok((stream, _)) => match greeted(&stream, &greeting).await {
                    Ok(()) => break stream,
                    Err(e) => log::warn!("who came as a successor is none: {e}"),
                },
                Err(e) => {
                    log::warn!("a successor could not come: {e}");
                    tokio::time::sleep(AGAIN_AFTER).await;
                }
            }
        };
        drop(waits);
        // The limit of clients is divided by how many are here, and moves with each that goes over.
        let limit = shares.clients.limit();
        let kept = shares.clients.halve();
        log::info!("a successor has come; this process keeps up to {kept} clients");
        shares.divide(true);
        let successor = Rc::new(successor);
        match hand_over(&successor, (limit - kept) as u32, &listener, &shares).await {
            Ok(()) => {
                shares.clients.set_successor(Some(Successor(successor.clone())));
                ended(&successor).await;
            }
            Err(e) => log::warn!("the successor could not be told all: {e}"),
        }
        shares.clients.set_successor(None);
        shares.take_all();
        log::warn!("the successor is gone");
    }
}

/// Gives the door, and all that is known. What happens from then on goes over the channel, which is joined in the same
/// moment, so that nothing falls between.
async fn hand_over(to: &UnixStream, clients: u32, listener: &OwnedFd, shares: &Shares) -> io::Result<()> {
    let (here, there) = pair()?;
    Channel::join(&shares.exchange, &shares.lister, here)?;
    let state = {
        let (lister, exchange) = (shares.lister.borrow(), &shares.exchange);
        let zero = exchange.clock().zero_unix_ms();
        State::new(zero, lister.listing(), lister.names(), exchange.heritage())
    };
    send(to, Kind::Door, &clients.to_be_bytes(), Some(listener.as_fd())).await?;
    send(to, Kind::Words, &[], Some(there.as_fd())).await?;
    send(to, Kind::State, &state.encode(), None).await
}
