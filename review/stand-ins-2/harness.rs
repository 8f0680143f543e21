//! Harness of the cases: the proxy as a process started with the deploy file's command, and small stand-ins for
//! clients, data servers and discovery. Uses the standard library alone. Everything listens on loopback addresses.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const KEPT: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
/// A case ends itself after this time.
const MAX_RUN: Duration = Duration::from_secs(115);

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970").as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Record of a run, its temporary folder and the processes that it started.
pub struct Case {
    pub trouble: bool,
    pub temp: PathBuf,
    record: Mutex<File>,
    started: Instant,
    pids: Mutex<Vec<u32>>,
}

/// The running case; a case is one process.
static CASE: std::sync::OnceLock<Arc<Case>> = std::sync::OnceLock::new();

/// Runs a case and exits with its result. The record goes to the path in the first argument.
pub fn run(name: &str, body: impl FnOnce(&Arc<Case>) -> Result<i32, String> + std::panic::UnwindSafe) -> ! {
    let folder = PathBuf::from(std::env::args().nth(1).expect("usage: CASE FOLDER"));
    let record = folder.join("record.txt");
    let temp = std::env::temp_dir().join(format!("p{}", std::process::id()));
    std::fs::create_dir_all(&temp).expect("a temporary folder");
    let case = Arc::new(Case {
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        temp,
        record: Mutex::new(File::create(record).expect("the record can be written")),
        started: Instant::now(),
        pids: Mutex::default(),
    });
    let _ = CASE.set(case.clone());
    case.log(&format!("case {name}, disruption {}", if case.trouble { "on" } else { "off (TROUBLE=0)" }));
    let watchdog = case.clone();
    thread::spawn(move || {
        thread::sleep(MAX_RUN);
        watchdog.log("time is up");
        watchdog.finish(NOT_RUN)
    });
    let result = std::panic::catch_unwind(|| body(CASE.get().expect("the case is set")));
    let code = match result {
        Ok(Ok(code)) => code,
        Ok(Err(why)) => {
            case.log(&format!("could not run: {why}"));
            NOT_RUN
        }
        Err(_) => {
            case.log("could not run: the case panicked");
            NOT_RUN
        }
    };
    case.finish(code)
}

impl Case {
    /// Writes a line to the record, with the seconds since the start of the case.
    pub fn log(&self, text: &str) {
        let mut record = self.record.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(record, "{:9.3} {text}", self.started.elapsed().as_secs_f64());
    }

    pub fn secs(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn finish(&self, code: i32) -> ! {
        for pid in self.pids.lock().unwrap_or_else(|e| e.into_inner()).iter() {
            signal(*pid, "KILL");
        }
        let verdict = match code {
            KEPT => "the rule held",
            BROKEN => "the rule was broken",
            _ => "the case could not run",
        };
        self.log(&format!("result {code}: {verdict}"));
        println!("{verdict}");
        let _ = std::fs::remove_dir_all(&self.temp);
        std::process::exit(code)
    }
}

/// Sends a signal to a process that the case started.
pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .args(["-c", &format!("kill -{name} {pid} 2>/dev/null")])
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .status();
}

/// Returns a loopback address on which nothing listens. Each has an IP address of its own, so that no outgoing
/// connection takes its port before it is used.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let ip = format!("127.{}.{}.{}", 64 + std::process::id() % 128, number / 200, 1 + number % 200);
    TcpListener::bind(format!("{ip}:0")).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// Returns the command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
    let line = text.lines().find(|line| line.starts_with("run")).expect("the deploy file has `run`");
    line.split('"').nth(1).expect("`run` is quoted").to_owned()
}

/// A process of the proxy.
pub struct Proxy {
    pub child: Child,
    pub pid: u32,
    pub log: PathBuf,
    pub ops: SocketAddr,
}

