//! The part of HTTP/1.1 that the admin API needs: parses the head of a call and encodes the response. This
//! module holds no state.

use percent_encoding::percent_decode_str;
use winnow::ascii::{crlf, digit1};
use winnow::combinator::{delimited, eof, preceded, repeat, separated_pair, terminated};
use winnow::error::ContextError;
use winnow::token::{literal, take_till, take_while};
use winnow::Parser;

/// A call of the admin API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// Report whether this process is ready to serve clients.
    Ready,
    /// Take the data server with this name out of service.
    Offline(String),
    /// Return the data server with this name to service.
    Online(String),
    /// Take this process out of service: health checks fail, and clients are disconnected between requests.
    OutOfService,
    /// Return this process to service.
    InService,
}

/// Status of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpStatus {
    /// 200: the call was executed, or the process is ready.
    Ok,
    /// 400: the head of the call is malformed or incomplete.
    BadRequest,
    /// 404: the path is unknown, or the server was never listed.
    NotFound,
    /// 405: the path requires another method.
    MethodNotAllowed,
    /// 408: the head of the call was not received in time.
    RequestTimeout,
    /// 431: the head of the call does not fit into one buffer.
    HeaderFieldsTooLarge,
    /// 500: the out-of-service list could not be read or stored.
    InternalServerError,
    /// 503: the process is not ready.
    ServiceUnavailable,
    /// 505: the HTTP version is not 1.x.
    VersionNotSupported,
}

impl HttpStatus {
    /// Returns the status code.
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

    fn reason_phrase(self) -> &'static str {
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

/// A response whose body is one line of text.
pub(super) struct Response {
    pub status: HttpStatus,
    /// Body without the line end.
    pub text: &'static str,
}

impl Response {
    pub fn new(status: HttpStatus, text: &'static str) -> Self {
        Self { status, text }
    }

    /// Creates a response whose body is the reason phrase of its status.
    pub fn error(status: HttpStatus) -> Self {
        Self { status, text: status.reason_phrase() }
    }

    /// Encodes the response, which tells the caller that the connection closes.
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
            status.reason_phrase()
        )
    }
}

/// Request line of a call.
struct RequestLine<'a> {
    method: &'a [u8],
    target: &'a [u8],
    version: &'a [u8],
}

/// Parses the head of a call, including the empty line at its end.
///
/// # Errors
///
/// Returns the status of the response if the call is malformed or not supported.
pub fn parse_call(head: &[u8]) -> Result<AdminCall, HttpStatus> {
    let line = parse_head(head).ok_or(HttpStatus::BadRequest)?;
    if !line.version.starts_with(b"1.") {
        return Err(HttpStatus::VersionNotSupported);
    }
    let target = std::str::from_utf8(line.target).map_err(|_| HttpStatus::BadRequest)?;
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let call = route(path)?;
    if line.method == required_method(&call) {
        Ok(call)
    } else {
        Err(HttpStatus::MethodNotAllowed)
    }
}

/// Parses the request line. Checks the syntax of the header fields and discards them.
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

/// Returns the call that a path stands for.
fn route(path: &str) -> Result<AdminCall, HttpStatus> {
    match path.strip_prefix("/control/").unwrap_or_default() {
        "ready" => Ok(AdminCall::Ready),
        "out-of-service" => Ok(AdminCall::OutOfService),
        "in-service" => Ok(AdminCall::InService),
        server_path => route_server(server_path),
    }
}

fn route_server(path: &str) -> Result<AdminCall, HttpStatus> {
    let name_and_action = path.strip_prefix("data-servers/").and_then(|rest| rest.rsplit_once('/'));
    let (name, action) = name_and_action.ok_or(HttpStatus::NotFound)?;
    if name.is_empty() || name.contains('/') {
        return Err(HttpStatus::NotFound);
    }
    match action {
        "offline" => Ok(AdminCall::Offline(decode_name(name)?)),
        "online" => Ok(AdminCall::Online(decode_name(name)?)),
        _ => Err(HttpStatus::NotFound),
    }
}

/// Decodes the percent-encoded name of a server in a path.
fn decode_name(name: &str) -> Result<String, HttpStatus> {
    let name = percent_decode_str(name).decode_utf8().map_err(|_| HttpStatus::BadRequest)?;
    Ok(name.into_owned())
}

fn required_method(call: &AdminCall) -> &'static [u8] {
    match call {
        AdminCall::Ready => b"GET",
        AdminCall::Offline(_) | AdminCall::Online(_) | AdminCall::OutOfService | AdminCall::InService => {
            b"POST"
        }
    }
}

#[cfg(test)]
mod tests;
