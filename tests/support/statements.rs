//! Statements in the form in which clients send them.

/// Returns a session read with id 1 and a client timeout. The unknown field `x` has a non-ASCII value.
pub fn read_statement(timeout_ms: u64) -> String {
    format!("SELECT body FROM objects WHERE oid = 'k' /* id=1,c=own-changes,d={timeout_ms},cluster=1,x=é */")
}

/// Returns the read of [`read_statement`] with another request id.
pub fn read_statement_with_id(id: &str, timeout_ms: u64) -> String {
    read_statement(timeout_ms).replace("id=1,", &format!("id={id},"))
}

/// Returns a write with id 2 and a client timeout.
pub fn write_statement(timeout_ms: u32) -> String {
    let text = r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body /* id=2,c=usage-write,";
    format!("{text}d={timeout_ms},cluster=1 */")
}
