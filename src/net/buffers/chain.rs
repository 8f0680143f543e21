//! Byte sequences in chains of pooled buffers.

use std::io;
use std::ops::Range;

use tokio::net::TcpStream;

use super::pool::{Buffer, BufferPool, BUFFER_BYTES};
use crate::net::retry::is_transient;
use crate::net::turn::{charge, Work};

/// A sequence of bytes in pooled buffers. All buffers except the last are filled to their ends.
pub struct BufferChain {
    pool: BufferPool,
    buffers: Vec<Buffer>,
    /// Offset of the first byte in the first buffer; less than [`BUFFER_BYTES`].
    start: usize,
    len: usize,
}

impl BufferChain {
    pub(super) fn new(pool: BufferPool) -> Self {
        Self { pool, buffers: Vec::new(), start: 0, len: 0 }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the chain holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a copy of `bytes`, in buffers from the pool.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let free = self.free_space();
            let count = free.len().min(bytes.len());
            free[..count].copy_from_slice(&bytes[..count]);
            self.len += count;
            bytes = &bytes[count..];
        }
    }

    /// Returns the bytes of `range` as one slice per buffer. Cuts the range off at the end of the chain.
    pub fn slices(&self, range: Range<usize>) -> impl Iterator<Item = &[u8]> {
        let start = self.start + range.start.min(self.len);
        let end = self.start + range.end.min(self.len);
        let buffers = self.buffers.iter().enumerate().skip(start / BUFFER_BYTES);
        buffers.map_while(move |(index, buffer)| {
            let buffer_start = index * BUFFER_BYTES;
            let from = start.max(buffer_start);
            let to = end.min(buffer_start + BUFFER_BYTES);
            (from < to).then(|| &buffer[from - buffer_start..to - buffer_start])
        })
    }

    /// Replaces the content of `target` by a copy of the bytes in `range`.
    pub fn copy(&self, range: Range<usize>, target: &mut Vec<u8>) {
        target.clear();
        self.slices(range).for_each(|slice| target.extend_from_slice(slice));
    }

    /// Removes all bytes and returns their buffers to the pool.
    pub fn clear(&mut self) {
        self.len = 0;
        self.release_empty_buffers();
    }

    /// Returns the `N` bytes at offset `at`, or `None` if the chain ends before them.
    pub fn array<const N: usize>(&self, at: usize) -> Option<[u8; N]> {
        if at + N > self.len {
            return None;
        }
        let mut bytes = self.slices(at..at + N).flatten();
        Some(std::array::from_fn(|_| *bytes.next().expect("the range is inside the chain")))
    }

    /// Removes the first `count` bytes and returns them as a separate chain. Copies the shorter part.
    pub fn split_to(&mut self, count: usize) -> BufferChain {
        let count = count.min(self.len);
        let is_front_shorter = count < self.len - count;
        let copied_range = if is_front_shorter { 0..count } else { count..self.len };
        let mut copied = self.pool.chain();
        self.slices(copied_range).for_each(|slice| copied.extend(slice));
        if is_front_shorter {
            self.remove_front(count);
            return copied;
        }
        self.len = count;
        self.release_empty_buffers();
        std::mem::replace(self, copied)
    }

    fn remove_front(&mut self, count: usize) {
        let start = self.start + count;
        self.pool.release(self.buffers.drain(..start / BUFFER_BYTES));
        self.start = start % BUFFER_BYTES;
        self.len -= count;
    }

    /// Waits until the socket is readable and reads once. Returns the number of bytes; 0 is the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket.
    pub async fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            charge(Work::SystemCall).await;
            stream.readable().await?;
            match self.try_read_from(stream) {
                Err(e) if is_transient(&e) => {}
                other => return other,
            }
        }
    }

    /// Reads once without waiting. Returns the number of bytes; 0 is the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, which is `WouldBlock` if no bytes are available.
    pub fn try_read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let read = stream.try_read(self.free_space());
        self.len += read.as_ref().map_or(0, |count| *count);
        self.release_empty_buffers();
        read
    }

    /// Returns the free space after the last byte, adding a buffer if there is none. Never empty.
    fn free_space(&mut self) -> &mut [u8] {
        let end = self.start + self.len;
        if end == self.buffers.len() * BUFFER_BYTES {
            self.buffers.push(self.pool.acquire());
        }
        let last = self.buffers.last_mut().expect("a buffer with free space was added");
        &mut last[end % BUFFER_BYTES..]
    }

    fn release_empty_buffers(&mut self) {
        if self.len == 0 {
            self.start = 0;
        }
        let used = (self.start + self.len).div_ceil(BUFFER_BYTES);
        self.pool.release(self.buffers.drain(used..));
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        self.pool.release(self.buffers.drain(..));
    }
}
