//! The proxy instance of a soak: its processes, and the events that happen to them.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use pipittack_testkit::wire::query;

use crate::balancer::Balancer;
use crate::clients::{LeavingClient, RequestLog};
use crate::events::{flood, EventKind};
use crate::servers::{Behavior, Servers};
use crate::support::*;
use crate::timeline::Timeline;

/// Memory limit of a process, in megabytes, unless `SOAK_MEMORY_MB` says otherwise.
const DEFAULT_MEMORY_MB: u32 = 64;
/// Time from SIGTERM to SIGKILL: the longest deadline of the configuration and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3700);
/// Time for which a flood or a fault of the system lasts.
const DISTURBANCE_TIME: Duration = Duration::from_millis(300);

/// A process that was terminated, until it has ended.
struct EndingProcess {
    process: Proxy,
    kill_at: Instant,
}

/// What happened to the processes of an instance.
#[derive(Debug)]
pub struct ProcessLog {
    /// Times at which a process was killed, and all its requests with it.
    pub kills: Vec<Instant>,
    /// What went wrong with a process.
    pub violations: Vec<String>,
    /// Largest amount of memory that a process has used, in bytes.
    pub peak_memory: u64,
    /// Number of processes.
    pub started: usize,
    /// Log lines of the processes that have ended.
    pub lines: Vec<String>,
    pub timeline: Timeline,
}

impl ProcessLog {
    /// Creates the log of an instance with one process.
    fn new() -> Self {
        Self {
            kills: Vec::new(),
            violations: Vec::new(),
            peak_memory: 0,
            started: 1,
            lines: Vec::new(),
            timeline: Timeline::start(),
        }
    }

    fn record(&mut self, what: &str, process: &Proxy) {
        let id = process.child.id();
        self.timeline.record(format!("process {id} at {} {what}", process.address));
    }

    fn record_kill(&mut self, process: &Proxy) {
        self.kills.push(Instant::now());
        self.record("is killed", process);
    }

    /// Records the end of a process and keeps its log lines.
    fn record_end(&mut self, process: &Proxy) {
        self.record("has ended", process);
        self.lines.extend(process.log.iter());
    }
}

/// One proxy instance.
pub struct Instance {
    pub servers: Servers,
    pub requests: Arc<RequestLog>,
    pub log: ProcessLog,
    pub balancer: Arc<Balancer>,
    faults: SystemFaults,
    state_dir: PathBuf,
    current: Proxy,
    ending: Vec<EndingProcess>,
    idle_clients: Vec<Client>,
    slow_crowd: Option<SlowCrowd>,
}

/// Slow clients that stay until the end.
struct SlowCrowd {
    clients: usize,
    crowd: Crowd,
}

impl Instance {
    pub fn start(seed: u64) -> Self {
        let servers = Servers::start();
        let name = format!("soak-{seed}");
        let state_dir = create_state_dir(&name);
        let faults = SystemFaults::new(&name);
        let current = faults.start_proxy(&config(), &servers.endpoints, Some(&state_dir));
        Self {
            servers,
            requests: Arc::default(),
            log: ProcessLog::new(),
            balancer: Arc::new(Balancer::new(current.address)),
            faults,
            state_dir,
            current,
            ending: Vec::new(),
            idle_clients: Vec::new(),
            slow_crowd: None,
        }
    }

    /// Plays an event. Returns when it is over.
    pub fn play(&mut self, event: &EventKind) {
        self.log.timeline.record(format!("event {event:?}"));
        match event {
            EventKind::Upgrade { terminate_after } => self.upgrade(*terminate_after),
            EventKind::KilledSuccessor => self.kill_successor(),
            EventKind::Kill => self.kill_current(),
            EventKind::Reloads(count) => (0..*count).for_each(|_| self.current.signal("HUP")),
            EventKind::Pause(period) => {
                self.current.signal("STOP");
                thread::sleep(*period);
                self.current.signal("CONT");
            }
            EventKind::Flood { name, clients } => {
                let clients = FloodingClients::start(self.current.address, *clients, &flood(name));
                thread::sleep(DISTURBANCE_TIME);
                drop(clients);
            }
            EventKind::Crowd(count) => {
                self.idle_clients.extend((0..*count).map(|_| Client::open(&self.current)));
            }
            EventKind::SlowCrowd(clients) => self.start_slow_crowd(*clients),
            EventKind::Leave { bytes_ahead } => LeavingClient::run(self, *bytes_ahead),
            EventKind::Repeat => LeavingClient::run_repeats(self),
            EventKind::Stall(count) => {
                let half = query(&"x".repeat(60_000))[..30_000].to_vec();
                for _ in 0..*count {
                    let mut client = Client::open(&self.current);
                    client.send(&[pipittack_testkit::wire::startup(), half.clone()].concat());
                    self.idle_clients.push(client);
                }
            }
            EventKind::Hang(period) => self.servers.behave(Behavior::Hanging, *period),
            EventKind::EndlessAnswers(period) => self.servers.behave(Behavior::Endless, *period),
            EventKind::CloseServerConnections => self.servers.close_connections(),
            EventKind::SystemFault { call, errno, every } => {
                self.faults.set(call, *errno, *every);
                thread::sleep(DISTURBANCE_TIME);
                self.faults.clear();
            }
            EventKind::ClockStep(step_ms) => self.faults.set("clock", *step_ms, 1),
        }
        self.reap_ended();
    }

