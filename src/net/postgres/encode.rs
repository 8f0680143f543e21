//! Encoding of the messages that the proxy itself writes to clients and data servers.

/// Protocol version 3.0 as encoded in a startup packet.
const PROTOCOL_VERSION: u32 = 3 << 16;

/// Severity of an error, which decides whether the connection stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Severity {
    /// The connection stays open.
    Error,
    /// The connection is closed.
    Fatal,
}

/// Appends a message: the type byte `kind`, the length, and the body that `write_body` appends.
fn push_message(out: &mut Vec<u8>, kind: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    let length_at = out.len();
    out.extend([0; 4]);
    write_body(out);
    let length = (out.len() - length_at) as u32;
    out[length_at..length_at + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends zero-terminated strings. Omits zero bytes inside a string.
fn push_strings(out: &mut Vec<u8>, strings: &[&str]) {
    for string in strings {
        out.extend(string.bytes().filter(|byte| *byte != 0));
        out.push(0);
    }
}

/// Encodes the startup packet for a connection to a data server.
pub fn encode_startup_packet(user: &str, database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    push_message(&mut out, 0, |out| {
        out.extend(PROTOCOL_VERSION.to_be_bytes());
        push_strings(out, &["user", user, "database", database, ""]);
    });
    out.split_off(1) // a startup packet has no type byte
}

/// Encodes the response to a client's startup packet, up to ReadyForQuery. `minor_version` is the minor
/// protocol version that the client asked for; a version above 3.0 is negotiated down to 3.0.
pub fn encode_startup_response(minor_version: u16) -> Vec<u8> {
    let mut out = Vec::new();
    if minor_version > 0 {
        push_message(&mut out, b'v', |out| out.extend([0, 3, 0, 0, 0, 0, 0, 0]));
    }
    push_message(&mut out, b'R', |out| out.extend([0; 4]));
    let parameters = [
        ("server_version", concat!("15.0 (pipittack ", env!("CARGO_PKG_VERSION"), ")")),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        push_message(&mut out, b'S', |out| push_strings(out, &[name, value]));
    }
    push_ready_for_query(&mut out);
    out
}

/// Appends ReadyForQuery with the status of an idle session, outside a transaction.
pub fn push_ready_for_query(out: &mut Vec<u8>) {
    push_message(out, b'Z', |out| out.push(b'I'));
}

/// Appends EmptyQueryResponse.
pub fn push_empty_query_response(out: &mut Vec<u8>) {
    push_message(out, b'I', |_| {});
}

/// Appends CommandComplete with the command tag.
pub fn push_command_complete(out: &mut Vec<u8>, tag: &str) {
    push_message(out, b'C', |out| push_strings(out, &[tag]));
}

/// Appends ErrorResponse. `code` is the SQLSTATE, `text` the message (field M) and `detail` the optional
/// detail (field D).
pub fn push_error(out: &mut Vec<u8>, severity: Severity, code: &str, text: &str, detail: Option<&str>) {
    let severity = match severity {
        Severity::Error => "ERROR",
        Severity::Fatal => "FATAL",
    };
    push_message(out, b'E', |out| {
        let fields = [('S', severity), ('V', severity), ('C', code), ('M', text)];
        for (kind, value) in fields.into_iter().chain(detail.map(|detail| ('D', detail))) {
            out.push(kind as u8);
            push_strings(out, &[value]);
        }
        out.push(0);
    });
}

/// Encodes the header of a simple query message of `length` bytes, header included.
pub fn encode_query_header(length: usize) -> [u8; 5] {
    let [a, b, c, d] = ((length - 1) as u32).to_be_bytes();
    [b'Q', a, b, c, d]
}

/// Encodes a complete simple query message.
pub fn encode_simple_query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    push_message(&mut out, b'Q', |out| push_strings(out, &[text]));
    out
}
