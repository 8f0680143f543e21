//! Calls to the admin API of proxy processes.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use pipittack_core::api::EndpointState;
use tokio::task::{spawn_blocking, spawn_local};

use super::state::SharedTrial;

/// Timeout for opening the connection of a call, and for each read of the response.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Service state that operators set for a server.
#[derive(Debug, Clone, Copy)]
pub enum ServiceState {
    /// Proxies send requests to the server.
    InService,
    /// Proxies send no new requests to the server.
    OutOfService,
}

impl ServiceState {
    /// Returns the last segment of the path in the admin API.
    fn path_segment(self) -> &'static str {
        match self {
            Self::InService => "online",
            Self::OutOfService => "offline",
        }
    }

    /// Returns the endpoint state that has the same effect on new requests.
    fn endpoint_state(self) -> EndpointState {
        match self {
            Self::InService => EndpointState::Healthy,
            Self::OutOfService => EndpointState::Draining,
        }
    }
}

/// Sets the service state of servers at all proxy processes, and records it in the rule checker.
pub async fn set_service_state(shared: &SharedTrial, servers: &[usize], state: ServiceState) {
    let mut calls = Vec::new();
    for process in shared.with(|trial| trial.processes.admin_endpoints()) {
        for &server in servers {
            let shared = shared.clone();
            calls.push(spawn_local(async move {
                let path = format!("/control/data-servers/s{server}/{}", state.path_segment());
                // A failed call is no error of the trial: the proxy may not know the server.
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

/// Returns whether a process reports that it is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    matches!(call(address, "GET /control/ready").await, Ok(200))
}

/// Calls the admin API on a separate thread, and returns the HTTP status code.
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