/// Starts a process of the proxy. `name` is the name of its log file.
pub fn start_proxy(case: &Case, name: &str, config: &Path, ops: SocketAddr, state: &Path) -> Proxy {
    let log = case.temp.join(format!("{name}.log"));
    let child = Command::new("/bin/sh")
        .args(["-c", &run_command()])
        .env("GW_CONFIG", config)
        .env("GW_OPS", ops.to_string())
        .env("TMPDIR", state)
        .env_remove("GW_OPERATORS")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(File::create(&log).expect("the log can be written"))
        .spawn()
        .expect("the shell can be started");
    let pid = child.id();
    case.pids.lock().expect("no panic").push(pid);
    // run.sh ends these too, should it be ended itself.
    if let Some(mut pids) = std::env::var_os("CASE_PIDS").and_then(|path| File::options().append(true).open(path).ok()) {
        let _ = writeln!(pids, "{pid}");
    }
    Proxy { child, pid, log, ops }
}

impl Proxy {
    /// Returns the exit status once the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Waits until the admin API says that the process is ready.
    pub fn wait_ready(&mut self, limit: Duration) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if let Some(status) = self.ended() {
                let log = std::fs::read_to_string(&self.log).unwrap_or_default();
                return Err(format!("a proxy ended before it was ready: {status}: {log}"));
            }
            if ops_call(self.ops, "GET", "/control/ready") == Some(200) {
                return Ok(());
            }
            sleep_ms(20);
        }
        Err("a proxy was not ready in time".to_owned())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Calls the admin API. Returns the status.
pub fn ops_call(ops: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&ops, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n").as_bytes()).ok()?;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    answer.split(' ').nth(1)?.parse().ok()
}

/// An entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: String,
    pub group: u64,
    pub state: String,
    pub mode: String,
}

impl Entry {
    fn json(&self) -> String {
        let Self { uid, address, zone, group, state, mode } = self;
        format!(
            r#"{{"uid":"{uid}","endpoint":"{address}","az":"{zone}","model":"m","pod_group":{group},"state":"{state}","capacity_hint":1.0,"boot_ms":0,"mode":"{mode}"}}"#
        )
    }
}

struct Watch {
    stream: TcpStream,
    port: u16,
    silent: bool,
    written_at: Instant,
}

struct List {
    revision: u64,
    entries: Vec<Entry>,
    watches: Vec<Watch>,
    heartbeats: u64,
    /// Whether a watch begins with what has changed after its version, which may be nothing, and not with the whole
    /// list. Each watch then has heartbeats of its own, 2 s after what was written last.
    tells_changes_only: bool,
    /// Whether calls are accepted and get no answer.
    is_down: bool,
}

/// Discovery. Heartbeats go to all watches at the same time, each 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    /// Called with a proxy's local port when a list is written to it.
    told: Arc<dyn Fn(&str, u16, u64) + Send + Sync>,
}

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

fn full_list(revision: u64, entries: &[Entry]) -> String {
    let entries: Vec<_> = entries.iter().map(Entry::json).collect();
    format!("{{\"rev\":{revision},\"all\":true,\"targets\":[{}]}}", entries.join(","))
}

