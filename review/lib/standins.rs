//! Stand-ins that the review's cases share: data servers of one replica set, discovery, clients, and the proxy as a
//! child process. Standard library only.
//!
//! The stand-ins follow the protocol page. Times are Unix milliseconds.
#![allow(dead_code)]

use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a case.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

/// Time after which a case gives up, in seconds.
const WATCHDOG_SECS: u64 = 112;

pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------------------------------------------------------
// Record

/// Writes `record.txt`, at the path that `run.sh` gives in `RECORD`: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, f64)>>);

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| not_run("RECORD is not set; start run.sh"));
        let file = File::create(&path).unwrap_or_else(|e| not_run(&format!("{path} cannot be written: {e}")));
        Self(Arc::new(Mutex::new((file, unix_ms()))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut state = self.0.lock().unwrap();
        let at = unix_ms() - state.1;
        let _ = writeln!(state.0, "{at:9.1} ms  {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }

    pub fn started_at(&self) -> f64 {
        self.0.lock().unwrap().1
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Messages of the wire protocol

fn push_message(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend(((body.len() + 4) as u32).to_be_bytes());
    out.extend(body);
}

fn push_parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    push_message(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

fn push_row(out: &mut Vec<u8>, value: &[u8], tag: &str) {
    let mut description = vec![0, 1];
    description.extend(b"body\0");
    description.extend([0, 0, 0, 0, 0, 1, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1]);
    push_message(out, b'T', &description);
    let mut row = vec![0, 1];
    row.extend((value.len() as u32).to_be_bytes());
    row.extend(value);
    push_message(out, b'D', &row);
    push_message(out, b'C', format!("{tag}\0").as_bytes());
}

fn push_error(out: &mut Vec<u8>, code: &str, text: &str) {
    push_message(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{text}\0\0").as_bytes());
}

fn read_startup(stream: &mut TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut body = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4).min(10_000)];
    stream.read_exact(&mut body)
}

/// Reads a message: its type and its body.
fn read_message(stream: &mut impl Read) -> io::Result<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((header[0], body))
}

pub fn query_message(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    push_message(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}

// ---------------------------------------------------------------------------------------------------------------
// Statements

/// What a data server reads in a statement.
#[derive(Debug, Clone, Default)]
pub struct Statement {
    pub is_write: bool,
    pub key: String,
    pub value: Vec<u8>,
    pub id: String,
    pub class: String,
    pub d_ms: f64,
    pub group: u64,
}

fn between<'t>(text: &'t str, start: &str, end: &str) -> Option<&'t str> {
    let from = text.find(start)? + start.len();
    let length = text[from..].find(end)?;
    Some(&text[from..from + length])
}

pub fn parse_statement(text: &str) -> Option<Statement> {
    let is_write = text.starts_with("INSERT");
    let comment = between(text, "/*", "*/")?;
    let fields: HashMap<&str, &str> =
        comment.trim().split(',').filter_map(|field| field.trim().split_once('=')).collect();
    let key = if is_write { between(text, "VALUES ('", "'")? } else { between(text, "oid = '", "'")? };
    let hex = if is_write { between(text, "'\\x", "'")? } else { "" };
    let value = hex.as_bytes().chunks(2).map(|pair| {
        let digits = std::str::from_utf8(pair).ok()?;
        u8::from_str_radix(digits, 16).ok()
    });
    Some(Statement {
        is_write,
        key: key.to_owned(),
        value: value.collect::<Option<Vec<u8>>>()?,
        id: (*fields.get("id")?).to_owned(),
        class: (*fields.get("c")?).to_owned(),
        d_ms: fields.get("d")?.parse().ok()?,
        group: fields.get("cluster")?.parse().ok()?,
    })
}

pub fn read_text(key: &str, id: &str, class: &str, d_ms: u64, extra: &str) -> String {
    format!("SELECT body FROM objects WHERE oid = '{key}' /* id={id},c={class},d={d_ms},cluster=1{extra} */")
}

pub fn write_text(key: &str, value: &[u8], id: &str, class: &str, d_ms: u64) -> String {
    let hex: String = value.iter().map(|byte| format!("{byte:02x}")).collect();
    format!(
        "INSERT INTO objects (oid, body) VALUES ('{key}', '\\x{hex}') RETURNING body \
         /* id={id},c={class},d={d_ms},cluster=1 */"
    )
}

// ---------------------------------------------------------------------------------------------------------------
// A replica set

/// A commit in the log of the set.
#[derive(Debug, Clone)]
struct Commit {
    at: f64,
    key: String,
    value: Arc<Vec<u8>>,
    id: String,
}

/// How fast the members work and follow.
#[derive(Debug, Clone)]
pub struct SetOptions {
    /// Work of a request by its class, in ms; the default for classes that are not named.
    pub work_ms: HashMap<String, u64>,
    pub default_work_ms: u64,
    /// Time after which a replica gets the log, in ms.
    pub ship_ms: f64,
    /// How many ms of the log a replica applies in a ms. The log of a full second takes 0.36 to 0.58 s on the second
    /// site, which is a speed of 1.7 to 2.8.
    pub apply_speed: f64,
    /// Class whose requests stop the log at a replica while they run.
    pub blocking_class: Option<String>,
    pub probes_report: bool,
    /// Prefix of the members' names.
    pub prefix: &'static str,
    /// Every how many answers to a client's request one is spoilt: it begins and never ends. 0: none.
    pub endless_every: u64,
    /// Every how many writes one gets noise for its answer, after it has run. 0: none.
    pub noise_every: u64,
    /// Prefix of the keys whose first write has its connection reset after it has run. Empty: none.
    pub resets_first: &'static str,
    /// Time for which the set remembers the ids of writes and drops their repeats, in ms. 0: it remembers none.
    pub remembers_ms: f64,
}

impl Default for SetOptions {
    fn default() -> Self {
        Self {
            work_ms: HashMap::new(),
            default_work_ms: 86,
            ship_ms: 6.0,
            apply_speed: 2.0,
            blocking_class: None,
            probes_report: false,
            prefix: "db",
            endless_every: 0,
            noise_every: 0,
            resets_first: "",
            remembers_ms: 0.0,
        }
    }
}

struct MemberState {
    is_primary: bool,
    /// Position of a replica.
    position: f64,
    updated_at: f64,
    /// Requests at work that stop the log here.
    blocking: u32,
}

struct SetState {
    log: Vec<Commit>,
    last_commit: f64,
    members: Vec<MemberState>,
    /// The set takes no writes.
    is_without_primary: bool,
}

/// A replica set: members that share a log.
#[derive(Clone)]
pub struct ReplicaSet {
    state: Arc<Mutex<SetState>>,
    options: Arc<SetOptions>,
    record: Record,
    pub members: Vec<(String, SocketAddr)>,
    /// Ids of all requests that ran, with the number of times.
    pub runs: Arc<Mutex<HashMap<String, u32>>>,
    /// A read that was answered: id, server, position that it was answered from, commit of the value.
    pub reads: Arc<Mutex<HashMap<String, ReadRun>>>,
    /// Commits of writes by id.
    pub commits: Arc<Mutex<HashMap<String, f64>>>,
    /// Answers that told the role read-only, by server: time of the first one since the server stepped down.
    pub told_replica: Arc<Mutex<HashMap<usize, f64>>>,
    /// For each attempt that arrived: time, server, id, class.
    pub arrivals: Arc<Mutex<Vec<(f64, usize, String, String)>>>,
    pub answers: Arc<AtomicU64>,
    pub spoilt: Arc<AtomicU64>,
    /// For each write that arrived at a primary: times at which its last byte arrived.
    pub write_arrivals: Arc<Mutex<HashMap<String, Vec<f64>>>>,
    writes: Arc<AtomicU64>,
}

#[derive(Debug, Clone)]
pub struct ReadRun {
    pub server: usize,
    pub was_primary: bool,
    pub position: f64,
    pub arrived_at: f64,
}

impl ReplicaSet {
    /// Starts a set of `count` members, of which the first is the primary.
    pub fn start(count: usize, options: SetOptions, record: &Record) -> Self {
        let now = unix_ms();
        let members = (0..count)
            .map(|index| MemberState { is_primary: index == 0, position: now, updated_at: now, blocking: 0 })
            .collect();
        let listeners: Vec<_> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("no free port")).collect();
        let names = listeners.iter().enumerate();
        let prefix = options.prefix;
        let set = Self {
            state: Arc::new(Mutex::new(SetState {
                log: Vec::new(),
                last_commit: now,
                members,
                is_without_primary: false,
            })),
            options: Arc::new(options),
            record: record.clone(),
            members: names.map(|(i, l)| (format!("{prefix}-{}", i + 1), l.local_addr().unwrap())).collect(),
            runs: Arc::default(),
            reads: Arc::default(),
            commits: Arc::default(),
            told_replica: Arc::default(),
            arrivals: Arc::default(),
            answers: Arc::default(),
            spoilt: Arc::default(),
            write_arrivals: Arc::default(),
            writes: Arc::default(),
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            let set = set.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let set = set.clone();
                    thread::spawn(move || {
                        let _ = set.serve(index, stream);
                    });
                }
            });
        }
        // Keeps the positions moving also while nobody asks.
        let ticker = set.clone();
        thread::spawn(move || loop {
            sleep_ms(1);
            ticker.advance(&mut ticker.state.lock().unwrap());
        });
        set
    }

    pub fn name(&self, index: usize) -> &str {
        &self.members[index].0
    }

    fn advance(&self, state: &mut SetState) {
        let now = unix_ms();
        let is_without_primary = state.is_without_primary;
        let last_commit = state.last_commit;
        for member in &mut state.members {
            let elapsed = now - member.updated_at;
            member.updated_at = now;
            if member.is_primary {
                member.position = now;
            } else if member.blocking == 0 {
                // Without a primary the positions stand still once all of the log is applied.
                let end = if is_without_primary { last_commit } else { now - self.options.ship_ms };
                let step = elapsed * self.options.apply_speed;
                member.position = member.position.max(end.min(member.position + step));
            }
        }
    }

    /// Adds a value that all members have.
    pub fn seed_value(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        let commit = Commit { at: 0.0, key: key.to_owned(), value: Arc::new(value.to_vec()), id: String::new() };
        state.log.push(commit);
    }

    /// The primary steps down, and after `switch_ms` the member `successor` takes over.
    pub fn hand_over(&self, from: usize, successor: usize, switch_ms: u64) {
        {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            state.members[from].is_primary = false;
            state.is_without_primary = true;
        }
        self.told_replica.lock().unwrap().remove(&from);
        self.record.say(format!("{} steps down; the set takes no writes", self.name(from)));
        sleep_ms(switch_ms);
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        state.is_without_primary = false;
        state.members[successor].is_primary = true;
        state.last_commit = state.last_commit.max(unix_ms().ceil());
        drop(state);
        self.record.say(format!("{} is the primary", self.name(successor)));
    }

    pub fn is_primary(&self, index: usize) -> bool {
        self.state.lock().unwrap().members[index].is_primary
    }

    pub fn position(&self, index: usize) -> f64 {
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        state.members[index].position
    }

    /// Work that another proxy has sent to a member and that stops the log there.
    pub fn hold(&self, index: usize, ms: u64) {
        self.state.lock().unwrap().members[index].blocking += 1;
        sleep_ms(ms);
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        // The log waits from now on, not in hindsight.
        state.members[index].blocking -= 1;
    }

    fn serve(&self, index: usize, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        read_startup(&mut stream)?;
        let mut out = Vec::new();
        push_message(&mut out, b'R', &[0; 4]);
        push_message(&mut out, b'Z', b"I");
        stream.write_all(&out)?;
        loop {
            let (kind, body) = read_message(&mut stream)?;
            if kind != b'Q' {
                return Ok(());
            }
            let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
            let answer = self.answer(index, &text);
            let is_statement = text.starts_with("SELECT body") || text.starts_with("INSERT");
            if is_statement && self.is_next_spoilt() {
                return self.write_endless_answer(index, &mut stream);
            }
            let ran_write = answer.windows(8).any(|bytes| bytes == b"INSERT 0");
            if ran_write && !self.options.resets_first.is_empty() && self.is_first_write(&text) {
                self.record.line(format!("{} breaks the connection in place of the answer", self.name(index)));
                return Ok(());
            }
            if ran_write && self.is_next_noise() {
                self.record.line(format!("{} spoils the answer: noise", self.name(index)));
                stream.write_all(&[0xe7; 600])?;
                continue;
            }
            stream.write_all(&answer)?;
        }
    }

    /// Returns whether the text is the first write, by this id, of a key with the prefix `resets_first`.
    fn is_first_write(&self, text: &str) -> bool {
        let Some(statement) = parse_statement(text).filter(|statement| statement.is_write) else { return false };
        statement.key.starts_with(self.options.resets_first)
            && self.write_arrivals.lock().unwrap().get(&statement.id).is_some_and(|arrivals| arrivals.len() == 1)
    }

    fn is_next_noise(&self) -> bool {
        let number = self.writes.fetch_add(1, Ordering::SeqCst) + 1;
        let is_noise = self.options.noise_every > 0 && number % self.options.noise_every == 0;
        self.spoilt.fetch_add(u64::from(is_noise), Ordering::SeqCst);
        is_noise
    }

    fn is_next_spoilt(&self) -> bool {
        let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
        self.options.endless_every > 0 && number % self.options.endless_every == 0
    }

    /// Writes notices of 8 KB, one each millisecond, until the connection breaks.
    fn write_endless_answer(&self, index: usize, stream: &mut TcpStream) -> io::Result<()> {
        self.spoilt.fetch_add(1, Ordering::SeqCst);
        let started_at = unix_ms();
        let mut notice = Vec::new();
        push_message(&mut notice, b'N', format!("SNOTICE\0C00000\0M{}\0\0", "x".repeat(8000)).as_bytes());
        let mut written = 0;
        let end = loop {
            match stream.write_all(&notice) {
                Ok(()) => written += notice.len(),
                Err(e) => break e,
            }
            sleep_ms(1);
        };
        self.record.line(format!(
            "{} has written {written} bytes of an answer without an end in {:.0} ms, until: {end}",
            self.name(index),
            unix_ms() - started_at
        ));
        Ok(())
    }

    fn answer(&self, index: usize, text: &str) -> Vec<u8> {
        let mut out = Vec::new();
        if text == "SELECT 1" {
            push_row(&mut out, b"1", "SELECT 1");
            push_message(&mut out, b'Z', b"I");
            return out;
        }
        if text == "SHOW stats" {
            if self.options.probes_report {
                let mut state = self.state.lock().unwrap();
                self.advance(&mut state);
                let member = &state.members[index];
                let report = format!("x0={:.3},x1={}", member.position / 1e3, u8::from(member.is_primary));
                drop(state);
                self.record.line(format!("{} answers a probe: {report}", self.name(index)));
                push_row(&mut out, report.as_bytes(), "SHOW");
            } else {
                push_error(&mut out, "42501", "no reports");
            }
            push_message(&mut out, b'Z', b"I");
            return out;
        }
        let Some(statement) = parse_statement(text) else {
            push_error(&mut out, "08P01", "not a statement of a client");
            push_message(&mut out, b'Z', b"I");
            return out;
        };
        let arrived_at = unix_ms();
        self.arrivals.lock().unwrap().push((arrived_at, index, statement.id.clone(), statement.class.clone()));
        if statement.is_write {
            self.answer_write(index, &statement, &mut out);
        } else {
            self.answer_read(index, &statement, arrived_at, &mut out);
        }
        push_message(&mut out, b'Z', b"I");
        out
    }

    fn work_ms(&self, class: &str) -> u64 {
        *self.options.work_ms.get(class).unwrap_or(&self.options.default_work_ms)
    }

    fn push_status(&self, index: usize, is_primary: bool, position: f64, out: &mut Vec<u8>) {
        push_parameter(out, "mode", if is_primary { "read-write" } else { "read-only" });
        push_parameter(out, "wal_time", &format!("{}", position.max(0.0) as u64));
        if !is_primary {
            self.told_replica.lock().unwrap().entry(index).or_insert_with(unix_ms);
        }
    }

    fn answer_write(&self, index: usize, statement: &Statement, out: &mut Vec<u8>) {
        let name = self.name(index).to_owned();
        let arrived_at = unix_ms();
        if self.is_primary(index) {
            let mut arrivals = self.write_arrivals.lock().unwrap();
            let earlier = arrivals.entry(statement.id.clone()).or_default();
            let first = earlier.first().copied();
            earlier.push(arrived_at);
            drop(arrivals);
            if let Some(first) = first.filter(|first| arrived_at - first <= self.options.remembers_ms) {
                push_row(out, &statement.value, "INSERT 0 1");
                let commit = self.commits.lock().unwrap().get(&statement.id).copied().unwrap_or(first);
                self.push_status(index, true, commit, out);
                self.record.line(format!(
                    "{name} (primary) drops the repeat of {} after {:.0} ms",
                    statement.id,
                    arrived_at - first
                ));
                return;
            }
        }
        let declines = |state: &SetState| !state.members[index].is_primary || state.is_without_primary;
        {
            let mut state = self.state.lock().unwrap();
            self.advance(&mut state);
            if declines(&state) {
                let position = state.members[index].position;
                drop(state);
                push_error(out, "25006", "not the primary");
                self.push_status(index, false, position, out);
                self.record.line(format!("{name} turns away the write {}", statement.id));
                return;
            }
        }
        sleep_ms(self.work_ms(&statement.class));
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        if declines(&state) {
            drop(state);
            push_error(out, "XX000", "the role changed");
            self.push_status(index, false, 0.0, out);
            self.record.line(format!("{name} ends the write {} with an error", statement.id));
            return;
        }
        let at = unix_ms().ceil().max(state.last_commit + 1.0);
        state.last_commit = at;
        let value = Arc::new(statement.value.clone());
        let (key, id) = (statement.key.clone(), statement.id.clone());
        state.log.push(Commit { at, key, value, id });
        drop(state);
        *self.runs.lock().unwrap().entry(statement.id.clone()).or_default() += 1;
        self.commits.lock().unwrap().insert(statement.id.clone(), at);
        push_row(out, &statement.value, "INSERT 0 1");
        self.push_status(index, true, at, out);
        self.record.line(format!(
            "{name} (primary) ran the write {} of {}: {} bytes, commit {at:.0}",
            statement.id,
            statement.key,
            statement.value.len()
        ));
    }

    fn answer_read(&self, index: usize, statement: &Statement, arrived_at: f64, out: &mut Vec<u8>) {
        let blocks = self.options.blocking_class.as_deref() == Some(&statement.class);
        if blocks {
            self.hold(index, self.work_ms(&statement.class));
        } else {
            sleep_ms(self.work_ms(&statement.class));
        }
        let mut state = self.state.lock().unwrap();
        self.advance(&mut state);
        let member = &state.members[index];
        let (is_primary, position) = (member.is_primary, member.position);
        let seen = state.log.iter().rev().find(|commit| {
            commit.key == statement.key && (is_primary || commit.at <= position)
        });
        let (value, commit) =
            seen.map_or((Arc::new(b"nothing".to_vec()), 0.0), |commit| (commit.value.clone(), commit.at));
        drop(state);
        *self.runs.lock().unwrap().entry(statement.id.clone()).or_default() += 1;
        let run = ReadRun { server: index, was_primary: is_primary, position, arrived_at };
        self.reads.lock().unwrap().insert(statement.id.clone(), run);
        push_row(out, &value, "SELECT 1");
        self.push_status(index, is_primary, position, out);
        let role = if is_primary { "primary" } else { "replica" };
        self.record.line(format!(
            "{} ({role}) answered the read {} ({}) of {} from position {position:.0}: the value of commit {commit:.0}",
            self.name(index),
            statement.id,
            statement.class,
            statement.key
        ));
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Discovery

#[derive(Debug, Clone)]
pub struct Entry {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub group: u64,
    pub state: String,
    /// `read-write` or `read-only`.
    pub mode: String,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"{}","model":"m1","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":0,"mode":"{}"}}"#,
            self.uid, self.endpoint, self.zone, self.group, self.state, self.mode
        )
    }
}

