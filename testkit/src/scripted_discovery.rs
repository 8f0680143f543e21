//! A discovery service for one watcher, driven by a test line by line.
//!
//! Owns the first list and the queue of changes. It serves one connection at a time, and each watch begins with
//! the first list.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;

use crate::discovery_server::{CHUNKED_RESPONSE_HEAD, KEEP_ALIVE_INTERVAL};

/// A discovery service. A text sent to `changes` goes out on the open watch; an empty text ends the watch. Dropping the
/// service ends its listener.
pub struct ScriptedDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// Changes to go out on the watch.
    pub changes: mpsc::Sender<String>,
    /// The request lines that came in, in order.
    pub request_lines: mpsc::Receiver<String>,
    stopped: Arc<AtomicBool>,
}

/// The complete endpoint list of a revision, as JSON.
pub fn full_list(revision: u32, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":true,"targets":[{}]}}"#, endpoints.join(","))
}

/// The endpoints that changed in a revision, as JSON.
pub fn list_change(revision: u32, endpoints: &[String]) -> String {
    format!(r#"{{"rev":{revision},"all":false,"targets":[{}]}}"#, endpoints.join(","))
}

impl ScriptedDiscovery {
    /// Starts a service whose watches begin with this list.
    pub fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
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
        let _ = TcpStream::connect(self.address); // wakes the listener, which then ends
    }
}

fn serve_watch(
    mut stream: TcpStream,
    list: &str,
    queued_changes: &mpsc::Receiver<String>,
    request_sender: &mpsc::Sender<String>,
) -> io::Result<()> {
    let mut head = BufReader::new(stream.try_clone()?).lines();
    let request_line = head.next().transpose()?.unwrap_or_default();
    while head.next().transpose()?.is_some_and(|line| !line.is_empty()) {}
    let _ = request_sender.send(request_line);
    stream.write_all(CHUNKED_RESPONSE_HEAD)?;
    let mut line = list.to_owned();
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
