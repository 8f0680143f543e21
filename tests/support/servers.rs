//! Scripted data servers that several tests share.

use std::sync::{mpsc, Mutex};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};

use super::TEST_TIMEOUT;

/// Replies to any statement with a row.
pub fn reply_with_row(_: &str) -> Reply {
    Reply::Row(b"v".to_vec())
}

/// Starts a primary that answers with a row. A statement that contains `marker` gets `reply` instead.
pub fn start_server_with_marked_reply(
    marker: &'static str,
    reply: impl Fn() -> Reply + Send + Sync + 'static,
) -> ScriptedServer {
    ScriptedServer::start(ServerRole::Primary, move |text| {
        if text.contains(marker) {
            reply()
        } else {
            reply_with_row(text)
        }
    })
}

/// Starts a primary that answers with a row. Each statement that contains `marker` is answered only after the
/// test has sent one message on the returned channel.
pub fn start_gated_server(marker: &'static str) -> (ScriptedServer, mpsc::Sender<()>) {
    let (gate_sender, gate) = mpsc::channel::<()>();
    let gate = Mutex::new(gate);
    let server = start_server_with_marked_reply(marker, move || {
        let _ = gate.lock().expect("no thread of the server panics").recv_timeout(TEST_TIMEOUT);
        Reply::Row(b"v".to_vec())
    });
    (server, gate_sender)
}
