//! Replacing the process: a new one takes the clients' door, and then the clients, from the one that runs.
//!
//! Owns the Unix socket on which a process waits for its successor, and what goes over it: the listener, so
//! that no connection in its queue is lost, and connections that stand between requests. The two count as
//! one proxy, so each must stay within its part of what one may hold until the other is gone. It must never
//! pass on a connection of which a byte has been read and not answered.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::timeout;

use super::buffers::Pool;
use super::clients::Clients;
use super::exchange::{Order, Stand};
use super::servers::PgExchange;

/// Part of the buffers and of the sockets to data servers that each process may use while there are two.
const HALF: f64 = 0.5;
/// Time within which a running process must have handed over its listener.
const HANDED_WITHIN: Duration = Duration::from_secs(1);
/// Bytes in which a process tells where servers stand, at the most.
const KNOWN_MOST: u32 = 1 << 20;
/// Time between tries to wait for a successor.
const AGAIN_AFTER: Duration = Duration::from_secs(10);

/// What goes from a process to its successor, each with a descriptor.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Parcel {
    /// The listener, and how many clients the successor may have until it is told more.
    Door(u32),
    /// A client's connection that stands between requests; whether its startup is done.
    Client(bool),
}

/// Bytes of a parcel beside its descriptor.
const PARCEL: usize = 5;

impl Parcel {
    fn encode(self) -> [u8; PARCEL] {
        let (kind, [a, b, c, d]) = match self {
            Self::Door(clients) => (b'D', clients.to_be_bytes()),
            Self::Client(started) => (b'C', u32::from(started).to_be_bytes()),
        };
        [kind, a, b, c, d]
    }

    fn decode([kind, rest @ ..]: [u8; PARCEL]) -> Option<Self> {
        let figure = u32::from_be_bytes(rest);
        match kind {
            b'D' => Some(Self::Door(figure)),
            b'C' => Some(Self::Client(figure != 0)),
            _ => None,
        }
    }
}

async fn send(stream: &UnixStream, parcel: Parcel, fd: BorrowedFd<'_>) -> io::Result<()> {
    let bytes = parcel.encode();
    let write = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        let fds = [fd];
        control.push(SendAncillaryMessage::ScmRights(&fds));
        Ok(sendmsg(stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?)
    };
    match stream.async_io(Interest::WRITABLE, write).await? {
        PARCEL => Ok(()),
        _ => Err(io::ErrorKind::WriteZero.into()), // so few bytes go at once or not at all
    }
}

