//! What goes over the Unix socket between a process and its successor.
//!
//! Owns the form of a parcel: its kind, its length, a checksum, and a descriptor beside some kinds; what a successor says
//! first, and what it is told. Whatever is torn, altered, too long, or of another version is an error that says so, and
//! nothing of it counts. Builds before 0.2 had a socket and a form of their own, which a successor of one still reads.
//! It must never decide what is handed over, nor know what the descriptors are for.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::api::ReplicaSetSnapshot;
use pipittack_core::api::{ServerSnapshot, StateSnapshot};
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::{TcpListener, TcpStream, UnixStream};
use tokio::time::timeout;

use crate::endpoint_list::EndpointList;

/// The version of all that is said here. Fields may be added to what is told; what changes its meaning changes this.
const VERSION: u32 = 2;
/// Time within which a running process must have handed over its listener: it may stand still for a while, and a start
/// has some seconds.
const HANDED_WITHIN: Duration = Duration::from_millis(1200);
/// Time within which who comes as a successor must have said who it is.
const GREETED_WITHIN: Duration = Duration::from_secs(1);
/// Bytes of a parcel at the most.
const PARCEL_MOST: u32 = 16 << 20;
/// Bytes in which an earlier build tells where servers stand, at the most.
const STANDS_MOST: u32 = 1 << 20;

/// Bytes of a parcel before its content: kind, length, checksum.
const HEAD: usize = 9;

/// What goes from a process to its successor, and what goes the other way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum FrameKind {
    /// Who the successor is.
    Hello,
    /// The listener.
    Listener,
    /// One end of the channel on which both tell what happens.
    PeerChannel,
    /// All that is known.
    HandoverState,
    /// The successor is about to take clients.
    Ready,
    /// So many clients it may have until it is told more; the process before it takes none from now on.
    ClientLimit,
    /// The successor has waited for too long: it serves beside the process that runs, and takes nothing over.
    ServesAlone,
    /// A client's connection that stands between requests; whether its startup is done.
    Client,
}

impl FrameKind {
    const ALL: [(Self, u8, bool); 8] = [
        (Self::Hello, b'G', false),
        (Self::Listener, b'D', true),
        (Self::PeerChannel, b'W', true),
        (Self::HandoverState, b'S', false),
        (Self::Ready, b'R', false),
        (Self::ClientLimit, b'P', false),
        (Self::ServesAlone, b'A', false),
        (Self::Client, b'C', true),
    ];

    fn letter(self) -> u8 {
        Self::ALL.iter().find(|(kind, ..)| *kind == self).map_or(0, |(_, letter, _)| *letter)
    }
}

/// A parcel as it came, with its descriptor where its kind has one.
#[derive(Debug)]
pub(super) struct Frame {
    pub kind: FrameKind,
    pub payload: Vec<u8>,
    pub fd: Option<OwnedFd>,
}

impl Frame {
    /// The number that it holds, if that is what it holds.
    pub fn number(&self) -> io::Result<u32> {
        let bytes = self.payload[..].try_into().map_err(|_| fault("a parcel holds no number"))?;
        Ok(u32::from_be_bytes(bytes))
    }
}

/// Who says that it is a successor, and what it speaks.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    version: u32,
    /// The proxy's name.
    name: String,
}

impl Hello {
    /// That of a process of this build.
    pub fn new(name: &str) -> Self {
        Self { version: VERSION, name: name.to_owned() }
    }
}

/// What a process knows when its successor comes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HandoverState {
    version: u32,
    /// Its clock's zero, in Unix milliseconds.
    pub zero_unix_ms: f64,
    /// The endpoint list.
    #[serde(rename = "listing")]
    pub endpoint_list: Option<EndpointList>,
    /// The names of the servers in the list, with the ids that the snapshot uses.
    #[serde(rename = "names")]
    pub server_names: Vec<(u32, String)>,
    /// The routing engine's state.
    #[serde(rename = "heritage")]
    pub snapshot: StateSnapshot,
}

