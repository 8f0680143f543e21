//! The built program, or an earlier build of it, as a child process: started with a configuration, replaced while
//! it runs, told to end.
//!
//! Owns the process and its folder. It must end every process that it started, and no other.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Time within which a process must be ready, and within which one that was told to end must have ended.
const PATIENCE: Duration = Duration::from_secs(20);
/// Starts that may fail because another process took an address first.
const TRIES: u32 = 5;

/// Where a program is, and what it serves.
pub struct Program {
    program: PathBuf,
    config: PathBuf,
    folder: PathBuf,
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    ops: SocketAddr,
    started: u32,
}

/// An address on loopback that nobody listens at. Another process may take it before it is used.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Program {
    /// Starts a program in a folder of its own, and waits until it is ready. `config` is the JSON text with
    /// `LISTEN` in place of its address.
    pub fn start(program: &Path, folder: &Path, config: &str) -> io::Result<Self> {
        std::fs::create_dir_all(folder)?;
        let path = folder.join("config.json");
        until_unhindered(|| {
            let (address, ops) = (free_address()?, free_address()?);
            std::fs::write(&path, config.replace("LISTEN", &address.to_string()))?;
            let (program, folder, config) = (program.to_owned(), folder.to_owned(), path.clone());
            let child = spawn(&program, &config, &folder, ops, 0)?;
            let mut started = Self { program, config, folder, child, address, ops, started: 1 };
            started.ready().map(|()| started)
        })
    }

    fn ready(&mut self) -> io::Result<()> {
        let since = Instant::now();
        while !matches!(call(self.ops, "GET /control/ready"), Ok(200)) {
            if self.child.try_wait()?.is_some() {
                return Err(io::Error::new(
                    io::ErrorKind::AddrInUse,
                    "the program ended before it was ready",
                ));
            }
            if since.elapsed() > PATIENCE {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "the program did not become ready"));
            }
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Starts a second process beside the first, and ends the first once the second is ready.
    pub fn upgrade(&mut self) -> io::Result<()> {
        let ops = free_address()?;
        let new = spawn(&self.program, &self.config, &self.folder, ops, self.started)?;
        self.started += 1;
        self.ops = ops;
        let mut old = std::mem::replace(&mut self.child, new);
        let done = self.ready().and_then(|()| signal(&old, "TERM")).and_then(|()| ended(&mut old));
        let _ = old.kill();
        let _ = old.wait();
        done
    }

    /// Tells the process to end.
    pub fn tell_to_end(&self) -> io::Result<()> {
        signal(&self.child, "TERM")
    }

    /// Waits until it has ended; whether that was with success.
    pub fn ended(&mut self) -> io::Result<bool> {
        ended(&mut self.child)?;
        Ok(self.child.wait()?.success())
    }

    /// Starts the program again where it was, after it has ended.
    pub fn start_again(&mut self) -> io::Result<()> {
        until_unhindered(|| {
            self.ops = free_address()?;
            self.child = spawn(&self.program, &self.config, &self.folder, self.ops, self.started)?;
            self.started += 1;
            self.ready()
        })
    }

    /// Whether the process that serves still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Starts something, anew where another process took its address first.
fn until_unhindered<T>(mut start: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut tries = 1;
    loop {
        match start() {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse && tries < TRIES => tries += 1,
            done => return done,
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, config: &Path, folder: &Path, ops: SocketAddr, number: u32) -> io::Result<Child> {
    let log = File::create(folder.join(format!("log-{number}.txt")))?;
    Command::new(program)
        .args(["serve", "--ops", &ops.to_string()])
        .env("GW_CONFIG", config)
        .env("TMPDIR", folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
}

fn signal(child: &Child, name: &str) -> io::Result<()> {
    let done = Command::new("kill").args([&format!("-{name}"), &child.id().to_string()]).status()?;
    done.success().then_some(()).ok_or(io::ErrorKind::NotFound.into())
}

fn ended(child: &mut Child) -> io::Result<()> {
    let since = Instant::now();
    while child.try_wait()?.is_none() {
        if since.elapsed() > PATIENCE {
            return Err(io::ErrorKind::TimedOut.into());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn call(ops: SocketAddr, what: &str) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&ops, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(format!("{what} HTTP/1.1\r\nHost: proxy\r\n\r\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let status = answer.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
    status.ok_or(io::ErrorKind::InvalidData.into())
}
