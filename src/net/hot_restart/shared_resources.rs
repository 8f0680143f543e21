//! Resources that a process divides with its predecessor or successor while both run.
//!
//! This module holds no state: it sets the shares on the client side, the server side and the buffer pool. A
//! process that runs alone uses all resources.

use std::time::Duration;

use tokio::net::UnixStream;

use super::socket::wait_until_closed;
use crate::net::buffers::BufferPool;
use crate::net::client::ClientService;
use crate::net::discovery::SharedEndpointRegistry;
use crate::net::driver::ServerCommand;
use crate::net::server::PgDriver;

/// Share of the buffers and server connections that each process uses while two processes run.
const HALF_SHARE: f64 = 0.5;
/// Share of the buffers and server connections that a process uses while it runs alone.
const FULL_SHARE: f64 = 1.0;
/// Time for which an unresponsive predecessor without a connection is assumed to run: the time until it is
/// terminated, plus its longest graceful shutdown.
const UNRESPONSIVE_GRACE_PERIOD: Duration = Duration::from_secs(10);

/// Components whose resources two processes divide. The handed-over state is read from them and restored to
/// them.
pub struct SharedResources {
    /// Client side, with the client limit.
    pub clients: ClientService,
    /// Driver of the routing engine, with the share of server connections.
    pub driver: PgDriver,
    /// Buffer pool.
    pub pool: BufferPool,
    /// Endpoint list, with the ids and names of the servers.
    pub registry: SharedEndpointRegistry,
}

impl SharedResources {
    /// Limits this process to half of the buffers and server connections. The peer uses the other half.
    pub(super) fn share_with_peer(&self) {
        self.set_share(HALF_SHARE);
    }

    /// Returns memory that this process no longer uses to the system, so that its successor can use it.
    pub(super) fn return_idle_memory(&self) {
        self.pool.set_returns_idle_memory(true);
    }

    fn set_share(&self, share: f64) {
        self.pool.set_share(share);
        log::info!("this process uses {} % of the buffers: {}", share * 100.0, self.pool.usage());
        self.driver.send_command(ServerCommand::SetSocketShare(share));
    }

    /// Starts to serve in parallel with a process that this process cannot communicate with. Each of them
    /// uses half of the client limit, and assumes that the other acknowledges writes without a report.
    pub(super) fn serve_in_parallel(&self) {
        self.driver.disconnect_peer();
        self.driver.peer_unreachable();
        self.clients.set_limit(Some((self.clients.limit() as f64 * HALF_SHARE) as usize));
        self.share_with_peer();
    }

    /// Serves in parallel with an unresponsive predecessor until `stream` closes, or for 10 s if `stream` is
    /// `None`. Then reclaims the divided resources.
    pub async fn serve_until_predecessor_exits(&self, stream: Option<UnixStream>) {
        self.serve_in_parallel();
        match stream {
            Some(stream) => wait_until_closed(&stream).await,
            None => tokio::time::sleep(UNRESPONSIVE_GRACE_PERIOD).await,
        }
        self.reclaim();
        log::info!("parallel service with the predecessor ended");
    }

    /// Lets this process use all resources and accept clients, because the other process no longer serves.
    pub(super) fn reclaim(&self) {
        self.clients.resume_accepting();
        self.pool.set_returns_idle_memory(false);
        self.set_share(FULL_SHARE);
        self.driver.disconnect_peer();
    }
}
