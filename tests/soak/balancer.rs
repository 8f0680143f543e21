//! The load balancer in front of a soak's proxy instance: where new connections go, and whether a request is sent again.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time from the SIGTERM of a process without a successor for which new connections still come.
const NOTICE_PERIOD: Duration = Duration::from_millis(400);

/// Process that gets the new connections.
#[derive(Debug)]
struct Target {
    address: SocketAddr,
    /// Time from which it gets none.
    ends_at: Option<Instant>,
    /// Time at which a process was last killed.
    killed_at: Option<Instant>,
}

/// Load balancer that sends new connections to one process.
#[derive(Debug)]
pub struct Balancer(Mutex<Target>);

impl Balancer {
    pub fn new(address: SocketAddr) -> Self {
        Self(Mutex::new(Target { address, ends_at: None, killed_at: None }))
    }

    /// Sends new connections to the process at this address.
    pub fn send_to(&self, address: SocketAddr) {
        let mut target = self.0.lock().expect("no thread panics");
        target.address = address;
        target.ends_at = None;
    }

    /// Sends no new connections any more, after the notice period.
    pub fn stop_soon(&self) {
        self.0.lock().expect("no thread panics").ends_at = Some(Instant::now() + NOTICE_PERIOD);
    }

    /// Records that a process is killed now.
    pub fn process_killed(&self) {
        self.0.lock().expect("no thread panics").killed_at = Some(Instant::now());
    }

    /// Returns whether a request that was sent at `sent_at` may be sent once more as its connection has ended: if a
    /// close between two requests has crossed it, but not if its process may have been killed while it worked on it.
    pub fn may_send_again(&self, sent_at: Instant) -> bool {
        self.0.lock().expect("no thread panics").killed_at.is_none_or(|killed_at| killed_at < sent_at)
    }

    /// Returns the address for a new connection; `None` if there is no process for it.
    pub fn address(&self) -> Option<SocketAddr> {
        let target = self.0.lock().expect("no thread panics");
        let has_ended = target.ends_at.is_some_and(|ends_at| Instant::now() >= ends_at);
        (!has_ended).then_some(target.address)
    }
}
