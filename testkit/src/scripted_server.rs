//! Data server that answers each statement with the reply that a test's script returns for it, and records
//! the statements that it received.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use crate::discovery_server::EndpointEntry;
use crate::wire::{load_report, message, read_message, read_startup, ready_for_query, row, startup_response};

/// Reaction of a data server to a statement.
pub enum Reply {
    /// Sends a complete response with a row of this value.
    Row(Vec<u8>),
    /// Sends a row of this value and closes the connection without ReadyForQuery.
    RowThenClose(Vec<u8>),
    /// Sends these bytes and closes the connection.
    RawThenClose(Vec<u8>),
    /// Sends a complete response with an error of this SQLSTATE.
    Error(&'static str),
    /// Sends these bytes and nothing else.
    Raw(Vec<u8>),
    /// Sends nothing and reads the next statement.
    NoResponse,
    /// Closes the connection without a response.
    Close,
}

/// Role that a data server reports in its load reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerRole {
    /// The data server takes writes.
    Primary,
    /// The data server takes reads only.
    Replica,
}

/// A running data server. Dropping it ends its listener and its connections.
pub struct ScriptedServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    /// Receives one message for each connection that has ended.
    pub closed_connections: mpsc::Receiver<()>,
    statements: Arc<Mutex<Vec<String>>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    stopped: Arc<AtomicBool>,
}

/// Parameters that the threads of all connections share.
struct ConnectionHandler<Script> {
    role: ServerRole,
    lag_secs: i64,
    statements: Arc<Mutex<Vec<String>>>,
    script: Script,
}

impl ScriptedServer {
    /// Starts a server on a free loopback port whose replication position is up to date.
    pub fn start(role: ServerRole, script: impl Fn(&str) -> Reply + Send + Sync + 'static) -> Self {
        Self::start_with_lag(0, role, script)
    }

    /// Starts a server on a free loopback port that reports a replication position `lag_secs` seconds old.
    pub fn start_with_lag(
        lag_secs: i64,
        role: ServerRole,
        script: impl Fn(&str) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let statements = Arc::new(Mutex::new(Vec::new()));
        let handler = Arc::new(ConnectionHandler { role, lag_secs, statements: statements.clone(), script });
        let (closed_sender, closed_connections) = mpsc::channel();
        let streams = Arc::new(Mutex::new(Vec::new()));
        let accepted_streams = streams.clone();
        let stopped = Arc::new(AtomicBool::new(false));
        let listener_stopped = stopped.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if listener_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let handler = handler.clone();
                let closed_sender = closed_sender.clone();
                accepted_streams.lock().expect("the lock is not poisoned").extend(stream.try_clone());
                thread::spawn(move || {
                    let _ = handler.serve(&stream);
                    // Dropping `stream` would not close the connection, because `streams` holds a clone.
                    let _ = stream.shutdown(Shutdown::Both);
                    let _ = closed_sender.send(());
                });
            }
        });
        Self { address, closed_connections, statements, streams, stopped }
    }

    /// Returns the statements that the server has received, in order.
    pub fn statements(&self) -> MutexGuard<'_, Vec<String>> {
        self.statements.lock().expect("the lock is not poisoned")
    }

    /// Returns the number of statements that the server has received.
    pub fn statement_count(&self) -> usize {
        self.statements().len()
    }

    /// Returns the number of connections that the server has accepted since [`Self::close_all`] was last called.
    pub fn accepted_count(&self) -> usize {
        self.streams.lock().expect("the lock is not poisoned").len()
    }

    /// Closes all connections to the server.
    pub fn close_all(&self) {
        for stream in self.streams.lock().expect("the lock is not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the server's entry in the endpoint list, as JSON, in group 1.
    pub fn endpoint(&self, uid: &str, mode: &str, state: &str) -> String {
        EndpointEntry { uid, address: self.address, group: 1, state, mode }.to_json()
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.close_all();
        let _ = TcpStream::connect(self.address); // unblocks `accept`, so that the listener thread ends
    }
}

impl<Script: Fn(&str) -> Reply> ConnectionHandler<Script> {
    /// Serves one connection until it ends.
    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        read_startup(&mut stream)?;
        stream.write_all(&startup_response())?;
        while let Some((b'Q', text)) = read_message(&mut stream) {
            let text = String::from_utf8_lossy(&text[..text.len() - 1]).into_owned();
            self.statements.lock().expect("the lock is not poisoned").push(text.clone());
            // The clock is read before the script runs, because the script may block.
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is after 1970");
            let position_unix_ms = since_epoch.as_millis() as i64 - 1000 * self.lag_secs;
            let result = match (self.script)(&text) {
                Reply::Row(value) => row(&value),
                Reply::RawThenClose(bytes) => return stream.write_all(&bytes),
                Reply::RowThenClose(value) => return stream.write_all(&row(&value)),
                Reply::Error(code) => message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes()),
                Reply::Raw(bytes) => {
                    stream.write_all(&bytes)?;
                    continue;
                }
                Reply::NoResponse => continue,
                Reply::Close => return Ok(()),
            };
            let report = load_report(self.role == ServerRole::Primary, position_unix_ms);
            stream.write_all(&[result, report, ready_for_query()].concat())?;
        }
        Ok(())
    }
}
