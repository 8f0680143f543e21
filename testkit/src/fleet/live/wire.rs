//! PostgreSQL's messages as stand-ins read and write them on sockets that may be given up at any byte.
//!
//! Owns the bytes that were read and not used yet, so that waiting for more of them can be given up at any time. It must
//! never hold more than one message of a bounded length.

use std::io;

use tokio::net::TcpStream;

/// The longest message that any trial sends.
const LONGEST: usize = 64 * 1024;

/// A connection, and what was read of it.
pub struct Wire {
    pub stream: TcpStream,
    read: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, read: Vec::new() })
    }

    /// Reads on; an error at the end of the connection. May be given up at any time.
    async fn more(&mut self) -> io::Result<()> {
        loop {
            self.stream.readable().await?;
            let mut piece = [0; 4096];
            match self.stream.try_read(&mut piece) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => {
                    self.read.extend_from_slice(&piece[..n]);
                    return Ok(());
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    }

    /// Whether nothing was read that is not used.
    pub fn is_empty(&self) -> bool {
        self.read.is_empty()
    }

    async fn take(&mut self, head: usize, length: impl Fn(&[u8]) -> usize) -> io::Result<Vec<u8>> {
        loop {
            if self.read.len() >= head {
                let whole = length(&self.read);
                if whole > LONGEST {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if self.read.len() >= whole {
                    let rest = self.read.split_off(whole);
                    return Ok(std::mem::replace(&mut self.read, rest));
                }
            }
            self.more().await?;
        }
    }

    /// The startup packet.
    pub async fn startup(&mut self) -> io::Result<()> {
        let number = |b: &[u8]| u32::from_be_bytes([b[0], b[1], b[2], b[3]]) as usize;
        self.take(4, number).await.map(|_| ())
    }

    /// The next message: its type and body.
    pub async fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let number = |b: &[u8]| u32::from_be_bytes([b[1], b[2], b[3], b[4]]) as usize + 1;
        let mut whole = self.take(5, number).await?;
        let body = whole.split_off(5);
        Ok((whole[0], body))
    }

    /// A line of text up to its end, without it.
    pub async fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.read.iter().position(|b| *b == b'\n') {
                let rest = self.read.split_off(end + 1);
                let line = std::mem::replace(&mut self.read, rest);
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.read.len() > LONGEST {
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.more().await?;
        }
    }

    /// Waits for the end of the connection, and keeps what comes before it.
    pub async fn ended(&mut self) {
        while self.read.len() <= LONGEST && self.more().await.is_ok() {}
    }

    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(n) => bytes = &bytes[n..],
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}

/// The value of a field of a message that is a row of descriptions, or of an error.
pub fn field(body: &[u8], kind: u8) -> Option<String> {
    let field = body.split(|b| *b == 0).find(|f| f.first() == Some(&kind))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// A value in a statement's comment.
pub fn value<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let comment = text.rsplit_once("/*")?.1;
    let pair = comment.split([',', ' ', '*']).find_map(|pair| pair.strip_prefix(name));
    pair?.strip_prefix('=')
}
