//! Stand-in for a replica set on loopback addresses: a primary and its replicas with a write log, synchronous
//! or asynchronous replication, replication lag, and failures.
//!
//! Each member has a log of writes and a count of the executions of each write. Truncating a member's log
//! does not change the count. The failures are those that PostgreSQL's documentation of streaming replication
//! and failover describes. A failure occurs only when a test injects it.

mod connection;
mod execution;
mod member;
mod shared;

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use member::{Member, SetState};
use shared::Shared;

/// Interval of replication from the primary to its replicas.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);

/// Replication mode and performance of a replica set.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaSetConfig {
    /// Whether the primary acknowledges a write only once a replica has received it.
    pub synchronous: bool,
    /// Maximum number of requests that a member executes concurrently.
    pub max_concurrency: usize,
    /// Time that a member takes to execute a request.
    pub execution_time: Duration,
    /// Time from a write at the primary until a replica has received and applied it.
    pub replication_delay: Duration,
}

/// State of a member's process and network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The member executes requests and replicates.
    Running,
    /// The member's process is paused, with all its connections open.
    Paused,
    /// The member receives and sends nothing, but continues to execute the requests that it has begun.
    Partitioned,
    /// The member's process has exited; new connections are closed at once.
    Crashed,
}

/// Role of a member as the member itself sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The member takes writes, and replicas replicate from it.
    Primary,
    /// The member replicates from the primary.
    Replica,
    /// The member was replaced as the primary without learning of it: it still reports that it is the primary
    /// and takes writes, but no replica replicates from it.
    StalePrimary,
}

/// Executions and commits of each write, by the id of the request.
#[derive(Debug, Default, Clone)]
pub struct WriteLog {
    /// Number of executions of each write, over all members.
    pub executions: HashMap<String, u32>,
    /// Number of entries of each write in the log of the current primary.
    pub committed: HashMap<String, u32>,
}

/// A running replica set. Dropping it ends its threads and connections.
pub struct ReplicaSet {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

impl ReplicaSet {
    /// Starts a replica set of `member_count` members on free loopback ports. Member 0 is the primary.
    pub fn start(member_count: usize, config: ReplicaSetConfig) -> io::Result<Self> {
        let role = |index| if index == 0 { Role::Primary } else { Role::Replica };
        let members = (0..member_count).map(|index| Member::new(role(index))).collect();
        let shared = Arc::new(Shared::new(config, members));
        let mut addresses = Vec::new();
        for index in 0..member_count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let shared = shared.clone();
            thread::spawn(move || connection::accept_connections(&listener, &shared, index));
        }
        let replication_shared = shared.clone();
        thread::spawn(move || {
            while !replication_shared.is_stopped() {
                replication_shared.replicate();
                thread::sleep(REPLICATION_INTERVAL);
            }
        });
        Ok(Self { shared, addresses })
    }

    /// Returns the addresses on which the members listen, by member.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the member whose role is primary, or `None` if there is none.
    pub fn primary(&self) -> Option<usize> {
        self.shared.lock().primary()
    }

    /// Sets the state of a member's process and network. A crash ends the member's connections and requests.
    pub fn set_member_state(&self, member: usize, member_state: MemberState) {
        self.update(|state| {
            let member = &mut state.members[member];
            member.state = member_state;
            if member_state == MemberState::Crashed {
                member.end_incarnation();
            }
        });
    }

    /// Makes a member run again in this role, no longer draining or handing over. If the member was
    /// partitioned, its connections and requests end. The log of a replica is truncated to what it shares
    /// with the primary.
    pub fn recover(&self, index: usize, role: Role) {
        self.update(|state| {
            let member = &mut state.members[index];
            if member.state == MemberState::Partitioned {
                member.end_incarnation();
            }
            member.state = MemberState::Running;
            member.role = role;
            member.is_handing_over = false;
            member.is_draining = false;
            if role == Role::Replica {
                state.truncate_to_primary(index);
            }
        });
    }

    /// Makes a stale primary a replica and truncates its log to what it shares with the primary.
    pub fn demote(&self, index: usize) {
        self.update(|state| {
            state.members[index].role = Role::Replica;
            state.truncate_to_primary(index);
        });
    }

