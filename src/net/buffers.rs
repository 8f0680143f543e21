//! Buffers of one size, used again from a pool, and chains of them for what is longer than one.
//!
//! Owns the memory that bytes on their way through the proxy lie in, and says when it runs short. It must never
//! grow for a peer that has not sent anything: a buffer is taken once a socket has bytes to read, and goes back
//! when they are done with.

use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::ops::Range;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::{Mutex, Notify};

/// Size of each buffer; most statements and answers fit into one.
pub const SIZE: usize = 8192;
/// Buffers kept for later use; what comes back beyond that is freed.
const KEPT: usize = 512;

type Buffer = Box<[u8; SIZE]>;

/// Parts of the buffers that long messages and very long ones may fill, so that neither keeps out the other, nor
/// what fits into one buffer.
const GATES: [f64; 2] = [0.125, 0.75];
/// Bytes from which on a message is very long.
const VERY_LONG: usize = 128 * 1024;

/// Where buffers come from and go back to.
#[derive(Clone)]
pub struct BufferPool(Rc<Shared>);

struct Shared {
    stock: RefCell<Stock>,
    gates: [Gate; GATES.len()],
}

/// Where messages of one order of length wait for room, the first one first.
#[derive(Default)]
struct Gate {
    turn: Mutex<()>,
    held: Cell<usize>,
    freed: Notify,
}

/// Room for a message, until it is done with.
pub struct BufferReservation {
    pool: BufferPool,
    gate: usize,
    bytes: usize,
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        let gate = &self.pool.0.gates[self.gate];
        gate.held.set(gate.held.get() - self.bytes);
        gate.freed.notify_one();
    }
}

struct Stock {
    unused: Vec<Buffer>,
    /// Buffers that may be lent, and the part of them that counts now.
    most: usize,
    part: f64,
}

impl Default for BufferPool {
    /// A pool whose buffers are never short.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl BufferPool {
    /// A pool that is meant to lend so many bytes at the most.
    pub fn new(bytes: usize) -> Self {
        let stock = RefCell::new(Stock { unused: Vec::new(), most: bytes / SIZE, part: 1.0 });
        Self(Rc::new(Shared { stock, gates: Default::default() }))
    }

    /// Waits until there is room for a message of this length. One buffer for each socket is always to be had;
    /// whoever wants more asks first, for all of it: guards against messages that each hold half of what they
    /// need. One is let in where none is, however long.
    pub async fn reserve(&self, bytes: usize) -> BufferReservation {
        let number = usize::from(bytes >= VERY_LONG);
        let gate = &self.0.gates[number];
        let _turn = gate.turn.lock().await;
        while gate.held.get() > 0 && gate.held.get() + bytes > self.most(GATES[number]) {
            gate.freed.notified().await;
        }
        gate.held.set(gate.held.get() + bytes);
        BufferReservation { pool: self.clone(), gate: number, bytes }
    }

    fn most(&self, part: f64) -> usize {
        let stock = self.0.stock.borrow();
        (stock.most as f64 * stock.part * part) as usize * SIZE
    }

    /// Leaves all but this part of the buffers to another process.
    pub fn set_share(&self, part: f64) {
        self.0.stock.borrow_mut().part = part;
        self.0.gates.iter().for_each(|gate| gate.freed.notify_one());
    }

    /// An empty chain that takes its buffers from here.
    pub fn chain(&self) -> BufferChain {
        BufferChain { pool: self.clone(), buffers: Vec::new(), len: 0 }
    }

    /// How many buffers lie unused.
    pub fn free_bytes(&self) -> usize {
        self.0.stock.borrow().unused.len()
    }

    fn take(&self) -> Buffer {
        let mut stock = self.0.stock.borrow_mut();
        stock.unused.pop().unwrap_or_else(|| Box::new([0; SIZE]))
    }

