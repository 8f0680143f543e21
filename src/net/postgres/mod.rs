//! The subset of PostgreSQL's wire protocol, version 3, that simple queries need.
//!
//! All functions are pure: they parse bytes into values or encode values into bytes. No function panics on
//! bytes from a peer or allocates memory by a length that a peer sent.

mod encode;
mod frame;
mod server_message;
mod statement;

pub use encode::{
    encode_query_header, encode_simple_query, encode_startup_packet, encode_startup_response,
    push_command_complete, push_empty_query_response, push_error, push_ready_for_query, Severity,
};
pub use frame::{is_plausible_length, parse_header, parse_startup, MessageHeader, Startup};
pub use server_message::{
    is_command_tag, is_single_column_description, parse_load_report, parse_parameter_status,
    parse_single_column, parse_sqlstate,
};
pub use statement::{parse_query, Query, Statement};

use winnow::error::{ContextError, ErrMode};

/// Length in bytes of the longest value of the column `body`.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// Largest number of bytes around a value in a statement or a response.
const MAX_VALUE_OVERHEAD_BYTES: usize = 16 * 1024;
/// Length in bytes of the longest query message accepted from a client: the longest value in hex, and the
/// statement around it.
pub const MAX_QUERY_BYTES: usize = 2 * MAX_VALUE_BYTES + MAX_VALUE_OVERHEAD_BYTES;
/// Length in bytes of the longest startup packet, as in PostgreSQL.
pub const MAX_STARTUP_BYTES: usize = 10_000;
/// Length in bytes of the longest response accepted from a data server. The longest value fits into it in hex
/// as well as in binary.
pub const MAX_RESPONSE_BYTES: usize = 2 * MAX_VALUE_BYTES + MAX_VALUE_OVERHEAD_BYTES;

type ParseFailure = ErrMode<ContextError>;
