//! Discarding received bytes without a buffer for each connection.

use std::io;

use tokio::net::TcpStream;

use super::pool::BufferPool;
use crate::net::retry::is_transient;
use crate::net::turn::{charge, Work};

/// Largest number of bytes that one call discards.
pub(super) const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Waits until the socket is readable, reads up to `max_bytes` and discards them. Returns the number of bytes; 0 is
/// the end of the stream.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn discard_from(stream: &TcpStream, max_bytes: usize, pool: &BufferPool) -> io::Result<usize> {
    loop {
        charge(Work::SystemCall).await;
        stream.readable().await?;
        let read = {
            let mut discarded = pool.discard_buffer().borrow_mut();
            stream.try_read(&mut discarded[..max_bytes.min(MAX_DISCARDED_BYTES)])
        };
        match read {
            Err(e) if is_transient(&e) => {}
            other => return other,
        }
    }
}
