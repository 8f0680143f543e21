//! Helpers of the integration tests: the proxy as a child process, data servers and discovery services that a
//! test controls, and a client that sends raw bytes.
#![allow(dead_code, unused_imports)] // no test crate uses all of this module

mod client;
mod crowd;
mod delayed_server;
mod flood;
mod manual_discovery;
mod proxy;
mod servers;
mod statements;
mod system_faults;

use std::io::{self, Read};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub use client::{
    assert_error_response, connect_with_response, error_field, message_kinds, Client, Response,
};
pub use crowd::{requested_answer_bytes, Behaviour, Crowd, MIX};
pub use delayed_server::DelayedServer;
pub use flood::{
    peak_memory_bytes, usual_responses_beside_flood, Flood, FloodingClients, UsualClients, UsualResponses,
};
pub use manual_discovery::{send_chunk, ManualDiscovery};
pub use proxy::{
    admin_post, admin_request, config_with_extended_connect_timeout, config_with_limits, is_ready,
    send_signal, serve_command, start_proxy, start_proxy_with_config, start_proxy_with_discovery_at,
    start_proxy_with_environment, start_proxy_with_limits, start_successor_with_discovery_at, ChildGuard,
    ProcessLimits, Proxy, EXAMPLE_CONFIG,
};
pub use servers::{reply_with_row, start_gated_server, start_server_with_marked_reply};
pub use statements::{read_statement, read_statement_with_id, write_statement, write_statement_with_id};
pub use system_faults::SystemFaults;

/// Time limit for each event that a test waits for.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a state directory for one test; its name contains the id of the test process.
pub fn create_state_dir(name: &str) -> PathBuf {
    let state_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::create_dir_all(&state_dir).expect("the directory can be created");
    state_dir
}

/// Waits until `condition` holds. Panics with `expectation` after [`TEST_TIMEOUT`].
pub fn wait_until(expectation: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < TEST_TIMEOUT, "expected: {expectation}");
        std::thread::yield_now();
    }
}

/// Accepts the next connection of a non-blocking listener. Panics with `expectation` after [`TEST_TIMEOUT`].
fn accept_connection(listener: &TcpListener, expectation: &str) -> TcpStream {
    let mut accepted = None;
    wait_until(expectation, || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (stream, _) = accepted.expect("the connection was accepted");
    stream.set_nonblocking(false).expect("the stream can be made blocking");
    stream
}

/// Reads once. Repeats the call if a signal interrupts it.
pub fn read_once(stream: &mut TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(bytes) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            other => return other,
        }
    }
}
