//! Sends a client's statement to a proxy, and reads the response.
//!
//! A proxy may close an idle connection while the client sends a statement on it. The client cannot tell
//! whether the proxy had read the statement, or whether the process was killed. It therefore sends the
//! statement once more, on a new connection, only if the request may be executed twice. Otherwise the outcome
//! of the try is unknown. The rule checker decides whether the proxy was allowed to close the connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use pipittack_core::api::Idempotency;
use tokio::net::TcpStream;

use super::super::fleet_model::START_S;
use super::super::rule_checker::{AcceptedRequest, ConnectionEnd, ConnectionUse, UnansweredClose};
use super::super::workload::ClientRequest;
use super::message_stream::{error_field, MessageStream};
use super::state::SharedTrial;
use crate::wire::{query, startup};

/// Time in seconds for which a client waits for a response after the deadline of its request.
const RESPONSE_GRACE_PERIOD_S: f64 = 0.5;
/// SQLSTATEs of a rejection: `too_many_connections` and `cannot_connect_now`.
const REJECTION_CODES: [&str; 2] = ["53300", "57P03"];

/// Statement of one try of a client request.
pub struct Statement {
    /// Id of the try.
    pub id: u64,
    /// SQL text with the comment.
    pub text: String,
    /// Commit time in the session token, in seconds. `None` if the client sends no token.
    pub token_commit: Option<f64>,
}

/// Complete response to a statement.
pub enum ClientResponse {
    /// Result; the value is the body of its data row.
    Served(Vec<u8>),
    /// Rejection: the request was not executed, so a retry is safe.
    Rejected { retry_after: Option<Duration> },
    /// Error that is not a rejection.
    Failed,
}

/// Reason for a missing response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The client could not open a connection.
    Unreachable,
    /// The connection had ended before the statement could be written.
    ClosedBeforeRequest,
    /// The connection ended after the statement was written and before the first byte of a response.
    ClosedBeforeResponse,
    /// The connection ended within a response.
    NoResponse,
    /// The proxy did not respond by the deadline and the grace period after it.
    TimedOut,
}

async fn connect(address: SocketAddr) -> io::Result<MessageStream> {
    let stream = MessageStream::new(TcpStream::connect(address).await?)?;
    stream.write_all(&startup()).await?;
    Ok(stream)
}

/// Sends an empty query to a proxy. Returns an error if the proxy cannot be reached or answers with an error.
pub async fn health_check(address: SocketAddr) -> io::Result<()> {
    let mut stream = connect(address).await?;
    stream.write_all(&query("")).await?;
    loop {
        match stream.read_message().await? {
            (b'I', _) => return Ok(()),
            (b'E', _) => return Err(io::ErrorKind::ConnectionRefused.into()),
            _ => {}
        }
    }
}

/// Sends a statement on an idle connection or on a new one, and reads the response. Sends it once more if the
/// idle connection ended without a response and the request may be executed twice.
pub async fn exchange(
    shared: &SharedTrial,
    request: &ClientRequest,
    statement: &Statement,
) -> Result<ClientResponse, ExchangeError> {
    if let Some(stream) = take_idle_connection(shared, request.proxy) {
        match exchange_on(shared, stream, request, statement, ConnectionUse::Reused).await {
            Err(ExchangeError::ClosedBeforeRequest) => {}
            Err(ExchangeError::ClosedBeforeResponse) if may_resend(shared, request) => {}
            result => return result,
        }
    }
    let address = shared.with(|trial| trial.processes.listen_address(request.proxy));
    let stream = connect(address).await.map_err(|_| ExchangeError::Unreachable)?;
    shared.with(|trial| {
        let now = trial.clock.now();
        if let Some(start) = trial.process_start_entry(request.proxy) {
            start.first_request.get_or_insert(now - START_S - start.started_at);
        }
    });
    exchange_on(shared, stream, request, statement, ConnectionUse::New).await
}

