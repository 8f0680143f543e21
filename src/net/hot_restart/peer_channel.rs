//! The channel on which two processes of one proxy instance report to each other while both serve.
//!
//! A session may write through one process and read through the other. So each process reports an
//! acknowledged write before its client gets the response, and reads all reports before it decides anything;
//! the kernel preserves their order. If a report cannot be sent, the sender closes its side before the client
//! gets the response, and the receiver assumes writes that it does not know of from then on. No call here
//! waits.
//!
//! Owns this process's end of the channel, and the task that wakes the driver when a packet arrives.
//! [`PeerChannel`] aborts the task when it is dropped; the task itself ends if the socket fails, which the
//! next read notices too.

use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::api::PeerMessage;
use rustix::io::Errno;
use rustix::net::{
    recv, send, shutdown, socketpair, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType,
};
use serde::{Deserialize, Serialize};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

use crate::net::discovery::SharedEndpointRegistry;
use crate::net::driver::{Clock, PeerLink};
use crate::net::server::PgDriver;

/// Longest packet in bytes. A session name that does not fit closes the channel.
const MAX_PACKET_BYTES: usize = 16 * 1024;

/// A packet of the channel, as JSON.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PeerPacket {
    /// A session's write was acknowledged.
    #[serde(rename = "wrote")]
    SessionWrite {
        session: String,
        /// Time of the commit, in Unix milliseconds.
        commit_ms: f64,
    },
    /// The endpoint list says that the server of this name drains or is gone.
    #[serde(rename = "withdrawn")]
    ServerWithdrawn { uid: String },
    /// The last packet: no request is in flight, and none will be accepted.
    #[serde(rename = "over")]
    Closed,
}

/// This process's end of the channel.
pub struct PeerChannel {
    socket: Rc<UnixStream>,
    /// Notified when all packets that had arrived are read.
    drained: Rc<Notify>,
    clock: Clock,
    registry: SharedEndpointRegistry,
    /// The peer sends nothing more, or its packets cannot be read any more.
    closed: Cell<bool>,
    buffer: RefCell<Vec<u8>>,
    wake_task: AbortHandle,
}

/// Creates the two ends of a channel.
pub fn pair() -> io::Result<(OwnedFd, OwnedFd)> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

impl PeerChannel {
    /// Connects the driver to one end of a channel. Must run inside a [`tokio::task::LocalSet`]. Fails if the
    /// runtime does not accept the socket.
    pub fn join(driver: &PgDriver, registry: &SharedEndpointRegistry, end: OwnedFd) -> io::Result<()> {
        // tokio has no type for sequenced packets. This one is only waited on, and never read or written
        // through tokio.
        let socket = Rc::new(UnixStream::from_std(end.into())?);
        let drained = Rc::new(Notify::new());
        let wake_task = spawn_local(wake_on_packets(driver.clone(), socket.clone(), drained.clone()));
        driver.connect_peer(Rc::new(Self {
            socket,
            drained,
            clock: driver.clock(),
            registry: registry.clone(),
            closed: Cell::new(false),
            buffer: RefCell::new(vec![0; MAX_PACKET_BYTES]),
            wake_task: wake_task.abort_handle(),
        }));
        Ok(())
    }

    /// Sends a packet. Closes this side of the channel if that fails.
    fn send_packet(&self, packet: &PeerPacket) {
        let bytes = serde_json::to_vec(packet).unwrap_or_default();
        let fits = !bytes.is_empty() && bytes.len() <= MAX_PACKET_BYTES;
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let sent = fits && send(self.socket.as_fd(), &bytes, flags).is_ok();
        if !sent {
            let _ = shutdown(self.socket.as_fd(), Shutdown::Write); // fails if the peer is gone
        }
    }

    /// Reads the next packet; `None` if there is none yet. Fails at the end of the channel and for a packet
    /// that cannot be decoded.
    fn receive_packet(&self) -> io::Result<Option<PeerPacket>> {
        let mut buffer = self.buffer.borrow_mut();
        loop {
            // Calls the kernel directly: the runtime's readiness is only as of its last poll.
            match recv(self.socket.as_fd(), &mut buffer[..], RecvFlags::DONTWAIT) {
                Ok((0, _)) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok((length, _)) => return Ok(Some(serde_json::from_slice(&buffer[..length])?)),
                Err(Errno::AGAIN) => return Ok(None),
                Err(Errno::INTR) => {}
                Err(e) => return Err(e.into()),
            }
        }
    }

    /// The message of a packet; `None` for the last one.
    fn message(&self, packet: PeerPacket) -> Option<PeerMessage> {
        match packet {
            PeerPacket::SessionWrite { session, commit_ms } => {
                let commit = self.clock.from_unix_ms(commit_ms).as_secs_f64();
                Some(PeerMessage::SessionWrite { session, commit })
            }
            PeerPacket::ServerWithdrawn { uid } => {
                Some(PeerMessage::ServerWithdrawn(self.registry.borrow().server_id(&uid)))
            }
            PeerPacket::Closed => None,
        }
    }
}

/// Wakes the driver whenever a packet has arrived, once for all packets that it reads together.
async fn wake_on_packets(driver: PgDriver, socket: Rc<UnixStream>, drained: Rc<Notify>) {
    while socket.readable().await.is_ok() {
        driver.request_step();
        drained.notified().await;
    }
}

impl PeerLink for PeerChannel {
    fn send(&self, message: &PeerMessage) {
        match message {
            PeerMessage::SessionWrite { session, commit } => {
                let commit = Duration::try_from_secs_f64(*commit).unwrap_or_default();
                self.send_packet(&PeerPacket::SessionWrite {
                    session: session.clone(),
                    commit_ms: self.clock.to_unix_ms(commit),
                });
            }
            PeerMessage::ServerWithdrawn(server) => {
                if let Some(uid) = self.registry.borrow().name(*server) {
                    self.send_packet(&PeerPacket::ServerWithdrawn { uid: uid.to_owned() });
                }
            }
            // The peer notices these by itself.
            PeerMessage::PeerUnreachable(_) | PeerMessage::ProcessPaused(_) => {}
        }
    }

    fn close(&self) {
        self.send_packet(&PeerPacket::Closed);
    }

    fn receive(&self) -> Vec<PeerMessage> {
        let mut messages = Vec::new();
        while !self.closed.get() {
            match self.receive_packet() {
                Ok(Some(packet)) => match self.message(packet) {
                    Some(message) => messages.push(message),
                    None => self.closed.set(true),
                },
                Ok(None) => break,
                // The peer may acknowledge writes that this process will not learn of.
                Err(_) => {
                    self.closed.set(true);
                    messages.push(PeerMessage::PeerUnreachable(true));
                }
            }
        }
        // Clears the runtime's readiness, so that the wake task waits for the next packet.
        let no_packets = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = self.socket.try_io(Interest::READABLE, no_packets);
        self.drained.notify_one();
        messages
    }
}

impl Drop for PeerChannel {
    fn drop(&mut self) {
        self.wake_task.abort();
    }
}

#[cfg(test)]
mod tests;
