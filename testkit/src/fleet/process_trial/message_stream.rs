//! Reading and writing of PostgreSQL messages and lines of text on a socket.
//!
//! Owns the bytes that were read and not yet consumed, so a read can be cancelled at any `await` and resumed.
//! A message or line above the maximum length is an error.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

use crate::wire::message;

/// Maximum length of a message or line in bytes.
const MAX_MESSAGE_BYTES: usize = 64 * 1024;

/// Connection with a read buffer. Dropping it shuts down the socket, because closing the descriptor does not
/// end the connection while a child process that the trial is starting holds a copy of the descriptor.
pub struct MessageStream {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Drop for MessageStream {
    fn drop(&mut self) {
        // The shutdown fails if the peer has already closed the connection.
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }
}

impl MessageStream {
    /// Creates a stream with an empty buffer, and disables Nagle's algorithm on the socket.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Reads more bytes into the buffer. Returns an error if the connection has ended. Cancelling the
    /// read loses no data.
    async fn fill_buffer(&mut self) -> io::Result<()> {
        loop {
            self.stream.readable().await?;
            let mut chunk = [0; 4096];
            match self.stream.try_read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(read) => {
                    self.buffer.extend_from_slice(&chunk[..read]);
                    return Ok(());
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    /// Returns whether a statement may be written to the idle connection: the peer has not closed it and has
    /// sent nothing.
    pub fn is_reusable(&self) -> bool {
        let received = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.buffer.is_empty() && received.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Returns whether all bytes that were read have been consumed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads the next packet. `packet_length` computes the length of the packet in bytes from its first
    /// `header_bytes` bytes.
    async fn read_packet(
        &mut self,
        header_bytes: usize,
        packet_length: impl Fn(&[u8]) -> usize,
    ) -> io::Result<Vec<u8>> {
        loop {
            if self.buffer.len() >= header_bytes {
                let packet_bytes = packet_length(&self.buffer);
                if packet_bytes > MAX_MESSAGE_BYTES {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                if self.buffer.len() >= packet_bytes {
                    let rest = self.buffer.split_off(packet_bytes);
                    return Ok(std::mem::replace(&mut self.buffer, rest));
                }
            }
            self.fill_buffer().await?;
        }
    }

    /// Reads the startup packet and discards it.
    pub async fn read_startup(&mut self) -> io::Result<()> {
        let packet_length =
            |header: &[u8]| u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        self.read_packet(4, packet_length).await.map(|_| ())
    }

    /// Reads the next message, and returns its type and body.
    pub async fn read_message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        let packet_length =
            |header: &[u8]| u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize + 1;
        let mut message = self.read_packet(5, packet_length).await?;
        let body = message.split_off(5);
        Ok((message[0], body))
    }

    /// Reads a line of text, and returns it without trailing white space.
    pub async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let rest = self.buffer.split_off(end + 1);
                let line = std::mem::replace(&mut self.buffer, rest);
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.fill_buffer().await?;
        }
    }

    /// Waits until the connection is closed, and buffers data that is received meanwhile. Also returns when
    /// the buffer exceeds the maximum length of a message.
    pub async fn wait_until_closed(&mut self) {
        while self.buffer.len() <= MAX_MESSAGE_BYTES && self.fill_buffer().await.is_ok() {}
    }

    /// Writes all bytes.
    pub async fn write_all(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            self.stream.writable().await?;
            match self.stream.try_write(bytes) {
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Sets the linger time to zero and drops the stream, so that the connection ends with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Returns the value of the field with type `field_type` in the body of an `ErrorResponse`.
pub fn error_field(body: &[u8], field_type: u8) -> Option<String> {
    let field = body.split(|byte| *byte == 0).find(|field| field.first() == Some(&field_type))?;
    Some(String::from_utf8_lossy(&field[1..]).into_owned())
}

/// Returns an `ErrorResponse` message with a SQLSTATE.
pub fn error_message(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Returns the value of the field `name` in the comment of a statement.
pub fn comment_value<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let comment = text.rsplit_once("/*")?.1;
    let pair = comment.split([',', ' ', '*']).find_map(|pair| pair.strip_prefix(name));
    pair?.strip_prefix('=')
}
