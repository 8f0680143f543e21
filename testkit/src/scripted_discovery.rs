//! Discovery service for one watcher, for which a test supplies each line.
//!
//! The service handles one connection at a time. Each watch begins with the list that was given at the start.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;

use crate::discovery_server::{CHUNKED_RESPONSE_HEAD, KEEP_ALIVE_INTERVAL};

/// A running discovery service. Dropping it ends its listener.
pub struct ScriptedDiscovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    /// Sends lines on the open watch; an empty string ends the watch.
    pub changes: mpsc::Sender<String>,
    /// Receives the HTTP request line of each watch, in order of arrival.
    pub request_lines: mpsc::Receiver<String>,
    stopped: Arc<AtomicBool>,
}

/// Returns the complete endpoint list at a revision, as JSON.
pub fn full_list(revision: u32, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, endpoints.join(","))
}

/// Returns the endpoints that changed in a revision, as JSON.
pub fn list_change(revision: u32, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":false,"targets":[{}]}}"#, endpoints.join(","))
}

impl ScriptedDiscovery {
    /// Starts a service on a free loopback port whose watches begin with `list`.
    pub fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let (changes, queued_changes) = mpsc::channel::<String>();
        let (request_sender, request_lines) = mpsc::channel();
        let stopped = Arc::new(AtomicBool::new(false));
        let listener_stopped = stopped.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if listener_stopped.load(Ordering::Relaxed) {
                    return;
                }
                let _ = serve_watch(stream, &list, &queued_changes, &request_sender);
            }
        });
        Self { address, changes, request_lines, stopped }
    }
}

impl Drop for ScriptedDiscovery {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.address); // unblocks `accept`, so that the listener thread ends
    }
}

fn serve_watch(
    mut stream: TcpStream,
    list: &str,
    queued_changes: &mpsc::Receiver<String>,
    request_sender: &mpsc::Sender<String>,
) -> io::Result<()> {
    let mut header_lines = BufReader::new(stream.try_clone()?).lines();
    let request_line = header_lines.next().transpose()?.unwrap_or_default();
    while header_lines.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
    let _ = request_sender.send(request_line);
    stream.write_all(CHUNKED_RESPONSE_HEAD)?;
    let mut line = list.to_owned();
    // A lone newline is a keep-alive; an empty string ends the watch.
    while !line.trim().is_empty() || line.ends_with('\n') {
        let text = format!("{}\n", line.trim());
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        line = match queued_changes.recv_timeout(KEEP_ALIVE_INTERVAL) {
            Ok(line) => line,
            Err(mpsc::RecvTimeoutError::Timeout) => "\n".to_owned(),
            Err(mpsc::RecvTimeoutError::Disconnected) => break,
        };
    }
    Ok(())
}
