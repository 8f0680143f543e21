//! Division of the memory limit between the state of connections, tables and buffers.
//!
//! Whatever a peer can make the process keep comes out of one of these parts. Their sum stays below the limit, also
//! while the two processes of a hot restart share it.

use std::fmt::{self, Display, Formatter};

use crate::socket_budget::SocketBudget;

const BYTES_PER_MEGABYTE: usize = 1_000_000;
/// Least memory limit for which all parts fit, in megabytes.
pub const MIN_MEMORY_MB: u64 = 16;
/// Share of the limit that is divided, in percent. The rest covers allocations that hold more than was asked for.
const USABLE_PERCENT: usize = 90;
/// Memory of a process without clients: its program, its settings and its endpoint list.
const PROCESS_BYTES: usize = 4_600_000;
/// Memory that a second process of a hot restart adds: all but the program, whose pages are shared.
const SECOND_PROCESS_BYTES: usize = 1_000_000;
/// Memory of a client connection without a request in flight: its task, its entries in tables, and the buffer for the
/// first bytes of a message.
const CLIENT_BYTES: usize = 3_600;
/// Number of processes that hold the memory of a connection: that of a connection that was handed over stays in the
/// heap of the predecessor until it ends.
const CLIENT_COPIES: usize = 2;
/// Memory of a client in both processes of a hot restart.
const CLIENT_TOTAL_BYTES: usize = CLIENT_COPIES * CLIENT_BYTES;
/// Smallest share of the usable memory that buffers get, in percent. The client limit is reduced for it.
const MIN_POOL_PERCENT: usize = 20;
/// Smallest size of the buffer pool, in bytes.
const MIN_POOL_BYTES: usize = 1_000_000;
/// Number of clients below which the client limit is not reduced for memory.
const MIN_CLIENTS: usize = 32;
/// Parts of the limit that the ids of requests, and the session tokens, may use: one of so many.
const ID_FRACTION: usize = 64;
const SESSION_TOKEN_FRACTION: usize = 128;
/// Sizes in bytes of these tables beyond which more memory does not make them larger.
const MAX_ID_BYTES: usize = 2 << 20;
const MAX_SESSION_TOKEN_BYTES: usize = 2 << 20;
/// Memory of the tables for each byte that they count: both processes of a hot restart hold them, and their entries
/// take up to twice what is counted.
const TABLE_FACTOR: usize = 4;

/// Parts of the memory limit, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryBudget {
    /// The limit.
    pub limit: usize,
    /// Largest number of clients.
    pub max_clients: usize,
    /// Buffers of the process, or of the two processes of a hot restart together.
    pub pool: usize,
    /// Table of the ids of requests that may have been executed.
    pub ids: usize,
    /// Session tokens.
    pub session_tokens: usize,
}

impl MemoryBudget {
    /// Divides `memory_mb` megabytes among no more clients than `sockets` admits.
    pub fn new(memory_mb: u64, sockets: SocketBudget) -> Self {
        Self::with_clients(memory_mb, sockets.max_clients())
    }

    fn with_clients(memory_mb: u64, max_clients: usize) -> Self {
        let limit = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(BYTES_PER_MEGABYTE);
        let usable = limit / 100 * USABLE_PERCENT;
        let ids = MAX_ID_BYTES.min(limit / ID_FRACTION);
        let session_tokens = MAX_SESSION_TOKEN_BYTES.min(limit / SESSION_TOKEN_FRACTION);
        let fixed = PROCESS_BYTES + SECOND_PROCESS_BYTES + TABLE_FACTOR * (ids + session_tokens);
        let divided = usable.saturating_sub(fixed);
        let for_clients = divided.saturating_sub(usable / 100 * MIN_POOL_PERCENT);
        let max_clients = max_clients.min(MIN_CLIENTS.max(for_clients / CLIENT_TOTAL_BYTES));
        let pool = MIN_POOL_BYTES.max(divided.saturating_sub(max_clients * CLIENT_TOTAL_BYTES));
        Self { limit, max_clients, pool, ids, session_tokens }
    }

    /// Returns the sum of all parts, in bytes.
    pub fn sum(&self) -> usize {
        let tables = TABLE_FACTOR * (self.ids + self.session_tokens);
        PROCESS_BYTES + SECOND_PROCESS_BYTES + tables + self.max_clients * CLIENT_TOTAL_BYTES + self.pool
    }
}

impl Display for MemoryBudget {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { limit, max_clients, pool, ids, session_tokens } = self;
        let sum = self.sum();
        write!(f, "limit={limit} sum={sum} max_clients={max_clients} pool={pool} ids={ids} session_tokens={session_tokens}")
    }
}

/// Logs a warning if the limit is too low for all parts.
pub fn warn_of_low_limit(memory_mb: u64) {
    if memory_mb < MIN_MEMORY_MB {
        log::warn!("{}", low_limit_text(memory_mb));
    }
}

/// Returns the warning of a limit that is too low for all parts.
pub fn low_limit_text(memory_mb: u64) -> String {
    format!("limits.memory_mb is {memory_mb}, and the process may need more: {MIN_MEMORY_MB} is the least")
}

#[cfg(test)]
mod tests;