impl Discovery {
    /// `told` is called with the path of a call, the port of the caller and the revision that it is told.
    pub fn start(entries: Vec<Entry>, told: impl Fn(&str, u16, u64) + Send + Sync + 'static) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let list = Arc::new(Mutex::new(List { revision: 1, entries, watches: Vec::new(), heartbeats: 0, tells_changes_only: false, is_down: false }));
        let discovery = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            list,
            told: Arc::new(told),
        });
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = discovery.clone();
        thread::spawn(move || loop {
            let before = Instant::now();
            while before.elapsed() < Duration::from_secs(2) {
                sleep_ms(5);
                beating.send_own_heartbeats();
            }
            if !beating.list.lock().expect("no panic").tells_changes_only {
                beating.send_to_all(&chunk("\n"));
                beating.list.lock().expect("no panic").heartbeats += 1;
            }
        });
        discovery
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0; 1];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte) {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let port = stream.peer_addr().map_or(0, |address| address.port());
        let mut list = self.list.lock().expect("no panic");
        if list.is_down {
            list.watches.push(Watch { stream, port, silent: true, written_at: Instant::now() });
            return;
        }
        let text = full_list(list.revision, &list.entries);
        (self.told)(&path, port, list.revision);
        if path.contains("watch=1") {
            let answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
            let from = path.split("from=").nth(1).and_then(|revision| revision.parse().ok());
            let has_nothing_new = list.tells_changes_only && from == Some(list.revision);
            let first = if has_nothing_new { Vec::new() } else { chunk(&format!("{text}\n")) };
            let _ = stream.write_all(&[&answer[..], &first].concat());
            list.watches.push(Watch { stream, port, silent: false, written_at: Instant::now() });
        } else {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", text.len());
            let _ = stream.write_all(&[head.as_bytes(), text.as_bytes()].concat());
        }
    }

    fn send_to_all(&self, bytes: &[u8]) {
        let mut list = self.list.lock().expect("no panic");
        list.watches.retain_mut(|watch| watch.silent || watch.stream.write_all(bytes).is_ok());
    }

    /// Lets a watch begin with changes alone.
    pub fn tell_changes_only(&self) {
        self.list.lock().expect("no panic").tells_changes_only = true;
    }

    fn send_own_heartbeats(&self) {
        let mut list = self.list.lock().expect("no panic");
        if !list.tells_changes_only {
            return;
        }
        list.watches.retain_mut(|watch| {
            if watch.silent || watch.written_at.elapsed() < Duration::from_secs(2) {
                return true;
            }
            watch.written_at = Instant::now();
            watch.stream.write_all(&chunk("\n")).is_ok()
        });
    }

    /// Waits until just after a heartbeat, then makes all open watches silent. New ones work. Returns their number.
    pub fn silence_open_watches(&self) -> usize {
        let before = self.list.lock().expect("no panic").heartbeats;
        loop {
            sleep_ms(1);
            let mut list = self.list.lock().expect("no panic");
            if list.heartbeats > before {
                list.watches.iter_mut().for_each(|watch| watch.silent = true);
                return list.watches.len();
            }
        }
    }

    pub fn open_watches(&self) -> usize {
        self.list.lock().expect("no panic").watches.iter().filter(|watch| !watch.silent).count()
    }

    /// Sets whether calls get no answer; open watches are not affected.
    pub fn set_down(&self, is_down: bool) {
        self.list.lock().expect("no panic").is_down = is_down;
    }

    /// Sets the state of servers in the list, and tells the open watches. Returns the ports of the proxies told.
    pub fn set_state(&self, uids: &[String], state: &str) -> Vec<u16> {
        let mut list = self.list.lock().expect("no panic");
        list.revision += 1;
        let mut changed = Vec::new();
        for entry in list.entries.iter_mut().filter(|entry| uids.contains(&entry.uid)) {
            entry.state = state.to_owned();
            changed.push(entry.json());
        }
        let text = format!("{{\"rev\":{},\"all\":false,\"targets\":[{}]}}\n", list.revision, changed.join(","));
        let bytes = chunk(&text);
        let mut told = Vec::new();
        for watch in list.watches.iter_mut().filter(|watch| !watch.silent) {
            if watch.stream.write_all(&bytes).is_ok() {
                told.push(watch.port);
            }
        }
        told
    }
}

/// Reads a message of the protocol: its type and its body.
pub fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=64 << 20).contains(&length) {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend(((body.len() + 4) as u32).to_be_bytes());
    bytes.extend(body);
    bytes
}

