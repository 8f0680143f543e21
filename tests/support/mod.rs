//! The program under test between scripted peers, and a client that speaks to it byte by byte.
#![allow(dead_code)] // each test file uses a part

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_discovery::{full_list, ScriptedDiscovery};
use pipittack_testkit::scripted_server::Reply;
use pipittack_testkit::wire::{query, read_message, startup};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// The program under test. It is killed when the test is done with it.
pub struct Proxy {
    pub child: Child,
    pub config: String,
    pub address: SocketAddr,
    pub ops: SocketAddr,
    pub log: std::sync::mpsc::Receiver<String>,
    pub _discovery: ScriptedDiscovery,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Proxy {
    /// Waits for a line of the log that holds a text.
    pub fn logged(&self, text: &str) -> String {
        std::iter::repeat_with(|| self.log.recv_timeout(PATIENCE).expect("a line of the log"))
            .find(|line| line.contains(text))
            .expect("it goes on until one does")
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell runs").success());
    }
}

/// A command that serves a configuration, and the path where that lies.
pub fn command(config: &str) -> (Command, String) {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let path = format!("{}/proxy-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config).expect("a writable folder");
    let mut command = Command::new(env!("CARGO_BIN_EXE_pipittack"));
    command.arg("serve").env("GW_CONFIG", &path).env_remove("TMPDIR").stderr(Stdio::piped());
    (command, path)
}

/// Starts the program with a list of servers, and waits until it serves and has the list.
pub fn start(targets: &[String]) -> Proxy {
    start_within(192, 1024, targets)
}

/// The same with so much memory and so many descriptors.
pub fn start_within(memory_mb: u32, sockets: u32, targets: &[String]) -> Proxy {
    launch(&settings_within(memory_mb, sockets), targets, None)
}

pub fn settings_within(memory_mb: u32, sockets: u32) -> String {
    include_str!("../../examples/config.json")
        .replace("192", &memory_mb.to_string())
        .replace("1024", &sockets.to_string())
}

/// Starts the program with settings and a list of servers, in a folder that outlasts it or in none.
pub fn launch(config: &str, targets: &[String], folder: Option<&Path>) -> Proxy {
    launch_at(config, targets, folder, None)
}

/// The same with the list service at an address of the test's own.
pub fn launch_at(
    config: &str,
    targets: &[String],
    folder: Option<&Path>,
    service: Option<SocketAddr>,
) -> Proxy {
    let discovery = ScriptedDiscovery::start(full_list(1, targets));
    let known = format!(r#""known": {}, "settings""#, full_list(1, targets));
    let config = config
        .replace("127.0.0.1:5433", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &service.unwrap_or(discovery.address).to_string())
        .replace("127.0.0.1:9800", "127.0.0.1:0")
        .replace(r#""settings""#, &known);
    let (mut command, config) = command(&config);
    folder.map(|folder| command.env("TMPDIR", folder));
    let mut child = command.spawn().expect("the program starts");
    let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
    let mut after = |text: &str| loop {
        let line = log.next().expect("a line that says where it serves").expect("UTF-8");
        if let Some((_, address)) = line.split_once(text) {
            break address.parse().expect("an address");
        }
    };
    let (ops, address) = (after("calls are answered at "), after("serving at "));
    let (tell, lines) = std::sync::mpsc::channel();
    std::thread::spawn(move || log.map_while(Result::ok).for_each(|line| drop(tell.send(line))));
    Proxy { child, config, address, ops, log: lines, _discovery: discovery }
}

/// A new folder.
pub fn folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a writable folder");
    folder
}

/// Bytes sent to the second address, and the status that comes back; none where the connection just ends.
pub fn call(proxy: &Proxy, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(proxy.ops).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
    stream.write_all(bytes).expect("it reads");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an end");
    answer.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

pub fn post(proxy: &Proxy, path: &str) -> Option<u16> {
    call(
        proxy,
        format!("POST /control/{path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n").as_bytes(),
    )
}

pub fn is_ready(proxy: &Proxy) -> bool {
    call(proxy, b"GET /control/ready HTTP/1.1\r\n\r\n") == Some(200)
}

/// Waits for what comes about by itself.
pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let since = Instant::now();
    while !done() {
        assert!(since.elapsed() < PATIENCE, "{what}");
        std::thread::yield_now();
    }
}

/// Reads once, again where a signal interrupts the call.
pub fn read_once(stream: &mut TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(bytes) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}

pub struct Client(pub TcpStream);

pub type Answer = Vec<(u8, Vec<u8>)>;

impl Client {
    pub fn raw(proxy: &Proxy) -> Self {
        let stream = TcpStream::connect(proxy.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        Self(stream)
    }

    pub fn connect(proxy: &Proxy) -> Self {
        let mut client = Self::raw(proxy);
        client.send(&startup());
        assert_eq!(client.answer().last().map(|m| m.0), Some(b'Z'));
        client
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the proxy reads");
    }

    /// Messages up to ReadyForQuery or the end of the connection.
    pub fn answer(&mut self) -> Answer {
        let mut messages = Vec::new();
        while let Some(message) = read_message(&mut self.0) {
            messages.push(message);
            if messages.last().is_some_and(|m| m.0 == b'Z') {
                break;
            }
        }
        messages
    }

    pub fn ask(&mut self, text: &str) -> Answer {
        self.send(&query(text));
        self.answer()
    }
}

pub fn kinds(answer: &Answer) -> String {
    answer.iter().filter(|m| m.0 != b'S').map(|m| char::from(m.0)).collect()
}

/// A field of the ErrorResponse in an answer.
pub fn field(answer: &Answer, kind: u8) -> Option<String> {
    let (_, body) = answer.iter().find(|m| m.0 == b'E')?;
    let mut fields = body.split(|b| *b == 0).filter(|f| f.first() == Some(&kind));
    fields.next().map(|f| String::from_utf8_lossy(&f[1..]).into_owned())
}

pub fn read(wait_ms: u64) -> String {
    format!("SELECT body FROM objects WHERE oid = 'k' /* id=1,c=own-changes,d={wait_ms},cluster=1,x=é */")
}

pub fn write(wait_ms: u32) -> String {
    let text = r"INSERT INTO objects (oid, body) VALUES ('k', '\x00') RETURNING body /* id=2,c=usage-write,";
    format!("{text}d={wait_ms},cluster=1 */")
}

pub fn ok(_: &str) -> Reply {
    Reply::Row(b"v".to_vec())
}