/// The next parcel; none at the end.
async fn receive(stream: &UnixStream) -> io::Result<Option<(Parcel, OwnedFd)>> {
    let mut bytes = [0; PARCEL];
    let read = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut into = [IoSliceMut::new(&mut bytes)];
        let got = recvmsg(stream, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC)?.bytes;
        let mut fds = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
            _ => None,
        });
        Ok((got, fds.next()))
    };
    match stream.async_io(Interest::READABLE, read).await? {
        (0, _) => Ok(None),
        (PARCEL, Some(fd)) => {
            let parcel = Parcel::decode(bytes).ok_or(io::ErrorKind::InvalidData)?;
            Ok(Some((parcel, fd)))
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// A successor that takes over connections.
#[derive(Clone)]
pub struct Successor(Rc<UnixStream>);

impl Successor {
    /// Hands a connection over, which ends here. `started` if its startup is done. Where the successor has
    /// just gone, the connection closes, as it would without one.
    pub async fn take(&self, stream: TcpStream, started: bool) -> io::Result<()> {
        send(&self.0, Parcel::Client(started), OwnedFd::from(stream.into_std()?).as_fd()).await
    }
}

/// What a successor has from the process that it replaces.
pub struct Inheritance {
    /// How many clients there may be here until more come over.
    pub clients: usize,
    /// Where the data servers stood.
    pub known: Vec<Stand>,
    stream: UnixStream,
}

/// Asks the process that runs, if one does, for the clients' door. What a killed process left is no hindrance.
pub async fn inherit(path: &Path) -> Option<(TcpListener, Inheritance)> {
    let mut stream = UnixStream::connect(path).await.ok()?;
    let handed = async {
        let door = receive(&stream).await?;
        let mut known = vec![0; stream.read_u32().await?.min(KNOWN_MOST) as usize];
        stream.read_exact(&mut known).await?;
        Ok::<_, io::Error>((door, serde_json::from_slice(&known)?))
    };
    match timeout(HANDED_WITHIN, handed).await {
        Ok(Ok((Some((Parcel::Door(clients), fd)), known))) => {
            let listener = std::net::TcpListener::from(fd);
            let listener = listener.set_nonblocking(true).and_then(|()| TcpListener::from_std(listener));
            let clients = clients as usize;
            Some((listener.ok()?, Inheritance { clients, known, stream }))
        }
        other => {
            log::warn!("the process that runs does not hand over its listener: {other:?}");
            None
        }
    }
}

/// What is divided while there are two processes.
pub struct Shares {
    /// The side of the clients.
    pub clients: Clients,
    /// To the side of the data servers.
    pub exchange: PgExchange,
    /// The buffers.
    pub pool: Pool,
}

impl Shares {
    /// Leaves the other process its part, or takes all.
    pub fn divide(&self, shared: bool) {
        let part = if shared { HALF } else { 1.0 };
        self.pool.set_part(part);
        self.exchange.order(Order::Share(part));
    }
}

impl Inheritance {
    /// Takes over what comes until the process that handed it over is gone.
    pub async fn follow(self, shares: &Shares) {
        loop {
            match receive(&self.stream).await {
                Ok(Some((Parcel::Client(started), fd))) => {
                    let stream = std::net::TcpStream::from(fd);
                    let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                    match stream {
                        Ok(stream) => shares.clients.adopt(stream, started),
                        Err(e) => log::warn!("a client could not be taken over: {e}"),
                    }
                }
                Ok(Some((Parcel::Door(_), _))) => {}
                // Its descriptor is lost where there is none left for it, but others may follow.
                Err(e) if e.kind() == io::ErrorKind::InvalidData => {
                    log::warn!("a client could not be taken over: {e}");
                }
                Ok(None) | Err(_) => break,
            }
        }
        shares.clients.set_limit(None);
        shares.divide(false);
        log::info!("the process before this one is gone");
    }
}

/// Waits for successors at a path, one after another. Never returns.
pub async fn run(path: PathBuf, listener: OwnedFd, shares: Rc<Shares>) {
    loop {
        let _ = std::fs::remove_file(&path); // what a process that is gone left there
        let successor = match bind(&path).await {
            Ok(successor) => successor,
            Err(e) => {
                log::warn!("can't wait for a successor at {}: {e}", path.display());
                tokio::time::sleep(AGAIN_AFTER).await;
                continue;
            }
        };
        // The limit of clients is divided by how many are here, and moves with each that goes over.
        let limit = shares.clients.limit();
        let kept = shares.clients.halve();
        log::info!("a successor has come; this process keeps up to {kept} clients");
        shares.divide(true);
        let rest = Parcel::Door((limit - kept) as u32);
        let known = serde_json::to_vec(&shares.exchange.known()).unwrap_or_default();
        let successor = Rc::new(successor);
        if send(&successor, rest, listener.as_fd()).await.is_ok() && tell(&successor, &known).await.is_ok() {
            shares.clients.set_successor(Some(Successor(successor.clone())));
            ended(&successor).await;
        }
        shares.clients.set_successor(None);
        shares.clients.set_limit(None);
        shares.divide(false);
        log::warn!("the successor is gone");
    }
}

/// Sends what is known, behind its length.
async fn tell(stream: &UnixStream, known: &[u8]) -> io::Result<()> {
    let bytes = [&(known.len() as u32).to_be_bytes(), known].concat();
    let mut left = &bytes[..];
    while !left.is_empty() {
        stream.writable().await?;
        match stream.try_write(left) {
            Ok(n) => left = &left[n..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Waits for the end of a stream on which nothing is said.
async fn ended(stream: &UnixStream) {
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut [0]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

async fn bind(path: &Path) -> io::Result<UnixStream> {
    Ok(UnixListener::bind(path)?.accept().await?.0)
}
