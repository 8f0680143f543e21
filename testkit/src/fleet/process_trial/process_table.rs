//! Child processes of a trial, by proxy.
//!
//! Owns all child processes with their folders and logs, and sends signals to them. A child process is killed
//! when it is dropped.

use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use tokio::task::spawn_blocking;

use super::TrialPaths;

/// Ports at which processes listen. The range is below the ports that the operating system assigns to
/// outgoing connections.
const LISTEN_PORTS: Range<u32> = 10_000..32_000;

/// Child process that is killed when it is dropped. A thread of its own reaps it: on a busy machine, a killed
/// process takes long to end, and the trial's thread must not wait for it.
pub struct OwnedChild(Child);

impl Drop for OwnedChild {
    fn drop(&mut self) {
        let _ = self.0.kill();
        if self.has_exited() {
            return;
        }
        if let Some(pid) = self.pid() {
            std::thread::spawn(move || waitpid(Some(pid), WaitOptions::empty()));
        }
    }
}

impl OwnedChild {
    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.0.id() as i32)
    }

    fn send_signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    fn has_exited(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(Some(_)))
    }
}

/// Program, files and admin address for a process that has not been started yet.
pub struct PreparedStart {
    program: PathBuf,
    folder: PathBuf,
    config: String,
    log_file: PathBuf,
    admin_address: SocketAddr,
}

impl PreparedStart {
    /// Writes the files of the process and starts it, on a separate thread. Both may take tens of
    /// milliseconds, and the simulated servers and the discovery service, which share one thread, must go on
    /// responding meanwhile. `start_index` is the index of the process's entry in the starts of the report.
    pub async fn spawn(self, start_index: usize) -> io::Result<Process> {
        let admin_address = self.admin_address;
        let child = spawn_blocking(move || self.spawn_child()).await??;
        Ok(Process { child, admin_address, start_index })
    }