    /// Starts slow clients of the process that accepts clients now.
    fn start_slow_crowd(&mut self, clients: usize) {
        let crowd = Crowd::start(&self.current, clients, &MIX);
        self.slow_crowd = Some(SlowCrowd { clients, crowd });
    }

    /// Returns the running process.
    pub fn current(&self) -> &Proxy {
        &self.current
    }

    /// Terminates the last process and waits until all have ended.
    pub fn shut_down(&mut self) {
        self.slow_crowd = None;
        self.balancer.stop_soon();
        self.terminate_current(None);
        while !self.ending.is_empty() {
            thread::sleep(Duration::from_millis(5));
            self.reap_ended();
        }
    }

    fn start_process(&mut self) -> Proxy {
        self.log.started += 1;
        let process = self.faults.start_proxy(&config(), &self.servers.endpoints, Some(&self.state_dir));
        self.log.record("serves", &process);
        process
    }

    fn upgrade(&mut self, terminate_after: Duration) {
        let successor = self.start_process();
        self.balancer.send_to(successor.address);
        thread::sleep(terminate_after);
        self.terminate_current(Some(successor));
    }

    /// Terminates the current process, which `successor` replaces.
    fn terminate_current(&mut self, successor: Option<Proxy>) {
        self.log.record("gets SIGTERM", &self.current);
        self.current.signal("TERM");
        self.current.signal("HUP");
        let kill_at = Instant::now() + KILL_DELAY;
        self.record_memory();
        match successor {
            Some(successor) => {
                let process = std::mem::replace(&mut self.current, successor);
                self.ending.push(EndingProcess { process, kill_at });
            }
            None => {
                let ended = self.current.child.wait_timeout(KILL_DELAY);
                match ended {
                    Some(status) if status.success() => {}
                    Some(status) => self.log.violations.push(format!("a process ended with {status}")),
                    None => {
                        self.log.violations.push("a process outlasted the time of its kill".to_owned());
                        self.log.record_kill(&self.current);
                        let _ = self.current.child.kill();
                    }
                }
                self.log.record_end(&self.current);
            }
        }
    }

    fn kill_successor(&mut self) {
        let mut successor = self.start_process();
        self.balancer.process_killed();
        self.log.record_kill(&successor);
        let _ = successor.child.kill();
        let _ = successor.child.wait();
    }

    fn kill_current(&mut self) {
        self.record_memory();
        self.balancer.process_killed();
        self.log.record_kill(&self.current);
        let _ = self.current.child.kill();
        let _ = self.current.child.wait();
        self.log.record_end(&self.current);
        self.current = self.start_process();
        self.balancer.send_to(self.current.address);
        if let Some(SlowCrowd { clients, crowd }) = self.slow_crowd.take() {
            drop(crowd);
            self.start_slow_crowd(clients);
        }
    }

    fn reap_ended(&mut self) {
        let log = &mut self.log;
        self.ending.retain_mut(|ending| {
            match ending.process.child.try_wait().expect("the child can be waited for") {
                Some(status) => {
                    if !status.success() {
                        log.violations.push(format!("a process ended with {status}"));
                    }
                    log.record_end(&ending.process);
                    false
                }
                None if Instant::now() >= ending.kill_at => {
                    log.violations.push("a process outlasted the time of its kill".to_owned());
                    log.record_kill(&ending.process);
                    let _ = ending.process.child.kill();
                    false
                }
                None => true,
            }
        });
        self.record_memory();
    }

    fn record_memory(&mut self) {
        if std::path::Path::new(&format!("/proc/{}/status", self.current.child.id())).exists() {
            self.log.peak_memory = self.log.peak_memory.max(peak_memory_or_zero(self.current.child.id()));
        }
    }
}

/// Returns the peak memory of a process in bytes; 0 if it has ended.
fn peak_memory_or_zero(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    match status.contains("VmHWM") {
        true => peak_memory_bytes(process_id),
        false => 0,
    }
}

/// Returns the memory limit of a process, in megabytes.
pub fn memory_mb() -> u32 {
    let text = std::env::var("SOAK_MEMORY_MB").ok();
    text.map_or(DEFAULT_MEMORY_MB, |text| text.parse().expect("SOAK_MEMORY_MB is a number"))
}

fn config() -> String {
    config_with_limits(ProcessLimits { memory_mb: memory_mb(), sockets: 1024 })
}
