//! A stand-in replica set on loopback: a primary and its replicas, with a log, synchronous or asynchronous
//! replication, replication lag, and failovers of every kind.
//!
//! Owns the members' logs and, for each member, a count of the executions of each write. The count stays complete
//! when a member's log is cut back. The failures are those that PostgreSQL's documentation of streaming replication
//! and failover describes, and none happens unless a test orders it.

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

/// Time between two rounds of replication.
const REPLICATION_INTERVAL: Duration = Duration::from_millis(2);

/// How a set replicates and how fast it works.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaSetConfig {
    /// A write is acknowledged only once a replica has it too.
    pub synchronous: bool,
    /// Requests that one member executes at a time.
    pub max_concurrency: usize,
    /// Execution time of a request.
    pub execution_time: Duration,
    /// Time after which a replica has what its primary wrote.
    pub replication_delay: Duration,
}

/// What a member's process and network do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It works.
    Running,
    /// Its process is paused, with all its connections open.
    Paused,
    /// Nothing comes in or goes out, while its work goes on.
    Partitioned,
    /// Its process does not exist.
    Crashed,
}

/// What a member takes itself to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It takes writes, and replicas follow it.
    Primary,
    /// It follows the primary.
    Replica,
    /// It was replaced and does not know: it reports that it is the primary, and nobody follows it.
    StalePrimary,
}

/// What all members together executed, and what is in the log of the present primary.
#[derive(Debug, Default, Clone)]
pub struct WriteLog {
    /// How often each write was executed, over all members.
    pub executions: HashMap<String, u32>,
    /// How often each write is in the log of the present primary.
    pub committed: HashMap<String, u32>,
}

/// The set. Dropping it ends its threads.
pub struct ReplicaSet {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}

impl ReplicaSet {
    /// Starts a set of so many members, the first of which is the primary.
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
        let replication = shared.clone();
        thread::spawn(move || {
            while !replication.is_stopped() {
                replication.replicate();
                thread::sleep(REPLICATION_INTERVAL);
            }
        });
        Ok(Self { shared, addresses })
    }

    /// Where the members listen.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// The member that replicas follow, if there is one.
    pub fn primary(&self) -> Option<usize> {
        self.shared.lock().primary()
    }

    /// Pauses a member, cuts it off, or kills its process, which resets its connections.
    pub fn set_member_state(&self, member: usize, member_state: MemberState) {
        self.update(|state| {
            let member = &mut state.members[member];
            member.state = member_state;
            if member_state == MemberState::Crashed {
                member.end_incarnation();
            }
        });
    }

    /// Lets a member work again, in this role. The connections of one that was partitioned or crashed end.
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

    /// Makes a stale primary a replica.
    pub fn demote(&self, index: usize) {
        self.update(|state| {
            state.members[index].role = Role::Replica;
            state.truncate_to_primary(index);
        });
    }

    /// Promotes the running replica with the longest log. A previous primary that does not run becomes a stale
    /// primary. Gives the new primary; none where no replica runs.
    pub fn promote(&self) -> Option<usize> {
        self.update(SetState::promote)
    }

    /// The primary takes no more writes, because it hands over.
    pub fn begin_handover(&self, member: usize) {
        self.update(|state| state.members[member].is_handing_over = true);
    }

    /// The primary takes no new requests at all, and hands over.
    pub fn begin_draining(&self, member: usize) {
        self.update(|state| {
            state.members[member].is_handing_over = true;
            state.members[member].is_draining = true;
        });
    }

    /// Whether some running replica has all that a member wrote.
    pub fn is_replicated(&self, index: usize) -> bool {
        let state = self.shared.lock();
        let length = state.members[index].log.len();
        let has_all = |member: &Member| member.state == MemberState::Running && member.log.len() >= length;
        state.members.iter().enumerate().any(|(i, member)| i != index && has_all(member))
    }

    /// Sets how much later than usual a replica has what its primary wrote.
    pub fn set_replication_lag(&self, member: usize, lag: Duration) {
        self.update(|state| state.members[member].lag = lag);
    }

    /// The time between a member's promotion and the start of its first write since.
    pub fn time_to_first_write(&self, member: usize) -> Option<Duration> {
        let state = self.shared.lock();
        let member = &state.members[member];
        Some(member.first_write_at?.saturating_duration_since(member.promoted_at?))
    }

    /// A summary of each member, for debugging.
    pub fn describe(&self) -> String {
        let state = self.shared.lock();
        let members: Vec<_> = state.members.iter().map(Member::describe).collect();
        members.join("; ")
    }

    /// What the members executed and committed so far.
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
            let _ = TcpStream::connect(address); // wakes the listener, which then ends
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
        // Running replicas have the whole log before the new primary takes writes.
        let log = promoted.log.clone();
        for member in self.members.iter_mut().filter(|member| is_eligible(member)) {
            member.log.clone_from(&log);
        }
        (0..self.members.len()).for_each(|index| self.truncate_to_primary(index));
        Some(chosen)
    }
}
