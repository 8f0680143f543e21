//! Discarding received bytes without a buffer for them.

use std::io;

use rustix::net::{recv, RecvFlags};
use tokio::io::Interest;
use tokio::net::TcpStream;

use super::pool::BufferPool;
use crate::net::retry::is_transient;
use crate::net::turn::{charge, Work};

/// Largest number of bytes that one call discards.
pub(super) const MAX_DISCARDED_BYTES: usize = 64 * 1024;

/// Waits until the socket is readable, and discards up to `max_bytes` of what it has received, which the kernel does
/// not copy. Returns the number of bytes; 0 is the end of the stream.
///
/// # Errors
///
/// Returns the error of the socket.
pub async fn discard_from(stream: &TcpStream, max_bytes: usize, pool: &BufferPool) -> io::Result<usize> {
    loop {
        charge(Work::SystemCall).await;
        stream.readable().await?;
        match try_discard_from(stream, max_bytes, pool) {
            Err(e) if is_transient(&e) => {}
            other => return other,
        }
    }
}

fn try_discard_from(stream: &TcpStream, max_bytes: usize, pool: &BufferPool) -> io::Result<usize> {
    let mut unused = pool.discard_buffer().borrow_mut();
    let unused = &mut unused[..max_bytes.min(MAX_DISCARDED_BYTES)];
    stream.try_io(Interest::READABLE, || {
        let (_, received) = recv(stream, unused, RecvFlags::TRUNC | RecvFlags::DONTWAIT)?;
        Ok(received)
    })
}