impl HandoverState {
    /// What is told by a process of this build.
    pub fn new(
        zero_unix_ms: f64,
        listing: EndpointList,
        names: Vec<(u32, String)>,
        heritage: StateSnapshot,
    ) -> Self {
        Self {
            version: VERSION,
            zero_unix_ms,
            endpoint_list: Some(listing),
            server_names: names,
            snapshot: heritage,
        }
    }

    pub(super) fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn decode(content: &[u8]) -> io::Result<Self> {
        let state: Self = serde_json::from_slice(content)?;
        match state.version {
            VERSION => Ok(state),
            other => Err(fault(&format!("what is known comes in version {other}, and {VERSION} is read"))),
        }
    }
}

fn fault(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Sends a parcel, with a descriptor where its kind has one.
pub(super) async fn send(
    stream: &UnixStream,
    kind: FrameKind,
    content: &[u8],
    fd: Option<BorrowedFd<'_>>,
) -> io::Result<()> {
    let length = u32::try_from(content.len()).ok().filter(|n| *n <= PARCEL_MOST);
    let length = length.ok_or_else(|| fault("a parcel is too long"))?;
    let sum = crc32fast::hash(content);
    let mut bytes = vec![kind.letter()];
    bytes.extend(length.to_be_bytes().iter().chain(&sum.to_be_bytes()).chain(content));
    let fds: Vec<_> = fd.into_iter().collect();
    let write = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !fds.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&fds));
        }
        Ok(sendmsg(stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?)
    };
    let mut sent = stream.async_io(Interest::WRITABLE, write).await?;
    if sent < HEAD {
        return Err(io::ErrorKind::WriteZero.into()); // so few bytes go at once or not at all
    }
    while sent < bytes.len() {
        stream.writable().await?;
        match stream.try_write(&bytes[sent..]) {
            Ok(n) => sent += n,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// The next parcel; none at the end. What is wrong with one that came whole is told, and others may follow.
pub(super) async fn receive(stream: &UnixStream) -> io::Result<Option<Result<Frame, io::Error>>> {
    let (mut head, mut got, mut fd) = ([0; HEAD], 0, None);
    while got < HEAD {
        // No more than the head is asked for, so that a descriptor that comes is this parcel's.
        match take(stream, &mut head[got..]).await? {
            (0, _) if got == 0 => return Ok(None),
            (0, _) => return Err(io::ErrorKind::UnexpectedEof.into()),
            (n, came) => (got, fd) = (got + n, came.or(fd)),
        }
    }
    let [letter, a, b, c, d, sum @ ..] = head;
    let (length, sum) = (u32::from_be_bytes([a, b, c, d]), u32::from_be_bytes(sum));
    let known = FrameKind::ALL.iter().find(|(_, known, _)| *known == letter);
    let &(kind, _, has_fd) = known.ok_or_else(|| fault("a parcel of no known kind"))?;
    if length > PARCEL_MOST {
        return Err(fault("a parcel is too long"));
    }
    let content = read_exactly(stream, length as usize).await?;
    if crc32fast::hash(&content) != sum {
        return Err(fault("a parcel's checksum does not fit"));
    }
    if has_fd && fd.is_none() {
        return Ok(Some(Err(fault("a descriptor was lost on its way")))); // there is none left for it here
    }
    Ok(Some(Ok(Frame { kind, payload: content, fd })))
}

/// Some bytes, and the descriptor that comes with them.
async fn take(stream: &UnixStream, into: &mut [u8]) -> io::Result<(usize, Option<OwnedFd>)> {
    let read = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let got = recvmsg(stream, &mut [IoSliceMut::new(into)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        let mut fds = control.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut fds) => fds.next(),
            _ => None,
        });
        Ok((got.bytes, fds.next()))
    };
    stream.async_io(Interest::READABLE, read).await
}