    fn give_back(&self, buffers: impl Iterator<Item = Buffer>) {
        let mut stock = self.0.stock.borrow_mut();
        for buffer in buffers {
            if stock.unused.len() < KEPT {
                stock.unused.push(buffer);
            }
        }
    }
}

/// Bytes in a row of pooled buffers, all full but the last.
pub struct BufferChain {
    pool: BufferPool,
    buffers: Vec<Buffer>,
    len: usize,
}

impl BufferChain {
    /// How many bytes it holds.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends bytes.
    pub fn extend(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let space = self.space();
            let n = space.len().min(bytes.len());
            space[..n].copy_from_slice(&bytes[..n]);
            self.len += n;
            bytes = &bytes[n..];
        }
    }

    /// The bytes of a range, as the pieces they lie in.
    pub fn slices(&self, range: Range<usize>) -> impl Iterator<Item = &[u8]> {
        let Range { start, end } = range.start.min(self.len)..range.end.min(self.len);
        let buffers = self.buffers.iter().enumerate().skip(start / SIZE);
        buffers.map_while(move |(i, buffer)| {
            let (from, to) = (start.max(i * SIZE), end.min((i + 1) * SIZE));
            (from < to).then(|| &buffer[from - i * SIZE..to - i * SIZE])
        })
    }

    /// Copies a range into `to`, which is emptied first.
    pub fn copy(&self, range: Range<usize>, to: &mut Vec<u8>) {
        to.clear();
        self.slices(range).for_each(|piece| to.extend_from_slice(piece));
    }

    /// Gives all its buffers back.
    pub fn clear(&mut self) {
        self.len = 0;
        self.trim();
    }

    /// The first bytes as an array, if there are that many from `at` on.
    pub fn array<const N: usize>(&self, at: usize) -> Option<[u8; N]> {
        if at + N > self.len {
            return None;
        }
        let mut bytes = self.slices(at..at + N).flatten();
        Some(std::array::from_fn(|_| *bytes.next().expect("the range is inside the chain")))
    }

    /// Takes the first `n` bytes out, as a chain of their own.
    pub fn split_to(&mut self, n: usize) -> BufferChain {
        let mut rest = self.pool.chain();
        self.slices(n..self.len).for_each(|piece| rest.extend(piece));
        self.len = self.len.min(n);
        self.trim();
        std::mem::replace(self, rest)
    }

    /// Waits until there is something to read and reads once; 0 is the end of the stream.
    pub async fn read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            // Guards against a peer that always has more to read: the others must have their turns.
            tokio::task::coop::consume_budget().await;
            stream.readable().await?;
            match self.try_read_from(stream) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                other => return other,
            }
        }
    }

    /// Reads what is there at once.
    pub fn try_read_from(&mut self, stream: &TcpStream) -> io::Result<usize> {
        let read = stream.try_read(self.space());
        self.len += read.as_ref().map_or(0, |n| *n);
        self.trim();
        read
    }

    /// Room behind the last byte.
    fn space(&mut self) -> &mut [u8] {
        if self.len == self.buffers.len() * SIZE {
            self.buffers.push(self.pool.take());
        }
        let last = self.buffers.last_mut().expect("a buffer with room was added");
        &mut last[self.len % SIZE..]
    }

    /// Gives back the buffers that hold nothing.
    fn trim(&mut self) {
        let used = self.len.div_ceil(SIZE);
        self.pool.give_back(self.buffers.drain(used..));
    }
}

impl Drop for BufferChain {
    fn drop(&mut self) {
        self.pool.give_back(self.buffers.drain(..));
    }
}

/// Writes all pieces.
pub async fn write_all(stream: &TcpStream, pieces: &mut [IoSlice<'_>]) -> io::Result<()> {
    let mut left = pieces;
    IoSlice::advance_slices(&mut left, 0);
    while !left.is_empty() {
        match stream.try_write_vectored(left) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(n) => IoSlice::advance_slices(&mut left, n),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
