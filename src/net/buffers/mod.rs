//! Pooled buffers of a fixed size, and chains of buffers for messages that are longer than one buffer.
//!
//! A buffer is acquired from the pool when a socket has bytes to read, and released when the bytes are no
//! longer needed. A peer that has sent nothing occupies no buffer. All bytes of peers are in such buffers: a chain
//! reads into more than one only if the pool has reserved them for it.

mod arena;
mod chain;
mod discard;
mod large_messages;
mod pool;
mod purpose;
mod reservation;
#[cfg(test)]
mod test_support;
mod usage;
mod write;

pub use arena::BUFFER_BYTES;
pub use chain::BufferChain;
pub use discard::discard_from;
pub use pool::BufferPool;
pub use purpose::{Arrival, Purpose, MAX_CLIENT_SEND_BUFFER_BYTES};
pub use reservation::{BufferReservation, Demand};
pub use usage::PoolUsage;
pub use write::{write_all, write_chain};
