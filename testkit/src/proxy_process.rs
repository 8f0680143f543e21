//! Runs a build of the proxy as a child process: starts it with a configuration, upgrades it by hot
//! restart, terminates it and restarts it. Dropping a [`ProxyProcess`] kills the child process.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout for a process to become ready, for a terminated process to exit, and for calls of the admin API.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a process is polled until it is ready or has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of attempts to start a process if other processes take its addresses first.
const MAX_START_ATTEMPTS: u32 = 5;

/// Error of starting or ending a proxy process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The process exited before it was ready, usually because another process took one of its addresses.
    #[error("proxy process exited before it was ready")]
    ExitedBeforeReady,
    /// The process still runs but did not become ready within the timeout.
    #[error("proxy process did not become ready in time")]
    ReadyTimeout,
    /// The process still runs after the timeout for its exit.
    #[error("proxy process did not exit in time")]
    ExitTimeout,
    /// The `kill` command failed to deliver a signal.
    #[error("failed to send a signal to the proxy process")]
    Signal,
    /// The admin API's response has no HTTP/1.1 status line.
    #[error("response of the admin API has no HTTP/1.1 status line")]
    MalformedResponse,
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl ProcessError {
    fn is_address_conflict(&self) -> bool {
        match self {
            Self::ExitedBeforeReady => true,
            Self::Io(e) => e.kind() == io::ErrorKind::AddrInUse,
            _ => false,
        }
    }
}

/// A running proxy process with its files and addresses.
pub struct ProxyProcess {
    program: PathBuf,
    config: PathBuf,
    folder: PathBuf,
    child: Child,
    /// Address on which the proxy accepts clients.
    pub address: SocketAddr,
    admin_address: SocketAddr,
    /// Number of processes started so far, which numbers the log files.
    start_count: u32,
}

/// Returns a loopback address on which no process listens. Another process may take the address before it is
/// used.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl ProxyProcess {
    /// Starts the program at path `program` and waits until it is ready. `config` is the JSON configuration
    /// with `LISTEN` in place of the listen address. The configuration and the logs are written to `folder`.
    pub fn start(program: &Path, folder: &Path, config: &str) -> Result<Self, ProcessError> {
        std::fs::create_dir_all(folder)?;
        let config_path = folder.join("config.json");
        retry_address_conflicts(|| {
            let address = free_address()?;
            let admin_address = free_address()?;
            std::fs::write(&config_path, config.replace("LISTEN", &address.to_string()))?;
            let child = spawn(program, &config_path, folder, admin_address, 0)?;
            let mut process = Self {
                program: program.to_owned(),
                config: config_path.clone(),
                folder: folder.to_owned(),
                child,
                address,
                admin_address,
                start_count: 1,
            };
            process.wait_until_ready()?;
            Ok(process)
        })
    }

    /// Upgrades the proxy by hot restart: starts a successor, waits until it is ready, then terminates
    /// the predecessor and waits for its exit.
    pub fn upgrade(&mut self) -> Result<(), ProcessError> {
        let admin_address = free_address()?;
        let successor = self.spawn_next(admin_address)?;
        let mut predecessor = std::mem::replace(&mut self.child, successor);
        let result = self
            .wait_until_ready()
            .and_then(|()| send_signal(&predecessor, "TERM"))
            .and_then(|()| wait_for_exit(&mut predecessor));
        let _ = predecessor.kill();
        let _ = predecessor.wait();
        result
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        send_signal(&self.child, "TERM")
    }

    /// Waits until the process has exited. Returns whether its exit status was success.
    pub fn wait_for_exit(&mut self) -> Result<bool, ProcessError> {
        wait_for_exit(&mut self.child)?;
        Ok(self.child.wait()?.success())
    }

    /// Starts the program again with the same configuration, after the previous process has exited.
    pub fn restart(&mut self) -> Result<(), ProcessError> {
        retry_address_conflicts(|| {
            let admin_address = free_address()?;
            self.child = self.spawn_next(admin_address)?;
            self.wait_until_ready()
        })
    }

    /// Returns whether the current process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn spawn_next(&mut self, admin_address: SocketAddr) -> Result<Child, ProcessError> {
        let child = spawn(&self.program, &self.config, &self.folder, admin_address, self.start_count)?;
        self.admin_address = admin_address;
        self.start_count += 1;
        Ok(child)
    }

    fn wait_until_ready(&mut self) -> Result<(), ProcessError> {
        let started_at = Instant::now();
        while !matches!(request_status(self.admin_address, "GET /control/ready"), Ok(200)) {
            if self.child.try_wait()?.is_some() {
                return Err(ProcessError::ExitedBeforeReady);
            }
            if started_at.elapsed() > PROCESS_TIMEOUT {
                return Err(ProcessError::ReadyTimeout);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Retries `start` while it fails because another process took an address.
fn retry_address_conflicts<T>(mut start: impl FnMut() -> Result<T, ProcessError>) -> Result<T, ProcessError> {
    let mut attempts = 1;
    loop {
        match start() {
            Err(e) if e.is_address_conflict() && attempts < MAX_START_ATTEMPTS => attempts += 1,
            result => return result,
        }
    }
}

fn spawn(
    program: &Path,
    config: &Path,
    folder: &Path,
    admin_address: SocketAddr,
    log_number: u32,
) -> io::Result<Child> {
    let log = File::create(folder.join(format!("log-{log_number}.txt")))?;
    Command::new(program)
        .args(["serve", "--ops", &admin_address.to_string()])
        .env("GW_CONFIG", config)
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}

fn send_signal(child: &Child, signal: &str) -> Result<(), ProcessError> {
    let status = Command::new("kill").args([&format!("-{signal}"), &child.id().to_string()]).status()?;
    status.success().then_some(()).ok_or(ProcessError::Signal)
}

fn wait_for_exit(child: &mut Child) -> Result<(), ProcessError> {
    let started_at = Instant::now();
    while child.try_wait()?.is_none() {
        if started_at.elapsed() > PROCESS_TIMEOUT {
            return Err(ProcessError::ExitTimeout);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// Sends a request without a body to the admin API and returns the response's status code.
fn request_status(admin_address: SocketAddr, request_line: &str) -> Result<u16, ProcessError> {
    let mut stream = TcpStream::connect_timeout(&admin_address, PROCESS_TIMEOUT)?;
    stream.set_read_timeout(Some(PROCESS_TIMEOUT))?;
    stream.write_all(format!("{request_line} HTTP/1.1\r\nHost: proxy\r\n\r\n").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let status = response.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    status.ok_or(ProcessError::MalformedResponse)
}
