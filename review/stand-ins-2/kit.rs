//! Stand-ins and helpers for the cases of the second review: discovery, data servers, clients, and the proxy as a
//! process of its own. Everything uses the standard library, loopback addresses and the real clock.

#![allow(dead_code)] // no case uses all of it

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds, with fractions.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until `ms` milliseconds after `start`.
pub fn sleep_until(start: Instant, ms: u64) {
    thread::sleep((start + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// The record of a run: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0 .0.elapsed().as_secs_f64();
        let _ = writeln!(self.0 .1.lock().unwrap(), "{at:9.3} {text}");
    }
}

/// Returns an address on which nothing listens now. Its port is below those that the system gives out.
pub fn free_address() -> SocketAddr {
    static TRIED: AtomicU64 = AtomicU64::new(0);
    loop {
        let number = TRIED.fetch_add(1, SeqCst) * 7 + u64::from(std::process::id()) * 101;
        let address = SocketAddr::from(([127, 0, 0, 1], 12_000 + (number % 18_000) as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

// ---------------------------------------------------------------------------------------------------------- messages

fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut out = vec![kind];
    out.extend((body.len() as u32 + 4).to_be_bytes());
    out.extend(body);
    out
}

fn row(value: &[u8]) -> Vec<u8> {
    let mut out = message(b'T', b"\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01");
    let mut data = vec![0, 1];
    data.extend((value.len() as u32).to_be_bytes());
    data.extend(value);
    out.extend(message(b'D', &data));
    out.extend(message(b'C', b"SELECT 1\0"));
    out
}

fn error(code: &str, text: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes())
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn query_message(text: &str) -> Vec<u8> {
    let mut body = text.as_bytes().to_vec();
    body.push(0);
    message(b'Q', &body)
}

fn read_message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4).ok_or(io::ErrorKind::InvalidData)?];
    stream.read_exact(&mut body)?;
    Ok((header[0], body))
}

/// Returns the start of a value in a form for the record.
fn shown(value: &[u8]) -> String {
    value.iter().take(24).map(|byte| if byte.is_ascii_graphic() { *byte as char } else { '.' }).collect()
}

/// Returns the field `name` of a statement's comment.
pub fn field<'t>(text: &'t str, name: &str) -> Option<&'t str> {
    let comment = &text[text.rfind("/*")? + 2..text.rfind("*/")?];
    comment.trim().split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('='))
}

/// Returns the statement of a read.
pub fn select(key: &str, fields: &str) -> String {
    format!("SELECT body FROM objects WHERE oid = '{key}' /* {fields} */")
}

/// Returns the statement of a write.
pub fn insert(key: &str, value: &[u8], fields: &str) -> String {
    let mut hex = String::with_capacity(2 * value.len());
    for byte in value {
        hex.push(char::from_digit(u32::from(byte >> 4), 16).unwrap());
        hex.push(char::from_digit(u32::from(byte & 15), 16).unwrap());
    }
    format!("INSERT INTO objects (oid, body) VALUES ('{key}', '\\x{hex}') RETURNING body /* {fields} */")
}

// --------------------------------------------------------------------------------------------------------- discovery

/// An entry of the list of data servers.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub model: String,
    pub group: u32,
    pub state: &'static str,
    pub boot_ms: f64,
    pub mode: &'static str,
}

impl Entry {
    fn json(&self) -> String {
        let Self { uid, address, zone, model, group, state, boot_ms, mode } = self;
        format!(
            "{{\"uid\":\"{uid}\",\"endpoint\":\"{address}\",\"az\":\"{zone}\",\"model\":\"{model}\",\
             \"pod_group\":{group},\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":{boot_ms:.0},\
             \"mode\":\"{mode}\"}}"
        )
    }
}

struct List {
    rev: u64,
    entries: Vec<Entry>,
    /// Changes by revision.
    changes: Vec<(u64, Entry)>,
}

