//! The resources that a process divides with its predecessor or successor while both run.
//!
//! Owns no state of its own: the shares are set on the client side, the server side and the buffer pool. A
//! process has all of them unless another one runs.

use std::time::Duration;

use tokio::net::UnixStream;

use super::socket::wait_until_closed;
use crate::net::buffers::BufferPool;
use crate::net::client::ClientService;
use crate::net::discovery::SharedEndpointRegistry;
use crate::net::driver::ServerCommand;
use crate::net::server::PgDriver;

/// Share of the buffers and server connections, of each process while there are two.
const HALF_SHARE: f64 = 0.5;
/// The same for a process that runs alone.
const FULL_SHARE: f64 = 1.0;
/// How long an unresponsive predecessor without a connection may run on: the time until it is terminated, and
/// its longest graceful shutdown.
const UNRESPONSIVE_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// What two processes divide, and where the state that is handed over is read and restored.
pub struct SharedResources {
    /// The client side.
    pub clients: ClientService,
    /// The routing engine's driver.
    pub driver: PgDriver,
    /// The buffers.
    pub pool: BufferPool,
    /// The servers' names.
    pub registry: SharedEndpointRegistry,
}

impl SharedResources {
    /// Leaves half of the buffers and server connections to the other process.
    pub(super) fn share_with_peer(&self) {
        self.set_share(HALF_SHARE);
    }

    fn set_share(&self, share: f64) {
        self.pool.set_share(share);
        self.driver.send_command(ServerCommand::SetSocketShare(share));
    }

    /// Starts to serve in parallel with a process that this one cannot communicate with. Each has half of the
    /// clients, and assumes that the other one acknowledges writes.
    pub(super) fn serve_in_parallel(&self) {
        self.driver.disconnect_peer();
        self.driver.peer_unreachable();
        self.clients.set_limit(Some((self.clients.limit() as f64 * HALF_SHARE) as usize));
        self.share_with_peer();
    }

    /// Serves in parallel with an unresponsive predecessor until that is gone: until `stream` closes, or for
    /// 10 s if there is none.
    pub async fn serve_until_gone(&self, stream: Option<UnixStream>) {
        self.serve_in_parallel();
        match stream {
            Some(stream) => wait_until_closed(&stream).await,
            None => tokio::time::sleep(UNRESPONSIVE_GRACE_PERIOD).await,
        }
        self.reclaim();
        log::info!("the predecessor is gone");
    }

    /// Takes all resources back, as the other process is gone.
    pub(super) fn reclaim(&self) {
        self.clients.resume_accepting();
        self.set_share(FULL_SHARE);
        self.driver.disconnect_peer();
    }
}