/// The list and the revision at which each entry changed last.
struct ListState {
    revision: u64,
    entries: Vec<(u64, Entry)>,
}

/// Discovery: the list, and watches on its changes.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<ListState>>,
    pub address: SocketAddr,
    record: Record,
    /// Time at which each change was written to a watch or in an answer: revision and time.
    pub told: Arc<Mutex<Vec<(u64, f64)>>>,
    pub calls: Arc<AtomicU64>,
}

impl Discovery {
    pub fn start(entries: Vec<Entry>, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
        let state = ListState { revision: 1, entries: entries.into_iter().map(|entry| (1, entry)).collect() };
        let discovery = Self {
            state: Arc::new(Mutex::new(state)),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            told: Arc::default(),
            calls: Arc::default(),
        };
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || {
                    let _ = discovery.serve(stream);
                });
            }
        });
        discovery
    }

    /// Changes an entry of the list.
    pub fn change(&self, uid: &str, change: impl FnOnce(&mut Entry)) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        if let Some((changed_at, entry)) = state.entries.iter_mut().find(|(_, entry)| entry.uid == uid) {
            *changed_at = revision;
            change(entry);
            self.record.say(format!("discovery: revision {revision}: {}", entry.json()));
        }
        revision
    }

    /// The list as JSON, for `known` and for complete answers.
    pub fn list_json(&self) -> String {
        let state = self.state.lock().unwrap();
        list_json(state.revision, true, state.entries.iter().map(|(_, entry)| entry))
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        self.calls.fetch_add(1, Ordering::SeqCst);
        self.record.line(format!("discovery gets GET {path}"));
        if !path.contains("watch=1") {
            let body = self.list_json();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return stream.write_all(answer.as_bytes());
        }
        let from: u64 = path.rsplit("from=").next().and_then(|from| from.parse().ok()).unwrap_or(0);
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut known = from;
        let mut is_first = true;
        let mut last_line_at = Instant::now();
        loop {
            let (revision, text) = {
                let state = self.state.lock().unwrap();
                let is_complete = is_first && (known == 0 || known > state.revision);
                let changed = state.entries.iter().filter(|(at, _)| is_complete || *at > known);
                let text = list_json(state.revision, is_complete, changed.map(|(_, entry)| entry));
                (state.revision, (is_complete || state.revision > known).then_some(text))
            };
            if let Some(text) = text {
                write_chunk(&mut stream, &format!("{text}\n"))?;
                self.told.lock().unwrap().push((revision, unix_ms()));
                self.record.line(format!("discovery tells revision {revision} on a watch"));
                known = revision;
                last_line_at = Instant::now();
            } else if last_line_at.elapsed() >= Duration::from_secs(2) {
                write_chunk(&mut stream, "\n")?;
                last_line_at = Instant::now();
            }
            is_first = false;
            sleep_ms(5);
        }
    }
}