/// Discovery: the whole list, and watches that tell changes at once.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    /// Whether a watch begins without an object if nothing has changed after its version: then the first thing on it is
    /// the empty line that comes after 2 s without a change.
    pub begins_silent: Arc<AtomicBool>,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let list = List { rev: 10, entries, changes: Vec::new() };
        let discovery = Self {
            address: listener.local_addr().unwrap(),
            begins_silent: Arc::default(),
            list: Arc::new((Mutex::new(list), Condvar::new())),
            record: record.clone(),
        };
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.serve(stream));
            }
        });
        discovery
    }

    /// Returns the list in the form of the configuration's `known`.
    pub fn known(&self) -> String {
        let list = self.list.0.lock().unwrap();
        whole_list(&list)
    }

    /// Changes or adds an entry, and tells the watches.
    pub fn change(&self, entry: Entry) {
        let mut list = self.list.0.lock().unwrap();
        list.rev += 1;
        let rev = list.rev;
        list.entries.retain(|known| known.uid != entry.uid);
        if entry.state != "Gone" {
            list.entries.push(entry.clone());
        }
        self.record.line(&format!("discovery tells: rev {rev} {}", entry.json()));
        list.changes.push((rev, entry));
        self.list.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1)?.to_owned();
        self.record.line(&format!("discovery asked: {path}"));
        if !path.contains("watch=1") {
            let body = whole_list(&self.list.0.lock().unwrap());
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            return stream.write_all(format!("{head}{body}").as_bytes()).ok();
        }
        let from: u64 = path.split("from=").nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut told = from;
        let mut is_first = true;
        let mut list = self.list.0.lock().unwrap();
        loop {
            let line = if is_first && (from == 0 || from < 10 || from > list.rev) {
                Some(whole_list(&list) + "\n")
            } else if told < list.rev || (is_first && !self.begins_silent.load(SeqCst)) {
                let entries: Vec<_> =
                    list.changes.iter().filter(|(rev, _)| *rev > told).map(|(_, e)| e.json()).collect();
                Some(format!("{{\"rev\":{},\"all\":false,\"targets\":[{}]}}\n", list.rev, entries.join(",")))
            } else {
                None
            };
            told = list.rev;
            is_first = false;
            if let Some(line) = line {
                drop(list);
                write_chunk(&mut stream, &line)?;
                list = self.list.0.lock().unwrap();
                continue;
            }
            let (next, wait) = self.list.1.wait_timeout(list, Duration::from_secs(2)).unwrap();
            list = next;
            if wait.timed_out() && told == list.rev {
                drop(list);
                write_chunk(&mut stream, "\n")?;
                list = self.list.0.lock().unwrap();
            }
        }
    }
}

fn whole_list(list: &List) -> String {
    let entries: Vec<_> = list.entries.iter().map(Entry::json).collect();
    format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", list.rev, entries.join(","))
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()
}

// ------------------------------------------------------------------------------------------------------ data servers

/// The commits of a group, in order: time in Unix milliseconds, key and value.
#[derive(Default)]
pub struct Group {
    commits: Mutex<Vec<(f64, String, Vec<u8>)>>,
}

impl Group {
    pub fn commit(&self, key: &str, value: &[u8]) -> f64 {
        let mut commits = self.commits.lock().unwrap();
        let at = unix_ms();
        commits.push((at, key.to_owned(), value.to_owned()));
        at
    }

    /// Returns the value of a key in the data up to `position`.
    pub fn value(&self, key: &str, position: f64) -> Vec<u8> {
        let commits = self.commits.lock().unwrap();
        let last = commits.iter().rev().find(|(at, known, _)| *at <= position && known == key);
        last.map(|(_, _, value)| value.clone()).unwrap_or_default()
    }
}

/// How a replica follows.
#[derive(Clone, Copy)]
pub enum Follows {
    /// So many milliseconds behind.
    Behind(f64),
    /// Has stood at a position since a time, and catches up `factor` times as fast as time passes.
    CatchingUp { position: f64, since: f64, factor: f64 },
}

