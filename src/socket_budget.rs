//! Division of the sockets that a process may open between clients and data servers.

use std::io;

use pipittack::settings::MIN_SOCKETS;

/// File descriptors that are reserved for all other uses: standard streams, listeners, discovery, the
/// asynchronous runtime, and clients that are rejected.
const RESERVED_DESCRIPTORS: usize = 28;
/// Shares of the sockets that clients may use. Data servers get the sockets that clients do not use.
const CLIENT_SHARES: SocketShares = SocketShares { reserved: 0.55, max: 0.86 };

/// Shares of the sockets for clients, from 0 to 1.
struct SocketShares {
    /// Share that is reserved for clients.
    reserved: f64,
    /// Largest share, with the sockets that clients may take from data servers.
    max: f64,
}

/// Reason why a process cannot get enough file descriptors.
#[derive(Debug, thiserror::Error)]
pub enum SocketBudgetError {
    /// The limit on open file descriptors cannot be raised.
    #[error("cannot raise the limit on open file descriptors: {0}")]
    RaiseLimit(#[source] io::Error),
    /// The system's limit is too low.
    #[error("the limit on open file descriptors is {granted}, at least {MIN_SOCKETS} are required")]
    TooFew { granted: usize },
}

/// Number of sockets for clients and data servers, and its division between them.
#[derive(Debug, Clone, Copy)]
pub struct SocketBudget {
    total: usize,
}

impl SocketBudget {
    /// Raises the process's limit on open file descriptors to `configured`, or as far as the system allows.
    /// The budget is the resulting number, less the reserved descriptors.
    ///
    /// # Errors
    ///
    /// Returns an error if the limit cannot be raised, or if the resulting number is below [`MIN_SOCKETS`].
    pub fn acquire(configured: usize) -> Result<Self, SocketBudgetError> {
        let limit =
            rlimit::increase_nofile_limit(configured as u64).map_err(SocketBudgetError::RaiseLimit)?;
        let granted = configured.min(usize::try_from(limit).unwrap_or(configured));
        if granted < MIN_SOCKETS {
            return Err(SocketBudgetError::TooFew { granted });
        }
        Ok(Self { total: granted - RESERVED_DESCRIPTORS })
    }

    /// Returns the number of sockets for clients and data servers together.
    pub fn total(self) -> usize {
        self.total
    }

    /// Returns the number of clients whose sockets are reserved. Each further client takes a socket from the
    /// data servers.
    pub fn reserved_clients(self) -> usize {
        self.fraction_of_total(CLIENT_SHARES.reserved)
    }

    /// Returns the largest number of clients.
    pub fn max_clients(self) -> usize {
        self.fraction_of_total(CLIENT_SHARES.max)
    }

    /// Returns the largest number of sockets to data servers.
    pub fn max_server_sockets(self) -> usize {
        self.total - self.reserved_clients()
    }

    fn fraction_of_total(self, share: f64) -> usize {
        (self.total as f64 * share) as usize
    }
}
