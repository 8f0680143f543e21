//! Byte sequences in chains of pooled buffers.

use std::collections::VecDeque;
use std::io::{self, IoSliceMut};
use std::ops::Range;

use tokio::net::TcpStream;

use super::arena::BUFFER_BYTES;
use super::pool::{BufferPool, ChargedBuffer};
use super::purpose::Purpose;
use super::reservation::BufferReservation;
use crate::net::retry::is_transient;
use crate::net::turn::{charge, Work};

/// Number of buffers that a chain may hold without a reservation.
const UNCHARGED_BUFFERS: usize = 1;
/// Largest number of bytes that one call reads.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Capacity of the list of buffers that an empty chain may keep.
const MAX_IDLE_CAPACITY: usize = 16;

/// A sequence of bytes in pooled buffers. All buffers except the last are filled to their ends.
///
/// A chain reads into one buffer without a reservation. It reads more only into buffers that were reserved for it.
pub struct BufferChain {
    pool: BufferPool,
    buffers: VecDeque<ChargedBuffer>,
    /// Number of buffers in the chain that belong to no reservation.
    uncharged: usize,
    /// Buffers that are reserved for further bytes; `None` while one buffer suffices.
    reservation: Option<BufferReservation>,
    /// Offset of the first byte in the first buffer; less than [`BUFFER_BYTES`].
    start: usize,
    len: usize,
}

impl BufferChain {
    pub(super) fn new(pool: BufferPool) -> Self {
        Self { pool, buffers: VecDeque::new(), uncharged: 0, reservation: None, start: 0, len: 0 }
    }

    /// Returns the pool of the chain's buffers.
    pub fn pool(&self) -> &BufferPool {
        &self.pool
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the chain holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of further bytes that can be read without another reservation.
    pub fn free_bytes(&self) -> usize {
        // Bytes in a single buffer can be moved to its start.
        let consumed = if self.buffers.len() == 1 { 0 } else { self.start };
        let unused = self.buffers.len() * BUFFER_BYTES - (consumed + self.len);
        let reserved = self.reservation.as_ref().map_or(0, BufferReservation::buffers);
        unused + (UNCHARGED_BUFFERS.saturating_sub(self.uncharged) + reserved) * BUFFER_BYTES
    }

    /// Returns whether no further byte can be read without another reservation.
    pub fn is_full(&self) -> bool {
        self.free_bytes() == 0
    }

    /// Returns the number of buffers that are missing for `bytes` further bytes.
    pub fn missing_buffers(&self, bytes: usize) -> usize {
        bytes.saturating_sub(self.free_bytes()).div_ceil(BUFFER_BYTES)
    }

    /// Lets the chain read into the buffers of a reservation. Replaces its previous reservation.
    pub fn attach(&mut self, reservation: BufferReservation) {
        self.reservation = Some(reservation);
    }

    /// Reserves what is missing for `bytes` further bytes. Returns false, and reserves nothing, if that does not fit.
    pub fn try_reserve(&mut self, bytes: usize, purpose: Purpose) -> bool {
        let missing = self.missing_buffers(bytes);
        if missing == 0 {
            return true;
        }
        match &mut self.reservation {
            Some(reservation) if reservation.purpose() == purpose => reservation.try_extend(missing),
            reservation => match self.pool.try_reserve(missing, purpose) {
                Some(reserved) => {
                    *reservation = Some(reserved);
                    true
                }
                None => false,
            },
        }
    }

    /// Returns the buffers that are reserved and not used yet.
    pub fn reservation(&self) -> Option<&BufferReservation> {
        self.reservation.as_ref()
    }

    /// Removes and returns the buffers that are reserved and not used yet.
    pub fn take_reservation(&mut self) -> Option<BufferReservation> {
        self.reservation.take()
    }

    /// Returns the reserved buffers that are not used to the pool.
    pub fn drop_reservation(&mut self) {
        self.reservation = None;
    }

    /// Appends a copy of `bytes`, in buffers from the pool.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let end = self.start + self.len;
            if end == self.buffers.len() * BUFFER_BYTES {
                self.push_buffer();
            }
            let last = self.buffers.back_mut().expect("a buffer with free space was added");
            let free = &mut last.bytes_mut()[end % BUFFER_BYTES..];
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
        let first = start / BUFFER_BYTES;
        let buffers = self.buffers.range(first.min(self.buffers.len())..);
        buffers.zip(first..).map_while(move |(buffer, index)| {
            let buffer_start = index * BUFFER_BYTES;
            let from = start.max(buffer_start);
            let to = end.min(buffer_start + BUFFER_BYTES);
            (from < to).then(|| &buffer.bytes()[from - buffer_start..to - buffer_start])
        })
    }

    /// Replaces the content of `target` by a copy of the bytes in `range`.
    pub fn copy(&self, range: Range<usize>, target: &mut Vec<u8>) {
        target.clear();
        self.slices(range).for_each(|slice| target.extend_from_slice(slice));
    }

    /// Removes all bytes and returns their buffers to the pool.
    pub fn clear(&mut self) {
        self.truncate(0);
    }

