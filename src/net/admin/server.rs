//! The admin server: accepts connections and answers one call on each.
//!
//! [`run`] owns the task of each connection. A task ends once its call is answered, or after [`CALL_TIMEOUT`]
//! for one that sends nothing. When there are too many, the oldest is aborted, so that idle callers do not
//! keep others out. The errors of a connection are logged.

use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use super::http::{parse_call, AdminCall, HttpStatus, Response};
use super::AdminApi;
use crate::net::buffers::{self, write_all, BufferPool};

/// Most connections at a time.
const MAX_CONNECTIONS: usize = 8;
/// How long a caller may take to send its call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the rest of what a caller sends is read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which a failed accept is repeated.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// What ends the head of a call.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Why there is no call to answer.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error("the call is rejected with {0:?}")]
    Rejected(HttpStatus),
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Listens for calls. Fails if the address cannot be bound.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Answers calls. Never returns. Must run inside a [`tokio::task::LocalSet`].
pub async fn run(listener: TcpListener, api: Rc<AdminApi>, pool: BufferPool) {
    let mut connections: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("admin connection: accept failed: {e}");
                sleep(ACCEPT_RETRY_INTERVAL).await;
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

async fn serve_logged(stream: TcpStream, api: Rc<AdminApi>, pool: BufferPool) {
    if let Err(e) = serve(stream, &api, &pool).await {
        log::debug!("admin connection: {e}");
    }
}

async fn serve(mut stream: TcpStream, api: &AdminApi, pool: &BufferPool) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let call = timeout(CALL_TIMEOUT, read_call(&stream, pool)).await;
    let response = match call.unwrap_or(Err(ReadError::Rejected(HttpStatus::RequestTimeout))) {
        Ok(call) => answer(api, call),
        Err(ReadError::Rejected(status)) => Response::error(status),
        Err(ReadError::Io(e)) => return Err(e),
    };
    write_all(&stream, &mut [IoSlice::new(response.encode().as_bytes())]).await?;
    stream.shutdown().await?;
    discard_rest(&stream, pool).await;
    Ok(())
}

/// Reads until the head of a call is complete, and parses it.
async fn read_call(stream: &TcpStream, pool: &BufferPool) -> Result<AdminCall, ReadError> {
    let mut received = pool.chain();
    let mut head = Vec::new();
    loop {
        received.copy(0..received.len(), &mut head);
        if let Some(end) = head.windows(HEAD_END.len()).position(|bytes| bytes == HEAD_END) {
            head.truncate(end + HEAD_END.len());
            return parse_call(&head).map_err(ReadError::Rejected);
        }
        if received.len() >= buffers::BUFFER_BYTES {
            return Err(ReadError::Rejected(HttpStatus::HeaderFieldsTooLarge));
        }
        if received.read_from(stream).await? == 0 {
            return Err(if received.is_empty() {
                ReadError::Io(io::ErrorKind::UnexpectedEof.into())
            } else {
                ReadError::Rejected(HttpStatus::BadRequest)
            });
        }
    }
}

fn answer(api: &AdminApi, call: AdminCall) -> Response {
    let response = api.answer(call.clone());
    log::debug!("admin call {call:?}: {} {}", response.status.code(), response.text);
    response
}

/// Reads what the caller still sends. To close a connection with unread bytes would reset it, and the caller
/// could lose the response.
async fn discard_rest(stream: &TcpStream, pool: &BufferPool) {
    let read_to_end = async { while pool.chain().read_from(stream).await.is_ok_and(|length| length > 0) {} };
    let _ = timeout(LINGER_TIMEOUT, read_to_end).await;
}
