//! The messages of PostgreSQL's wire protocol that the stand-ins and the test clients use.

use std::io::{self, Read};

/// Maximum number of bytes of a startup packet's body that a stand-in reads.
const MAX_STARTUP_BYTES: usize = 10_000;

/// Returns the encoding of a message: its type, its length and its body.
pub fn message(message_type: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[message_type][..], &length, body].concat()
}

/// Returns a result of one row with this value: RowDescription, DataRow and CommandComplete.
pub fn row(value: &[u8]) -> Vec<u8> {
    let column = (value.len() as u32).to_be_bytes();
    let description = b"\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    let data = [&[0, 1][..], &column, value].concat();
    [message(b'T', description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// Returns a simple query message.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

/// Returns a startup packet of protocol version 3.0.
pub fn startup() -> Vec<u8> {
    let body = [&196_608u32.to_be_bytes()[..], b"user\0worker\0database\0catalog\0\0"].concat();
    message(0, &body).split_off(1)
}

/// Returns the response to a startup packet: AuthenticationOk and ReadyForQuery.
pub fn startup_response() -> Vec<u8> {
    [message(b'R', &[0; 4]), ready_for_query()].concat()
}

/// Returns ReadyForQuery with the status `I` (not in a transaction).
pub fn ready_for_query() -> Vec<u8> {
    message(b'Z', b"I")
}

/// Returns a ParameterStatus message.
pub fn parameter_status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

/// Returns the ParameterStatus messages in which a data server reports its role and its replication position,
/// in milliseconds since the Unix epoch.
pub fn load_report(is_primary: bool, position_unix_ms: i64) -> Vec<u8> {
    let mode = if is_primary { "read-write" } else { "read-only" };
    [parameter_status("mode", mode), parameter_status("wal_time", &position_unix_ms.to_string())].concat()
}

/// Reads one message. Returns its type and its body, or `None` at the end of the stream or on an error.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).ok()?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    let mut body = vec![0; (length as usize).checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((header[0], body))
}

/// Reads a startup packet and discards its contents.
pub fn read_startup(stream: &mut impl Read) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let body_length = (u32::from_be_bytes(length) as usize).saturating_sub(4);
    let mut packet = vec![0; body_length.min(MAX_STARTUP_BYTES)];
    stream.read_exact(&mut packet)
}