    /// Removes the bytes behind the first `len` bytes.
    pub fn truncate(&mut self, len: usize) {
        self.len = self.len.min(len);
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

    /// Removes the first `count` bytes and returns them as a separate chain, together with the buffers that hold
    /// them. Copies no more than one buffer.
    pub fn split_to(&mut self, count: usize) -> BufferChain {
        let count = count.min(self.len);
        let mut front = self.pool.chain();
        let end = self.start + count;
        let first_kept = if count == self.len { self.buffers.len() } else { end / BUFFER_BYTES };
        if first_kept > 0 {
            front.start = self.start;
            front.len = count.min(first_kept * BUFFER_BYTES - self.start);
            front.buffers.extend(self.buffers.drain(..first_kept));
            front.uncharged = front.buffers.iter().filter(|buffer| buffer.is_uncharged()).count();
            self.uncharged -= front.uncharged;
        }
        let copied = count - front.len;
        if copied > 0 {
            let from = end % BUFFER_BYTES - copied;
            front.extend(&self.buffers[0].bytes()[from..from + copied]);
        }
        self.len -= count;
        self.start = if self.buffers.is_empty() { 0 } else { end % BUFFER_BYTES };
        self.release_empty_buffers();
        front
    }

    /// Removes the first `count` bytes and returns their buffers to the pool.
    pub fn remove_front(&mut self, count: usize) {
        let count = count.min(self.len);
        let end = self.start + count;
        for _ in 0..end / BUFFER_BYTES {
            self.pop_front_buffer();
        }
        self.start = end % BUFFER_BYTES;
        self.len -= count;
        self.release_empty_buffers();
    }

    /// Removes the bytes in `range`, and moves those behind it forward.
    pub fn remove(&mut self, range: Range<usize>) {
        let mut from = range.end.min(self.len);
        let mut to = range.start.min(from);
        let removed = from - to;
        let mut moved = [0; BUFFER_BYTES];
        while from < self.len {
            let slice = self.slices(from..self.len).next().expect("bytes follow the range");
            let free = BUFFER_BYTES - (self.start + to) % BUFFER_BYTES;
            let count = slice.len().min(free);
            moved[..count].copy_from_slice(&slice[..count]);
            let target = &mut self.buffers[(self.start + to) / BUFFER_BYTES];
            let offset = (self.start + to) % BUFFER_BYTES;
            target.bytes_mut()[offset..offset + count].copy_from_slice(&moved[..count]);
            from += count;
            to += count;
        }
        self.truncate(self.len - removed);
    }

    /// Waits until the socket is readable and reads once. Returns the number of bytes; 0 is the end of the
    /// stream.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, or `OutOfMemory` if the chain is full.
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
    /// Returns the error of the socket, which is `WouldBlock` if no bytes are available, or `OutOfMemory` if the
    /// chain is full.
    pub fn try_read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let count = self.free_bytes().min(MAX_READ_BYTES);
        if count == 0 {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.move_to_start();
        let end = self.start + self.len;
        while self.buffers.len() * BUFFER_BYTES < end + count {
            self.push_buffer();
        }
        let first = end / BUFFER_BYTES;
        let read = if first + 1 == self.buffers.len() {
            stream.try_read(&mut self.buffers[first].bytes_mut()[end % BUFFER_BYTES..])
        } else {
            let mut offset = end % BUFFER_BYTES;
            let free = self.buffers.range_mut(first..);
            let mut slices: Vec<_> = free
                .map(|buffer| IoSliceMut::new(&mut buffer.bytes_mut()[std::mem::take(&mut offset)..]))
                .collect();
            stream.try_read_vectored(&mut slices)
        };
        self.len += read.as_ref().map_or(0, |count| *count);
        self.release_empty_buffers();
        read
    }

    /// Moves the bytes of a chain with a single buffer to the start of that buffer.
    fn move_to_start(&mut self) {
        if self.start > 0 && self.buffers.len() == 1 {
            self.buffers[0].bytes_mut().copy_within(self.start..self.start + self.len, 0);
            self.start = 0;
        }
    }

    /// Adds an empty buffer: one without a charge if the chain has none, else a reserved one.
    fn push_buffer(&mut self) {
        let reservation = self.reservation.as_mut().filter(|_| self.uncharged >= UNCHARGED_BUFFERS);
        let buffer = self.pool.acquire(reservation);
        self.uncharged += usize::from(buffer.is_uncharged());
        self.buffers.push_back(buffer);
    }

    fn pop_front_buffer(&mut self) {
        if let Some(buffer) = self.buffers.pop_front() {
            self.uncharged -= usize::from(buffer.is_uncharged());
            self.pool.release(buffer, None);
        }
    }

    /// Releases the buffers behind the last byte. Reserved ones stay reserved for this chain.
    fn release_empty_buffers(&mut self) {
        if self.len == 0 {
            self.start = 0;
        }
        let used = (self.start + self.len).div_ceil(BUFFER_BYTES);
        while self.buffers.len() > used {
            let Some(buffer) = self.buffers.pop_back() else { break };
            self.uncharged -= usize::from(buffer.is_uncharged());
            self.pool.release(buffer, self.reservation.as_mut());
        }
        if self.buffers.is_empty() {
            self.buffers.shrink_to(MAX_IDLE_CAPACITY);
        }
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        for buffer in self.buffers.drain(..) {
            self.pool.release(buffer, None);
        }
    }
}

#[cfg(test)]
mod tests;
