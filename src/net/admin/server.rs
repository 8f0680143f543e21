//! The admin server: accepts connections and answers one call on each of them.
//!
//! [`run`] owns the task of each connection. A task ends when its call is answered; a call must be received
//! within [`CALL_TIMEOUT`]. When the number of connections reaches [`MAX_CONNECTIONS`], the oldest one is
//! aborted for a new one, so that idle connections do not block new calls. Errors of a connection are logged.

use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

use super::http::{parse_call, AdminCall, HttpStatus, Response};
use super::AdminApi;
use crate::net::buffers::{write_all, BufferPool};
use crate::net::log_limit::LogLimit;
use crate::net::retry::pause_after_accept_error;
use crate::net::turn::{charge, Work};

/// Largest number of open connections.
const MAX_CONNECTIONS: usize = 8;
/// Time limit for receiving the head of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for reading and discarding what the caller sends after the proxy has shut down writing.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Length in bytes of the longest head of a call.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// End of the head of a call: the line end of the last line, and the empty line.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Reason why no call was read.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("call rejected with status {0:?}")]
    Rejected(HttpStatus),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Opens the listener of the admin API.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections and answers calls. Never returns. Must run inside a [`tokio::task::LocalSet`].
pub async fn run(listener: TcpListener, api: Rc<AdminApi>, pool: BufferPool) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    let accept_errors = LogLimit::default();
    loop {
        charge(Work::Message).await;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                if let Some(count) = accept_errors.record() {
                    log::warn!("accept failed on the admin listener: {e} ({count} errors)");
                }
                pause_after_accept_error(&e).await;
                continue;
            }
        };
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= MAX_CONNECTIONS {
            connections.pop_front().iter().for_each(AbortHandle::abort);
        }
        let connection = spawn_local(serve_logged(stream, api.clone(), pool.clone()));
        connections.push_back(connection.abort_handle());
    }
}

/// Serves a connection and logs its error.
async fn serve_logged(stream: TcpStream, api: Rc<AdminApi>, pool: BufferPool) {
    if let Err(e) = serve(stream, &api, &pool).await {
        log::debug!("admin connection failed: {e}");
    }
}

/// Reads one call, writes the response and closes the connection.
async fn serve(mut stream: TcpStream, api: &AdminApi, pool: &BufferPool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let call = timeout(CALL_TIMEOUT, read_call(&stream, pool)).await;
    let response = match call.unwrap_or(Err(ReadError::Rejected(HttpStatus::RequestTimeout))) {
        Ok(call) => handle_call(api, call),
        Err(ReadError::Rejected(status)) => Response::error(status),
        Err(ReadError::Io(e)) => return Err(e),
    };
    write_all(&stream, &mut [IoSlice::new(response.encode().as_bytes())]).await?;
    stream.shutdown().await?;
    discard_input(&stream, pool).await;
    Ok(())
}

/// Reads until the head of a call is complete, and parses it.
async fn read_call(stream: &TcpStream, pool: &BufferPool) -> Result<AdminCall, ReadError> {
    let mut received = pool.chain();
    let mut head = Vec::new();
    loop {
        received.slices(0..received.len()).for_each(|slice| head.extend_from_slice(slice));
        received.clear();
        if let Some(end) = head.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) {
            head.truncate(end + HEAD_END.len());
            return parse_call(&head).map_err(ReadError::Rejected);
        }
        if head.len() >= MAX_HEAD_BYTES {
            return Err(ReadError::Rejected(HttpStatus::HeaderFieldsTooLarge));
        }
        if received.read_from(stream).await? == 0 {
            return Err(if head.is_empty() {
                ReadError::Io(io::ErrorKind::UnexpectedEof.into())
            } else {
                ReadError::Rejected(HttpStatus::BadRequest)
            });
        }
    }
}

/// Executes a call and logs the response.
fn handle_call(api: &AdminApi, call: AdminCall) -> Response {
    let response = api.handle_call(call.clone());
    log::debug!("admin call {call:?} answered: {} {}", response.status.code(), response.text);
    response
}

/// Reads and discards bytes until the caller closes its side, for at most [`LINGER_TIMEOUT`]. Closing a
/// socket with unread bytes resets the connection, and the caller could lose the response.
async fn discard_input(stream: &TcpStream, pool: &BufferPool) {
    let read_to_end = async { while pool.chain().read_from(stream).await.is_ok_and(|length| length > 0) {} };
    let _ = timeout(LINGER_TIMEOUT, read_to_end).await;
}
