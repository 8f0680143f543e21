//! The proxy's surroundings in miniature, on loopback: data servers that say what a script tells them to,
//! and a discovery service that hands out one list and then whatever changes it is given. Plain threads.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a data server does with a statement.
pub enum Say {
    /// Answers with a row of this value.
    Row(Vec<u8>),
    /// Answers with a row, and ends the connection without ReadyForQuery.
    LastRow(Vec<u8>),
    /// Answers with these bytes, and ends the connection.
    Last(Vec<u8>),
    /// Answers with an error of this code.
    Error(&'static str),
    /// Answers with these bytes.
    Raw(Vec<u8>),
    /// Reads on without an answer.
    Nothing,
    /// Ends the connection.
    Hang,
}

/// A data server, and the statements that reached it.
pub struct DataServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// The statements that reached it, in order.
    pub heard: Arc<Mutex<Vec<String>>>,
    /// A word for each connection that has ended.
    pub ended: mpsc::Receiver<()>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

/// A message as it stands on the wire.
pub fn message(kind: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[kind][..], &length, body].concat()
}

/// A value as a data server answers with it, up to ReadyForQuery.
pub fn row(value: &[u8]) -> Vec<u8> {
    let column = (value.len() as u32).to_be_bytes();
    let description = b"\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";
    let data = [&[0, 1][..], &column, value].concat();
    [message(b'T', description), message(b'D', &data), message(b'C', b"SELECT 1\0")].concat()
}

/// Reads one message; none at the end of the stream.
pub fn read_message(stream: &mut impl Read) -> Option<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).ok()?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    let mut body = vec![0; (length as usize).checked_sub(4)?];
    stream.read_exact(&mut body).ok()?;
    Some((header[0], body))
}

/// A simple query message.
pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), &[0]].concat())
}

/// A startup packet.
pub fn startup() -> Vec<u8> {
    let body = [&196_608u32.to_be_bytes()[..], b"user\0worker\0database\0catalog\0\0"].concat();
    message(0, &body).split_off(1)
}

impl DataServer {
    /// One that has applied all commits.
    pub fn start(primary: bool, script: impl Fn(&str) -> Say + Send + Sync + 'static) -> Self {
        Self::behind(0, primary, script)
    }

    /// One whose data is so many seconds old, as it says.
    pub fn behind(age: i64, primary: bool, script: impl Fn(&str) -> Say + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (heard, script) = (Arc::new(Mutex::new(Vec::new())), Arc::new(script));
        let (tell, ended) = mpsc::channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (log, kept) = (heard.clone(), streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (log, script, tell) = (log.clone(), script.clone(), tell.clone());
                kept.lock().expect("no panic").extend(stream.try_clone());
                thread::spawn(move || {
                    let _ = converse(&stream, (primary, age), &log, &*script);
                    let _ = stream.shutdown(std::net::Shutdown::Both); // a clone of it is kept
                    let _ = tell.send(());
                });
            }
        });
        Self { address, heard, ended, streams }
    }

    /// How many statements reached it.
    pub fn count(&self) -> usize {
        self.heard.lock().expect("no panic").len()
    }

    /// Ends all connections to it.
    pub fn close_all(&self) {
        for stream in self.streams.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Its entry in discovery's list.
    pub fn listed(&self, uid: &str, mode: &str, state: &str) -> String {
        format!(
            r#"{{"uid":"{uid}","endpoint":"{}","az":"north","model":"std","pod_group":1,"state":"{state}","capacity_hint":1.0,"boot_ms":0,"mode":"{mode}"}}"#,
            self.address
        )
    }
}

fn converse(
    mut stream: &TcpStream,
    (primary, age): (bool, i64),
    log: &Mutex<Vec<String>>,
    script: &dyn Fn(&str) -> Say,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let mut packet = vec![0; (u32::from_be_bytes(length) as usize).saturating_sub(4)];
    stream.read_exact(&mut packet)?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat())?;
    while let Some((b'Q', text)) = read_message(&mut stream) {
        let text = String::from_utf8_lossy(&text[..text.len() - 1]).into_owned();
        log.lock().expect("no panic").push(text.clone());
        let mode: &[u8] = if primary { b"mode\0read-write\0" } else { b"mode\0read-only\0" };
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let position = format!("wal_time\0{}\0", now.as_millis() as i64 - 1000 * age);
        let said = match script(&text) {
            Say::Row(value) => row(&value),
            Say::Last(bytes) => return stream.write_all(&bytes),
            Say::LastRow(value) => return stream.write_all(&row(&value)),
            Say::Error(code) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
            Say::Raw(bytes) => {
                stream.write_all(&bytes)?;
                continue;
            }
            Say::Nothing => continue,
            Say::Hang => return Ok(()),
        };
        let notes = [message(b'S', mode), message(b'S', position.as_bytes())].concat();
        stream.write_all(&[said, notes, ready.clone()].concat())?;
    }
    Ok(())
}

/// A discovery service. What is sent to `changes` goes out on the watch that is open; an empty text ends it.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Changes to go out on the watch.
    pub changes: mpsc::Sender<String>,
    /// The paths that were asked for, in order.
    pub asked: mpsc::Receiver<String>,
}

/// A list, or changes to it.
pub fn listing(rev: u32, all: bool, targets: &[String]) -> String {
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}

impl Discovery {
    /// One whose watch begins with this list.
    pub fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let ((changes, lines), (tell, asked)) = (mpsc::channel::<String>(), mpsc::channel());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = watch(stream, &list, &lines, &tell);
            }
        });
        Self { address, changes, asked }
    }
}

fn watch(
    mut stream: TcpStream,
    list: &str,
    lines: &mpsc::Receiver<String>,
    tell: &mpsc::Sender<String>,
) -> io::Result<()> {
    let mut head = BufReader::new(stream.try_clone()?).lines();
    let first = head.next().transpose()?.unwrap_or_default();
    while head.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
    let _ = tell.send(first);
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut line = list.to_owned();
    while !line.trim().is_empty() || line.ends_with('\n') {
        let text = format!("{}\n", line.trim());
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        // An empty line every 2 s shows that the watch stands.
        line = match lines.recv_timeout(Duration::from_secs(2)) {
            Ok(line) => line,
            Err(mpsc::RecvTimeoutError::Timeout) => "\n".to_owned(),
            Err(mpsc::RecvTimeoutError::Disconnected) => break,
        };
    }
    Ok(())
}