fn list_json<'e>(revision: u64, is_complete: bool, entries: impl Iterator<Item = &'e Entry>) -> String {
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!(r#"{{"rev":{revision},"all":{is_complete},"targets":[{}]}}"#, entries.join(","))
}

fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---------------------------------------------------------------------------------------------------------------
// Clients

/// What a client saw for its request.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused(String),
    Failed(String),
    /// The connection ended without a whole answer; the number of bytes that had arrived of it.
    Closed(usize),
    /// No whole answer within the time that the stand-in waited.
    None,
}

impl Answer {
    pub fn brief(&self) -> String {
        match self {
            Self::Served(value) if value.len() <= 24 => format!("served {:?}", String::from_utf8_lossy(value)),
            Self::Served(value) => {
                format!("served {:?}... ({} bytes)", String::from_utf8_lossy(&value[..20]), value.len())
            }
            other => format!("{other:?}"),
        }
    }
}

pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    /// Connects and completes the startup.
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        let parameters = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
        let mut startup = ((parameters.len() + 4) as u32).to_be_bytes().to_vec();
        startup.extend(parameters);
        stream.write_all(&startup)?;
        let mut client = Self { stream };
        loop {
            match read_message(&mut client.stream)? {
                (b'Z', _) => return Ok(client),
                (b'E', body) => return Err(io::Error::other(error_code(&body))),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(&query_message(text))
    }

    /// Sends a query and waits for its answer for at most `wait`.
    pub fn ask(&mut self, text: &str, wait: Duration) -> Answer {
        if self.send(text).is_err() {
            return Answer::Closed(0);
        }
        self.answer(wait)
    }

    /// Waits for the answer to the oldest query that has none.
    pub fn answer(&mut self, wait: Duration) -> Answer {
        let until = Instant::now() + wait;
        let mut received = Vec::new();
        let mut buffer = [0; 65536];
        loop {
            if let Some(answer) = whole_answer(&mut received) {
                return answer;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Answer::None;
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match self.stream.read(&mut buffer) {
                Ok(0) => return error_or_closed(&received),
                Ok(count) => received.extend(&buffer[..count]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Answer::None
                }
                Err(_) => return error_or_closed(&received),
            }
        }
    }

    pub fn close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn messages(received: &[u8]) -> (Vec<(u8, &[u8])>, usize) {
    let mut messages = Vec::new();
    let mut at = 0;
    while received.len() >= at + 5 {
        let length = u32::from_be_bytes([received[at + 1], received[at + 2], received[at + 3], received[at + 4]]);
        let end = at + 1 + length as usize;
        if received.len() < end {
            break;
        }
        messages.push((received[at], &received[at + 5..end]));
        at = end;
    }
    (messages, at)
}

fn whole_answer(received: &mut Vec<u8>) -> Option<Answer> {
    let (all, _) = messages(received);
    all.iter().position(|(kind, _)| *kind == b'Z')?;
    Some(answer_of(&all))
}

fn answer_of(all: &[(u8, &[u8])]) -> Answer {
    let mut value = None;
    for (kind, body) in all {
        match kind {
            b'E' => {
                let code = error_code(body);
                let is_refusal = code == "53300" || code == "57P03";
                return if is_refusal { Answer::Refused(code) } else { Answer::Failed(code) };
            }
            b'D' => value = body.get(6..).map(<[u8]>::to_vec),
            b'C' | b'I' => return Answer::Served(value.unwrap_or_default()),
            _ => {}
        }
    }
    Answer::Closed(0)
}

/// After a fatal error, no ReadyForQuery is needed.
fn error_or_closed(received: &[u8]) -> Answer {
    let (all, _) = messages(received);
    match all.iter().any(|(kind, _)| *kind == b'E') {
        true => answer_of(&all),
        false => Answer::Closed(received.len()),
    }
}

fn error_code(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let code = fields.filter(|field| field.first() == Some(&b'C')).next();
    code.map_or(String::new(), |field| String::from_utf8_lossy(&field[1..]).into_owned())
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    format!("r{:05}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

// ---------------------------------------------------------------------------------------------------------------
// The proxy

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGHUP: i32 = 1;

/// The process ids that the watchdog has to end.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn root() -> PathBuf {
    std::env::current_dir().expect("no current folder")
}

/// The folder that the proxy gets as `TMPDIR`; removed at the end.
pub struct StateDir(pub PathBuf);

impl StateDir {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms() as u64));
        std::fs::create_dir_all(&path).expect("no temporary folder");
        Self(path)
    }
}

