//! Statements in the form in which clients send them.

use std::sync::atomic::{AtomicU32, Ordering};

/// Returns a session read with id 1 and a client timeout. The unknown field `x` has a non-ASCII value.
pub fn read_statement(timeout_ms: u64) -> String {
    format!("SELECT body FROM objects WHERE oid = 'k' /* id=1,c=own-changes,d={timeout_ms},cluster=1,x=é */")
}

/// Returns the read of [`read_statement`] with another request id.
pub fn read_statement_with_id(id: &str, timeout_ms: u64) -> String {
    read_statement(timeout_ms).replace("id=1,", &format!("id={id},"))
}

/// Returns a write with an id of its own and a client timeout.
pub fn write_statement(timeout_ms: u32) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    write_statement_with_id(&format!("write-{}", NEXT.fetch_add(1, Ordering::Relaxed)), timeout_ms)
}

/// Returns a write with this id and a client timeout.
pub fn write_statement_with_id(id: &str, timeout_ms: u32) -> String {
    let insert = r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body";
    format!("{insert} /* id={id},c=usage-write,d={timeout_ms},cluster=1 */")
}
