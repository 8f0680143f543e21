//! Vectored writes.

use std::io::{self, IoSlice};

use tokio::net::TcpStream;

use super::chain::BufferChain;
use crate::net::retry::is_transient;
use crate::net::turn::{charge, Work};

/// Largest number of slices that one call writes of a chain.
const MAX_SLICES: usize = 64;

/// Writes all bytes of all slices, waiting while the socket is not writable.
///
/// # Errors
///
/// Returns the error of the socket, or `WriteZero` if the socket accepts no more bytes.
pub async fn write_all(stream: &TcpStream, slices: &mut [IoSlice<'_>]) -> io::Result<()> {
    let mut remaining = slices;
    IoSlice::advance_slices(&mut remaining, 0);
    while !remaining.is_empty() {
        let written = write_once(stream, remaining).await?;
        IoSlice::advance_slices(&mut remaining, written);
    }
    Ok(())
}

/// Writes all bytes of a chain. Returns the buffers of written bytes to the pool, so that a peer that reads slowly
/// occupies only what it has not taken yet.
///
/// # Errors
///
/// Returns the error of the socket, or `WriteZero` if the socket accepts no more bytes.
pub async fn write_chain(stream: &TcpStream, chain: &mut BufferChain) -> io::Result<()> {
    while !chain.is_empty() {
        let written = {
            let slices: Vec<_> = chain.slices(0..chain.len()).take(MAX_SLICES).map(IoSlice::new).collect();
            write_once(stream, &slices).await?
        };
        chain.remove_front(written);
    }
    Ok(())
}

/// Writes once, as soon as the socket is writable. Returns the number of bytes.
async fn write_once(stream: &TcpStream, slices: &[IoSlice<'_>]) -> io::Result<usize> {
    loop {
        charge(Work::SystemCall).await;
        match stream.try_write_vectored(slices) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Err(e) if is_transient(&e) => stream.writable().await?,
            result => return result,
        }
    }
}
