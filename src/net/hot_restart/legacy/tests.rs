//! Tests with recorded messages of a build before 0.2.

use pipittack_core::api::{FailoverKind, ReplicaSetSnapshot, ServerSnapshot, StateSnapshot};
use tokio::net::UnixStream;

use super::{receive, receive_handover};
use crate::net::hot_restart::state::HandoverState;
use crate::net::hot_restart::takeover::Protocol;
use crate::net::hot_restart::test_support::send_raw;

const SERVERS: &[u8] = include_bytes!("../../../../tests/fixtures/handover/early_servers.json");

/// Returns the first bytes that a build before 0.2 sends: the message with the listener, then the state of
/// the servers with its length.
fn handover_bytes() -> (Vec<u8>, Vec<u8>) {
    let listener = b"D\0\0\x03\xe8".to_vec();
    let servers = [b"\0\0\0\xed", SERVERS].concat();
    (listener, servers)
}

#[tokio::test]
async fn legacy_handover_is_received() {
    let (sender, receiver) = UnixStream::pair().expect("socket pair is created");
    let (listener, servers) = handover_bytes();
    send_raw(&sender, &listener, true);
    send_raw(&sender, &servers, false);
    let predecessor = receive_handover(receiver).await.expect("handover is received").predecessor;
    assert_eq!(predecessor.protocol, Protocol::Legacy { client_limit: 1000 });
    assert!(predecessor.peer_channel.is_none());
    let state = predecessor.state.expect("state is present");
    assert_eq!(state, HandoverState { snapshot: routing_snapshot(), ..HandoverState::default() });
}

fn routing_snapshot() -> StateSnapshot {
    let unix_secs = 1_767_225_600.5;
    let replica_set =
        ReplicaSetSnapshot { epoch: 4, deposed: false, failover: Some((FailoverKind::Planned, 0.25)) };
    let servers = vec![
        ServerSnapshot { server: 7, last_response: unix_secs, primary: true, ..ServerSnapshot::default() },
        ServerSnapshot {
            server: 8,
            position: Some(unix_secs),
            last_response: unix_secs,
            replica_set,
            ..ServerSnapshot::default()
        },
        ServerSnapshot { server: 9, ..ServerSnapshot::default() },
    ];
    StateSnapshot { servers, ..StateSnapshot::default() }
}

#[tokio::test]
async fn legacy_client_is_received() {
    for (bytes, startup_complete) in [(b"C\0\0\0\x01", 1), (b"C\0\0\0\0", 0)] {
        let (sender, receiver) = UnixStream::pair().expect("socket pair is created");
        send_raw(&sender, bytes, true);
        let message = receive(&receiver).await.expect("message is valid").expect("message is received");
        assert_eq!((message.kind, message.value), (b'C', startup_complete));
    }
}
