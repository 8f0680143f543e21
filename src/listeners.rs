//! The listeners of a process, which are opened at its start or taken over from the predecessor.
//!
//! Also defines the names of the files in the state directory.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use pipittack::endpoint_list::EndpointList;
use pipittack::net::hot_restart::frame::{self, Hello, Predecessor, PredecessorStatus};
use pipittack::net::{admin, client};
use pipittack::settings::Config;
use tokio::net::{TcpListener, UnixStream};

/// Error in opening or using a listener.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// A listener cannot be opened at the address.
    #[error("cannot listen at {address}: {source}")]
    Bind { address: SocketAddr, source: io::Error },
    /// An open listener cannot be duplicated, or its address cannot be read.
    #[error("cannot duplicate a listener or read its address: {0}")]
    Unusable(#[source] io::Error),
}

/// How a process starts to serve.
pub enum Startup {
    /// No other process of this proxy instance is running.
    Fresh,
    /// The process replaces a predecessor, which hands over its listener and its clients.
    Handover(Predecessor),
    /// The process serves in parallel with a predecessor that did not hand over its listener. The stream, if
    /// there is one, closes when the predecessor exits.
    Parallel(Option<UnixStream>),
}

impl Startup {
    /// Takes the predecessor's endpoint list. Returns `None` if there is none, or if it was taken before.
    pub fn take_endpoint_list(&mut self) -> Option<EndpointList> {
        match self {
            Self::Handover(predecessor) => predecessor.state.as_mut()?.endpoint_list.take(),
            Self::Fresh | Self::Parallel(_) => None,
        }
    }
}

/// Listeners of a starting process.
pub struct Listeners {
    pub clients: TcpListener,
    pub clients_address: SocketAddr,
    /// Listener of the admin API; `None` if no address is configured.
    pub admin: Option<TcpListener>,
    pub startup: Startup,
}

impl Listeners {
    /// Takes over the client listener from the predecessor, or opens it if there is none to take over. Then
    /// opens the listener of the admin API, at `admin_address` or else at the address in the configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be opened or used. A failed handover is not an error.
    pub async fn open(
        config: &Config,
        admin_address: Option<SocketAddr>,
        state_files: &StateFiles,
        hello: &Hello,
    ) -> Result<Self, ListenError> {
        let (clients, startup) = match state_files.find_predecessor(hello).await {
            PredecessorStatus::HandsOver(listener, predecessor) => (listener, Startup::Handover(predecessor)),
            PredecessorStatus::Unresponsive(stream) => {
                (bind_clients(config.listen)?, Startup::Parallel(stream))
            }
            PredecessorStatus::NotRunning => (bind_clients(config.listen)?, Startup::Fresh),
        };
        let admin = match admin_address.or(config.admin) {
            Some(address) => Some(bind_admin(address).await?),
            None => None,
        };
        let clients_address = clients.local_addr().map_err(ListenError::Unusable)?;
        Ok(Self { clients, clients_address, admin, startup })
    }
}

fn bind_clients(address: SocketAddr) -> Result<TcpListener, ListenError> {
    client::listen(address).map_err(|source| ListenError::Bind { address, source })
}

async fn bind_admin(address: SocketAddr) -> Result<TcpListener, ListenError> {
    admin::listen(address).await.map_err(|source| ListenError::Bind { address, source })
}

/// Paths of the files in the state directory. Without a directory, every path is `None`.
pub struct StateFiles {
    dir: Option<PathBuf>,
    /// Prefix of the file names. It contains the proxy's name and listen address, because other proxies may
    /// use the same directory.
    prefix: String,
}

impl StateFiles {
    /// Creates the paths for the proxy with the given configuration.
    pub fn new(dir: Option<&Path>, config: &Config) -> Self {
        let prefix = format!("pipittack-{}-{}", config.name, config.listen);
        Self { dir: dir.map(Path::to_owned), prefix }
    }

    /// Returns the path of the Unix socket on which a process waits for its successor.
    pub fn handover_socket(&self) -> Option<PathBuf> {
        self.path("2.sock")
    }

    /// Returns the path of the same socket in builds before 0.2, which use an older handover format.
    fn legacy_handover_socket(&self) -> Option<PathBuf> {
        self.path("sock")
    }

    /// Returns the path of the out-of-service list, which names the data servers that are offline.
    pub fn out_of_service_list(&self) -> Option<PathBuf> {
        self.path("json")
    }

    fn path(&self, extension: &str) -> Option<PathBuf> {
        self.dir.as_ref().map(|dir| dir.join(format!("{}.{extension}", self.prefix)))
    }

    async fn find_predecessor(&self, hello: &Hello) -> PredecessorStatus {
        match (self.handover_socket(), self.legacy_handover_socket()) {
            (Some(path), Some(legacy_path)) => frame::take_over_listener(&path, &legacy_path, hello).await,
            _ => PredecessorStatus::NotRunning,
        }
    }
}