/// Takes an idle connection to a proxy that the proxy has not closed. Drops those that it has closed.
fn take_idle_connection(shared: &SharedTrial, proxy: usize) -> Option<MessageStream> {
    shared.with(|trial| {
        let idle = &mut trial.balancer_targets[proxy].idle;
        std::iter::from_fn(|| idle.pop()).find(MessageStream::is_reusable)
    })
}

/// Returns whether a client may send a request again after its connection ended without a response. The
/// request may have been executed.
fn may_resend(shared: &SharedTrial, request: &ClientRequest) -> bool {
    shared.with(|trial| {
        let class = &trial.fleet.plan.settings.classes[request.class.0];
        class.idempotency != Idempotency::NonIdempotent
    })
}

async fn exchange_on(
    shared: &SharedTrial,
    mut stream: MessageStream,
    request: &ClientRequest,
    statement: &Statement,
    connection: ConnectionUse,
) -> Result<ClientResponse, ExchangeError> {
    let clock = shared.clock();
    stream.write_all(&query(&statement.text)).await.map_err(|_| ExchangeError::ClosedBeforeRequest)?;
    let written_at = clock.now();
    shared.with(|trial| {
        trial.fleet.checker.request_accepted(AcceptedRequest {
            id: statement.id,
            proxy: request.proxy,
            class: request.class,
            session: request.session,
            token_commit: statement.token_commit,
            accepted_at: written_at,
            deadline: request.deadline,
        });
    });
    let mut response = None;
    loop {
        let read = tokio::select! {
            read = stream.read_message() => read,
            () = clock.sleep_until(request.deadline + RESPONSE_GRACE_PERIOD_S) => {
                return Err(ExchangeError::TimedOut);
            }
        };
        match read {
            Ok((b'D', body)) => {
                write_acknowledged(shared, request, statement.id);
                response = Some(ClientResponse::Served(body));
            }
            Ok((b'E', body)) => response = Some(classify_error(&body)),
            Ok((b'Z', _)) if response.is_some() => break,
            Ok(_) => {}
            Err(error) if response.is_none() && stream.is_empty() => {
                let end = connection_end(&error);
                shared.with(|trial| {
                    let close = UnansweredClose {
                        written_at,
                        end,
                        connection,
                        process_killed: trial.processes.was_killed_since(request.proxy, written_at),
                        process_paused: trial.processes.was_paused_since(request.proxy, written_at),
                    };
                    trial.fleet.checker.closed_without_answer(statement.id, close, clock.now());
                });
                return Err(ExchangeError::ClosedBeforeResponse);
            }
            Err(_) => return Err(ExchangeError::NoResponse),
        }
    }
    shared.with(|trial| {
        let target = &mut trial.balancer_targets[request.proxy];
        if target.admitted {
            target.idle.push(stream);
        }
    });
    response.ok_or(ExchangeError::NoResponse)
}

/// Returns how a connection ended whose read failed with this error.
fn connection_end(error: &io::Error) -> ConnectionEnd {
    match error.kind() {
        io::ErrorKind::UnexpectedEof => ConnectionEnd::Closed,
        _ => ConnectionEnd::Reset,
    }
}

/// Records that a client received the response to a write. Later reads of the session must return the write.
fn write_acknowledged(shared: &SharedTrial, request: &ClientRequest, id: u64) {
    shared.with(|trial| {
        let Some(commit) = trial.unacknowledged_commits.remove(&id) else { return };
        let now = trial.clock.now();
        trial.fleet.checker.write_acknowledged(request.proxy, request.session, commit);
        trial.fleet.workload.write_acknowledged(request, commit, now);
    });
}

/// Classifies an `ErrorResponse` as a rejection or another error. The detail of a rejection is the time in
/// milliseconds after which the client may retry.
fn classify_error(body: &[u8]) -> ClientResponse {
    let code = error_field(body, b'C').unwrap_or_default();
    if REJECTION_CODES.contains(&code.as_str()) {
        let detail = error_field(body, b'D');
        let retry_after = detail.and_then(|ms| ms.parse().ok()).map(Duration::from_millis);
        return ClientResponse::Rejected { retry_after };
    }
    ClientResponse::Failed
}

#[cfg(test)]
mod tests;
