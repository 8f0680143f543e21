//! The list service: calls in a queue, and changes that are told late.
//!
//! Owns the queue, the entries with their versions, and when each change is told. It works through calls one after
//! another, also through those that have failed by waiting for too long. It must never tell a change before its time.

use std::collections::BTreeMap;

use pipittack_core::api::{Endpoint, EndpointState};

/// How the service works.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// Calls that it answers in a second.
    pub rate: f64,
    /// Time in s after which a call that waits has failed.
    pub timeout_s: f64,
    /// Time in s after which it hears of a change, and the longest until a watcher is told then.
    pub notice_s: f64,
    /// See `notice_s`.
    pub spread_s: f64,
}

/// How a call ends, and when.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Call {
    /// Answered at this time, after this wait.
    Answered(f64, f64),
    /// Failed at this time.
    Failed(f64),
}

/// The service. Times are s.
#[derive(Debug, Clone)]
pub struct Directory {
    service: Service,
    free_at: f64,
    /// It is out of reach up to this time.
    down_until: f64,
    /// What each version changed, and when the service heard of it. The first one is the whole list.
    versions: Vec<(f64, Vec<Endpoint>)>,
    /// Calls, those that failed while it was up, and the longest wait of one that was answered.
    pub calls: usize,
    /// See `calls`.
    pub failed: usize,
    /// See `calls`.
    pub longest_s: f64,
}

impl Directory {
    /// One that knows this list since ever.
    pub fn new(service: Service, entries: Vec<Endpoint>) -> Self {
        let (free_at, down_until) = (0.0, 0.0);
        let versions = vec![(0.0, entries)];
        Self { service, free_at, down_until, versions, calls: 0, failed: 0, longest_s: 0.0 }
    }

    /// Out of reach for so long from now on.
    pub fn fail(&mut self, now: f64, for_s: f64) {
        self.down_until = self.down_until.max(now + for_s);
    }

    /// Whether it is out of reach.
    pub fn is_down(&self, now: f64) -> bool {
        now < self.down_until
    }

    /// Something changed; gives the version and when the service hears of it.
    pub fn changed(&mut self, now: f64, entry: Endpoint) -> (usize, f64) {
        let heard = now + self.service.notice_s;
        let heard = self.versions.last().map_or(heard, |last| heard.max(last.0));
        self.versions.push((heard, vec![entry]));
        (self.versions.len() - 1, heard)
    }

    /// Entries changed long ago.
    pub fn had_changed(&mut self, entries: Vec<Endpoint>) {
        self.versions.push((0.0, entries));
    }

    /// It was restored from a copy of this age: what it heard since is gone.
    pub fn restore(&mut self, now: f64, age: f64) {
        let kept = self.versions.iter().take_while(|(heard, _)| *heard <= now - age).count();
        self.versions.truncate(kept.max(1));
    }

    /// The version that it tells now.
    pub fn version(&self, now: f64) -> usize {
        self.versions.iter().rposition(|(heard, _)| *heard <= now).unwrap_or(0)
    }

    /// The whole list of a version.
    pub fn whole(&self, version: usize) -> Vec<Endpoint> {
        let known = &self.versions[..=version.min(self.versions.len() - 1)];
        let mut list = BTreeMap::new();
        for entry in known.iter().flat_map(|(_, changed)| changed) {
            list.insert(entry.server, entry.clone());
        }
        list.into_values().filter(|entry| entry.state != EndpointState::Removed).collect()
    }

    /// What changed from one version to another, each entry as it stands then.
    pub fn since(&self, after: usize, version: usize) -> Vec<Endpoint> {
        let changed = self.versions.get(after + 1..=version).unwrap_or_default();
        let mut list = BTreeMap::new();
        for entry in changed.iter().flat_map(|(_, changed)| changed) {
            list.insert(entry.server, entry.clone());
        }
        list.into_values().collect()
    }

    /// A call for the list or for a watch.
    pub fn call(&mut self, now: f64) -> Call {
        self.calls += 1;
        if self.is_down(now) {
            return Call::Failed(now + 0.001);
        }
        let done = self.free_at.max(now) + 1.0 / self.service.rate;
        self.free_at = done;
        let waited = done - now;
        if waited > self.service.timeout_s {
            self.failed += 1;
            return Call::Failed(now + self.service.timeout_s);
        }
        self.longest_s = self.longest_s.max(waited);
        Call::Answered(done, waited)
    }

    /// How it works.
    pub fn service(&self) -> Service {
        self.service
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pipittack_core::api::{GroupId, MachineKindId, ServerId, ZoneId};

    fn entry(server: u32, health: EndpointState) -> Endpoint {
        Endpoint {
            server: ServerId(server),
            zone: ZoneId(0),
            machine_kind: MachineKindId(0),
            group: GroupId(0),
            listed_primary: false,
            state: health,
            relative_capacity: 1.0,
            started_at: None,
        }
    }

    const SERVICE: Service = Service { rate: 10.0, timeout_s: 0.35, notice_s: 2.0, spread_s: 0.2 };

    #[test]
    fn calls_wait_in_turn_and_those_that_failed_are_worked_on_all_the_same() {
        let mut directory = Directory::new(SERVICE, vec![]);
        let ends: Vec<_> = (0..5).map(|_| directory.call(1.0)).collect();
        assert!(matches!(ends[2], Call::Answered(at, _) if (at - 1.3).abs() < 1e-9));
        assert_eq!((ends[4], directory.failed), (Call::Failed(1.35), 2));
        assert!(matches!(directory.call(1.4), Call::Answered(at, _) if (at - 1.6).abs() < 1e-9));
        directory.fail(5.0, 1.0);
        assert!(matches!(directory.call(5.5), Call::Failed(_)) && !directory.is_down(6.0));
    }

    #[test]
    fn a_change_is_told_late_and_a_restored_copy_tells_less() {
        use EndpointState::*;
        let mut directory = Directory::new(SERVICE, vec![entry(1, Healthy), entry(2, Healthy)]);
        assert_eq!(directory.changed(2.0, entry(1, Draining)), (1, 4.0));
        assert_eq!(directory.changed(2.5, entry(1, Removed)).0, 2);
        assert_eq!((directory.version(3.9), directory.version(4.0)), (0, 1));
        assert_eq!(directory.whole(1)[0].state, Draining);
        assert_eq!((directory.whole(2).len(), directory.since(0, 2)), (1, vec![entry(1, Removed)]));
        directory.restore(6.0, 1.8);
        assert_eq!((directory.version(9.0), directory.since(2, 1)), (1, vec![]));
    }
}
