//! Reservations of buffers, and the demand for such buffers by others.

use super::arena::BUFFER_BYTES;
use super::large_messages::ClaimId;
use super::pool::BufferPool;
use super::purpose::{Arrival, Purpose};

/// Buffers of the pool that are reserved and not used yet; released when dropped.
pub struct BufferReservation {
    pool: BufferPool,
    purpose: Purpose,
    buffers: usize,
    /// Claim of a large message, whose buffers are reserved in steps.
    claim: Option<ClaimId>,
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if let Some(claim) = self.claim {
            self.pool.end_claim(claim);
        }
        self.pool.uncharge(self.purpose, self.buffers);
    }
}

impl BufferReservation {
    pub(super) fn new(pool: BufferPool, purpose: Purpose, buffers: usize) -> Self {
        Self { pool, purpose, buffers, claim: None }
    }

    pub(super) fn with_claim(pool: BufferPool, claim: ClaimId) -> Self {
        Self { pool, purpose: Purpose::LargeMessage, buffers: 0, claim: Some(claim) }
    }

    pub(super) fn claim(&self) -> Option<ClaimId> {
        self.claim
    }

    pub(super) fn pool(&self) -> &BufferPool {
        &self.pool
    }

    /// Removes a buffer, if one is left. Returns the purpose to which it is charged.
    pub(super) fn take_buffer(&mut self) -> Option<Purpose> {
        self.buffers = self.buffers.checked_sub(1)?;
        Some(self.purpose)
    }

    /// Adds buffers that were charged to the purpose.
    pub(super) fn add(&mut self, buffers: usize) {
        self.buffers += buffers;
    }

    /// Returns the number of reserved buffers that are not used yet.
    pub fn buffers(&self) -> usize {
        self.buffers
    }

    /// Returns what the buffers are reserved for.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Reserves further buffers. Returns false, and reserves nothing, if they do not fit.
    pub fn try_extend(&mut self, buffers: usize) -> bool {
        let fits = self.pool.fits(buffers, self.purpose, Arrival::Complete);
        if fits {
            self.pool.charge(self.purpose, buffers);
            self.buffers += buffers;
        }
        fits
    }

    /// Returns all but `bytes` bytes to the pool, if more are reserved.
    pub fn shrink_to_bytes(&mut self, bytes: usize) {
        let released = self.buffers.saturating_sub(bytes.div_ceil(BUFFER_BYTES));
        self.buffers -= released;
        self.pool.uncharge(self.purpose, released);
    }

    /// Returns a handle that tells whether others wait for such buffers.
    pub fn demand(&self) -> Demand {
        Demand { pool: self.pool.clone(), purpose: self.purpose }
    }
}

/// The messages that wait for buffers of one purpose, or of one that competes with it.
pub struct Demand {
    pool: BufferPool,
    purpose: Purpose,
}

impl Demand {
    /// Waits until a message waits for a reservation.
    pub async fn wait(&self) {
        loop {
            let wait_begun = self.pool.wait_begun().notified();
            if self.purpose.competing().iter().any(|purpose| self.pool.is_awaited(*purpose)) {
                return;
            }
            wait_begun.await;
        }
    }
}
