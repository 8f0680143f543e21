//! Fixtures of the integration tests: the program between stand-ins, and a client that speaks to it byte by byte.
#![allow(dead_code, unused_imports)] // each test file uses a part

mod client;
mod delayed_server;
mod manual_discovery;
mod proxy;
mod servers;
mod statements;

use std::io::{self, Read};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub use client::{
    assert_error_response, connect_with_response, error_field, message_kinds, Client, Response,
};
pub use delayed_server::DelayedServer;
pub use manual_discovery::{send_chunk, ManualDiscovery};
pub use proxy::{
    admin_post, admin_request, config_with_connect_timeout, config_with_limits, is_ready, send_signal,
    serve_command, start_proxy, start_proxy_with_config, start_proxy_with_discovery, start_proxy_with_limits,
    ChildGuard, ProcessLimits, Proxy, EXAMPLE_CONFIG,
};
pub use servers::{reply_with_row, start_gated_server, start_server_with_marked_reply};
pub use statements::{read_statement, read_statement_with_id, write_statement};

/// Time within which everything that a test waits for must happen.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Creates a folder for one test.
pub fn create_folder(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a writable folder");
    folder
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < TEST_TIMEOUT, "{what}");
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
