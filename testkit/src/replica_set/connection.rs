//! Listener and client connections of a replica set's member.

use std::io::{self, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::execution::{error_message, execute};
use super::shared::{Incarnation, Shared};
use super::{unix_ms, MemberState};
use crate::wire::{load_report, read_message, read_startup, ready_for_query, startup_response};

/// A statement, with the fields of its comment.
pub(super) struct Statement {
    pub(super) is_write: bool,
    pub(super) id: Arc<str>,
    pub(super) deadline: Instant,
}

impl Statement {
    /// Parses a statement that has just arrived; its deadline counts from now. Returns `None` if the
    /// statement or its comment is malformed.
    fn parse(text: &str) -> Option<Self> {
        let value = |name: &str| {
            let comment = text.rsplit_once("/*")?.1;
            let pair = comment.split([',', ' ', '*']).find_map(|pair| pair.strip_prefix(name));
            pair?.strip_prefix('=')
        };
        let max_wait = Duration::from_millis(value("d")?.parse().ok()?);
        let is_write = text.trim_start().get(..6)?.eq_ignore_ascii_case("insert");
        Some(Self { is_write, id: value("id")?.into(), deadline: Instant::now() + max_wait })
    }
}

/// Accepts connections to a member until the replica set stops.
pub(super) fn accept_connections(listener: &TcpListener, shared: &Arc<Shared>, index: usize) {
    for stream in listener.incoming().flatten() {
        let mut state = shared.lock();
        if state.is_stopped {
            return;
        }
        let member = &mut state.members[index];
        if member.state == MemberState::Crashed {
            continue; // closes the connection at once
        }
        let incarnation = Incarnation { member: index, number: member.incarnation };
        member.streams.extend(stream.try_clone());
        drop(state);
        let shared = shared.clone();
        thread::spawn(move || {
            let _ = serve_connection(&stream, &shared, incarnation);
            let _ = stream.shutdown(Shutdown::Both);
            remove_connection(&stream, &shared, index);
        });
    }
}

/// Removes a member's clone of this connection, and clones of other connections that have ended.
fn remove_connection(stream: &TcpStream, shared: &Shared, index: usize) {
    let own_peer_address = stream.peer_addr().ok();
    let is_open = |other: &TcpStream| other.peer_addr().is_ok() && other.peer_addr().ok() != own_peer_address;
    shared.lock().members[index].streams.retain(is_open);
}

fn serve_connection(mut stream: &TcpStream, shared: &Shared, incarnation: Incarnation) -> io::Result<()> {
    let aborted = || io::Error::from(io::ErrorKind::ConnectionAborted);
    stream.set_nodelay(true)?;
    read_startup(&mut stream)?;
    drop(shared.wait_until_running(incarnation).ok_or_else(aborted)?);
    stream.write_all(&startup_response())?;
    while let Some((b'Q', body)) = read_message(&mut stream) {
        let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
        let statement = Statement::parse(&text);
        // A paused member receives the request when it resumes; a partitioned member never receives it.
        drop(shared.wait_until_running(incarnation).ok_or_else(aborted)?);
        let response = match statement {
            Some(statement) => execute(shared, incarnation, &statement).ok_or_else(aborted)?,
            None => error_message("08P01"),
        };
        let state = shared.wait_until_running(incarnation).ok_or_else(aborted)?;
        let member = &state.members[incarnation.member];
        let is_primary = member.reports_primary();
        let position_ms = if is_primary { unix_ms() } else { member.position_unix_ms };
        drop(state);
        let report = load_report(is_primary, position_ms as i64);
        stream.write_all(&[response, report, ready_for_query()].concat())?;
    }
    Ok(())
}
