//! The proxy under test as a child process, and calls of its admin API.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::{Deref, DerefMut};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use pipittack_testkit::scripted_discovery::{full_list, ScriptedDiscovery};

use super::TEST_TIMEOUT;

/// Text of the example configuration.
pub const EXAMPLE_CONFIG: &str = include_str!("../../examples/config.json");

/// Child process that is killed when the guard is dropped.
pub struct ChildGuard(Child);

/// Running proxy with its addresses and its discovery service.
pub struct Proxy {
    pub child: ChildGuard,
    /// Path of the configuration file.
    pub config_path: String,
    pub address: SocketAddr,
    pub admin_address: SocketAddr,
    /// Log lines that the proxy writes after its start.
    pub log: mpsc::Receiver<String>,
    /// Scripted discovery service. Unused by a proxy that [`start_proxy_with_discovery_at`] started.
    pub discovery: ScriptedDiscovery,
}

/// Values of `limits` in the configuration.
#[derive(Clone, Copy)]
pub struct ProcessLimits {
    pub memory_mb: u32,
    pub sockets: u32,
}

impl ChildGuard {
    /// Starts a child process.
    pub fn spawn(command: &mut Command) -> Self {
        Self(command.spawn().expect("the program can be started"))
    }
}

impl ChildGuard {
    /// Waits until the process has ended, for `timeout` at most. Returns `None` if it still runs.
    pub fn wait_timeout(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let started = Instant::now();
        loop {
            let status = self.0.try_wait().expect("the child can be waited for");
            if status.is_some() || started.elapsed() >= timeout {
                return status;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Deref for ChildGuard {
    type Target = Child;

    fn deref(&self) -> &Child {
        &self.0
    }
}

impl DerefMut for ChildGuard {
    fn deref_mut(&mut self) -> &mut Child {
        &mut self.0
    }
}

impl Drop for ChildGuard {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Proxy {
    /// Waits for a log line that contains `text`, and returns the line.
    pub fn wait_for_log(&self, text: &str) -> String {
        std::iter::repeat_with(|| self.log.recv_timeout(TEST_TIMEOUT).expect("another log line"))
            .find(|line| line.contains(text))
            .expect("the iterator does not end")
    }

    pub fn signal(&self, name: &str) {
        send_signal(&self.child, name);
    }
}

/// Sends a signal to a process. `name` is the signal without its prefix `SIG`.
pub fn send_signal(child: &Child, name: &str) {
    let kill = format!("kill -{name} {}", child.id());
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("the shell can be started").success());
}

/// Writes a configuration file. Returns the command that serves this configuration, and the path of the file.
pub fn serve_command(config: &str) -> (Command, String) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let path = format!("{}/proxy-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    std::fs::write(&path, config).expect("the configuration file can be written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_pipittack"));
    command.arg("serve").env("GW_CONFIG", &path).env_remove("TMPDIR").stderr(Stdio::piped());
    (command, path)
}

/// Returns the example configuration with other limits.
pub fn config_with_limits(limits: ProcessLimits) -> String {
    EXAMPLE_CONFIG.replace("192", &limits.memory_mb.to_string()).replace("1024", &limits.sockets.to_string())
}

/// Returns the example configuration with a connect timeout that leaves a test time to answer a startup
/// packet.
pub fn config_with_extended_connect_timeout() -> String {
    EXAMPLE_CONFIG.replace(r#""ConnectTimeoutMs": 250"#, r#""ConnectTimeoutMs": 9000"#)
}

/// Starts a proxy with the example configuration and these endpoints, and waits until it listens. The
/// endpoint list is also in the configuration (`known`), so the proxy does not wait for discovery.
pub fn start_proxy(endpoints: &[String]) -> Proxy {
    start_proxy_with_limits(ProcessLimits { memory_mb: 192, sockets: 1024 }, endpoints)
}

/// Starts a proxy like [`start_proxy`], with other limits.
pub fn start_proxy_with_limits(limits: ProcessLimits, endpoints: &[String]) -> Proxy {
    start_proxy_with_config(&config_with_limits(limits), endpoints, None)
}

/// Starts a proxy like [`start_proxy`], with this configuration. `state_dir` is its state directory; `None`
/// starts the proxy without one.
pub fn start_proxy_with_config(config: &str, endpoints: &[String], state_dir: Option<&Path>) -> Proxy {
    let discovery = ScriptedDiscovery::start(full_list(1, endpoints));
    let discovery_address = discovery.address;
    spawn_proxy(config, endpoints, state_dir, discovery, discovery_address, &[])
}

/// Starts a proxy like [`start_proxy_with_config`], with these environment variables.
pub fn start_proxy_with_environment(
    config: &str,
    endpoints: &[String],
    state_dir: Option<&Path>,
    environment: &[(&str, &Path)],
) -> Proxy {
    let discovery = ScriptedDiscovery::start(full_list(1, endpoints));
    let discovery_address = discovery.address;
    spawn_proxy(config, endpoints, state_dir, discovery, discovery_address, environment)
}

/// Starts a proxy like [`start_proxy`], with this configuration and the discovery service at `address`, which
/// the test runs itself.
pub fn start_proxy_with_discovery_at(config: &str, endpoints: &[String], address: SocketAddr) -> Proxy {
    spawn_proxy(config, endpoints, None, ScriptedDiscovery::start(full_list(1, endpoints)), address, &[])
}

/// Starts a successor of the proxy with the example configuration and this state directory. Its discovery service is
/// at `discovery`, and the test runs it itself.
pub fn start_successor_with_discovery_at(
    endpoints: &[String],
    state_dir: &Path,
    discovery: SocketAddr,
) -> Proxy {
    let unused = ScriptedDiscovery::start(full_list(1, endpoints));
    spawn_proxy(EXAMPLE_CONFIG, endpoints, Some(state_dir), unused, discovery, &[])
}

fn spawn_proxy(
    config: &str,
    endpoints: &[String],
    state_dir: Option<&Path>,
    discovery: ScriptedDiscovery,
    discovery_address: SocketAddr,
    environment: &[(&str, &Path)],
) -> Proxy {
    let known = format!(r#""known": {}, "settings""#, full_list(1, endpoints));
    let config = config
        .replace("127.0.0.1:5433", "127.0.0.1:0")
        .replace("127.0.0.1:8500", &discovery_address.to_string())
        .replace("127.0.0.1:9800", "127.0.0.1:0")
        .replace(r#""settings""#, &known);
    let (mut command, config_path) = serve_command(&config);
    state_dir.map(|state_dir| command.env("TMPDIR", state_dir));
    command.envs(environment.iter().copied());
    let mut child = ChildGuard::spawn(&mut command);
    let mut log_lines = BufReader::new(child.stderr.take().expect("stderr is piped")).lines();
    let mut address_after = |text: &str| loop {
        let line = log_lines
            .next()
            .expect("the proxy logs its addresses before it exits")
            .expect("the log is UTF-8");
        if let Some((_, address)) = line.split_once(text) {
            break address.parse().expect("the log line ends with an address");
        }
    };
    let admin_address = address_after("admin API listening at ");
    let address = address_after("serving at ");
    let (sender, log) = mpsc::channel();
    std::thread::spawn(move || log_lines.map_while(Result::ok).for_each(|line| drop(sender.send(line))));
    Proxy { child, config_path, address, admin_address, log, discovery }
}

/// Sends bytes to the admin API and returns the status code of the response; `None` if the connection ends
/// without a response.
pub fn admin_request(proxy: &Proxy, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(proxy.admin_address).expect("the admin API accepts connections");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout can be set");
    stream.write_all(bytes).expect("the admin API has not closed the connection");
    let mut response = String::new();
    stream.read_to_string(&mut response).expect("the admin API closes the connection without a reset");
    response.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

/// Posts to `path` below `/control/` and returns the status code of the response.
pub fn admin_post(proxy: &Proxy, path: &str) -> Option<u16> {
    let request = format!("POST /control/{path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n");
    admin_request(proxy, request.as_bytes())
}

/// Returns whether the readiness check of the admin API succeeds.
pub fn is_ready(proxy: &Proxy) -> bool {
    admin_request(proxy, b"GET /control/ready HTTP/1.1\r\n\r\n") == Some(200)
}
