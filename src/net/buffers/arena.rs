//! Memory of all pooled buffers, in segments.
//!
//! A segment is one allocation that is large enough to be mapped on its own, so that buffers leave no holes in the
//! heap, and so that a segment without a used buffer can be returned to the system. Buffers are taken from the first
//! segment that has a free one: the memory in use stays close together.

use std::collections::BTreeSet;

use bytes::BytesMut;

/// Size of a buffer in bytes. Most statements and responses fit into one buffer.
pub const BUFFER_BYTES: usize = 1024;
/// Number of idle buffers from which a segment that becomes idle is returned to the system: there are as many others.
const MIN_IDLE_BUFFERS_TO_RETURN: usize = 2 * SEGMENT_BUFFERS;
/// Number of buffers in a segment. With its header it is larger than the 128 KiB from which the allocator maps memory.
const SEGMENT_BUFFERS: usize = 128;

/// A buffer. Its owner returns it with [`Arena::release`].
pub(super) struct Buffer {
    bytes: BytesMut,
    segment: usize,
}

impl Buffer {
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub(super) fn bytes_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

/// Free buffers of a segment; `None` for a segment that was returned to the system.
type FreeBuffers = Option<Vec<BytesMut>>;

/// Segments with their free buffers.
#[derive(Default)]
pub(super) struct Arena {
    segments: Vec<FreeBuffers>,
    /// Segments that have a free buffer.
    open: BTreeSet<usize>,
    idle_buffers: usize,
    /// Whether a segment that becomes idle is returned to the system.
    returns_idle_segments: bool,
}

impl Arena {
    /// Returns a buffer, and allocates a segment if no buffer is free.
    pub(super) fn acquire(&mut self) -> Buffer {
        let segment = self.open.first().copied().unwrap_or_else(|| self.add_segment());
        let free = self.segments[segment].as_mut().expect("an open segment is allocated");
        let bytes = free.pop().expect("an open segment has a free buffer");
        if free.is_empty() {
            self.open.remove(&segment);
        }
        self.idle_buffers -= 1;
        Buffer { bytes, segment }
    }

    /// Takes a buffer back.
    pub(super) fn release(&mut self, buffer: Buffer) {
        let free = self.segments[buffer.segment].as_mut().expect("a segment with a used buffer is allocated");
        free.push(buffer.bytes);
        if free.len() == 1 {
            self.open.insert(buffer.segment);
        }
        self.idle_buffers += 1;
        if self.returns_idle_segments && self.idle_buffers >= MIN_IDLE_BUFFERS_TO_RETURN {
            self.free_if_idle(buffer.segment);
        }
    }

    /// Returns the number of free buffers in the allocated segments.
    pub(super) fn idle_buffers(&self) -> usize {
        self.idle_buffers
    }

    /// Returns the number of bytes of the allocated segments.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.segments.iter().flatten().count() * SEGMENT_BUFFERS * BUFFER_BYTES
    }

    /// Sets whether segments without a used buffer are returned to the system, now and whenever one becomes idle.
    pub(super) fn set_returns_idle_segments(&mut self, returns_idle_segments: bool) {
        self.returns_idle_segments = returns_idle_segments;
        if returns_idle_segments {
            (0..self.segments.len()).for_each(|segment| self.free_if_idle(segment));
        }
    }

    fn free_if_idle(&mut self, segment: usize) {
        let is_idle = self.segments[segment].as_ref().is_some_and(|free| free.len() == SEGMENT_BUFFERS);
        if is_idle {
            self.segments[segment] = None;
            self.open.remove(&segment);
            self.idle_buffers -= SEGMENT_BUFFERS;
        }
    }

    fn add_segment(&mut self) -> usize {
        // The system provides zeroed pages as they are first written.
        let mut memory = BytesMut::zeroed(SEGMENT_BUFFERS * BUFFER_BYTES);
        let mut free: Vec<_> = (0..SEGMENT_BUFFERS).map(|_| memory.split_to(BUFFER_BYTES)).collect();
        // The last of the list is used first, and used buffers are to share pages.
        free.reverse();
        let index = self.segments.iter().position(Option::is_none).unwrap_or(self.segments.len());
        if index == self.segments.len() {
            self.segments.push(None);
        }
        self.segments[index] = Some(free);
        self.open.insert(index);
        self.idle_buffers += SEGMENT_BUFFERS;
        index
    }
}
