//! Calls of the admin API of proxy processes.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use pipittack_core::api::EndpointState;
use tokio::task::{spawn_blocking, spawn_local};

use super::state::SharedTrial;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether operators let proxies use a server.
#[derive(Debug, Clone, Copy)]
pub enum ServiceState {
    /// Proxies use it.
    InService,
    /// Proxies send it no new requests.
    OutOfService,
}

impl ServiceState {
    /// The last part of the path in the admin API.
    fn path_segment(self) -> &'static str {
        match self {
            Self::InService => "online",
            Self::OutOfService => "offline",
        }
    }

    /// The endpoint state with the same effect on new requests.
    fn endpoint_state(self) -> EndpointState {
        match self {
            Self::InService => EndpointState::Healthy,
            Self::OutOfService => EndpointState::Draining,
        }
    }
}

/// Takes servers out of service at every proxy, or returns them.
pub async fn set_service_state(shared: &SharedTrial, servers: &[usize], state: ServiceState) {
    let mut calls = Vec::new();
    for process in shared.with(|trial| trial.processes.admin_endpoints()) {
        for &server in servers {
            let shared = shared.clone();
            calls.push(spawn_local(async move {
                let path = format!("/control/data-servers/s{server}/{}", state.path_segment());
                // Rejected calls are no faults of a trial: the server may be unknown to the proxy.
                let _ = call(process.address, &format!("POST {path}")).await;
                shared.with(|trial| {
                    let now = trial.clock.now();
                    let endpoint_state = state.endpoint_state();
                    trial.fleet.checker.endpoint_listed(process.proxy, server, endpoint_state, now);
                });
            }));
        }
    }
    for call in calls {
        let _ = call.await;
    }
}

/// Whether a process is ready to serve.
pub async fn is_ready(address: SocketAddr) -> bool {
    matches!(call(address, "GET /control/ready").await, Ok(200))
}

/// Calls the admin API, and returns the status code.
async fn call(address: SocketAddr, method_and_path: &str) -> io::Result<u16> {
    let request = format!("{method_and_path} HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n");
    let blocking_call = spawn_blocking(move || {
        let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT)?;
        stream.set_read_timeout(Some(CALL_TIMEOUT))?;
        stream.write_all(request.as_bytes())?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        let status = response.strip_prefix("HTTP/1.1 ").and_then(|rest| rest.get(..3)?.parse().ok());
        status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    });
    blocking_call.await?
}
