//! What goes over the Unix socket between a process and its successor.
//!
//! Owns the form of a parcel, which is a few bytes with a descriptor, and the calls that send and take one. It
//! must never decide what is handed over, nor know what the descriptors are for.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::timeout;

use super::exchange::Stand;

/// Time within which a running process must have handed over its listener.
const HANDED_WITHIN: Duration = Duration::from_secs(1);
/// Bytes in which a process tells where servers stand, at the most.
const KNOWN_MOST: u32 = 1 << 20;

/// What goes from a process to its successor, each with a descriptor.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Parcel {
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

pub(super) async fn send(stream: &UnixStream, parcel: Parcel, fd: BorrowedFd<'_>) -> io::Result<()> {
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
pub(super) async fn receive(stream: &UnixStream) -> io::Result<Option<(Parcel, OwnedFd)>> {
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
pub struct Successor(pub(super) Rc<UnixStream>);

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
    pub(super) stream: UnixStream,
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

/// Sends what is known, behind its length.
pub(super) async fn tell(stream: &UnixStream, known: &[u8]) -> io::Result<()> {
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
pub(super) async fn ended(stream: &UnixStream) {
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut [0]) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

pub(super) async fn bind(path: &Path) -> io::Result<UnixStream> {
    Ok(UnixListener::bind(path)?.accept().await?.0)
}
