//! A chain of pooled buffers.

use std::io;
use std::ops::Range;

use tokio::net::TcpStream;

use super::pool::{Buffer, BufferPool, BUFFER_BYTES};

/// Consecutive bytes in pooled buffers. All buffers are full but the last.
pub struct BufferChain {
    pool: BufferPool,
    buffers: Vec<Buffer>,
    len: usize,
}

impl BufferChain {
    pub(super) fn new(pool: BufferPool) -> Self {
        Self { pool, buffers: Vec::new(), len: 0 }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let free = self.free_space();
            let count = free.len().min(bytes.len());
            free[..count].copy_from_slice(&bytes[..count]);
            self.len += count;
            bytes = &bytes[count..];
        }
    }

    /// The bytes of a range, buffer by buffer.
    pub fn slices(&self, range: Range<usize>) -> impl Iterator<Item = &[u8]> {
        let start = range.start.min(self.len);
        let end = range.end.min(self.len);
        let buffers = self.buffers.iter().enumerate().skip(start / BUFFER_BYTES);
        buffers.map_while(move |(index, buffer)| {
            let buffer_start = index * BUFFER_BYTES;
            let from = start.max(buffer_start);
            let to = end.min(buffer_start + BUFFER_BYTES);
            (from < to).then(|| &buffer[from - buffer_start..to - buffer_start])
        })
    }

    /// Replaces the content of `target` by a copy of a range.
    pub fn copy(&self, range: Range<usize>, target: &mut Vec<u8>) {
        target.clear();
        self.slices(range).for_each(|slice| target.extend_from_slice(slice));
    }

    /// Returns all buffers to the pool.
    pub fn clear(&mut self) {
        self.len = 0;
        self.return_empty_buffers();
    }

    /// `N` bytes from `at` on, if there are that many.
    pub fn array<const N: usize>(&self, at: usize) -> Option<[u8; N]> {
        if at + N > self.len {
            return None;
        }
        let mut bytes = self.slices(at..at + N).flatten();
        Some(std::array::from_fn(|_| *bytes.next().expect("the range is inside the chain")))
    }

    /// Takes the first `count` bytes out, as a chain of their own.
    pub fn split_to(&mut self, count: usize) -> BufferChain {
        let mut rest = self.pool.chain();
        self.slices(count..self.len).for_each(|slice| rest.extend(slice));
        self.len = self.len.min(count);
        self.return_empty_buffers();
        std::mem::replace(self, rest)
    }

    /// Waits until the socket is readable and reads once; 0 is the end of the stream.
    ///
    /// # Errors
    ///
    /// Those of the socket.
    pub async fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            // A peer that always has more to read must leave the other tasks their turns.
            tokio::task::coop::consume_budget().await;
            stream.readable().await?;
            match self.try_read_from(stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    /// Reads what is available without waiting.
    ///
    /// # Errors
    ///
    /// Those of the socket, `WouldBlock` included.
    pub fn try_read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let read = stream.try_read(self.free_space());
        self.len += read.as_ref().map_or(0, |count| *count);
        self.return_empty_buffers();
        read
    }

    /// The space behind the last byte; never empty.
    fn free_space(&mut self) -> &mut [u8] {
        if self.len == self.buffers.len() * BUFFER_BYTES {
            self.buffers.push(self.pool.take());
        }
        let last = self.buffers.last_mut().expect("a buffer with free space was added");
        &mut last[self.len % BUFFER_BYTES..]
    }

    fn return_empty_buffers(&mut self) {
        let used = self.len.div_ceil(BUFFER_BYTES);
        self.pool.give_back(self.buffers.drain(used..));
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        self.pool.give_back(self.buffers.drain(..));
    }
}
