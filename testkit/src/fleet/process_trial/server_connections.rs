//! Data servers on sockets, with a separate address for each pair of a proxy and a server.
//!
//! Owns the connections of proxies to servers. The model of the server executes the statements, and responses
//! are written after the delay of the link. A connection that has lost data, because its link or its server
//! dropped it, writes nothing more. It is reset once the link and the server pass data again.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{spawn_blocking, spawn_local};

use super::super::link_faults::{LinkEnd, LinkState};
use super::super::server_model::ServerState;
use super::message_stream::{error_message, MessageStream};
use super::process_owner::{owner, ConnectionEnds};
use super::server_execution::{execute, request_id, ReceivedStatement, ServerResponse};
use super::state::{SharedTrial, TrialState};
use crate::wire::message;

/// Interval between the checks whether the link of a connection that has lost data is open again.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// SQLSTATE of a server whose connection limit is reached.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Opens the listening sockets for a proxy of all servers that were added since the last call.
pub fn listen(shared: &SharedTrial, proxy: usize) -> io::Result<()> {
    let servers = shared.with(|trial| trial.fleet.backends.servers.len());
    for server in 0..servers {
        if shared.with(|trial| trial.server_addresses.contains_key(&(proxy, server))) {
            continue;
        }
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = tokio::net::TcpListener::from_std(listener)?;
        shared.with(|trial| trial.server_addresses.insert((proxy, server), address));
        let shared = shared.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let connection = ServerConnection::new(&shared, proxy, server);
                spawn_local(connection.run(stream));
            }
        });
    }
    Ok(())
}

/// Connection of a proxy to a server.
struct ServerConnection {
    shared: SharedTrial,
    proxy: usize,
    server: usize,
    /// Incarnation of the server when the proxy opened the connection.
    incarnation: u32,
    opened_at: f64,
    /// Id of the process that opened the connection; `None` until it is known.
    process: Rc<Cell<Option<u32>>>,
    state_changes: watch::Receiver<u64>,
    /// Whether data of the connection was dropped. The connection is reset once the link is open and the
    /// server is responsive again.
    data_lost: bool,
}

/// Reason for the end of a connection.
enum ConnectionEnd {
    /// The proxy closed the connection, or the server refused it with an error response.
    Closed,
    /// The server or the link resets the connection.
    Reset,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> Self {
        Self::Closed
    }
}

/// Current state of a connection's link and server.
struct ConnectionState {
    link: LinkState,
    server: ServerState,
    /// Whether the connection must be reset.
    reset: bool,
}

impl TrialState {
    fn was_reset_since(&self, proxy: usize, server: usize, since: f64) -> bool {
        self.link_resets.iter().any(|reset| {
            let affected = reset.proxies.contains(&proxy) && reset.ends.contains(&LinkEnd::Server(server));
            affected && reset.at >= since
        })
    }
}

impl ServerConnection {
    fn new(shared: &SharedTrial, proxy: usize, server: usize) -> Self {
        let incarnation = shared.with(|trial| trial.fleet.backends.servers[server].model.incarnation);
        Self {
            shared: shared.clone(),
            proxy,
            server,
            incarnation,
            opened_at: shared.now(),
            process: Rc::default(),
            state_changes: shared.with(|trial| trial.state_changes.subscribe()),
            data_lost: false,
        }
    }

    fn state(&self) -> ConnectionState {
        let link = self.shared.link_state(self.proxy, LinkEnd::Server(self.server));
        self.shared.with(|trial| {
            let server = &trial.fleet.backends.servers[self.server];
            let model = &server.model;
            let exited =
                server.removed || model.incarnation != self.incarnation || model.state == ServerState::Dead;
            let reset = link.down || exited || trial.was_reset_since(self.proxy, self.server, self.opened_at);
            ConnectionState { link, server: model.state, reset }
        })
    }

    /// Waits until the connection must be reset.
    async fn wait_for_reset(&mut self) -> ConnectionEnd {
        loop {
            let state = self.state();
            let has_recovered = state.link.is_open() && state.server != ServerState::Unresponsive;
            if state.reset || (self.data_lost && has_recovered) {
                return ConnectionEnd::Reset;
            }
            // The state of a link depends on the time, so a connection that has lost data also polls.
            tokio::select! {
                _ = self.state_changes.changed() => {}
                () = tokio::time::sleep(CHECK_INTERVAL), if self.data_lost => {}
            }
        }
    }

    /// Marks the connection as having lost data, and waits until it must be reset.
    async fn drop_data(&mut self) -> ConnectionEnd {
        self.data_lost = true;
        self.wait_for_reset().await
    }

    /// Sleeps for `factor` times the one-way delay of the link.
    async fn sleep_one_way(&self, factor: f64) {
        self.shared.sleep_one_way(self.proxy, self.server, factor).await;
    }

    async fn run(mut self, stream: TcpStream) {
        self.identify_process(&stream);
        let Ok(mut stream) = MessageStream::new(stream) else { return };
        let end = match self.accept(&mut stream).await {
            Ok(true) => {
                let end = self.serve(&mut stream).await;
                self.record_closed();
                end
            }
            Ok(false) => ConnectionEnd::Closed,
            Err(end) => end,
        };
        if matches!(end, ConnectionEnd::Reset) {
            stream.reset();
        }
    }

