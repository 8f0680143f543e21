//! The other process of this proxy, while there are two: a channel on which each tells what happens.
//!
//! The two are one proxy to their clients: a session may write through one and read through the other. So each tells a
//! commit before its client hears of it, and hears all that was told before it decides anything; the system keeps what
//! was sent in order, so that nothing acknowledged is missed. Where the channel can't take a word, it is closed
//! before the client gets its answer, and the other side, which finds that out first, counts the worst from then on.
//! Owns the channel and the form of what goes over it. It must never wait, nor pass anything on late.

use std::cell::{Cell, RefCell};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;

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

/// Bytes of a word at the most; a session's name that does not fit closes the channel.
const WORD_MOST: usize = 16 * 1024;

/// A word as it goes over the channel.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum PeerPacket {
    #[serde(rename = "wrote")]
    SessionWrite {
        session: String,
        /// The commit, in Unix milliseconds.
        commit_ms: f64,
    },
    /// The list says that a server of this name drains or is gone.
    #[serde(rename = "withdrawn")]
    ServerWithdrawn { uid: String },
    /// There will be nothing more to tell: no request is open, and none will come.
    #[serde(rename = "over")]
    Closed,
}

/// This process's end of the channel.
pub struct PeerChannel {
    fd: Rc<UnixStream>,
    /// All was heard that had come.
    heard: Rc<Notify>,
    clock: Clock,
    registry: SharedEndpointRegistry,
    /// The other one has nothing more to tell, or can't be heard any more.
    silent: Cell<bool>,
    buffer: RefCell<Vec<u8>>,
    wakes: AbortHandle,
}

/// A channel's two ends.
pub fn pair() -> io::Result<(OwnedFd, OwnedFd)> {
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    Ok(socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

impl PeerChannel {
    /// Joins the exchange to another process by an end of a channel. Must run inside a [`tokio::task::LocalSet`].
    pub fn join(driver: &PgDriver, registry: &SharedEndpointRegistry, fd: OwnedFd) -> io::Result<()> {
        // The runtime has no type for packets in order; it only waits on this one, and never reads or writes it.
        let fd = Rc::new(UnixStream::from_std(fd.into())?);
        let heard = Rc::new(Notify::new());
        let (woken, nudged, done) = (fd.clone(), driver.clone(), heard.clone());
        let wakes = spawn_local(async move {
            while woken.readable().await.is_ok() {
                nudged.wake();
                done.notified().await;
            }
        });
        let (clock, registry, wakes) = (driver.clock(), registry.clone(), wakes.abort_handle());
        let (silent, buffer) = (Cell::new(false), RefCell::new(vec![0; WORD_MOST]));
        driver.connect_peer(Rc::new(Self { fd, heard, clock, registry, silent, buffer, wakes }));
        Ok(())
    }

    fn say(&self, said: &PeerPacket) {
        let bytes = serde_json::to_vec(said).unwrap_or_default();
        let fits = !bytes.is_empty() && bytes.len() <= WORD_MOST;
        let sent = fits && send(self.fd.as_fd(), &bytes, SendFlags::DONTWAIT | SendFlags::NOSIGNAL).is_ok();
        if !sent {
            let _ = shutdown(self.fd.as_fd(), Shutdown::Write); // it may be gone already
        }
    }

    fn word(&self, bytes: &[u8]) -> Option<PeerMessage> {
        match serde_json::from_slice(bytes).ok()? {
            PeerPacket::SessionWrite { session, commit_ms } => {
                let commit = self.clock.from_unix_ms(commit_ms).as_secs_f64();
                Some(PeerMessage::SessionWrite { session, commit })
            }
            PeerPacket::ServerWithdrawn { uid } => {
                Some(PeerMessage::ServerWithdrawn(self.registry.borrow().server_id(&uid)))
            }
            PeerPacket::Closed => {
                self.silent.set(true);
                None
            }
        }
    }
}

impl PeerLink for PeerChannel {
    fn send(&self, word: &PeerMessage) {
        match word {
            PeerMessage::SessionWrite { session, commit } => {
                let commit = std::time::Duration::try_from_secs_f64(*commit).unwrap_or_default();
                self.say(&PeerPacket::SessionWrite {
                    session: session.clone(),
                    commit_ms: self.clock.to_unix_ms(commit),
                });
            }
            PeerMessage::ServerWithdrawn(server) => {
                if let Some(uid) = self.registry.borrow().name(*server) {
                    self.say(&PeerPacket::ServerWithdrawn { uid: uid.to_owned() });
                }
            }
            PeerMessage::PeerUnreachable(_) | PeerMessage::ProcessPaused(_) => {} // it finds that out by itself
        }
    }

    fn close(&self) {
        self.say(&PeerPacket::Closed);
    }

    fn receive(&self) -> Vec<PeerMessage> {
        let mut words = Vec::new();
        while !self.silent.get() {
            let mut buffer = self.buffer.borrow_mut();
            // Asks the system and not the runtime, which knows only what it heard when it last waited.
            match recv(self.fd.as_fd(), &mut buffer[..], RecvFlags::DONTWAIT) {
                Ok((n, _)) if n > 0 => {
                    let word = self.word(&buffer[..n]);
                    let heard = word.is_some() || self.silent.get();
                    words.extend(word);
                    if heard {
                        continue;
                    }
                }
                Err(Errno::AGAIN) => break,
                Err(Errno::INTR) => continue,
                _ => {}
            }
            // Its end, or something that can't be read: what was acknowledged there is unknown from now on.
            self.silent.set(true);
            words.push(PeerMessage::PeerUnreachable(true));
        }
        let nothing_left = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
        let _ = self.fd.try_io(Interest::READABLE, nothing_left);
        self.heard.notify_one();
        words
    }
}

impl Drop for PeerChannel {
    fn drop(&mut self) {
        self.wakes.abort();
    }
}

#[cfg(test)]
mod tests;
