//! The built program, or an earlier build of it, as a child process: started with a configuration, upgraded while
//! it runs, terminated and restarted.
//!
//! Owns the child process and its folder. Dropping it kills the process.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a process must become ready, and within which a terminated one must exit.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Starts that may fail because another process took an address first.
const MAX_START_ATTEMPTS: u32 = 5;

/// Why a process could not be started or ended.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It exited during its start; most often because another process took one of its addresses.
    #[error("the program ended before it was ready")]
    ExitedBeforeReady,
    /// It runs and does not become ready.
    #[error("the program did not become ready")]
    ReadyTimeout,
    /// It was terminated and still runs.
    #[error("the program did not exit in time")]
    ExitTimeout,
    /// No process took the signal.
    #[error("the program could not be sent a signal")]
    Signal,
    /// The admin API answered with something other than HTTP.
    #[error("the admin API's response is not HTTP")]
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

/// A running proxy, its files and its addresses.
pub struct ProxyProcess {
    program: PathBuf,
    config: PathBuf,
    folder: PathBuf,
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    admin_address: SocketAddr,
    /// Processes started so far; numbers the log files.
    starts: u32,
}

/// An address on loopback that nobody listens at. Another process may take it before it is used.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl ProxyProcess {
    /// Starts a program in a folder of its own, and waits until it is ready. `config` is the JSON text with
    /// `LISTEN` in place of its address.
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
                starts: 1,
            };
            process.wait_until_ready()?;
            Ok(process)
        })
    }

    /// Starts a second process beside the first, and terminates the first once the second is ready.
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

    /// Sends the process SIGTERM.
    pub fn terminate(&self) -> Result<(), ProcessError> {
        send_signal(&self.child, "TERM")
    }

    /// Waits until the process has exited; whether with success.
    pub fn wait_for_exit(&mut self) -> Result<bool, ProcessError> {
        wait_for_exit(&mut self.child)?;
        Ok(self.child.wait()?.success())
    }

    /// Starts the program again at its address, after it has exited.
    pub fn restart(&mut self) -> Result<(), ProcessError> {
        retry_address_conflicts(|| {
            let admin_address = free_address()?;
            self.child = self.spawn_next(admin_address)?;
            self.wait_until_ready()
        })
    }

    /// Whether the serving process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn spawn_next(&mut self, admin_address: SocketAddr) -> Result<Child, ProcessError> {
        let child = spawn(&self.program, &self.config, &self.folder, admin_address, self.starts)?;
        self.admin_address = admin_address;
        self.starts += 1;
        Ok(child)
    }

    fn wait_until_ready(&mut self) -> Result<(), ProcessError> {
        let since = Instant::now();
        while !matches!(request_status(self.admin_address, "GET /control/ready"), Ok(200)) {
            if self.child.try_wait()?.is_some() {
                return Err(ProcessError::ExitedBeforeReady);
            }
            if since.elapsed() > PROCESS_TIMEOUT {
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

/// Repeats a start where another process took its address first.
fn retry_address_conflicts<T>(mut start: impl FnMut() -> Result<T, ProcessError>) -> Result<T, ProcessError> {
    let mut attempts = 1;
    loop {
        match start() {
            Err(e) if e.is_address_conflict() && attempts < MAX_START_ATTEMPTS => attempts += 1,
            result => return result,
        }
    }
}

fn spawn(program: &Path, config: &Path, folder: &Path, admin: SocketAddr, number: u32) -> io::Result<Child> {
    let log = File::create(folder.join(format!("log-{number}.txt")))?;
    Command::new(program)
        .args(["serve", "--ops", &admin.to_string()])
        .env("GW_CONFIG", config)
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}

fn send_signal(child: &Child, name: &str) -> Result<(), ProcessError> {
    let status = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status()?;
    status.success().then_some(()).ok_or(ProcessError::Signal)
}

fn wait_for_exit(child: &mut Child) -> Result<(), ProcessError> {
    let since = Instant::now();
    while child.try_wait()?.is_none() {
        if since.elapsed() > PROCESS_TIMEOUT {
            return Err(ProcessError::ExitTimeout);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// The status with which the admin API answers a request without a body.
fn request_status(admin: SocketAddr, request_line: &str) -> Result<u16, ProcessError> {
    let mut stream = TcpStream::connect_timeout(&admin, PROCESS_TIMEOUT)?;
    stream.set_read_timeout(Some(PROCESS_TIMEOUT))?;
    stream.write_all(format!("{request_line} HTTP/1.1\r\nHost: proxy\r\n\r\n").as_bytes())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let status = response.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    status.ok_or(ProcessError::MalformedResponse)
}
