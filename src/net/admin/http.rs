//! The part of HTTP/1.1 that the admin API needs: parses the head of a call and encodes the response. Holds
//! no state.

use percent_encoding::percent_decode_str;
use winnow::ascii::{crlf, digit1};
use winnow::combinator::{delimited, eof, preceded, repeat, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::token::{literal, take_till, take_while};
use winnow::Parser;

/// A call of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// Is this process ready to serve?
    Ready,
    /// Take the server of this name out of service.
    Offline(String),
    /// Return the server of this name to service.
    Online(String),
    /// Take this proxy instance out of service: its clients have to leave.
    OutOfService,
    /// Return this proxy instance to service.
    InService,
}

/// The status of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpStatus {
    /// 200
    Ok,
    /// 400
    BadRequest,
    /// 404
    NotFound,
    /// 405
    MethodNotAllowed,
    /// 408
    RequestTimeout,
    /// 431
    HeaderFieldsTooLarge,
    /// 500
    InternalServerError,
    /// 503
    ServiceUnavailable,
    /// 505
    VersionNotSupported,
}

impl HttpStatus {
    /// The status code.
    pub fn code(self) -> u16 {
        match self {
            Self::Ok => 200,
            Self::BadRequest => 400,
            Self::NotFound => 404,
            Self::MethodNotAllowed => 405,
            Self::RequestTimeout => 408,
            Self::HeaderFieldsTooLarge => 431,
            Self::InternalServerError => 500,
            Self::ServiceUnavailable => 503,
            Self::VersionNotSupported => 505,
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Ok => "OK",
            Self::BadRequest => "Bad Request",
            Self::NotFound => "Not Found",
            Self::MethodNotAllowed => "Method Not Allowed",
            Self::RequestTimeout => "Request Timeout",
            Self::HeaderFieldsTooLarge => "Request Header Fields Too Large",
            Self::InternalServerError => "Internal Server Error",
            Self::ServiceUnavailable => "Service Unavailable",
            Self::VersionNotSupported => "HTTP Version Not Supported",
        }
    }
}

/// A response with a line of text as its body.
pub(super) struct Response {
    pub status: HttpStatus,
    pub text: &'static str,
}

impl Response {
    pub fn new(status: HttpStatus, text: &'static str) -> Self {
        Self { status, text }
    }

    /// A response whose body is the reason of its status.
    pub fn error(status: HttpStatus) -> Self {
        Self { status, text: status.reason() }
    }

    /// The bytes of the response, which ends the connection.
    pub fn encode(&self) -> String {
        let Self { status, text } = self;
        let allow = match status {
            HttpStatus::MethodNotAllowed => "Allow: GET, POST\r\n",
            _ => "",
        };
        let body_bytes = text.len() + 1;
        format!(
            "HTTP/1.1 {} {}\r\n{allow}Content-Type: text/plain\r\nContent-Length: {body_bytes}\r\n\
             Connection: close\r\n\r\n{text}\n",
            status.code(),
            status.reason()
        )
    }
}

/// The first line of a call.
struct RequestLine<'a> {
    method: &'a [u8],
    target: &'a [u8],
    version: &'a [u8],
}

/// Parses the head of a call, up to and including the empty line at its end. Fails with the status of the
/// response.
pub fn parse_call(head: &[u8]) -> Result<AdminCall, HttpStatus> {
    let line = parse_head(head).ok_or(HttpStatus::BadRequest)?;
    if !line.version.starts_with(b"1.") {
        return Err(HttpStatus::VersionNotSupported);
    }
    let target = std::str::from_utf8(line.target).map_err(|_| HttpStatus::BadRequest)?;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let call = route(path)?;
    if line.method == method_of(&call) {
        Ok(call)
    } else {
        Err(HttpStatus::MethodNotAllowed)
    }
}

/// Parses the first line and checks the form of the header fields, which are not used.
fn parse_head(mut head: &[u8]) -> Option<RequestLine<'_>> {
    let token = || take_while::<_, _, ContextError>(1.., |c: u8| c.is_ascii_graphic() && c != b':');
    let target = take_till(1.., |c: u8| c.is_ascii_whitespace());
    let version = delimited(literal("HTTP/"), (digit1, literal("."), digit1).take(), crlf);
    let line = (token(), preceded(literal(" "), target), preceded(literal(" "), version));
    let field = terminated(separated_pair(token(), literal(":"), take_till(0.., b'\r')), crlf);
    let fields = repeat::<_, _, (), _, _>(0.., field);
    let parsed: Result<_, ContextError> = terminated(line, (fields, crlf, eof)).parse_next(&mut head);
    let (method, target, version) = parsed.ok()?;
    Some(RequestLine { method, target, version })
}

fn route(path: &str) -> Result<AdminCall, HttpStatus> {
    match path.strip_prefix("/control/").unwrap_or_default() {
        "ready" => Ok(AdminCall::Ready),
        "out-of-service" => Ok(AdminCall::OutOfService),
        "in-service" => Ok(AdminCall::InService),
        other => route_server(other),
    }
}

fn route_server(path: &str) -> Result<AdminCall, HttpStatus> {
    let parts = path.strip_prefix("data-servers/").and_then(|rest| rest.rsplit_once('/'));
    let (id, action) = parts.ok_or(HttpStatus::NotFound)?;
    if id.is_empty() || id.contains('/') {
        return Err(HttpStatus::NotFound);
    }
    match action {
        "offline" => Ok(AdminCall::Offline(decode_id(id)?)),
        "online" => Ok(AdminCall::Online(decode_id(id)?)),
        _ => Err(HttpStatus::NotFound),
    }
}

fn decode_id(id: &str) -> Result<String, HttpStatus> {
    let id = percent_decode_str(id).decode_utf8().map_err(|_| HttpStatus::BadRequest)?;
    Ok(id.into_owned())
}

fn method_of(call: &AdminCall) -> &'static [u8] {
    match call {
        AdminCall::Ready => b"GET",
        AdminCall::Offline(_) | AdminCall::Online(_) | AdminCall::OutOfService | AdminCall::InService => {
            b"POST"
        }
    }
}

#[cfg(test)]
mod tests;
