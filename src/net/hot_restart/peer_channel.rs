//! Channel for messages between two processes of one proxy instance while both serve.
//!
//! A session may write through one process and read through the other. Each process therefore reports an
//! acknowledged write to the peer before the client gets the response, and the driver receives all reports
//! of the peer before each step of the routing engine. The kernel preserves the order of the packets. If a
//! report cannot be sent, the sender shuts down its side of the channel before the client gets the response.
//! From then on, the receiver assumes that the peer acknowledges writes without a report. No function in this
//! module blocks.
//!
//! A [`PeerChannel`] owns this process's end of the channel and the task that wakes the driver when a packet
//! arrives. Dropping the `PeerChannel` aborts the task. The task also ends when the socket fails; the next
//! read then returns the error.

use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use std::time::Duration;

use pipittack_core::api::PeerMessage;
use rustix::io::{retry_on_intr, Errno};
use rustix::net::{
    recv, send, shutdown, socketpair, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType,
};
use serde::{Deserialize, Serialize};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle};

use crate::net::discovery::SharedEndpointRegistry;
use crate::net::driver::{Clock, PeerLink, ReceivedFromPeer};
use crate::net::server::PgDriver;

/// Length in bytes of the longest packet. A session name that does not fit closes the channel.
const MAX_PACKET_BYTES: usize = 16 * 1024;

/// A packet of the channel, encoded as JSON.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PeerPacket {
    /// A data server has acknowledged a write of a session.
    #[serde(rename = "wrote")]
    SessionWrite {
        session: String,
        /// Time of the commit, in Unix milliseconds.
        commit_ms: f64,
    },
    /// The endpoint list says that the server with this name drains or was removed.
    #[serde(rename = "withdrawn")]
    ServerWithdrawn {
        #[serde(rename = "uid")]
        name: String,
    },
    /// A request with this id may be executed from now on. Sent only to a peer that knows this packet.
    #[serde(rename = "executed")]
    ExecutedId {
        #[serde(rename = "id")]
        client_request_id: String,
    },
    /// A data server has told its role. Sent only to a peer that knows this packet.
    #[serde(rename = "role")]
    RoleReported {
        #[serde(rename = "uid")]
        name: String,
        #[serde(rename = "primary")]
        is_primary: bool,
    },
    /// Last packet: the sender has no request in flight and accepts no more requests.
    #[serde(rename = "over")]
    Closed,
}

/// Packets that a peer can decode beyond those of the first builds with a channel.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownPackets {
    /// Packets with ids of requests.
    pub request_ids: bool,
    /// Packets with roles of data servers.
    pub roles: bool,
}

/// This process's end of the channel to the peer.
pub struct PeerChannel {
    socket: Rc<UnixStream>,
    /// Notified when the driver has read all packets that had arrived.
    drained: Rc<Notify>,
    clock: Clock,
    registry: SharedEndpointRegistry,
    /// Whether the peer has closed the channel or a read has failed. From then on, no more packets are read.
    closed: Cell<bool>,
    /// Packets that the peer can decode.
    known_packets: KnownPackets,
    /// Buffer for one packet.
    buffer: RefCell<Vec<u8>>,
    driver_wake_task: AbortHandle,
}

/// Creates the sockets for the two ends of a channel.
pub fn socket_pair() -> io::Result<(OwnedFd, OwnedFd)> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

impl PeerChannel {
    /// Connects the driver to one end of a channel. `known_packets` says which packets the peer can decode. Must run
    /// inside a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// Returns an error if the runtime cannot register the socket.
    pub fn connect(
        driver: &PgDriver,
        registry: &SharedEndpointRegistry,
        socket: OwnedFd,
        known_packets: KnownPackets,
    ) -> io::Result<()> {
        // tokio has no type for SEQPACKET sockets. The `UnixStream` only signals readiness; packets are read
        // and written with direct system calls.
        let socket = Rc::new(UnixStream::from_std(socket.into())?);
        let drained = Rc::new(Notify::new());
        let driver_wake_task =
            spawn_local(wake_driver_on_packets(driver.clone(), socket.clone(), drained.clone()));
        driver.connect_peer(Rc::new(Self {
            socket,
            drained,
            clock: driver.clock(),
            registry: registry.clone(),
            closed: Cell::new(false),
            known_packets,
            buffer: RefCell::new(vec![0; MAX_PACKET_BYTES]),
            driver_wake_task: driver_wake_task.abort_handle(),
        }));
        Ok(())
    }