pub struct ServerState {
    pub uid: String,
    group: Arc<Group>,
    pub primary: AtomicBool,
    pub hung: AtomicBool,
    alive: AtomicBool,
    pub work_ms: AtomicU64,
    /// Whether `SHOW stats` returns a report.
    pub reports: bool,
    follows: Mutex<Follows>,
    connections: Mutex<Vec<TcpStream>>,
    /// Requests whose last byte has arrived, by id.
    pub arrived: Mutex<HashMap<String, u32>>,
    /// Ids of the writes that were declined.
    pub declined: Mutex<Vec<String>>,
    record: Record,
}

/// A data server.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub state: Arc<ServerState>,
}

impl Server {
    pub fn start(uid: &str, group: &Arc<Group>, primary: bool, reports: bool, record: &Record) -> Self {
        let state = ServerState {
            uid: uid.to_owned(),
            group: group.clone(),
            primary: AtomicBool::new(primary),
            hung: AtomicBool::new(false),
            alive: AtomicBool::new(true),
            work_ms: AtomicU64::new(20),
            reports,
            follows: Mutex::new(Follows::Behind(5.0)),
            connections: Mutex::default(),
            arrived: Mutex::default(),
            declined: Mutex::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let server = Self { address: listener.local_addr().unwrap(), state: Arc::new(state) };
        server.accept(listener);
        server
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let state = self.state.clone();
        thread::spawn(move || {
            while state.alive.load(SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        state.connections.lock().unwrap().push(stream.try_clone().unwrap());
                        let state = state.clone();
                        thread::spawn(move || state.serve(stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
    }

    /// Ends the process: closes its listener and its connections.
    pub fn die(&self) {
        self.state.record.line(&format!("{} dies", self.state.uid));
        self.state.alive.store(false, SeqCst);
        for stream in self.state.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        sleep_ms(10);
    }

    /// Starts the process again at its address.
    pub fn start_again(&self, primary: bool, follows: Follows) {
        self.state.record.line(&format!("{} starts again, primary: {primary}", self.state.uid));
        self.state.primary.store(primary, SeqCst);
        *self.state.follows.lock().unwrap() = follows;
        self.state.alive.store(true, SeqCst);
        let listener = TcpListener::bind(self.address).expect("the address is free");
        self.accept(listener);
    }

    pub fn entry(&self, group: u32, zone: &str, model: &str, mode: &'static str) -> Entry {
        Entry {
            uid: self.state.uid.clone(),
            address: self.address,
            zone: zone.to_owned(),
            model: model.to_owned(),
            group,
            state: "Ready",
            boot_ms: 0.0,
            mode,
        }
    }
}

impl Server {
    /// Sets how the server follows, as a replica.
    pub fn follow(&self, follows: Follows) {
        *self.state.follows.lock().unwrap() = follows;
    }
}

impl ServerState {
    fn position(&self) -> f64 {
        let now = unix_ms();
        if self.primary.load(SeqCst) {
            return now;
        }
        match *self.follows.lock().unwrap() {
            Follows::Behind(ms) => now - ms,
            Follows::CatchingUp { position, since, factor } => {
                (position + (now - since).max(0.0) * factor).min(now - 5.0)
            }
        }
    }

    fn status(&self, position: f64) -> Vec<u8> {
        let mode = if self.primary.load(SeqCst) { "read-write" } else { "read-only" };
        [parameter("mode", mode), parameter("wal_time", &format!("{position:.0}"))].concat()
    }

    fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut length = [0; 4];
        stream.read_exact(&mut length).ok()?;
        let mut packet = vec![0; (u32::from_be_bytes(length) as usize).checked_sub(4)?];
        stream.read_exact(&mut packet).ok()?;
        let ready = message(b'Z', b"I");
        stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).ok()?;
        loop {
            let (kind, body) = read_message(&mut stream).ok()?;
            if kind != b'Q' {
                return None;
            }
            let text = String::from_utf8_lossy(body.strip_suffix(&[0])?).into_owned();
            if matches!(text.as_str(), "SELECT 1" | "SHOW stats") {
                self.wait_while_hung()?;
            }
            let answer = match text.as_str() {
                "" => message(b'I', &[]),
                "SELECT 1" => row(b"1"),
                "SHOW stats" if self.reports => {
                    let x1 = u8::from(self.primary.load(SeqCst));
                    row(format!("x0={:.3},x1={x1}", (self.position() / 1e3 * 1e3).floor() / 1e3).as_bytes())
                }
                "SHOW stats" => error("42501", "no"),
                _ => self.execute(&text)?,
            };
            stream.write_all(&[answer, ready.clone()].concat()).ok()?;
        }
    }

    /// Waits while the process hangs; `None` if it ends before.
    fn wait_while_hung(&self) -> Option<()> {
        while self.hung.load(SeqCst) {
            sleep_ms(1);
            if !self.alive.load(SeqCst) {
                return None;
            }
        }
        Some(())
    }

    /// Runs a statement and returns its answer; `None` if the process ends before it.
    fn execute(&self, text: &str) -> Option<Vec<u8>> {
        let id = field(text, "id").unwrap_or("?").to_owned();
        let left = field(text, "d").unwrap_or("?").to_owned();
        *self.arrived.lock().unwrap().entry(id.clone()).or_default() += 1;
        let uid = &self.uid;
        self.record.line(&format!("{uid} got id={id} d={left}"));
        self.wait_while_hung()?;
        let is_write = text.starts_with("INSERT");
        if is_write && !self.primary.load(SeqCst) {
            self.record.line(&format!("{uid} declined id={id}: read-only"));
            self.declined.lock().unwrap().push(id);
            return Some([error("25006", "read-only"), self.status(self.position().floor())].concat());
        }
        let work = Duration::from_millis(self.work_ms.load(SeqCst));
        let started = Instant::now();
        while started.elapsed() < work {
            sleep_ms(1);
            if !self.alive.load(SeqCst) {
                return None;
            }
        }
        self.wait_while_hung()?;
        let key = text.split('\'').nth(1).unwrap_or_default().to_owned();
        if !is_write {
            let position = self.position();
            let value = self.group.value(&key, position);
            let mode = if self.primary.load(SeqCst) { "primary" } else { "replica" };
            self.record.line(&format!(
                "{uid} ({mode}, position {position:.0}) answered id={id} with {}",
                shown(&value)
            ));
            return Some([row(&value), self.status(position.floor())].concat());
        }
        if !self.primary.load(SeqCst) {
            self.record.line(&format!("{uid} lost its role while it held id={id}"));
            return Some(
                [error("XX000", "no primary any more"), self.status(self.position().floor())].concat(),
            );
        }
        let hex = text.split('\'').nth(3).unwrap_or_default().trim_start_matches("\\x");
        let digit = |byte: u8| (byte as char).to_digit(16).unwrap_or(0) as u8;
        let value: Vec<u8> = hex
            .as_bytes()
            .chunks(2)
            .map(|pair| digit(pair[0]) << 4 | digit(*pair.get(1).unwrap_or(&b'0')))
            .collect();
        let at = self.group.commit(&key, &value);
        self.record.line(&format!("{uid} ran write id={id}, {} bytes, commit {at:.0}", value.len()));
        Some([row(&value), self.status(at.ceil())].concat())
    }
}

// -------------------------------------------------------------------------------------------------------- the proxy

/// Process ids of all proxies that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all proxies and this program with the status 2 after so many seconds.
pub fn end_after(secs: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(secs));
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
        }
        eprintln!("the case did not end in time");
        std::process::exit(2);
    });
}

