//! The execution of one request on a member: admission, work, and the commit of a write.

use std::thread;
use std::time::Instant;

use super::connection::Statement;
use super::member::{LogEntry, Member};
use super::shared::{Incarnation, Shared};
use super::{unix_ms, MemberState, Role};
use crate::wire::{message, row};

/// SQLSTATE of a write at a server that is no primary.
const READ_ONLY: &str = "25006";
/// SQLSTATE of a request that is rejected before its execution.
const OVERLOADED: &str = "53300";
/// SQLSTATE of a write whose outcome is unknown.
const OUTCOME_UNKNOWN: &str = "XX000";

/// An ErrorResponse of this SQLSTATE.
pub(super) fn error_response(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// The SQLSTATE with which a member rejects a statement, if it does.
fn rejection(member: &Member, statement: &Statement) -> Option<&'static str> {
    if statement.is_write && (member.role == Role::Replica || member.is_handing_over) {
        return Some(READ_ONLY);
    }
    member.is_draining.then_some(OVERLOADED)
}

/// Executes one request and gives its response; none if the process ends before.
pub(super) fn execute(shared: &Shared, process: Incarnation, statement: &Statement) -> Option<Vec<u8>> {
    let state = shared.lock();
    if let Some(code) = rejection(&state.members[process.member], statement) {
        return Some(error_response(code));
    }
    let mut state = shared.wait_until(state, process, |_, member| {
        member.state == MemberState::Running && member.running < shared.config.max_concurrency
    })?;
    if Instant::now() > statement.deadline {
        return Some(error_response(OVERLOADED)); // not begun
    }
    let member = &mut state.members[process.member];
    if let Some(code) = rejection(member, statement) {
        return Some(error_response(code));
    }
    member.running += 1;
    if statement.is_write && member.role == Role::Primary {
        member.first_write_at.get_or_insert_with(Instant::now);
    }
    drop(state);
    thread::sleep(shared.config.execution_time);
    let response = complete(shared, process, statement);
    let mut state = shared.lock();
    let member = &mut state.members[process.member];
    if member.incarnation == process.number {
        member.running = member.running.saturating_sub(1);
    }
    drop(state);
    shared.changed.notify_all();
    response
}

/// Completes a request after its work. A partitioned member completes it too; only its response does not go out.
fn complete(shared: &Shared, process: Incarnation, statement: &Statement) -> Option<Vec<u8>> {
    let mut state = shared.wait_until(shared.lock(), process, |_, member| {
        matches!(member.state, MemberState::Running | MemberState::Partitioned)
    })?;
    if !statement.is_write {
        return Some(row(b"v"));
    }
    let member = &mut state.members[process.member];
    if member.role == Role::Replica {
        return Some(error_response(OUTCOME_UNKNOWN)); // replaced while it worked
    }
    *member.executions.entry(statement.id.clone()).or_default() += 1;
    member.log.push(LogEntry { id: statement.id.clone(), written_unix_ms: unix_ms() });
    let log_length = member.log.len();
    if !shared.config.synchronous {
        return Some(row(b"v"));
    }
    // Waits until a replica has the write, or until the member is replaced.
    let state = shared.wait_until(state, process, |state, member| {
        let has_write = |follower: &Member| {
            follower.role == Role::Replica
                && follower.state == MemberState::Running
                && follower.log.len() >= log_length
        };
        let is_followed = member.role == Role::Primary && member.state == MemberState::Running;
        member.role == Role::Replica || (is_followed && state.members.iter().any(has_write))
    })?;
    // The write may be in the new primary's log, but a member that was replaced cannot tell.
    if state.members[process.member].role == Role::Replica {
        return Some(error_response(OUTCOME_UNKNOWN));
    }
    Some(row(b"v"))
}