fn parameter(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

pub fn ready() -> Vec<u8> {
    message(b'Z', b"I")
}

/// RowDescription of the one column `body` (bytea, binary).
pub fn row_description() -> Vec<u8> {
    let mut body = vec![0, 1];
    body.extend(b"body\0");
    body.extend([0, 0, 0, 0, 0, 0]); // no table
    body.extend(17u32.to_be_bytes());
    body.extend((-1i16).to_be_bytes());
    body.extend((-1i32).to_be_bytes());
    body.extend(1u16.to_be_bytes());
    message(b'T', &body)
}

/// Head of a DataRow whose one column has `length` bytes.
pub fn row_head(length: usize) -> Vec<u8> {
    let mut bytes = vec![b'D'];
    bytes.extend(((4 + 2 + 4 + length) as u32).to_be_bytes());
    bytes.extend([0, 1]);
    bytes.extend((length as u32).to_be_bytes());
    bytes
}

pub fn row(value: &[u8]) -> Vec<u8> {
    [row_head(value.len()), value.to_vec()].concat()
}

pub fn command_complete(is_write: bool) -> Vec<u8> {
    message(b'C', if is_write { b"INSERT 0 1\0" } else { b"SELECT 1\0" })
}

/// The role and the position that a data server reports with an answer.
pub fn status(is_primary: bool, position_ms: f64) -> Vec<u8> {
    let mode = if is_primary { "read-write" } else { "read-only" };
    [parameter("mode", mode), parameter("wal_time", &format!("{}", position_ms as u64))].concat()
}

pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

/// Returns a field of a statement's comment.
pub fn field<'t>(statement: &'t str, name: &str) -> Option<&'t str> {
    let comment = statement.rsplit("/*").next()?.split("*/").next()?;
    comment.split(',').find_map(|field| field.trim().strip_prefix(name)?.strip_prefix('=').map(str::trim))
}

/// A statement that has arrived completely at a data server.
pub struct Received<'s> {
    pub text: String,
    /// Unix time in milliseconds at which its last byte was read.
    pub at_ms: f64,
    pub stream: &'s mut TcpStream,
    /// Port of the proxy's end of the connection.
    pub port: u16,
}

/// A data server. `handle` answers each statement; an error ends the connection.
pub struct DataServer {
    pub address: SocketAddr,
}

impl DataServer {
    /// `greet_ms` returns the delay with which the n-th connection comes up.
    pub fn start(
        greet_ms: impl Fn(u64) -> u64 + Send + Sync + 'static,
        handle: impl Fn(Received<'_>) -> io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let count = AtomicU64::new(0);
        let shared = Arc::new((greet_ms, handle));
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let number = count.fetch_add(1, Ordering::Relaxed);
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = serve_connection(&mut stream, number, &shared.0, &shared.1);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
        });
        Self { address }
    }
}

