//! The side of a client's connection that is read: its bytes, when each came, and whether the client is still there.
//!
//! Owns the bytes that were read and not used yet, their times, the look at a client that may have gone, and the
//! orderly close. It must never look into the bytes, nor read further ahead than one buffer.

use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::net::buffers::{self, BufferChain, BufferPool};
use crate::net::driver::ClientHandle;

/// Reads so close to each other count as one; less than that tells no two requests' times apart.
const ONE_READ: Duration = Duration::from_millis(2);
/// Time between looks at a client that has sent more ahead than is read.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time for which what a client still sends is read after the last answer, so that it gets that answer.
const LINGER: Duration = Duration::from_secs(1);
/// Bytes of it that are read at the most.
const LINGER_BYTES: usize = 1 << 20;

/// A client's connection, as it is read.
pub struct Inbound {
    stream: Rc<TcpStream>,
    bytes: BufferChain,
    /// How many bytes came in each read, and when, the first one first.
    reads: VecDeque<(usize, Instant)>,
}

impl ClientHandle for TcpStream {
    /// Asks the system, which knows of a close before anything is read, and behind any bytes that it still holds.
    fn is_gone(&self) -> bool {
        let mut looks = [PollFd::new(self, PollFlags::RDHUP)];
        poll(&mut looks, Some(&Timespec::default())).is_ok_and(|found| found > 0)
    }
}

impl Inbound {
    /// Nothing was read yet.
    pub fn new(stream: Rc<TcpStream>, pool: &BufferPool) -> Self {
        Self { stream, bytes: pool.chain(), reads: VecDeque::new() }
    }

    /// What was read and is not used yet.
    pub fn bytes(&self) -> &BufferChain {
        &self.bytes
    }

    /// Waits until there is something to read and reads once; 0 is the end of the stream.
    pub async fn fill(&mut self) -> io::Result<usize> {
        let read = self.bytes.read_from(&self.stream).await?;
        let now = Instant::now();
        match self.reads.back_mut().filter(|(_, at)| now - *at < ONE_READ) {
            Some((bytes, _)) => *bytes += read,
            None => self.reads.push_back((read, now)),
        }
        Ok(read)
    }

    /// Takes the first `n` bytes out, with the time at which the last of them came.
    pub fn split_to(&mut self, n: usize) -> (BufferChain, Instant) {
        let (mut left, mut came) = (n, Instant::now());
        while let Some((bytes, at)) = self.reads.front_mut().filter(|_| left > 0) {
            came = *at;
            let used = left.min(*bytes);
            (left, *bytes) = (left - used, *bytes - used);
            if *bytes == 0 {
                self.reads.pop_front();
            }
        }
        (self.bytes.split_to(n), came)
    }

    /// Waits until the client is gone. What it sends ahead meanwhile is read up to one buffer; the system keeps the rest.
    pub async fn gone(&mut self) {
        loop {
            if self.bytes.len() < buffers::BUFFER_BYTES {
                if !self.fill().await.is_ok_and(|read| read > 0) {
                    return;
                }
            } else if self.stream.is_gone() {
                return;
            } else {
                sleep(LOOK_EVERY).await;
            }
        }
    }

    /// Ends the connection in order: says that no more answers come, then reads what the client still sends, for a
    /// bounded time. A close over unread bytes would reset the connection and take the last answer with it. What is
    /// read here was sent to a connection that had ended, and is served by none: its client asks again elsewhere.
    pub async fn close(&mut self) {
        if SockRef::from(&*self.stream).shutdown(Shutdown::Write).is_err() {
            return; // the client has ended it
        }
        let drain = async {
            let mut left = LINGER_BYTES;
            while left > 0 {
                self.bytes.clear();
                match self.bytes.read_from(&self.stream).await {
                    Ok(read) if read > 0 => left = left.saturating_sub(read),
                    _ => return,
                }
            }
        };
        let _ = timeout(LINGER, drain).await;
    }
}
