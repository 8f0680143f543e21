//! Responses that reject messages of a client without the routing engine.

use crate::net::postgres::{self, Severity};

/// Error with which requests are rejected.
#[derive(Debug, Clone, Copy)]
pub(super) struct Rejection {
    /// SQLSTATE.
    pub code: &'static str,
    pub text: &'static str,
}

/// Responses to messages that were received.
pub(super) struct Rejections {
    rejection: Rejection,
    bytes: Vec<u8>,
    /// Number of requests that the responses reject.
    count: usize,
    ends_connection: bool,
}

impl Rejections {
    pub(super) fn new(rejection: Rejection) -> Self {
        Self { rejection, bytes: Vec::new(), count: 0, ends_connection: false }
    }

    /// Returns the encoded responses.
    pub(super) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Returns the number of requests that the responses reject.
    pub(super) fn count(&self) -> usize {
        self.count
    }

    /// Returns whether the connection ends behind the responses.
    pub(super) fn ends_connection(&self) -> bool {
        self.ends_connection
    }

    /// Appends the response to a message of this kind.
    pub(super) fn reject(&mut self, kind: u8) {
        match kind {
            b'Q' | b'F' => {
                self.count += 1;
                let Rejection { code, text } = self.rejection;
                postgres::push_error(&mut self.bytes, Severity::Error, code, text, None);
                postgres::push_ready_for_query(&mut self.bytes);
            }
            b'S' => postgres::push_ready_for_query(&mut self.bytes),
            b'X' => self.ends_connection = true,
            _ => self.end("57P01", self.rejection.text),
        }
    }

    /// Appends an error that ends the connection.
    pub(super) fn end(&mut self, code: &str, text: &str) {
        postgres::push_error(&mut self.bytes, Severity::Fatal, code, text, None);
        self.ends_connection = true;
    }
}