impl Drop for StateDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("no free port")
}

/// The `run` command of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml cannot be read");
    let line = text.lines().find(|line| line.trim_start().starts_with("run")).expect("no run line");
    line.split('"').nth(1).expect("no run command").to_owned()
}

pub struct Proxy {
    child: Child,
    pub ops: SocketAddr,
}

impl Proxy {
    /// Starts `run` with the configuration file; `ops` is the address of the admin API.
    pub fn start(config: &Path, listen: SocketAddr, discovery: SocketAddr, state: &Path, log: &Path) -> Self {
        let ops = free_address();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command())
            .env("GW_NAME", "n1")
            .env("GW_LISTEN", listen.to_string())
            .env("GW_DISCOVERY", discovery.to_string())
            .env("GW_CONFIG", config)
            .env("GW_OPS", ops.to_string())
            .env("GW_LOG", std::env::var("GW_LOG").unwrap_or_else(|_| "info".to_owned()))
            .env("TMPDIR", state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(log).expect("no log file"))
            .spawn();
        let child = child.unwrap_or_else(|e| not_run(&format!("the proxy cannot be started: {e}")));
        CHILDREN.lock().unwrap().push(child.id());
        Self { child, ops }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Memory in use, in bytes.
    pub fn memory_bytes(&self) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024)
    }

    pub fn ready(&self) -> bool {
        http_status(self.ops, "GET", "/control/ready") == Some(200)
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if self.ready() {
                return true;
            }
            if !self.is_running() {
                return false;
            }
            sleep_ms(10);
        }
        false
    }

    pub fn wait_exit(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if !self.is_running() {
                return true;
            }
            sleep_ms(5);
        }
        false
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn http_status(address: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: proxy\r\n\r\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

/// Ends the case after a fixed time, with all processes that it started.
pub fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(WATCHDOG_SECS));
        not_run("the case took too long")
    });
}

