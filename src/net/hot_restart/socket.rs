//! Reads and writes on a Unix stream socket, with file descriptors as ancillary data.
//!
//! This module holds no state. A read requests no more bytes than the caller's buffer holds, so that a
//! descriptor is received together with the bytes that it was sent with.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};

use rustix::io::retry_on_intr;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::UnixStream;

use crate::net::retry::is_transient;
use crate::net::turn::{charge, Work};

/// Largest number of bytes per read.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Result of one read.
pub(super) struct Received {
    /// Number of bytes read; 0 at the end of the stream.
    pub length: usize,
    /// Descriptor that was sent with these bytes.
    pub descriptor: Option<OwnedFd>,
}

/// Sends as many of the bytes as one system call takes, and the descriptor, if any, with the first byte.
/// Returns the number of bytes sent.
pub(super) async fn send_with_descriptor(
    stream: &UnixStream,
    bytes: &[u8],
    descriptor: Option<BorrowedFd<'_>>,
) -> io::Result<usize> {
    let descriptors: Vec<_> = descriptor.into_iter().collect();
    let write = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() {
            control.push(SendAncillaryMessage::ScmRights(&descriptors));
        }
        let slices = [IoSlice::new(bytes)];
        Ok(retry_on_intr(|| sendmsg(stream, &slices, &mut control, SendFlags::NOSIGNAL))?)
    };
    stream.async_io(Interest::WRITABLE, write).await
}

/// Sends all bytes.
pub(super) async fn write_all(stream: &UnixStream, bytes: &[u8]) -> io::Result<()> {
    let mut sent = 0;
    while sent < bytes.len() {
        charge(Work::SystemCall).await;
        stream.writable().await?;
        match stream.try_write(&bytes[sent..]) {
            Ok(length) => sent += length,
            Err(e) if is_transient(&e) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

/// Reads at most `buffer.len()` bytes and the descriptor that was sent with them.
pub(super) async fn receive_with_descriptor(stream: &UnixStream, buffer: &mut [u8]) -> io::Result<Received> {
    charge(Work::SystemCall).await;
    let read = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut slices = [IoSliceMut::new(buffer)];
        let message = retry_on_intr(|| recvmsg(stream, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC))?;
        let mut descriptors = control.drain().filter_map(|ancillary| match ancillary {
            RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
            _ => None,
        });
        Ok(Received { length: message.bytes, descriptor: descriptors.next() })
    };
    stream.async_io(Interest::READABLE, read).await
}

/// Reads exactly `length` bytes. Allocates memory only as bytes arrive, since `length` comes from the peer.
pub(super) async fn read_exactly(stream: &UnixStream, length: usize) -> io::Result<Vec<u8>> {
    let mut content = Vec::new();
    let mut chunk = [0; READ_CHUNK_BYTES];
    while content.len() < length {
        charge(Work::SystemCall).await;
        stream.readable().await?;
        let wanted = chunk.len().min(length - content.len());
        match stream.try_read(&mut chunk[..wanted]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(received) => content.extend_from_slice(&chunk[..received]),
            Err(e) if is_transient(&e) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(content)
}

/// Waits until the stream ends or fails. Discards bytes that are received meanwhile.
pub(super) async fn wait_until_closed(stream: &UnixStream) {
    while stream.readable().await.is_ok() {
        charge(Work::SystemCall).await;
        match stream.try_read(&mut [0; 4096]) {
            Ok(length) if length > 0 => {}
            Err(e) if is_transient(&e) => {}
            _ => return,
        }
    }
}
