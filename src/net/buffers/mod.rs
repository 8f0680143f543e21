//! Pooled buffers of one size, and chains of them for what is longer than one buffer.
//!
//! A buffer is taken from the pool when a socket has bytes to read, and returned when the bytes are no longer needed: a
//! peer that has sent nothing occupies none.

mod chain;
mod pool;
mod write;

pub use chain::BufferChain;
pub use pool::{BufferPool, BufferReservation, BUFFER_BYTES};
pub use write::write_all;
