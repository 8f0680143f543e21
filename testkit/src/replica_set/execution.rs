//! Execution of a request on a member: admission, work, and the commit of a write.

use std::thread;
use std::time::Instant;

use super::connection::Statement;
use super::member::{LogEntry, Member};
use super::shared::{Incarnation, Shared};
use super::{unix_ms, MemberState, Role};
use crate::wire::{message, row};

/// SQLSTATE of a write at a member that is not the primary.
const READ_ONLY_TRANSACTION: &str = "25006";
/// SQLSTATE of a request that is rejected before its execution.
const TOO_MANY_CONNECTIONS: &str = "53300";
/// SQLSTATE of a write whose outcome is unknown.
const INTERNAL_ERROR: &str = "XX000";

/// Returns an ErrorResponse with this SQLSTATE.
pub(super) fn error_message(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Returns the SQLSTATE with which a member rejects a statement, or `None` if it accepts the statement.
fn rejection_code(member: &Member, statement: &Statement) -> Option<&'static str> {
    if statement.is_write && (member.role == Role::Replica || member.is_handing_over) {
        return Some(READ_ONLY_TRANSACTION);
    }
    member.is_draining.then_some(TOO_MANY_CONNECTIONS)
}

/// Executes a request and returns its response, or `None` if the member's incarnation ends first.
pub(super) fn execute(shared: &Shared, incarnation: Incarnation, statement: &Statement) -> Option<Vec<u8>> {
    let state = shared.lock();
    if let Some(code) = rejection_code(&state.members[incarnation.member], statement) {
        return Some(error_message(code));
    }
    let mut state = shared.wait_until(state, incarnation, |_, member| {
        member.state == MemberState::Running && member.active_requests < shared.config.max_concurrency
    })?;
    if Instant::now() > statement.deadline {
        return Some(error_message(TOO_MANY_CONNECTIONS)); // the deadline passed before the execution began
    }
    let member = &mut state.members[incarnation.member];
    if let Some(code) = rejection_code(member, statement) {
        return Some(error_message(code));
    }
    member.active_requests += 1;
    if statement.is_write && member.role == Role::Primary {
        member.first_write_at.get_or_insert_with(Instant::now);
    }
    drop(state);
    thread::sleep(shared.config.execution_time);
    let response = complete(shared, incarnation, statement);
    let mut state = shared.lock();
    let member = &mut state.members[incarnation.member];
    if member.incarnation == incarnation.number {
        member.active_requests = member.active_requests.saturating_sub(1);
    }
    drop(state);
    shared.changed.notify_all();
    response
}

/// Completes a request after its execution time. A partitioned member also completes the request, but cannot
/// send the response.
fn complete(shared: &Shared, incarnation: Incarnation, statement: &Statement) -> Option<Vec<u8>> {
    let mut state = shared.wait_until(shared.lock(), incarnation, |_, member| {
        matches!(member.state, MemberState::Running | MemberState::Partitioned)
    })?;
    if !statement.is_write {
        return Some(row(b"v"));
    }
    let member = &mut state.members[incarnation.member];
    if member.role == Role::Replica {
        return Some(error_message(INTERNAL_ERROR)); // demoted during the execution
    }
    *member.executions.entry(statement.id.clone()).or_default() += 1;
    member.log.push(LogEntry { id: statement.id.clone(), written_unix_ms: unix_ms() });
    let log_length = member.log.len();
    if !shared.config.synchronous {
        return Some(row(b"v"));
    }
    // Wait until a replica has received the write or the member is demoted.
    let state = shared.wait_until(state, incarnation, |state, member| {
        let has_received_write = |follower: &Member| {
            follower.role == Role::Replica
                && follower.state == MemberState::Running
                && follower.log.len() >= log_length
        };
        let can_replicate = member.role == Role::Primary && member.state == MemberState::Running;
        member.role == Role::Replica || (can_replicate && state.members.iter().any(has_received_write))
    })?;
    // The new primary's log may contain the write, but the demoted member cannot know that.
    if state.members[incarnation.member].role == Role::Replica {
        return Some(error_message(INTERNAL_ERROR));
    }
    Some(row(b"v"))
}
