//! Replacing the process: a new one takes the clients' door, and then the clients, from the one that runs.
//!
//! Owns the Unix socket on which a process waits for its successor, and what goes over it: the listener, so
//! that no connection in its queue is lost, and connections that stand between requests. The two count as
//! one proxy, so each must stay within its part of what one may hold until the other is gone. It must never
//! pass on a connection of which a byte has been read and not answered.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;

use super::buffers::Pool;
use super::clients::Clients;
use super::exchange::Order;
use super::parcel::{bind, ended, receive, send, tell, Inheritance, Parcel, Successor};
use super::servers::PgExchange;

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
