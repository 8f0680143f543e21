//! A GET request to the discovery service, and its response as it is received.
//!
//! Owns the connection and the bytes that were received and not used yet. Each read has a deadline, and the
//! number of buffered bytes has a limit.

use std::io::IoSlice;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use super::error::DiscoveryError;
use super::http::{find, parse_response_head, BodyDecoder, BodyFraming, ResponseHead};
use crate::endpoint_list::EndpointList;
use crate::net::buffers::{write_all, BufferPool};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for a complete response, the connection included. The service works off its requests one after
/// another and rejects those that have waited for 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The most bytes that are buffered of a response's head, or of a list.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A response with status 200.
pub(super) struct HttpResponse {
    stream: TcpStream,
    pool: BufferPool,
    /// Bytes as they were received, still in their framing.
    received: Vec<u8>,
    /// Bytes of the body that were not returned yet.
    body: Vec<u8>,
    decoder: BodyDecoder,
    /// Bytes at the start of `body` that are known not to complete a value.
    searched: usize,
    /// When the part that is read at present must be complete.
    deadline: Instant,
}

impl HttpResponse {
    /// Sends a GET request and reads the head of its response.
    pub(super) async fn get(service: SocketAddr, path: &str) -> Result<Self, DiscoveryError> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(service)).await {
            Ok(connected) => connected.map_err(DiscoveryError::Connect)?,
            Err(_) => return Err(DiscoveryError::ConnectTimeout),
        };
        stream.set_nodelay(true)?;
        let request = format!("GET {path} HTTP/1.1\r\nHost: {service}\r\nAccept: application/json\r\n\r\n");
        write_all(&stream, &mut [IoSlice::new(request.as_bytes())]).await?;
        let mut response = Self {
            stream,
            pool: BufferPool::default(),
            received: Vec::new(),
            body: Vec::new(),
            decoder: BodyDecoder::new(BodyFraming::UntilClose),
            searched: 0,
            deadline,
        };
        let head = response.read_head().await?;
        if head.status != 200 {
            return Err(DiscoveryError::Status(head.status));
        }
        response.decoder = BodyDecoder::new(head.framing);
        response.decode()?;
        Ok(response)
    }

    async fn read_head(&mut self) -> Result<ResponseHead, DiscoveryError> {
        let end = loop {
            if let Some(end) = find(&self.received, HEAD_END) {
                break end;
            }
            self.receive().await?;
        };
        // The line end of the last field belongs to the head.
        let head = parse_response_head(&self.received[..end + 2]).ok_or(DiscoveryError::MalformedHead)?;
        self.received.drain(..end + HEAD_END.len());
        Ok(head)
    }

    /// Reads once from the connection.
    async fn receive(&mut self) -> Result<(), DiscoveryError> {
        let mut chain = self.pool.chain();
        let Ok(read) = timeout_at(self.deadline, chain.read_from(&self.stream)).await else {
            return Err(DiscoveryError::ResponseTimeout);
        };
        if read? == 0 {
            return Err(DiscoveryError::UnexpectedEnd);
        }
        for slice in chain.slices(0..chain.len()) {
            self.received.extend_from_slice(slice);
        }
        if self.received.len() + self.body.len() > MAX_BUFFERED_BYTES {
            return Err(DiscoveryError::ResponseTooLong { limit: MAX_BUFFERED_BYTES });
        }
        Ok(())
    }

    fn decode(&mut self) -> Result<(), DiscoveryError> {
        self.decoder.decode(&mut self.received, &mut self.body)
    }

    /// Gives the next part of a watch this much time from now on.
    pub(super) fn extend_deadline(&mut self, time: Duration) {
        self.deadline = Instant::now() + time;
    }

    /// Reads the rest of the body as one list.
    pub(super) async fn into_list(mut self) -> Result<EndpointList, DiscoveryError> {
        while !self.decoder.is_complete() {
            match self.receive().await {
                Err(DiscoveryError::UnexpectedEnd) if self.decoder.ends_with_connection() => break,
                received => received?,
            }
            self.decode()?;
        }
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Reads the next list of a watch, however its JSON is laid out. Returns `None` for an empty line.
    pub(super) async fn next_list(&mut self) -> Result<Option<EndpointList>, DiscoveryError> {
        loop {
            if self.take_empty_line() {
                return Ok(None);
            }
            if let Some(list) = self.take_list()? {
                return Ok(Some(list));
            }
            if self.decoder.is_complete() {
                return Err(DiscoveryError::UnexpectedEnd);
            }
            self.receive().await?;
            self.decode()?;
        }
    }

    /// Takes a line from the start of the body if it has nothing but white space.
    fn take_empty_line(&mut self) -> bool {
        let first = self.body.iter().position(|byte| *byte == b'\n' || !byte.is_ascii_whitespace());
        match first {
            Some(end) if self.body[end] == b'\n' => {
                self.body.drain(..=end);
                self.searched = 0;
                true
            }
            _ => false,
        }
    }

    /// Takes a list from the start of the body if it is there completely.
    fn take_list(&mut self) -> Result<Option<EndpointList>, DiscoveryError> {
        // A list ends with a brace, so it is not parsed again before another one is received.
        if self.body[self.searched..].contains(&b'}') {
            let mut values = serde_json::Deserializer::from_slice(&self.body).into_iter();
            match values.next() {
                Some(Err(error)) if error.is_eof() => {}
                Some(list) => {
                    let list = list?;
                    let end = values.byte_offset();
                    self.body.drain(..end);
                    self.searched = 0;
                    return Ok(Some(list));
                }
                None => {}
            }
        }
        self.searched = self.body.len();
        Ok(None)
    }
}