/// Ends all processes and says that the case could not run.
pub fn not_run(why: &str) -> ! {
    println!("not run: {why}");
    finish(NOT_RUN)
}

/// Ends all processes that the case started, and exits.
pub fn finish(code: i32) -> ! {
    if let Ok(children) = CHILDREN.lock() {
        for id in children.iter() {
            unsafe { kill(*id as i32, 9) };
        }
    }
    std::process::exit(code)
}

// ---------------------------------------------------------------------------------------------------------------
// Configurations

/// Configuration of a proxy of `kigali-quotes`, from its site file and its brief.
pub fn kigali_settings() -> String {
    r#"{"Classes":[
 {"Name":"browse","Credit":1,"OnTimeMs":250,"DeadlineMs":750,"LateValue":0,"Effect":"repeatable","Stream":false},
 {"Name":"own-quote","Credit":1,"OnTimeMs":400,"DeadlineMs":1500,"LateValue":0.2,"Effect":"repeatable","Stream":false},
 {"Name":"cover-check","Credit":1,"OnTimeMs":400,"DeadlineMs":1500,"LateValue":0.2,"Effect":"repeatable","Stream":false},
 {"Name":"report","Credit":6,"OnTimeMs":4000,"DeadlineMs":8000,"LateValue":0,"Effect":"repeatable","Stream":false},
 {"Name":"issue","Credit":6,"OnTimeMs":300,"DeadlineMs":3000,"LateValue":0.7,"Effect":"once","Stream":false}],
