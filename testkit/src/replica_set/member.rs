//! The state of a replica set: its members, their logs and their counts.

use std::collections::HashMap;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{unix_ms, MemberState, Role};

/// A write in a log.
#[derive(Debug, Clone)]
pub(super) struct LogEntry {
    pub(super) id: Arc<str>,
    pub(super) written_unix_ms: u64,
}

/// A member of the set.
pub(super) struct Member {
    pub(super) state: MemberState,
    pub(super) role: Role,
    /// It takes no more writes.
    pub(super) is_handing_over: bool,
    /// It rejects new requests of any kind.
    pub(super) is_draining: bool,
    pub(super) log: Vec<LogEntry>,
    /// Time up to which it has all commits.
    pub(super) position_unix_ms: u64,
    /// Replication lag on top of the usual delay.
    pub(super) lag: Duration,
    /// Requests that it executes.
    pub(super) running: usize,
    /// How often its process was started. Work of an earlier incarnation is dropped.
    pub(super) incarnation: u32,
    pub(super) streams: Vec<TcpStream>,
    /// How often it executed each write.
    pub(super) executions: HashMap<Arc<str>, u32>,
    /// When it began its first write after its promotion.
    pub(super) first_write_at: Option<Instant>,
    pub(super) promoted_at: Option<Instant>,
}

/// All members.
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
            running: 0,
            incarnation: 0,
            streams: Vec::new(),
            executions: HashMap::new(),
            first_write_at: None,
            promoted_at: None,
        }
    }

    /// Ends all connections, and with them the requests that are executed for them.
    pub(super) fn end_incarnation(&mut self) {
        self.incarnation += 1;
        self.running = 0;
        for stream in self.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Whether it reports that it is the primary.
    pub(super) fn claims_primary(&self) -> bool {
        self.role != Role::Replica && !self.is_handing_over
    }

    pub(super) fn describe(&self) -> String {
        let Self { state, role, running, .. } = self;
        let log_length = self.log.len();
        let connections = self.streams.len();
        format!(
            "{state:?} {role:?}: {log_length} writes in its log, {running} requests running, {connections} connections"
        )
    }
}

impl SetState {
    /// The member that replicas follow.
    pub(super) fn primary(&self) -> Option<usize> {
        self.members.iter().position(|member| member.role == Role::Primary)
    }

    /// Cuts a replica's log back to what it shares with the primary's.
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