    /// Sends a packet. If that fails, shuts down this side of the channel.
    fn send_packet(&self, packet: &PeerPacket) {
        let bytes = serde_json::to_vec(packet).unwrap_or_default();
        let fits = !bytes.is_empty() && bytes.len() <= MAX_PACKET_BYTES;
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let sent = fits && retry_on_intr(|| send(self.socket.as_fd(), &bytes, flags)).is_ok();
        if !sent {
            let _ = shutdown(self.socket.as_fd(), Shutdown::Write); // fails if the peer has closed its end
        }
    }

    /// Reads the next packet. Returns `None` if none has arrived. Fails if the peer has shut down its side of
    /// the channel, and for a packet that cannot be decoded.
    fn receive_packet(&self) -> io::Result<Option<PeerPacket>> {
        let mut buffer = self.buffer.borrow_mut();
        // Calls `recv` directly, since the runtime's readiness state is as old as its last poll.
        match retry_on_intr(|| recv(self.socket.as_fd(), &mut buffer[..], RecvFlags::DONTWAIT)) {
            Ok((0, _)) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok((length, _)) => Ok(Some(serde_json::from_slice(&buffer[..length])?)),
            Err(Errno::AGAIN) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    /// Adds the content of a packet to `received`.
    fn add_packet(&self, packet: PeerPacket, received: &mut ReceivedFromPeer) {
        match packet {
            PeerPacket::SessionWrite { session, commit_ms } => {
                let commit = self.clock.from_unix_ms(commit_ms).as_secs_f64();
                received.messages.push(PeerMessage::SessionWrite { session, commit });
            }
            PeerPacket::ServerWithdrawn { name } => {
                let server = self.registry.borrow().server_id(&name);
                received.messages.push(PeerMessage::ServerWithdrawn(server));
            }
            PeerPacket::RoleReported { name, is_primary } => {
                let server = self.registry.borrow().server_id(&name);
                received.messages.push(PeerMessage::RoleReported { server, is_primary });
            }
            PeerPacket::ExecutedId { client_request_id } => received.executed_ids.push(client_request_id),
            PeerPacket::Closed => self.closed.set(true),
        }
    }
}

/// Wakes the driver when packets have arrived. After each wake-up, waits until the driver has read all of
/// them.
async fn wake_driver_on_packets(driver: PgDriver, socket: Rc<UnixStream>, drained: Rc<Notify>) {
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
                if let Some(name) = self.registry.borrow().server_name(*server) {
                    self.send_packet(&PeerPacket::ServerWithdrawn { name: name.to_owned() });
                }
            }
            PeerMessage::RoleReported { server, is_primary } if self.known_packets.roles => {
                if let Some(name) = self.registry.borrow().server_name(*server) {
                    let name = name.to_owned();
                    self.send_packet(&PeerPacket::RoleReported { name, is_primary: *is_primary });
                }
            }
            PeerMessage::RoleReported { .. } => {}
            // Not sent: the peer detects both conditions itself.
            PeerMessage::PeerUnreachable(_) | PeerMessage::ProcessPaused(_) => {}
        }
    }

    fn send_executed_id(&self, client_request_id: &str) {
        if self.known_packets.request_ids {
            let client_request_id = client_request_id.to_owned();
            self.send_packet(&PeerPacket::ExecutedId { client_request_id });
        }
    }

    fn close(&self) {
        self.send_packet(&PeerPacket::Closed);
    }

    fn receive(&self) -> ReceivedFromPeer {
        let mut received = ReceivedFromPeer::default();
        while !self.closed.get() {
            match self.receive_packet() {
                Ok(Some(packet)) => self.add_packet(packet, &mut received),
                Ok(None) => break,
                // From now on the peer may acknowledge writes that this process does not learn of.
                Err(_) => {
                    self.closed.set(true);
                    received.messages.push(PeerMessage::PeerUnreachable(true));
                }
            }
        }
        // Clears the runtime's readiness state, so that `wake_driver_on_packets` waits for the next
        // packet.
        let no_packets = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = self.socket.try_io(Interest::READABLE, no_packets);
        self.drained.notify_one();
        received
    }
}

impl Drop for PeerChannel {
    fn drop(&mut self) {
        self.driver_wake_task.abort();
    }
}

#[cfg(test)]
mod tests;