fn serve_connection(
    stream: &mut TcpStream,
    number: u64,
    greet_ms: &impl Fn(u64) -> u64,
    handle: &impl Fn(Received<'_>) -> io::Result<()>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).clamp(8, 65536) - 4];
    stream.read_exact(&mut body)?;
    sleep_ms(greet_ms(number));
    stream.write_all(&[message(b'R', &[0; 4]), ready()].concat())?;
    let port = stream.peer_addr()?.port();
    loop {
        let (kind, body) = read_message(stream)?;
        if kind != b'Q' {
            return Ok(());
        }
        let at_ms = unix_ms();
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        handle(Received { text, at_ms, stream, port })?;
    }
}

/// What a client got for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// The row's value had so many bytes.
    Served(usize),
    Error(String),
    /// The connection ended after so many bytes of an answer.
    Ended(usize),
    /// Nothing came in time.
    Nothing,
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        let mut client = Self { stream };
        client.stream.set_nodelay(true)?;
        client.stream.set_read_timeout(Some(timeout))?;
        let mut startup = 196608u32.to_be_bytes().to_vec();
        startup.extend(b"user\0worker\0database\0catalog\0\0");
        let length = (startup.len() as u32 + 4).to_be_bytes();
        client.stream.write_all(&[&length[..], &startup].concat())?;
        loop {
            let (kind, _) = read_message(&mut client.stream)?;
            match kind {
                b'Z' => return Ok(client),
                b'E' => return Err(io::ErrorKind::ConnectionRefused.into()),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, statement: &str) -> io::Result<()> {
        self.stream.write_all(&message(b'Q', format!("{statement}\0").as_bytes()))
    }

    /// Reads an answer up to ReadyForQuery, waiting for `timeout` at most between two reads.
    pub fn answer(&mut self, timeout: Duration) -> Answer {
        let _ = self.stream.set_read_timeout(Some(timeout));
        let mut received = Vec::new();
        let mut chunk = vec![0; 64 * 1024];
        let (mut at, mut value, mut code) = (0, None, None);
        loop {
            while received.len() >= at + 5 {
                let length = u32::from_be_bytes([received[at + 1], received[at + 2], received[at + 3], received[at + 4]]);
                let end = at + 1 + length as usize;
                if received.len() < end {
                    break;
                }
                let body = &received[at + 5..end];
                match received[at] {
                    b'D' => value = Some(body.len().saturating_sub(6)),
                    b'E' => {
                        let text = String::from_utf8_lossy(body).into_owned();
                        let found = text.split('\0').find_map(|field| field.strip_prefix('C').map(str::to_owned));
                        code = found.or(Some("?".to_owned()));
                    }
                    b'Z' => {
                        return match (code, value) {
                            (Some(code), _) => Answer::Error(code),
                            (None, Some(value)) => Answer::Served(value),
                            (None, None) => Answer::Error("no row".to_owned()),
                        }
                    }
                    _ => {}
                }
                at = end;
            }
            match self.stream.read(&mut chunk) {
                Ok(0) => return code.map_or(Answer::Ended(received.len()), Answer::Error),
                Ok(count) => received.extend(&chunk[..count]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Answer::Nothing;
                }
                Err(_) => return code.map_or(Answer::Ended(received.len()), Answer::Error),
            }
        }
    }

    pub fn ask(&mut self, statement: &str, timeout: Duration) -> Answer {
        match self.send(statement) {
            Ok(()) => self.answer(timeout),
            Err(_) => Answer::Ended(0),
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:x}-{:x}", std::process::id(), NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

pub fn select(id: &str, key: &str, class: &str, d: u64, group: u64, more: &str) -> String {
    format!("SELECT body FROM objects WHERE oid = '{key}' /* id={id},c={class},d={d},cluster={group}{more} */")
}

pub fn insert(id: &str, key: &str, class: &str, d: u64, group: u64) -> String {
    format!(
        "INSERT INTO objects (oid, body) VALUES ('{key}', '\\x9f03') RETURNING body /* id={id},c={class},d={d},cluster={group} */"
    )
}

/// Settings of windhoek-fonts, as its pages give them.
pub fn windhoek_settings(instances: u32, index: u32) -> String {
    format!(
        r#"{{"Classes":[
 {{"Credit":1.0,"DeadlineMs":1200.0,"DedupScope":"all","Effect":"repeatable","LateValue":0.0,"Name":"font-lookup","OnTimeMs":500.0,"Stream":false,"WindowMs":5000.0}},
 {{"Credit":2.0,"DeadlineMs":1500.0,"DedupScope":"all","Effect":"repeatable","LateValue":0.2,"Name":"own-changes","OnTimeMs":500.0,"Stream":false,"WindowMs":5000.0}},
 {{"Credit":4.0,"DeadlineMs":3000.0,"DedupScope":"all","Effect":"once","LateValue":0.5,"Name":"usage-write","OnTimeMs":600.0,"Stream":false,"WindowMs":5000.0}}],
"Clients":{{"MarksRetry":false}},
"Contract":{{"AnswerSlackMs":20.0,"AskEveryMs":10000.0,"ColdShare":0.27,"OverloadFactor":2.0,"OverloadForMs":1000.0,"StopSendingWithinMs":2000.0,"WarmUpMs":18000.0}},
"Discovery":"subscribe",
"Domain":{{"HoldsForMs":0.0,"MaxAgeMs":[3000.0,0.0,0.0],"NeedsByClass":["lag_bound","causal","mutate"],"Positions":true,"ServerChecks":"silent","SessionMarks":"brought","ShowsRole":"trailing","Sync":true}},
"GroupSize":{instances},"Index":{index},"Kinds":["m"],
"Limits":{{"AttemptsCap":6,"ConnIdleMs":15000.0,"ConnectTimeoutMs":250.0,"MaxRetryAfterMs":1000.0,"MayCancel":true,"MayTell":false,"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1}},
"Prices":{{"CrossZone":0.017,"LateFail":0.05,"Peer":0.0,"Probe":0.041,"Waste":0.03}},
"Report":{{"Columns":[],"How":"silent"}},
"TickMs":5.0,"Tenants":[],"Weights":"nominal","Workload":"replicas","Zone":"hall-north","Zones":["hall-north","hall-south"]}}"#
    )
}

/// Settings of kigali-quotes, as its page and its site file give them.
pub fn kigali_settings(instances: u32, index: u32) -> String {
    let class = |name: &str, aim: u32, deadline: u32, credit: f64, late: f64, effect: &str| {
        format!(
            r#"{{"Credit":{credit},"DeadlineMs":{deadline},"DedupScope":"all","Effect":"{effect}","LateValue":{late},"Name":"{name}","OnTimeMs":{aim},"Stream":false,"WindowMs":5000}}"#
        )
    };
    let classes = [
        class("browse", 250, 750, 1.0, 0.0, "repeatable"),
        class("own-quote", 400, 1500, 1.0, 0.2, "repeatable"),
        class("cover-check", 400, 1500, 1.0, 0.2, "repeatable"),
        class("report", 4000, 8000, 6.0, 0.0, "repeatable"),
        class("issue", 300, 3000, 6.0, 0.7, "once"),
    ];
    format!(
        r#"{{"Classes":[{}],
"Clients":{{"MarksRetry":true}},
"Contract":{{"AnswerSlackMs":20.0,"AskEveryMs":10000.0,"ColdShare":0.18,"OverloadFactor":2.5,"OverloadForMs":1500.0,"StopSendingWithinMs":1000.0,"WarmUpMs":14000.0}},
"Discovery":"subscribe",
"Domain":{{"HoldsForMs":0.0,"MaxAgeMs":[1500.0,0.0,0.0,0.0,0.0],"NeedsByClass":["lag_bound","causal","strong","eventual","mutate"],"Positions":true,"ServerChecks":"silent","SessionMarks":"kept","ShowsRole":"static","Sync":false}},
"GroupSize":{instances},"Index":{index},"Kinds":["m"],
"Limits":{{"AttemptsCap":8,"ConnIdleMs":30000.0,"ConnectTimeoutMs":250.0,"MaxRetryAfterMs":500.0,"MayCancel":true,"MayTell":false,"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":8}},
"Prices":{{"CrossZone":0.01,"LateFail":0.03,"Peer":0.0,"Probe":0.04,"Waste":0.05}},
"Report":{{"Columns":["x0","x1"],"How":"pull"}},
"TickMs":5.0,"Tenants":[],"Weights":"nominal","Workload":"replicas","Zone":"kacyiru","Zones":["kacyiru","remera","nyarutarama"]}}"#,
        classes.join(",")
    )
}

/// Writes a configuration file.
pub fn write_config(case: &Case, name: &str, listen: SocketAddr, discovery: &Discovery, settings: &str) -> PathBuf {
    let list = discovery.list.lock().expect("no panic");
    let known = full_list(list.revision, &list.entries);
    let text = format!(
        r#"{{"name":"{name}","listen":"{listen}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{known},"settings":{settings}}}"#,
        discovery.address,
        (unix_ms() * 1e3) as u64 ^ (listen.port() as u64) << 40
    );
    let path = case.temp.join(format!("{name}.json"));
    std::fs::write(&path, text).expect("the configuration can be written");
    path
}

/// A folder for the state of a proxy (`TMPDIR`).
pub fn state_folder(case: &Case, name: &str) -> PathBuf {
    let path = case.temp.join(name);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

pub type Shared<T> = Arc<Mutex<T>>;

pub fn shared<T>(value: T) -> Shared<T> {
    Arc::new(Mutex::new(value))
}

pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}

pub fn is_set(flag: &AtomicBool) -> bool {
    flag.load(Ordering::SeqCst)
}

pub fn set(flag: &AtomicBool, value: bool) {
    flag.store(value, Ordering::SeqCst);
}

pub type Map<K, V> = HashMap<K, V>;