/// So many bytes. Room for them grows as they come, for the number is only a claim.
async fn read_exactly(stream: &UnixStream, length: usize) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    let mut piece = [0; 16 * 1024];
    while content.len() < length {
        stream.readable().await?;
        let most = piece.len().min(length - content.len());
        match stream.try_read(&mut piece[..most]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => content.extend_from_slice(&piece[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(content)
}

/// A successor that takes over connections.
#[derive(Clone)]
pub struct Successor(pub(super) Rc<UnixStream>);

impl Successor {
    /// Hands a connection over, which ends here. `started` if its startup is done. Where the successor has
    /// just gone, the connection closes, as it would without one.
    pub async fn hand_over_client(&self, stream: TcpStream, started: bool) -> io::Result<()> {
        let fd = OwnedFd::from(stream.into_std()?);
        send(&self.0, FrameKind::Client, &[u8::from(started)], Some(fd.as_fd())).await
    }
}

/// What a successor has from the process that it replaces.
pub struct Predecessor {
    /// How many clients there may be here until more come over, where that was told at once.
    pub(super) client_limit: Option<usize>,
    /// What it knew; none where that did not come whole.
    pub state: Option<HandoverState>,
    /// Where both tell what happens.
    pub peer_channel: Option<OwnedFd>,
    pub(super) stream: Rc<UnixStream>,
}

impl Predecessor {
    /// Whether it comes from an earlier build, whose connections come in a form of their own.
    pub(super) fn is_early_build(&self) -> bool {
        self.client_limit.is_some()
    }
}

/// What a process finds of the one before it.
pub enum PredecessorStatus {
    /// There is none.
    NotRunning,
    /// It gives its door, and what it knows.
    HandsOver(TcpListener, Predecessor),
    /// One runs, and can't be heard. It ends with this stream, where there is one.
    Unresponsive(Option<UnixStream>),
}

/// Asks the process that runs, if one does, for the clients' door; at `early` where it is of an earlier build. What a
/// killed process left is no hindrance.
pub async fn inherit(path: &Path, early: &Path, greeting: &Hello) -> PredecessorStatus {
    let (result, stream) = if let Ok(stream) = UnixStream::connect(path).await {
        let stream = Rc::new(stream);
        let result = match timeout(HANDED_WITHIN, ask(&stream, greeting)).await {
            Ok(Ok((fd, state, words))) => {
                let stream = stream.clone();
                Ok((fd, Predecessor { client_limit: None, state, peer_channel: words, stream }))
            }
            Ok(Err(e)) => Err(e),
            // It is there, and stands still: it is told for when it goes on.
            Err(late) => send(&stream, FrameKind::ServesAlone, &[], None).await.and(Err(late.into())),
        };
        (result, Some(stream))
    } else if let Ok(stream) = UnixStream::connect(early).await {
        (timeout(HANDED_WITHIN, ask_early(stream)).await.unwrap_or_else(|late| Err(late.into())), None)
    } else {
        return PredecessorStatus::NotRunning;
    };
    let done = result.and_then(|(fd, inheritance)| {
        let listener = std::net::TcpListener::from(fd);
        listener.set_nonblocking(true)?;
        Ok(PredecessorStatus::HandsOver(TcpListener::from_std(listener)?, inheritance))
    });
    done.unwrap_or_else(|e| {
        log::warn!("the process that runs does not hand over its listener: {e}");
        let stream = stream.and_then(Rc::into_inner).filter(|_| e.kind() == io::ErrorKind::TimedOut);
        PredecessorStatus::Unresponsive(stream)
    })
}

/// The door, what is known, and the channel on which both tell what happens.
type Handed = (OwnedFd, Option<HandoverState>, Option<OwnedFd>);

async fn ask(stream: &UnixStream, greeting: &Hello) -> io::Result<Handed> {
    let content = serde_json::to_vec(greeting)?;
    send(stream, FrameKind::Hello, &content, None).await?;
    let (mut door, mut words) = (None, None);
    loop {
        let frame = receive(stream).await?.ok_or(io::ErrorKind::UnexpectedEof)??;
        match frame.kind {
            FrameKind::Listener => door = frame.fd,
            FrameKind::PeerChannel => words = frame.fd,
            FrameKind::HandoverState => {
                let fd = door.ok_or_else(|| fault("no door came before what is known"))?;
                let state = HandoverState::decode(&frame.payload);
                let state = state.inspect_err(|e| log::warn!("what is known can't be taken over: {e}")).ok();
                return Ok((fd, state, words));
            }
            _ => return Err(fault("a parcel out of its turn")),
        }
    }
}

/// Reads who it is that has come; none of another proxy, or that speaks in another version.
pub(super) async fn greeted(stream: &UnixStream, own: &Hello) -> io::Result<()> {
    let greeting = async {
        let frame = receive(stream).await?.ok_or(io::ErrorKind::UnexpectedEof)??;
        Ok::<Hello, io::Error>(serde_json::from_slice(&frame.payload)?)
    };
    match timeout(GREETED_WITHIN, greeting).await?? {
        greeting if greeting == *own => Ok(()),
        greeting => Err(fault(&format!(
            "{} in version {} is no successor of {} in version {VERSION}",
            greeting.name, greeting.version, own.name
        ))),
    }
}

/// What a build before 0.2 tells of a server.
#[derive(Debug, Clone, Copy, Deserialize)]
struct EarlyStand {
    server: u32,
    primary: bool,
    /// In Unix milliseconds; for a primary, when this was said.
    position_ms: f64,
    #[serde(default)]
    news: ReplicaSetSnapshot,
}

impl EarlyStand {
    /// It knew nothing of sessions, and of a primary only that it was one when last heard.
    fn stood(&self) -> ServerSnapshot {
        let at = self.position_ms / 1e3;
        ServerSnapshot {
            server: self.server,
            position: Some(at).filter(|at| !self.primary && *at > 0.0),
            last_response: at,
            primary: self.primary,
            replica_set: self.news,
            ..ServerSnapshot::default()
        }
    }
}

/// What such a process hands over: its door in five bytes, then where servers stand.
async fn ask_early(mut stream: UnixStream) -> io::Result<(OwnedFd, Predecessor)> {
    let (letter, places, fd) = receive_early(&stream).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if letter != b'D' {
        return Err(fault("no door came first"));
    }
    let length = stream.read_u32().await?;
    if length > STANDS_MOST {
        return Err(fault("a parcel is too long"));
    }
    let stands: Vec<EarlyStand> = serde_json::from_slice(&read_exactly(&stream, length as usize).await?)?;
    let servers = stands.iter().map(EarlyStand::stood).collect();
    let heritage = StateSnapshot { servers, ..StateSnapshot::default() };
    let state = HandoverState { snapshot: heritage, ..HandoverState::default() };
    let (places, state, stream) = (Some(places as usize), Some(state), Rc::new(stream));
    Ok((fd, Predecessor { client_limit: places, state, peer_channel: None, stream }))
}

pub(super) async fn receive_early(stream: &UnixStream) -> io::Result<Option<(u8, u32, OwnedFd)>> {
    let mut bytes = [0; 5];
    match take(stream, &mut bytes).await? {
        (0, _) => Ok(None),
        (5, Some(fd)) => {
            let [letter, figure @ ..] = bytes;
            Ok(Some((letter, u32::from_be_bytes(figure), fd)))
        }
        _ => Err(fault("a descriptor was lost on its way")),
    }
}

/// Waits for the end of a stream; whatever is still said on it counts no more.
pub(super) async fn ended(stream: &UnixStream) {
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut [0; 4096]) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

#[cfg(test)]
mod tests;
