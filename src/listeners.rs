//! The listeners that a process starts with: opened by itself, or taken over from a predecessor.
//!
//! Owns the names of the files in the state directory.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use pipittack::endpoint_list::EndpointList;
use pipittack::net::hot_restart::frame::{self, Hello, Predecessor, PredecessorStatus};
use pipittack::net::{admin, client};
use pipittack::settings::Config;
use tokio::net::{TcpListener, UnixStream};

/// A listener that cannot be opened or used.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// An address cannot be bound.
    #[error("cannot listen at {address}: {source}")]
    Bind { address: SocketAddr, source: io::Error },
    /// A listener that is open cannot be used.
    #[error("cannot use a listener: {0}")]
    Unusable(#[source] io::Error),
}

/// How a process comes to serve.
pub enum Origin {
    /// No other process of this proxy runs.
    Fresh,
    /// It replaces a process that hands over its listener and its clients.
    Successor(Predecessor),
    /// It serves beside a process that does not hand over. That one has ended when the stream does, if there
    /// is one.
    Parallel(Option<UnixStream>),
}

impl Origin {
    /// The predecessor's endpoint list, once.
    pub fn take_endpoint_list(&mut self) -> Option<EndpointList> {
        match self {
            Self::Successor(predecessor) => predecessor.state.as_mut()?.endpoint_list.take(),
            Self::Fresh | Self::Parallel(_) => None,
        }
    }
}

/// The listeners of a process that starts.
pub struct Listeners {
    pub clients: TcpListener,
    pub clients_address: SocketAddr,
    pub admin: Option<TcpListener>,
    pub origin: Origin,
}

impl Listeners {
    /// Asks a predecessor for the client listener, or else opens it; then opens the admin API's.
    /// `admin_address` takes precedence over the configuration's.
    ///
    /// # Errors
    ///
    /// Where an address cannot be bound. A predecessor that fails is no error.
    pub async fn open(
        config: &Config,
        admin_address: Option<SocketAddr>,
        state_files: &StateFiles,
        hello: &Hello,
    ) -> Result<Self, ListenError> {
        let (clients, origin) = match state_files.find_predecessor(hello).await {
            PredecessorStatus::HandsOver(listener, predecessor) => (listener, Origin::Successor(predecessor)),
            PredecessorStatus::Unresponsive(stream) => {
                (bind_clients(config.listen)?, Origin::Parallel(stream))
            }
            PredecessorStatus::NotRunning => (bind_clients(config.listen)?, Origin::Fresh),
        };
        let admin = match admin_address.or(config.admin) {
            Some(address) => Some(bind_admin(address).await?),
            None => None,
        };
        let clients_address = clients.local_addr().map_err(ListenError::Unusable)?;
        Ok(Self { clients, clients_address, admin, origin })
    }
}

fn bind_clients(address: SocketAddr) -> Result<TcpListener, ListenError> {
    client::listen(address).map_err(|source| ListenError::Bind { address, source })
}

async fn bind_admin(address: SocketAddr) -> Result<TcpListener, ListenError> {
    admin::listen(address).await.map_err(|source| ListenError::Bind { address, source })
}

/// Paths in the state directory; without a directory there are none.
pub struct StateFiles {
    dir: Option<PathBuf>,
    /// What the file names start with. Other proxies may use the same directory, so it holds the name and the
    /// address.
    prefix: String,
}

impl StateFiles {
    /// The files of the proxy with this configuration.
    pub fn new(dir: Option<&Path>, config: &Config) -> Self {
        let prefix = format!("pipittack-{}-{}", config.name, config.listen);
        Self { dir: dir.map(Path::to_owned), prefix }
    }

    /// The socket at which a process waits for its successor.
    pub fn handover_socket(&self) -> Option<PathBuf> {
        self.path("2.sock")
    }

    /// The same socket of builds before the present format.
    fn early_handover_socket(&self) -> Option<PathBuf> {
        self.path("sock")
    }

    /// The file that lists the servers that are out of service.
    pub fn out_of_service_list(&self) -> Option<PathBuf> {
        self.path("json")
    }

    fn path(&self, extension: &str) -> Option<PathBuf> {
        self.dir.as_ref().map(|dir| dir.join(format!("{}.{extension}", self.prefix)))
    }

    async fn find_predecessor(&self, hello: &Hello) -> PredecessorStatus {
        match (self.handover_socket(), self.early_handover_socket()) {
            (Some(path), Some(early_path)) => frame::take_over_listener(&path, &early_path, hello).await,
            _ => PredecessorStatus::NotRunning,
        }
    }
}
