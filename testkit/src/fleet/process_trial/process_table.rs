//! The child processes of a trial by proxy.
//!
//! Owns every child process with its folder and its log, and signals them. A child is killed and reaped when
//! it is dropped.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use tokio::task::spawn_blocking;

use super::TrialPaths;

/// Ports for listeners, below those that the system assigns to outgoing connections.
const LISTEN_PORTS: Range<u32> = 10_000..32_000;

/// A child process that is killed and reaped when it is dropped.
pub struct OwnedChild(Child);

impl Drop for OwnedChild {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl OwnedChild {
    fn send_signal(&self, signal: Signal) {
        if let Some(pid) = Pid::from_raw(self.0.id() as i32) {
            let _ = kill_process(pid, signal);
        }
    }

    fn has_exited(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

/// What a process is started with.
pub struct PreparedStart {
    program: PathBuf,
    folder: PathBuf,
    config: String,
    log_file: PathBuf,
    admin_address: SocketAddr,
}

impl PreparedStart {
    /// Starts the process. Its files are written and it is spawned on a thread of its own: either may take
    /// tens of milliseconds, and the stand-ins of the trial must go on answering meanwhile.
    pub async fn spawn(self, start_index: usize) -> io::Result<Process> {
        let admin_address = self.admin_address;
        let child = spawn_blocking(move || self.spawn_child()).await??;
        Ok(Process { child, admin_address, start_index })
    }

    fn spawn_child(&self) -> io::Result<OwnedChild> {
        let path = self.folder.join("config.json");
        // The file is replaced atomically, because a process may reload it at any time.
        let temporary = self.folder.join("config.new");
        std::fs::write(&temporary, &self.config)?;
        std::fs::rename(&temporary, &path)?;
        let log = File::create(&self.log_file)?;
        let mut command = Command::new(&self.program);
        command
            .args(["serve", "--ops", &self.admin_address.to_string()])
            .env("GW_CONFIG", &path)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        command.spawn().map(OwnedChild)
    }
}

/// A process of a proxy.
pub struct Process {
    child: OwnedChild,
    admin_address: SocketAddr,
    /// Its index among the starts of the report.
    start_index: usize,
}

/// The admin API of one process.
#[derive(Debug, Clone, Copy)]
pub struct AdminEndpoint {
    pub proxy: usize,
    pub address: SocketAddr,
}

/// The processes of one proxy.
struct Proxy {
    folder: PathBuf,
    listen_address: SocketAddr,
    /// In the order of their starts; the last one serves.
    processes: Vec<Process>,
    /// Number of starts.
    start_count: u32,
    last_killed_at: Option<f64>,
    /// Until when its processes were last paused.
    paused_until: Option<f64>,
}

impl Proxy {
    /// Kills all processes but the newest ones.
    fn kill_all_but_newest(&mut self, kept_count: usize) {
        let killed_count = self.processes.len().saturating_sub(kept_count);
        self.processes.drain(..killed_count);
    }

    fn send_signal(&self, signal: Signal) {
        for process in &self.processes {
            process.child.send_signal(signal);
        }
    }
}

/// The processes of all proxies.
pub struct ProcessTable {
    paths: TrialPaths,
    proxies: Vec<Proxy>,
    next_port: u32,
}

impl ProcessTable {
    /// A table without processes; creates a folder for each proxy.
    pub fn new(paths: TrialPaths, proxies: usize) -> io::Result<Self> {
        // Trials that run at the same time begin at different ports.
        let next_port =
            LISTEN_PORTS.start + std::process::id() * 997 % (LISTEN_PORTS.end - LISTEN_PORTS.start);
        let mut table = Self { paths, proxies: Vec::new(), next_port };
        for proxy in 0..proxies {
            let folder = table.paths.folder.join(format!("p{proxy}"));
            std::fs::create_dir_all(&folder)?;
            let listen_address = table.free_address()?;
            table.proxies.push(Proxy {
                folder,
                listen_address,
                processes: Vec::new(),
                start_count: 0,
                last_killed_at: None,
                paused_until: None,
            });
        }
        Ok(table)
    }

    /// An address at which no process listens.
    fn free_address(&mut self) -> io::Result<SocketAddr> {
        for _ in LISTEN_PORTS {
            self.next_port = LISTEN_PORTS.start
                + (self.next_port + 1 - LISTEN_PORTS.start) % (LISTEN_PORTS.end - LISTEN_PORTS.start);
            let address = SocketAddr::from(([127, 0, 0, 1], self.next_port as u16));
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(io::ErrorKind::AddrNotAvailable.into())
    }

    /// Where clients reach a proxy.
    pub fn listen_address(&self, proxy: usize) -> SocketAddr {
        self.proxies[proxy].listen_address
    }

    /// The admin APIs of all processes.
    pub fn admin_endpoints(&self) -> Vec<AdminEndpoint> {
        let proxies = self.proxies.iter().enumerate();
        proxies
            .flat_map(|(proxy, state)| {
                let addresses = state.processes.iter().map(|process| process.admin_address);
                addresses.map(move |address| AdminEndpoint { proxy, address })
            })
            .collect()
    }

    /// The admin API of a proxy's successor, while there is one.
    pub fn successor_admin_address(&self, proxy: usize) -> Option<SocketAddr> {
        self.proxies[proxy].processes.get(1).map(|process| process.admin_address)
    }

    /// Number of processes of a proxy.
    pub fn process_count(&self, proxy: usize) -> usize {
        self.proxies[proxy].processes.len()
    }

    /// The index in the report of the start of the process that serves a proxy.
    pub fn start_index(&self, proxy: usize) -> Option<usize> {
        self.proxies[proxy].processes.last().map(|process| process.start_index)
    }

    /// Whether a process of a proxy was killed after a time.
    pub fn was_killed_since(&self, proxy: usize, since: f64) -> bool {
        self.proxies[proxy].last_killed_at.is_some_and(|at| at >= since)
    }

    /// Whether a proxy's processes have been paused after a time.
    pub fn was_paused_since(&self, proxy: usize, since: f64) -> bool {
        self.proxies[proxy].paused_until.is_some_and(|until| until >= since)
    }

    /// Chooses the admin address and the log file of a new process.
    pub fn prepare_start(&mut self, proxy: usize, config: String) -> io::Result<PreparedStart> {
        let admin_address = self.free_address()?;
        let proxy = &mut self.proxies[proxy];
        let log_file = proxy.folder.join(format!("log-{}.txt", proxy.start_count));
        proxy.start_count += 1;
        let (program, folder) = (self.paths.program.clone(), proxy.folder.clone());
        Ok(PreparedStart { program, folder, config, log_file, admin_address })
    }

    /// Adds a process that has started.
    pub fn add_process(&mut self, proxy: usize, process: Process) {
        self.proxies[proxy].processes.push(process);
    }

    /// Pauses a proxy's processes.
    pub fn pause(&mut self, proxy: usize) {
        self.proxies[proxy].send_signal(Signal::STOP);
        self.proxies[proxy].paused_until = Some(f64::INFINITY);
    }

    /// Resumes a proxy's processes.
    pub fn resume(&mut self, proxy: usize, now: f64) {
        self.proxies[proxy].send_signal(Signal::CONT);
        self.proxies[proxy].paused_until = Some(now);
    }

    /// Has a proxy's processes reload their configuration.
    pub fn reload(&self, proxy: usize) {
        self.proxies[proxy].send_signal(Signal::HUP);
    }

    /// Has a proxy's processes shut down gracefully.
    pub fn shut_down(&self, proxy: usize) {
        self.proxies[proxy].send_signal(Signal::TERM);
    }

    /// Has one process of a proxy shut down gracefully, unless it was killed meanwhile.
    pub fn shut_down_process(&self, proxy: usize, start_index: usize) {
        let mut processes = self.proxies[proxy].processes.iter();
        if let Some(process) = processes.find(|process| process.start_index == start_index) {
            process.child.send_signal(Signal::TERM);
        }
    }

    /// Whether one process of a proxy has exited or was killed.
    pub fn has_exited(&mut self, proxy: usize, start_index: usize) -> bool {
        let mut processes = self.proxies[proxy].processes.iter_mut();
        let process = processes.find(|process| process.start_index == start_index);
        process.is_none_or(|process| process.child.has_exited())
    }

    /// Kills a proxy's processes.
    pub fn kill(&mut self, proxy: usize, now: f64) {
        self.proxies[proxy].last_killed_at = Some(now);
        self.proxies[proxy].kill_all_but_newest(0);
    }

    /// Kills the predecessors of the process that serves a proxy.
    pub fn kill_predecessors(&mut self, proxy: usize) {
        self.proxies[proxy].kill_all_but_newest(1);
    }

    /// Kills all processes, and describes those that had exited by themselves.
    pub fn kill_all(&mut self) -> Vec<String> {
        let mut unexpected_exits = Vec::new();
        for (proxy_index, proxy) in self.proxies.iter_mut().enumerate() {
            for process in &mut proxy.processes {
                if let Ok(Some(status)) = process.child.0.try_wait() {
                    unexpected_exits.push(describe_exit(proxy_index, status));
                }
            }
            proxy.kill_all_but_newest(0);
        }
        unexpected_exits
    }
}

/// Describes a process that has exited although nobody ended it.
fn describe_exit(proxy: usize, status: ExitStatus) -> String {
    let kind = if status.success() { "Ended" } else { "Crashed" };
    format!("{kind}: a process of proxy {proxy} ended with {status}")
}

#[cfg(test)]
mod tests;
