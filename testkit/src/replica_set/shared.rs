//! State that the threads of a replica set share, waits for changes of that state, and replication.

use std::sync::{Condvar, Mutex, MutexGuard};

use super::member::{Member, SetState};
use super::{unix_ms, MemberState, ReplicaSetConfig, Role};

/// Configuration and locked state of a replica set.
pub(super) struct Shared {
    pub(super) config: ReplicaSetConfig,
    pub(super) changed: Condvar,
    state: Mutex<SetState>,
}

/// One run of a member's process. Connections and requests belong to the incarnation that accepted them.
#[derive(Clone, Copy)]
pub(super) struct Incarnation {
    /// Index of the member.
    pub(super) member: usize,
    /// Value of `Member::incarnation` while this run lasts.
    pub(super) number: u32,
}

impl Shared {
    pub(super) fn new(config: ReplicaSetConfig, members: Vec<Member>) -> Self {
        let state = Mutex::new(SetState { members, is_stopped: false });
        Self { config, state, changed: Condvar::new() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, SetState> {
        self.state.lock().expect("the lock is not poisoned")
    }

    pub(super) fn is_stopped(&self) -> bool {
        self.lock().is_stopped
    }

    /// Waits until the member runs. Returns `None` if the incarnation has ended or the replica set has
    /// stopped.
    pub(super) fn wait_until_running(&self, incarnation: Incarnation) -> Option<MutexGuard<'_, SetState>> {
        let is_running = |_: &SetState, member: &Member| member.state == MemberState::Running;
        self.wait_until(self.lock(), incarnation, is_running)
    }

    /// Waits until a condition on the member holds. Returns `None` if the incarnation has ended or the
    /// replica set has stopped.
    pub(super) fn wait_until<'s>(
        &'s self,
        mut state: MutexGuard<'s, SetState>,
        incarnation: Incarnation,
        condition: impl Fn(&SetState, &Member) -> bool,
    ) -> Option<MutexGuard<'s, SetState>> {
        loop {
            let member = &state.members[incarnation.member];
            if state.is_stopped || member.incarnation != incarnation.number {
                return None;
            }
            if condition(&state, member) {
                return Some(state);
            }
            state = self.changed.wait(state).expect("the lock is not poisoned");
        }
    }

    /// Copies the primary's log to the running replicas, up to each replica's delay. Does nothing unless the
    /// primary is running.
    pub(super) fn replicate(&self) {
        let mut state = self.lock();
        let Some(primary) = state.primary() else { return };
        if state.members[primary].state != MemberState::Running {
            return;
        }
        let now_ms = unix_ms();
        let log = std::mem::take(&mut state.members[primary].log);
        let is_following =
            |member: &&mut Member| member.role == Role::Replica && member.state == MemberState::Running;
        for member in state.members.iter_mut().filter(is_following) {
            let delay = self.config.replication_delay + member.lag;
            let received_until_ms = now_ms.saturating_sub(delay.as_millis() as u64);
            member.position_unix_ms = member.position_unix_ms.max(received_until_ms);
            let missing = log.get(member.log.len()..).unwrap_or_default();
            let received = missing.iter().take_while(|entry| entry.written_unix_ms <= received_until_ms);
            member.log.extend(received.cloned());
        }
        state.members[primary].log = log;
        state.members[primary].position_unix_ms = now_ms;
        drop(state);
        self.changed.notify_all();
    }
}