    /// Finds the process that opened the connection. If the proxy has several processes, looks it up in the
    /// background, because the lookup would delay the other sockets.
    fn identify_process(&self, stream: &TcpStream) {
        let processes = self.shared.with(|trial| trial.processes.process_ids(self.proxy));
        if let [process] = processes[..] {
            self.process.set(Some(process));
            return;
        }
        let (Ok(local), Ok(remote)) = (stream.peer_addr(), stream.local_addr()) else { return };
        let process = self.process.clone();
        spawn_local(async move {
            let found = spawn_blocking(move || owner(&processes, ConnectionEnds { local, remote })).await;
            process.set(found.ok().flatten());
        });
    }

    /// Removes the connection from the count of open connections at the server.
    fn record_closed(&self) {
        self.shared.with(|trial| {
            let model = &mut trial.fleet.backends.servers[self.server].model;
            if model.incarnation == self.incarnation {
                model.connections = model.connections.saturating_sub(1);
            }
        });
    }

    /// Handles the startup of the connection. Returns false if the server's connection limit is reached.
    async fn accept(&mut self, stream: &mut MessageStream) -> Result<bool, ConnectionEnd> {
        tokio::select! {
            end = self.wait_for_reset() => return Err(end),
            read = stream.read_startup() => read?,
        }
        let state = self.state();
        if state.link.requests_dropped || state.server == ServerState::Unresponsive {
            return Err(self.drop_data().await);
        }
        let (accepted, rtts) = self.shared.with(|trial| {
            let accepted = trial.fleet.open_connection(self.server, trial.clock.now());
            (accepted, trial.fleet.plan.handshake_rtts)
        });
        self.sleep_one_way(2.0 * rtts).await;
        if state.link.responses_dropped {
            return Err(self.drop_data().await);
        }
        if !accepted {
            stream.write_all(&error_message(TOO_MANY_CONNECTIONS)).await?;
            return Ok(false);
        }
        stream.write_all(&[message(b'R', &[0; 4]), message(b'Z', b"I")].concat()).await?;
        Ok(true)
    }

    /// Serves the statements of the connection until it ends.
    async fn serve(&mut self, stream: &mut MessageStream) -> ConnectionEnd {
        loop {
            let read = tokio::select! {
                end = self.wait_for_reset() => return end,
                read = stream.read_message() => read,
            };
            let Ok((b'Q', body)) = read else { return ConnectionEnd::Closed };
            let text = String::from_utf8_lossy(body.strip_suffix(&[0]).unwrap_or(&body)).into_owned();
            let state = self.state();
            if state.link.requests_dropped || state.server == ServerState::Unresponsive {
                return self.drop_data().await;
            }
            let statement = ReceivedStatement {
                proxy: self.proxy,
                process: self.process.get(),
                server: self.server,
                text: text.clone(),
            };
            let execution = execute(self.shared.clone(), statement);
            let response = tokio::select! {
                end = self.wait_for_reset() => return end,
                () = stream.wait_until_closed() => return self.record_abandoned_attempt(&text),
                response = execution => response,
            };
            let Some(response) = response else { return self.wait_without_response(stream, &text).await };
            self.sleep_one_way(1.0).await;
            let state = self.state();
            if state.reset || state.link.responses_dropped || state.server != ServerState::Up {
                return self.drop_data().await;
            }
            self.record_response(&response);
            if stream.write_all(&response.to_bytes()).await.is_err() {
                return ConnectionEnd::Closed;
            }
        }
    }

    /// Sends no response: waits until the connection ends, and records that the attempt was abandoned.
    async fn wait_without_response(&mut self, stream: &mut MessageStream, text: &str) -> ConnectionEnd {
        let end = tokio::select! {
            end = self.wait_for_reset() => end,
            () = stream.wait_until_closed() => ConnectionEnd::Closed,
        };
        self.record_abandoned_attempt(text);
        end
    }

    /// Records that the proxy closed the connection during an attempt, and returns this end of the
    /// connection. The execution of the attempt continues.
    fn record_abandoned_attempt(&self, text: &str) -> ConnectionEnd {
        if let Some(id) = request_id(text) {
            self.shared.with(|trial| {
                trial.fleet.checker.attempt_abandoned(id, self.server, trial.clock.now());
            });
        }
        ConnectionEnd::Closed
    }

    /// Records the end of an attempt, and the role of the server that the proxy learns from the response.
    fn record_response(&self, response: &ServerResponse) {
        let Some(attempt) = response.attempt else { return };
        self.shared.with(|trial| {
            let now = trial.clock.now();
            let checker = &mut trial.fleet.checker;
            checker.attempt_ended_at_server(attempt.request, self.server, attempt.outcome, now);
            let key = (self.proxy, self.server);
            if response.status.primary == Some(false) {
                trial.not_primary_since.entry(key).or_insert(now);
            } else {
                trial.not_primary_since.remove(&key);
            }
        });
    }
}
