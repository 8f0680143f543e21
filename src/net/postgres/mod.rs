//! Version 3 of PostgreSQL's wire protocol, as far as simple queries need it.
//!
//! All functions are pure: bytes in, values out, and back. None panics on what a peer sent, and none allocates by a
//! length that a peer claims.

mod encode;
mod frame;
mod server_message;
mod statement;

pub use encode::{
    encode_query_header, encode_simple_query, encode_startup_packet, encode_welcome, push_command_complete,
    push_empty_query_response, push_error, push_ready_for_query, Severity,
};
pub use frame::{is_plausible_length, parse_header, parse_startup, MessageHeader, Startup};
pub use server_message::{
    is_command_tag, is_single_column_description, parse_load_report, parse_parameter_status,
    parse_single_column, parse_sqlstate,
};
pub use statement::{parse_query, Query, Statement};

use winnow::error::{ContextError, ErrMode};

/// The longest value in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// Room in bytes for what surrounds a value in a statement or a response.
const MAX_ENVELOPE_BYTES: usize = 16 * 1024;
/// The longest query taken from a client: such a value in hex, and its statement.
pub const MAX_QUERY_BYTES: usize = 2 * MAX_VALUE_BYTES + MAX_ENVELOPE_BYTES;
/// The longest startup packet in bytes, as in PostgreSQL.
pub const MAX_STARTUP_BYTES: usize = 10_000;
/// The longest response taken from a data server: such a value, whether in hex or not.
pub const MAX_RESPONSE_BYTES: usize = 2 * MAX_VALUE_BYTES + MAX_ENVELOPE_BYTES;

type ParseFailure = ErrMode<ContextError>;
