//! State of a replica set: its members with their logs and execution counts.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{unix_ms, MemberState, Role};

/// An entry of a member's log.
#[derive(Debug, Clone)]
pub(super) struct LogEntry {
    pub(super) id: Arc<str>,
    pub(super) written_unix_ms: u64,
}

/// A member of the replica set.
pub(super) struct Member {
    pub(super) state: MemberState,
    pub(super) role: Role,
    /// Whether the member rejects writes because of a handover.
    pub(super) is_handing_over: bool,
    /// Whether the member rejects all new requests.
    pub(super) is_draining: bool,
    pub(super) log: Vec<LogEntry>,
    /// Replication position: time up to which the member has all commits.
    pub(super) position_unix_ms: u64,
    /// Replication lag in addition to the configured delay.
    pub(super) lag: Duration,
    /// Number of requests that the member is executing.
    pub(super) active_requests: usize,
    /// Number of incarnations that have ended. Requests of an earlier incarnation are discarded.
    pub(super) incarnation: u32,
    /// Clones of the open connections, to shut them down when the incarnation ends.
    pub(super) streams: Vec<TcpStream>,
    /// Number of executions of each write on this member.
    pub(super) executions: HashMap<Arc<str>, u32>,
    /// Time at which the member began its first write as primary since its last promotion, or `None` if it
    /// has begun none.
    pub(super) first_write_at: Option<Instant>,
    /// Time of the member's last promotion, or `None` for a member that was never promoted.
    pub(super) promoted_at: Option<Instant>,
}

/// State of a replica set, guarded by the lock in `Shared`.
pub(super) struct SetState {
    pub(super) members: Vec<Member>,
    pub(super) is_stopped: bool,
}

impl Member {
    pub(super) fn new(role: Role) -> Self {
        Self {
            state: MemberState::Running,
            role,
            is_handing_over: false,
            is_draining: false,
            log: Vec::new(),
            position_unix_ms: unix_ms(),
            lag: Duration::ZERO,
            active_requests: 0,
            incarnation: 0,
            streams: Vec::new(),
            executions: HashMap::new(),
            first_write_at: None,
            promoted_at: None,
        }
    }

    /// Ends all connections of the member and the requests that arrived on them.
    pub(super) fn end_incarnation(&mut self) {
        self.incarnation += 1;
        self.active_requests = 0;
        for stream in self.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns whether the member reports that it is the primary.
    pub(super) fn reports_primary(&self) -> bool {
        self.role != Role::Replica && !self.is_handing_over
    }

    pub(super) fn describe(&self) -> String {
        let Self { state, role, active_requests, .. } = self;
        let log_length = self.log.len();
        let connections = self.streams.len();
        format!(
            "{state:?} {role:?}: {log_length} writes in its log, {active_requests} active requests, {connections} connections"
        )
    }
}

impl SetState {
    /// Returns the member whose role is primary, or `None` if there is none.
    pub(super) fn primary(&self) -> Option<usize> {
        self.members.iter().position(|member| member.role == Role::Primary)
    }

    /// Truncates a replica's log to the prefix that it shares with the primary's log.
    pub(super) fn truncate_to_primary(&mut self, index: usize) {
        let Some(primary) = self.primary() else { return };
        if self.members[index].role != Role::Replica {
            return;
        }
        let pairs = self.members[index].log.iter().zip(&self.members[primary].log);
        let shared_length = pairs.take_while(|(own, primary)| own.id == primary.id).count();
        self.members[index].log.truncate(shared_length);
    }
}
