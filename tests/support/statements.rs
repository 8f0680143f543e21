//! Statements as clients send them.

/// A read of a session that waits so long.
pub fn read_statement(wait_ms: u64) -> String {
    format!("SELECT body FROM objects WHERE oid = 'k' /* id=1,c=own-changes,d={wait_ms},cluster=1,x=é */")
}

/// The same with an id of its own.
pub fn read_statement_with_id(id: &str, wait_ms: u64) -> String {
    read_statement(wait_ms).replace("id=1,", &format!("id={id},"))
}

/// A write that waits so long.
pub fn write_statement(wait_ms: u32) -> String {
    let text = r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body /* id=2,c=usage-write,";
    format!("{text}d={wait_ms},cluster=1 */")
}