/// A process of the proxy.
pub struct Proxy {
    child: Child,
    pub admin: SocketAddr,
    record: Record,
}

/// The command that the deploy file gives for `run`.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("started from the root");
    let line = text.lines().find(|line| line.starts_with("run")).expect("the deploy file has `run`");
    let start = line.find('"').unwrap() + 1;
    line[start..start + line[start..].find('"').unwrap()].to_owned()
}

impl Proxy {
    /// Starts a process with the command of the deploy file.
    pub fn start(config: &Path, state_dir: &Path, admin: SocketAddr, log: &Path, record: &Record) -> Self {
        let log = File::create(log).unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .env("GW_CONFIG", config)
            .env("GW_OPS", admin.to_string())
            .env("TMPDIR", state_dir)
            .env("GW_LOG", std::env::var("CASE_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the proxy can be started");
        STARTED.lock().unwrap().push(child.id());
        // The script ends what is left if this program is ended by a signal.
        if let Some(path) = std::env::var_os("CASE_PIDS") {
            let file = std::fs::OpenOptions::new().append(true).create(true).open(path);
            let _ = file.and_then(|mut file| writeln!(file, "{}", child.id()));
        }
        record.line(&format!("proxy process started, second address {admin}"));
        Self { child, admin, record: record.clone() }
    }

    /// Waits until the process says that it is ready. Returns false after `secs` seconds, or if it has ended.
    pub fn wait_ready(&mut self, secs: u64) -> bool {
        let end = Instant::now() + Duration::from_secs(secs);
        while Instant::now() < end && self.child.try_wait().unwrap().is_none() {
            if call(self.admin, "GET", "/control/ready").is_some_and(|status| status == 200) {
                self.record.line(&format!("proxy process at {} is ready", self.admin));
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn signal(&self, name: &str) {
        self.record.line(&format!("signal {name} to the proxy process at {}", self.admin));
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    pub fn kill(&mut self) {
        if !self.has_ended() {
            self.record.line(&format!("signal KILL to the proxy process at {}", self.admin));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Makes one call at a proxy's second address. Returns the status.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<u32> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream
        .write_all(
            format!("{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n").as_bytes(),
        )
        .ok()?;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

// ------------------------------------------------------------------------------------------------------------ clients

/// What a client gets for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Empty,
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// The connection ended without a whole answer.
    Closed,
    /// Nothing came in the time that the client waited.
    Nothing,
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Self::Empty => "empty query response".into(),
            Self::Served(value) => {
                format!("served {} bytes: {}", value.len(), shown(value))
            }
            Self::Refused(code) => format!("refused {code}"),
            Self::Failed(code) => format!("failed {code}"),
            Self::Closed => "connection closed".into(),
            Self::Nothing => "no answer".into(),
        }
    }
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and waits for the end of the startup.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let body = [&196_608u32.to_be_bytes()[..], b"user\0worker\0database\0catalog\0\0"].concat();
        stream.write_all(&message(0, &body)[1..])?;
        loop {
            let (kind, _) = read_message(&mut stream)?;
            match kind {
                b'Z' => return Ok(Self { stream }),
                b'E' => return Err(io::ErrorKind::ConnectionRefused.into()),
                _ => {}
            }
        }
    }

    /// Writes a query.
    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query_message(text))
    }

    /// Reads the next answer, for at most `wait`.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
        let mut value = None;
        let mut is_complete = false;
        let mut code = None;
        let mut is_empty = false;
        loop {
            match read_message(&mut self.stream) {
                Ok((b'D', body)) => value = Some(body[6..].to_vec()),
                Ok((b'C', _)) => is_complete = true,
                Ok((b'I', _)) => is_empty = true,
                Ok((b'E', body)) => {
                    let code_field = body.split(|byte| *byte == 0).find(|part| part.first() == Some(&b'C'));
                    code = code_field.map(|part| String::from_utf8_lossy(&part[1..]).into_owned());
                }
                Ok((b'Z', _)) => break,
                Ok(_) => {}
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Answer::Nothing;
                }
                Err(_) if code.is_some() => break,
                Err(_) => return Answer::Closed,
            }
        }
        match (code, value) {
            (Some(code), _) if code == "53300" || code == "57P03" => Answer::Refused(code),
            (Some(code), _) => Answer::Failed(code),
            (None, Some(value)) if is_complete => Answer::Served(value),
            _ if is_empty => Answer::Empty,
            _ => Answer::Closed,
        }
    }
}

