//! Sends a GET request to the discovery service and reads its response.
//!
//! [`HttpResponse`] owns the connection and the received bytes that were not returned yet. Each read has a
//! deadline, and the number of buffered bytes is limited.

use std::io::IoSlice;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use super::error::DiscoveryError;
use super::http::{find_subslice, parse_response_head, BodyDecoder, BodyFraming, ResponseHead};
use crate::endpoint_list::EndpointList;
use crate::net::buffers::{write_all, BufferPool, Purpose};
use crate::net::turn::{charge, Work};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for a complete response, including the connect. The service processes its requests one after
/// another and rejects requests that have waited for 2 s.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Largest number of bytes that are buffered for the head of a response or for a list.
const MAX_BUFFERED_BYTES: usize = 4 << 20;
/// Largest number of bytes that are read at once. A list is parsed again after a read that may complete it.
const MAX_READ_BYTES: usize = 64 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";

/// A response with status 200, whose body is read incrementally.
pub(super) struct HttpResponse {
    stream: TcpStream,
    pool: BufferPool,
    /// Received bytes that were not decoded yet.
    received: Vec<u8>,
    /// Decoded bytes of the body that were not returned yet.
    body: Vec<u8>,
    decoder: BodyDecoder,
    /// Number of bytes at the start of `body` that are known not to contain a complete list.
    scanned_bytes: usize,
    /// Time by which the part that is being read must be complete.
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
            scanned_bytes: 0,
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
            if let Some(end) = find_subslice(&self.received, HEAD_END) {
                break end;
            }
            self.receive().await?;
        };
        // The line end of the last header field belongs to the head.
        let head = parse_response_head(&self.received[..end + 2]).ok_or(DiscoveryError::MalformedHead)?;
        self.received.drain(..end + HEAD_END.len());
        Ok(head)
    }

    /// Reads once from the connection and buffers the bytes.
    async fn receive(&mut self) -> Result<(), DiscoveryError> {
        let mut chain = self.pool.chain();
        chain.try_reserve(MAX_READ_BYTES, Purpose::Answer);
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

    /// Sets the deadline for the next line of a watch to `timeout` from now.
    pub(super) fn extend_deadline(&mut self, timeout: Duration) {
        self.deadline = Instant::now() + timeout;
    }

    /// Reads the whole body and decodes it as one list.
    pub(super) async fn into_list(mut self) -> Result<EndpointList, DiscoveryError> {
        while !self.decoder.is_complete() {
            match self.receive().await {
                Err(DiscoveryError::UnexpectedEnd) if self.decoder.is_close_delimited() => break,
                received => received?,
            }
            self.decode()?;
        }
        Ok(serde_json::from_slice(&self.body)?)
    }

    /// Reads the next list of a watch, whose JSON may span several lines. Returns `None` for an empty line.
    pub(super) async fn next_list(&mut self) -> Result<Option<EndpointList>, DiscoveryError> {
        loop {
            charge(Work::Message).await;
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

    /// Removes the first line of `body` if it contains only white space. Returns whether it did.
    fn take_empty_line(&mut self) -> bool {
        let first = self.body.iter().position(|byte| *byte == b'\n' || !byte.is_ascii_whitespace());
        match first {
            Some(end) if self.body[end] == b'\n' => {
                self.body.drain(..=end);
                self.scanned_bytes = 0;
                true
            }
            _ => false,
        }
    }

    /// Removes the list at the start of `body` and returns it, or `None` if the list is not complete yet.
    fn take_list(&mut self) -> Result<Option<EndpointList>, DiscoveryError> {
        // A list ends with a closing brace. It is parsed again only when another closing brace has arrived.
        if self.body[self.scanned_bytes..].contains(&b'}') {
            let mut values = serde_json::Deserializer::from_slice(&self.body).into_iter();
            match values.next() {
                Some(Err(error)) if error.is_eof() => {}
                Some(list) => {
                    let list = list?;
                    let end = values.byte_offset();
                    self.body.drain(..end);
                    self.scanned_bytes = 0;
                    return Ok(Some(list));
                }
                None => {}
            }
        }
        self.scanned_bytes = self.body.len();
        Ok(None)
    }
}
