//! Finds the process that holds the other end of a loopback connection, in the kernel's connection table.
//!
//! While a proxy is upgraded, its two processes connect to the servers from the same address. Only the kernel
//! knows which of them holds a connection.

use std::io;
use std::net::SocketAddr;
use std::path::Path;

/// The kernel's table of IPv4 connections.
const CONNECTION_TABLE: &str = "/proc/net/tcp";
/// Position of the local address in a line of the table.
const LOCAL_ADDRESS_COLUMN: usize = 1;
/// Position of the remote address in a line of the table.
const REMOTE_ADDRESS_COLUMN: usize = 2;
/// Position of the socket's inode in a line of the table.
const INODE_COLUMN: usize = 9;

/// Both ends of a connection, as the process that is looked for sees them.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionEnds {
    pub local: SocketAddr,
    pub remote: SocketAddr,
}

/// Returns which of the processes holds a connection. Returns `None` if none of them does. Blocks for some
/// milliseconds.
pub fn owner(processes: &[u32], ends: ConnectionEnds) -> Option<u32> {
    let table = std::fs::read_to_string(CONNECTION_TABLE).ok()?;
    let inode = table.lines().find_map(|line| inode_of(line, ends))?;
    let socket = format!("socket:[{inode}]");
    processes.iter().copied().find(|process| holds_descriptor(*process, &socket).unwrap_or(false))
}

/// Returns the inode of the socket in a line of the table, if the line describes the connection.
fn inode_of(line: &str, ends: ConnectionEnds) -> Option<&str> {
    let columns: Vec<_> = line.split_whitespace().collect();
    let is_port = |column: usize, address: SocketAddr| {
        let port = columns.get(column).and_then(|text| text.rsplit_once(':')).map(|(_, port)| port);
        port.and_then(|port| u16::from_str_radix(port, 16).ok()) == Some(address.port())
    };
    let found = is_port(LOCAL_ADDRESS_COLUMN, ends.local) && is_port(REMOTE_ADDRESS_COLUMN, ends.remote);
    columns.get(INODE_COLUMN).copied().filter(|_| found)
}

fn holds_descriptor(process: u32, name: &str) -> io::Result<bool> {
    for descriptor in std::fs::read_dir(format!("/proc/{process}/fd"))? {
        let target = std::fs::read_link(descriptor?.path());
        if target.is_ok_and(|target| target == Path::new(name)) {
            return Ok(true);
        }
    }
    Ok(false)
}

#[cfg(test)]
mod tests;
