//! A data server that answers each statement as a script of the test says.
//!
//! Owns its listener, its connections and the statements that reached it, in order.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::discovery_server::EndpointEntry;
use crate::wire::{load_report, message, read_message, read_startup, ready_for_query, row, startup_response};

/// What a data server does with a statement.
pub enum Reply {
    /// Answers with a row of this value.
    Row(Vec<u8>),
    /// Answers with a row, and ends the connection without ReadyForQuery.
    RowThenClose(Vec<u8>),
    /// Answers with these bytes, and ends the connection.
    RawThenClose(Vec<u8>),
    /// Answers with an error of this SQLSTATE.
    Error(&'static str),
    /// Answers with these bytes.
    Raw(Vec<u8>),
    /// Reads on without an answer.
    Nothing,
    /// Ends the connection.
    Close,
}

/// The role that a data server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// It takes writes.
    Primary,
    /// It takes reads only.
    Replica,
}

/// A data server, and the statements that reached it. Dropping it ends its listener and its connections.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// One message for each connection that has ended.
    pub closed_connections: mpsc::Receiver<()>,
    statements: Arc<Mutex<Vec<String>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

/// What each connection's thread needs.
struct Session<Script> {
    role: ServerRole,
    lag_secs: i64,
    statements: Arc<Mutex<Vec<String>>>,
    script: Script,
}

impl ScriptedServer {
    /// A server that has applied all commits.
    pub fn start(role: ServerRole, script: impl Fn(&str) -> Reply + Send + Sync + 'static) -> Self {
        Self::start_with_lag(0, role, script)
    }

    /// A server that reports a replication position this many seconds old.
    pub fn start_with_lag(
        lag_secs: i64,
        role: ServerRole,
        script: impl Fn(&str) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let statements = Arc::new(Mutex::new(Vec::new()));
        let session = Arc::new(Session { role, lag_secs, statements: statements.clone(), script });
        let (closed_sender, closed_connections) = mpsc::channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let accepted = streams.clone();
        let stopped = Arc::new(AtomicBool::new(false));
        let listener_stopped = stopped.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if listener_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let session = session.clone();
                let closed_sender = closed_sender.clone();
                accepted.lock().expect("no panic").extend(stream.try_clone());
                thread::spawn(move || {
                    let _ = session.serve(&stream);
                    // `streams` holds a clone, so dropping this one would not close the connection.
                    let _ = stream.shutdown(Shutdown::Both);
                    let _ = closed_sender.send(());
                });
            }
        });
        Self { address, closed_connections, statements, streams, stopped }
    }

    /// The statements that reached it, in order.
    pub fn statements(&self) -> MutexGuard<'_, Vec<String>> {
        self.statements.lock().expect("no panic")
    }

    /// How many statements reached it.
    pub fn statement_count(&self) -> usize {
        self.statements().len()
    }

    /// Ends all connections to it.
    pub fn close_all(&self) {
        for stream in self.streams.lock().expect("no panic").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Its entry in the endpoint list, as JSON.
    pub fn endpoint(&self, uid: &str, mode: &str, state: &str) -> String {
        EndpointEntry { uid, address: self.address, group: 1, state, mode }.to_json()
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.close_all();
        let _ = TcpStream::connect(self.address); // wakes the listener, which then ends
    }
}

impl<Script: Fn(&str) -> Reply> Session<Script> {
    /// Serves one connection to its end.
    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        read_startup(&mut stream)?;
        stream.write_all(&startup_response())?;
        while let Some((b'Q', text)) = read_message(&mut stream) {
            let text = String::from_utf8_lossy(&text[..text.len() - 1]).into_owned();
            self.statements.lock().expect("no panic").push(text.clone());
            // Taken before the script runs: a script may block.
            let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
            let position_unix_ms = now.as_millis() as i64 - 1000 * self.lag_secs;
            let result = match (self.script)(&text) {
                Reply::Row(value) => row(&value),
                Reply::RawThenClose(bytes) => return stream.write_all(&bytes),
                Reply::RowThenClose(value) => return stream.write_all(&row(&value)),
                Reply::Error(code) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
                Reply::Raw(bytes) => {
                    stream.write_all(&bytes)?;
                    continue;
                }
                Reply::Nothing => continue,
                Reply::Close => return Ok(()),
            };
            let report = load_report(self.role == ServerRole::Primary, position_unix_ms);
            stream.write_all(&[result, report, ready_for_query()].concat())?;
        }
        Ok(())
    }
}
