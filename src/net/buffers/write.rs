//! Vectored writes.

use std::io::{self, IoSlice};

use tokio::net::TcpStream;

use crate::net::retry::is_transient;
use crate::net::turn::{charge, Work};

/// Writes all bytes of all slices, waiting while the socket is not writable.
///
/// # Errors
///
/// Returns the error of the socket, or `WriteZero` if the socket accepts no more bytes.
pub async fn write_all(stream: &TcpStream, slices: &mut [IoSlice<'_>]) -> io::Result<()> {
    let mut remaining = slices;
    IoSlice::advance_slices(&mut remaining, 0);
    while !remaining.is_empty() {
        charge(Work::SystemCall).await;
        match stream.try_write_vectored(remaining) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => IoSlice::advance_slices(&mut remaining, written),
            Err(e) if is_transient(&e) => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
