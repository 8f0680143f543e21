//! How the sockets that a process may open are divided between clients and data servers.

use std::io;

use pipittack::settings::MIN_SOCKETS;

/// Descriptors for everything that is neither a client nor a data server: standard streams, listeners,
/// discovery, the runtime's own, and clients that are rejected.
const RESERVED_DESCRIPTORS: usize = 28;
/// The clients' shares of the sockets. Data servers have those that clients do not use.
const CLIENT_SHARES: SocketShares = SocketShares { usual: 0.55, max: 0.86 };

/// Shares of the sockets, from 0 to 1.
struct SocketShares {
    /// Share without any competition.
    usual: f64,
    /// Largest share, where more clients connect than that.
    max: f64,
}

/// Why a process has too few descriptors.
#[derive(Debug, thiserror::Error)]
pub enum SocketBudgetError {
    /// The limit on descriptors cannot be changed.
    #[error("cannot raise the limit on descriptors: {0}")]
    RaiseLimit(#[source] io::Error),
    /// The system's limit is too low.
    #[error("the system grants {granted} descriptors, and {MIN_SOCKETS} are needed")]
    TooFew { granted: usize },
}

/// The sockets for clients and data servers.
#[derive(Debug, Clone, Copy)]
pub struct SocketBudget {
    total: usize,
}

impl SocketBudget {
    /// Raises the process's limit on descriptors towards the configured number, and budgets what it then has,
    /// less a reserve.
    ///
    /// # Errors
    ///
    /// Where the limit cannot be changed, or is below [`MIN_SOCKETS`].
    pub fn acquire(configured: usize) -> Result<Self, SocketBudgetError> {
        let limit =
            rlimit::increase_nofile_limit(configured as u64).map_err(SocketBudgetError::RaiseLimit)?;
        let granted = configured.min(usize::try_from(limit).unwrap_or(configured));
        if granted < MIN_SOCKETS {
            return Err(SocketBudgetError::TooFew { granted });
        }
        Ok(Self { total: granted - RESERVED_DESCRIPTORS })
    }

    /// Sockets for clients and data servers together.
    pub fn total(self) -> usize {
        self.total
    }

    /// Clients beyond whom each further one takes a socket from the data servers.
    pub fn usual_clients(self) -> usize {
        self.part(CLIENT_SHARES.usual)
    }

    /// Largest number of clients.
    pub fn max_clients(self) -> usize {
        self.part(CLIENT_SHARES.max)
    }

    /// Largest number of sockets to data servers.
    pub fn max_server_sockets(self) -> usize {
        self.total - self.usual_clients()
    }

    fn part(self, share: f64) -> usize {
        (self.total as f64 * share) as usize
    }
}
