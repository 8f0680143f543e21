//! Scripted data servers that several tests use.

use std::sync::{mpsc, Mutex};

use pipittack_testkit::scripted_server::{Reply, ScriptedServer, ServerRole};

use super::TEST_TIMEOUT;

/// The reply to any statement: a row.
pub fn reply_with_row(_: &str) -> Reply {
    Reply::Row(b"v".to_vec())
}

/// A primary that replies with a row, and otherwise where a statement contains a marker.
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

/// A primary that replies with a row, and where a statement contains a marker only once the test sends a message.
pub fn start_gated_server(marker: &'static str) -> (ScriptedServer, mpsc::Sender<()>) {
    let (opener, gate) = mpsc::channel::<()>();
    let gate = Mutex::new(gate);
    let server = start_server_with_marked_reply(marker, move || {
        let _ = gate.lock().expect("no panic").recv_timeout(TEST_TIMEOUT);
        Reply::Row(b"v".to_vec())
    });
    (server, opener)
}