    fn spawn_child(&self) -> io::Result<OwnedChild> {
        let path = self.folder.join("config.json");
        // The file is replaced atomically, because another process of the proxy may reload it at any time.
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

/// Running process of a proxy.
pub struct Process {
    child: OwnedChild,
    admin_address: SocketAddr,
    /// Index of the process's entry in the starts of the report.
    start_index: usize,
}

/// Address of the admin API of one process.
#[derive(Debug, Clone, Copy)]
pub struct AdminEndpoint {
    pub proxy: usize,
    pub address: SocketAddr,
}

/// Processes of one proxy.
struct Proxy {
    folder: PathBuf,
    listen_address: SocketAddr,
    /// Processes in the order of their starts. The last one is the successor of the others.
    processes: Vec<Process>,
    /// Number of starts so far. It numbers the log files.
    start_count: u32,
    /// Number of processes that are being started and are not in `processes` yet.
    starting_count: u32,
    last_killed_at: Option<f64>,
    /// End in seconds of the last pause of the processes, or infinity during a pause. `None` before the first
    /// pause.
    paused_until: Option<f64>,
}

impl Proxy {
    fn send_signal(&self, signal: Signal) {
        for process in &self.processes {
            process.child.send_signal(signal);
        }
    }
}

/// Processes of all proxies.
pub struct ProcessTable {
    paths: TrialPaths,
    proxies: Vec<Proxy>,
    next_port: u32,
}

impl ProcessTable {
    /// Creates a table without processes, and a folder and a listen address for each proxy.
    pub fn new(paths: TrialPaths, proxy_count: usize) -> io::Result<Self> {
        // The first port depends on the process id, so trials that run at the same time try different ports.
        let next_port =
            LISTEN_PORTS.start + std::process::id() * 997 % (LISTEN_PORTS.end - LISTEN_PORTS.start);
        let mut table = Self { paths, proxies: Vec::new(), next_port };
        for proxy in 0..proxy_count {
            let folder = table.paths.folder.join(format!("p{proxy}"));
            std::fs::create_dir_all(&folder)?;
            let listen_address = table.free_address()?;
            table.proxies.push(Proxy {
                folder,
                listen_address,
                processes: Vec::new(),
                start_count: 0,
                starting_count: 0,
                last_killed_at: None,
                paused_until: None,
            });
        }
        Ok(table)
    }

    /// Returns an address at which no process listens.
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

    /// Returns the address at which a proxy listens for clients.
    pub fn listen_address(&self, proxy: usize) -> SocketAddr {
        self.proxies[proxy].listen_address
    }

    /// Returns the addresses of the admin APIs of all processes.
    pub fn admin_endpoints(&self) -> Vec<AdminEndpoint> {
        let proxies = self.proxies.iter().enumerate();
        proxies
            .flat_map(|(proxy, state)| {
                let addresses = state.processes.iter().map(|process| process.admin_address);
                addresses.map(move |address| AdminEndpoint { proxy, address })
            })
            .collect()
    }

    /// Returns the address of the admin API of a process. Returns `None` if the process has been killed.
    pub fn admin_address(&self, proxy: usize, start_index: usize) -> Option<SocketAddr> {
        let mut processes = self.proxies[proxy].processes.iter();
        processes.find(|process| process.start_index == start_index).map(|process| process.admin_address)
    }

    /// Returns the number of processes of a proxy, including those that are being started.
    pub fn process_count(&self, proxy: usize) -> usize {
        let proxy = &self.proxies[proxy];
        proxy.processes.len() + proxy.starting_count as usize
    }

    /// Returns the ids of the processes of a proxy, the newest last.
    pub fn process_ids(&self, proxy: usize) -> Vec<u32> {
        self.proxies[proxy].processes.iter().map(|process| process.child.0.id()).collect()
    }

    /// Returns the index in the report's starts of a proxy's newest process. Returns `None` if the proxy has
    /// no process.
    pub fn start_index(&self, proxy: usize) -> Option<usize> {
        self.proxies[proxy].processes.last().map(|process| process.start_index)
    }

    /// Returns whether a running process of a proxy was last killed at or after the time `since`.
    pub fn was_killed_since(&self, proxy: usize, since: f64) -> bool {
        self.proxies[proxy].last_killed_at.is_some_and(|at| at >= since)
    }

    /// Returns whether the processes of a proxy were paused at or after the time `since`.
    pub fn was_paused_since(&self, proxy: usize, since: f64) -> bool {
        self.proxies[proxy].paused_until.is_some_and(|until| until >= since)
    }

    /// Assigns an admin address and a log file to a new process. `config` is the text of its configuration
    /// file. The caller calls [`Self::start_ended`] once the process has been started or its start has failed.
    pub fn prepare_start(&mut self, proxy: usize, config: String) -> io::Result<PreparedStart> {
        let admin_address = self.free_address()?;
        let proxy = &mut self.proxies[proxy];
        let log_file = proxy.folder.join(format!("log-{}.txt", proxy.start_count));
        proxy.start_count += 1;
        proxy.starting_count += 1;
        let (program, folder) = (self.paths.program.clone(), proxy.folder.clone());
        Ok(PreparedStart { program, folder, config, log_file, admin_address })
    }

    /// Adds a started process as the newest process of a proxy.
    pub fn add_process(&mut self, proxy: usize, process: Process) {
        self.proxies[proxy].processes.push(process);
    }

    /// Records that a prepared start has ended, also if it has failed.
    pub fn start_ended(&mut self, proxy: usize) {
        self.proxies[proxy].starting_count -= 1;
    }

    /// Pauses the processes of a proxy with `SIGSTOP`.
    pub fn pause(&mut self, proxy: usize) {
        self.proxies[proxy].send_signal(Signal::STOP);
        self.proxies[proxy].paused_until = Some(f64::INFINITY);
    }

    /// Resumes the processes of a proxy with `SIGCONT`.
    pub fn resume(&mut self, proxy: usize, now: f64) {
        self.proxies[proxy].send_signal(Signal::CONT);
        self.proxies[proxy].paused_until = Some(now);
    }

    /// Makes the processes of a proxy reload their configuration, with `SIGHUP`.
    pub fn reload(&self, proxy: usize) {
        self.proxies[proxy].send_signal(Signal::HUP);
    }

    /// Makes the processes of a proxy shut down gracefully, with `SIGTERM`. Returns the start indexes of these
    /// processes.
    pub fn shut_down(&self, proxy: usize) -> Vec<usize> {
        self.proxies[proxy].send_signal(Signal::TERM);
        self.proxies[proxy].processes.iter().map(|process| process.start_index).collect()
    }

    /// Makes one process of a proxy shut down gracefully, with `SIGTERM`. Does nothing if the process has
    /// been killed.
    pub fn shut_down_process(&self, proxy: usize, start_index: usize) {
        let mut processes = self.proxies[proxy].processes.iter();
        if let Some(process) = processes.find(|process| process.start_index == start_index) {
            process.child.send_signal(Signal::TERM);
        }
    }

    /// Returns whether one process of a proxy has exited or has been killed.
    pub fn has_exited(&mut self, proxy: usize, start_index: usize) -> bool {
        let mut processes = self.proxies[proxy].processes.iter_mut();
        let process = processes.find(|process| process.start_index == start_index);
        process.is_none_or(|process| process.child.has_exited())
    }

    /// Kills all processes of a proxy. Records the time if one of them was still running.
    pub fn kill(&mut self, proxy: usize, now: f64) {
        let all: Vec<_> = self.proxies[proxy].processes.iter().map(|process| process.start_index).collect();
        self.kill_processes(proxy, &all, now);
    }

    /// Kills those processes of a proxy that have one of the start indexes. Records the time if one of them
    /// was still running: a process that has exited by itself had to answer all that it had read.
    pub fn kill_processes(&mut self, proxy: usize, start_indexes: &[usize], now: f64) {
        let proxy = &mut self.proxies[proxy];
        let killed = proxy.processes.extract_if(.., |process| start_indexes.contains(&process.start_index));
        for mut process in killed {
            if !process.child.has_exited() {
                proxy.last_killed_at = Some(now);
            }
        }
    }

    /// Kills a process of a proxy whose time to shut down is over. Does not count as a kill of the proxy: the
    /// process had to answer all that it had read.
    pub fn end_process(&mut self, proxy: usize, start_index: usize) {
        self.proxies[proxy].processes.retain(|process| process.start_index != start_index);
    }

    /// Kills the processes of all proxies. Returns a description of each process that had already exited.
    pub fn kill_all(&mut self) -> Vec<String> {
        let mut unexpected_exits = Vec::new();
        for (proxy_index, proxy) in self.proxies.iter_mut().enumerate() {
            for process in &mut proxy.processes {
                if let Ok(Some(status)) = process.child.0.try_wait() {
                    unexpected_exits.push(describe_exit(proxy_index, status));
                }
            }
            proxy.processes.clear();
        }
        unexpected_exits
    }
}

/// Describes the exit of a process that the trial did not end.
fn describe_exit(proxy: usize, status: ExitStatus) -> String {
    let kind = if status.success() { "Ended" } else { "Crashed" };
    format!("{kind}: a process of proxy {proxy} ended with {status}")
}

#[cfg(test)]
mod tests;