"Contract":{"AnswerSlackMs":20,"AskEveryMs":10000,"ColdShare":0.18,"OverloadFactor":2.5,"OverloadForMs":1500,"StopSendingWithinMs":1000,"WarmUpMs":14000},
"Discovery":"subscribe",
"Domain":{"MaxAgeMs":[1500,0,0,0,0],"NeedsByClass":["lag_bound","causal","strong","eventual","mutate"],"Positions":true,"ServerChecks":"silent","SessionMarks":"kept","ShowsRole":"static","Sync":false,"ZeroMs":0},
"GroupSize":3,"Index":0,"Kinds":["std-3core"],
"Limits":{"AttemptsCap":8,"ConnIdleMs":30000,"ConnectTimeoutMs":250,"MayCancel":true,"MayTell":false,"MostHeld":33333,"MaxRetryAfterMs":500,"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1},
"OverShareWorth":0.1,
"Prices":{"CrossZone":0.01,"LateFail":0.03,"Probe":0.04,"Waste":0.05},
"Report":{"Columns":["x0","x1"],"How":"pull"},
"Tenants":[],"TickMs":5,"Tier":0,"Tiers":["quote-db"],"Weights":"nominal","Zone":"kacyiru","Zones":["kacyiru","remera","nyarutarama"]}"#
        .to_owned()
}