    /// Promotes the running replica with the longest log. The previous primary becomes a replica if it is
    /// running, and a stale primary otherwise. Returns the new primary, or `None` if no replica is running.
    pub fn promote(&self) -> Option<usize> {
        self.update(SetState::promote)
    }

    /// Begins a handover at the primary, which then rejects writes and reports that it is a replica.
    pub fn begin_handover(&self, member: usize) {
        self.update(|state| state.members[member].is_handing_over = true);
    }

    /// Begins draining and a handover at the primary, which then rejects all new requests.
    pub fn begin_draining(&self, member: usize) {
        self.update(|state| {
            state.members[member].is_handing_over = true;
            state.members[member].is_draining = true;
        });
    }

    /// Returns whether another running member has all writes of this member, by the length of their logs.
    pub fn is_replicated(&self, index: usize) -> bool {
        let state = self.shared.lock();
        let length = state.members[index].log.len();
        let has_all = |member: &Member| member.state == MemberState::Running && member.log.len() >= length;
        state.members.iter().enumerate().any(|(i, member)| i != index && has_all(member))
    }

    /// Sets a replica's replication lag in addition to the configured `replication_delay`.
    pub fn set_replication_lag(&self, member: usize, lag: Duration) {
        self.update(|state| state.members[member].lag = lag);
    }

    /// Returns the time from a member's promotion until it began its first write, or `None` if either has not
    /// occurred.
    pub fn time_to_first_write(&self, member: usize) -> Option<Duration> {
        let state = self.shared.lock();
        let member = &state.members[member];
        Some(member.first_write_at?.saturating_duration_since(member.promoted_at?))
    }

    /// Returns a one-line summary of all members for debugging.
    pub fn describe(&self) -> String {
        let state = self.shared.lock();
        let members: Vec<_> = state.members.iter().map(Member::describe).collect();
        members.join("; ")
    }

    /// Returns the writes that the members have executed and committed so far.
    pub fn write_log(&self) -> WriteLog {
        let state = self.shared.lock();
        let mut log = WriteLog::default();
        for (id, count) in state.members.iter().flat_map(|member| &member.executions) {
            *log.executions.entry(id.to_string()).or_default() += count;
        }
        let entries = state.primary().map_or(&[][..], |primary| &state.members[primary].log);
        for entry in entries {
            *log.committed.entry(entry.id.to_string()).or_default() += 1;
        }
        log
    }

    fn update<T>(&self, update: impl FnOnce(&mut SetState) -> T) -> T {
        let result = update(&mut self.shared.lock());
        self.shared.changed.notify_all();
        result
    }
}

impl Drop for ReplicaSet {
    fn drop(&mut self) {
        self.update(|state| {
            state.is_stopped = true;
            state.members.iter_mut().for_each(Member::end_incarnation);
        });
        for address in &self.addresses {
            let _ = TcpStream::connect(address); // unblocks `accept`, so that the listener thread ends
        }
    }
}

impl SetState {
    fn promote(&mut self) -> Option<usize> {
        let is_eligible =
            |member: &Member| member.state == MemberState::Running && member.role == Role::Replica;
        let candidates = self.members.iter().enumerate().filter(|(_, member)| is_eligible(member));
        let (chosen, _) = candidates.max_by_key(|(_, member)| member.log.len())?;
        for (index, member) in self.members.iter_mut().enumerate() {
            if index != chosen && member.role == Role::Primary {
                let is_running = member.state == MemberState::Running;
                member.role = if is_running { Role::Replica } else { Role::StalePrimary };
            }
        }
        let promoted = &mut self.members[chosen];
        promoted.role = Role::Primary;
        promoted.is_handing_over = false;
        promoted.first_write_at = None;
        promoted.promoted_at = Some(Instant::now());
        // All running replicas receive the complete log before the new primary takes writes.
        let log = promoted.log.clone();
        for member in self.members.iter_mut().filter(|member| is_eligible(member)) {
            member.log.clone_from(&log);
        }
        (0..self.members.len()).for_each(|index| self.truncate_to_primary(index));
        Some(chosen)
    }
}
