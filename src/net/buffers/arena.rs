//! Memory of all pooled buffers, in segments.
//!
//! A segment is one allocation that is large enough to be mapped on its own, so that buffers leave no holes in the
//! heap, and so that a segment without a used buffer can be returned to the system. Buffers are taken from the first
//! segment that has a free one: the memory in use stays close together.

use std::collections::BTreeSet;

use bytes::BytesMut;

/// Size of a buffer in bytes. Most statements and responses fit into one buffer.
pub const BUFFER_BYTES: usize = 1024;
/// Number of buffers in a segment. The segment is larger than the threshold from which the allocator maps memory.
const SEGMENT_BUFFERS: usize = 256;

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
    }

    /// Returns the number of free buffers in the allocated segments.
    pub(super) fn idle_buffers(&self) -> usize {
        self.idle_buffers
    }

    /// Returns the number of bytes of the allocated segments.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.segments.iter().flatten().count() * SEGMENT_BUFFERS * BUFFER_BYTES
    }

    /// Returns the segments without a used buffer to the system.
    pub(super) fn free_idle_segments(&mut self) {
        for (index, segment) in self.segments.iter_mut().enumerate() {
            if segment.as_ref().is_some_and(|free| free.len() == SEGMENT_BUFFERS) {
                *segment = None;
                self.open.remove(&index);
                self.idle_buffers -= SEGMENT_BUFFERS;
            }
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