/// Configuration of a proxy of `windhoek-fonts`, from its site file and its brief.
pub fn windhoek_settings() -> String {
    r#"{"Classes":[
 {"Name":"font-lookup","Credit":1,"OnTimeMs":500,"DeadlineMs":1200,"LateValue":0,"Effect":"repeatable","Stream":false},
 {"Name":"own-changes","Credit":2,"OnTimeMs":500,"DeadlineMs":1500,"LateValue":0.2,"Effect":"repeatable","Stream":false},
 {"Name":"usage-write","Credit":4,"OnTimeMs":600,"DeadlineMs":3000,"LateValue":0.5,"Effect":"once","Stream":false}],
"Contract":{"AnswerSlackMs":20,"AskEveryMs":10000,"ColdShare":0.27,"OverloadFactor":2,"OverloadForMs":1000,"StopSendingWithinMs":2000,"WarmUpMs":18000},
"Discovery":"subscribe",
"Domain":{"MaxAgeMs":[3000,0,0],"NeedsByClass":["lag_bound","causal","mutate"],"Positions":true,"ServerChecks":"silent","SessionMarks":"brought","ShowsRole":"trailing","Sync":true,"ZeroMs":0},
"GroupSize":3,"Index":0,"Kinds":["std-5core"],
"Limits":{"AttemptsCap":6,"ConnIdleMs":15000,"ConnectTimeoutMs":250,"MayCancel":true,"MayTell":false,"MostHeld":33333,"MaxRetryAfterMs":1000,"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1},
"OverShareWorth":0.1,
"Prices":{"CrossZone":0.017,"LateFail":0.05,"Probe":0.041,"Waste":0.03},
"Report":{"Columns":[],"How":"silent"},
"Tenants":[],"TickMs":5,"Tier":0,"Tiers":["font-db"],"Weights":"nominal","Zone":"hall-north","Zones":["hall-north","hall-south"]}"#
        .to_owned()
}

pub struct Limits {
    pub memory_mb: u64,
    pub sockets: u64,
}

/// Writes the configuration file of a proxy.
pub fn write_config(
    path: &Path,
    listen: SocketAddr,
    discovery: &Discovery,
    limits: &Limits,
    settings: &str,
) {
    let text = format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{},"settings":{settings}}}"#,
        discovery.address,
        limits.memory_mb,
        limits.sockets,
        discovery.list_json()
    );
    std::fs::write(path, text).expect("the configuration cannot be written");
}

/// The entries of a set's members in the list.
pub fn entries_of(set: &ReplicaSet, group: u64, zones: &[&str]) -> Vec<Entry> {
    let members = set.members.iter().enumerate();
    members
        .map(|(index, (uid, address))| Entry {
            uid: uid.clone(),
            endpoint: *address,
            zone: zones[index % zones.len()].to_owned(),
            group,
            state: "Ready".to_owned(),
            mode: if index == 0 { "read-write" } else { "read-only" }.to_owned(),
        })
        .collect()
}

/// Ids that were seen once.
pub type IdSet = HashSet<String>;
pub type Flag = Arc<AtomicBool>;