// -------------------------------------------------------------------------------------------------------------- a run

/// A run of a case: its folder, whether its disruption is left out, and the files of the proxy.
pub struct Run {
    pub record: Record,
    pub trouble: bool,
    pub temp: PathBuf,
    pub listen: SocketAddr,
}

impl Run {
    /// Prepares a run of the case in `folder`. The caller ends it in time.
    pub fn new(folder: &Path) -> Self {
        let record = Record::create(&folder.join("record.txt")).expect("the record can be written");
        let temp = std::env::temp_dir().join(format!("pipittack-review-{}", std::process::id()));
        std::fs::create_dir_all(temp.join("state")).expect("the temporary folder can be made");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        record.line(&format!("the disruption is {}", if trouble { "played" } else { "left out" }));
        Self { record, trouble, temp, listen: free_address() }
    }

    pub fn state_dir(&self) -> PathBuf {
        self.temp.join("state")
    }

    pub fn config(&self) -> PathBuf {
        self.temp.join("config.json")
    }

    /// Writes the configuration.
    pub fn write_config(&self, discovery: &Discovery, limits: (u32, u32), settings: &str) {
        let (memory_mb, sockets) = limits;
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets}}},\
             \"known\":{},\"settings\":{settings}}}",
            self.listen,
            discovery.address,
            discovery.known()
        );
        std::fs::write(self.config(), text).unwrap();
    }

    pub fn start_proxy(&self, name: &str) -> Proxy {
        let log = self.temp.join(format!("{name}.log"));
        Proxy::start(&self.config(), &self.state_dir(), free_address(), &log, &self.record)
    }

    /// Copies the logs of the proxy into the record, and removes the temporary folder.
    pub fn finish(&self) {
        if let Some(path) = std::env::var_os("CASE_PIDS") {
            let _ = std::fs::write(path, ""); // all processes have ended
        }
        let mut logs: Vec<_> = std::fs::read_dir(&self.temp).into_iter().flatten().flatten().collect();
        logs.sort_by_key(std::fs::DirEntry::path);
        for entry in logs.iter().filter(|entry| entry.path().extension().is_some_and(|e| e == "log")) {
            self.record.line(&format!("log of the proxy, {}:", entry.file_name().to_string_lossy()));
            let text = std::fs::read_to_string(entry.path()).unwrap_or_default();
            text.lines()
                .filter(|line| !line.contains("TRACE"))
                .take(400)
                .for_each(|line| self.record.line(&format!("    {line}")));
        }
        let _ = std::fs::remove_dir_all(&self.temp);
    }
}

/// Result of a case: whether the rule held, or why the case could not run.
pub type Verdict = Result<bool, String>;

/// Runs a case with the folder that is given as the argument. Ends with 1 if the rule was broken, 0 if it held, and 2 if
/// the case could not run.
pub fn main(name: &str, case: fn(&Run) -> Verdict) {
    let Some(folder) = std::env::args().nth(1) else {
        eprintln!("usage: {name} FOLDER");
        std::process::exit(2);
    };
    end_after(110);
    let run = Run::new(Path::new(&folder));
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&run)));
    let (code, text) = match verdict.unwrap_or_else(|_| Err("the program failed".to_owned())) {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(reason) => (2, format!("the case could not run: {reason}")),
    };
    run.record.line(&text);
    run.finish();
    println!("{name}: {text}");
    std::process::exit(code);
}
