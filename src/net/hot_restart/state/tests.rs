//! Compatibility of the JSON of the hello and the state, which a predecessor and a successor of different
//! builds share: compares the code with payloads that were recorded at commit 985872a.

use pipittack_core::api::{FailoverKind, ReplicaSetSnapshot, ServerSnapshot, StateSnapshot};

use super::{HandoverState, Hello};
use crate::endpoint_list::{EndpointList, ListedEndpoint};
use crate::net::hot_restart::peer_channel::KnownPackets;
use crate::net::hot_restart::test_support::{HELLO, STATE_FULL};

const STATE_EMPTY: &[u8] = include_bytes!("../../../../tests/fixtures/handover/state_empty.json");
const STATE_WITH_UNKNOWN_FIELDS: &[u8] =
    include_bytes!("../../../../tests/fixtures/handover/state_with_unknown_fields.json");

fn endpoint_list() -> EndpointList {
    let primary = ListedEndpoint {
        name: "store-a".to_owned(),
        address: "10.0.0.1:5432".parse().expect("address is valid"),
        zone: "eu-1a".to_owned(),
        machine_kind: "m5".to_owned(),
        group: 2,
        state: "Ready".to_owned(),
        relative_capacity: Some(1.5),
        started_unix_ms: 1_767_225_000_000.0,
        role: Some("read-write".to_owned()),
    };
    let bare = ListedEndpoint {
        name: "store-b".to_owned(),
        address: "[::1]:5433".parse().expect("address is valid"),
        zone: String::new(),
        machine_kind: String::new(),
        group: 0,
        state: "Terminating".to_owned(),
        relative_capacity: None,
        started_unix_ms: 0.0,
        role: None,
    };
    EndpointList { revision: 41, complete: true, endpoints: vec![primary, bare] }
}

fn routing_snapshot() -> StateSnapshot {
    let full = ServerSnapshot {
        server: 7,
        position: Some(99.25),
        last_response: 100.5,
        primary: true,
        replica_at: Some(12.0),
        started: Some(3.5),
        warm_up_budget: 0.125,
        concurrency_limit: Some(32.0),
        down: Some((98.0, true)),
        replica_set: ReplicaSetSnapshot {
            epoch: 3,
            deposed: true,
            failover: Some((FailoverKind::Unplanned, 1.5)),
        },
    };
    let bare = ServerSnapshot { server: 4_000_000_000, ..ServerSnapshot::default() };
    StateSnapshot {
        session_floor: Some(90.75),
        session_tokens: vec![("basket-7".to_owned(), 99.0)],
        servers: vec![full, bare],
    }
}

fn state() -> HandoverState {
    let names = vec![(7, "store-a".to_owned()), (4_000_000_000, "store-b".to_owned())];
    HandoverState::new(1_767_225_600_123.5, endpoint_list(), names, routing_snapshot())
}

/// Returns a state whose optional fields are all absent or empty.
fn empty_state() -> HandoverState {
    HandoverState { version: 2, ..HandoverState::default() }
}

#[test]
fn recorded_hello_is_decoded_and_encoded_byte_for_byte() {
    let hello = Hello::new("gw-a");
    assert_eq!(serde_json::to_vec(&hello).ok().as_deref(), Some(HELLO));
    assert_eq!(serde_json::from_slice::<Hello>(HELLO).ok(), Some(hello));
}

#[test]
fn recorded_state_is_decoded_and_encoded_byte_for_byte() {
    for (recorded, state) in [(STATE_FULL, state()), (STATE_EMPTY, empty_state())] {
        assert_eq!(String::from_utf8_lossy(&state.encode()), String::from_utf8_lossy(recorded));
        assert_eq!(HandoverState::decode(recorded).expect("state is decoded"), state);
    }
}

#[test]
fn unknown_fields_of_a_state_are_ignored() {
    assert_eq!(HandoverState::decode(STATE_WITH_UNKNOWN_FIELDS).expect("state is decoded"), state());
}

#[test]
fn absent_fields_of_a_state_get_default_values() {
    assert_eq!(HandoverState::decode(br#"{"version":2}"#).expect("state is decoded"), empty_state());
    let list = HandoverState::decode(br#"{"version":2,"listing":{"rev":5}}"#)
        .expect("state is decoded")
        .endpoint_list;
    assert_eq!(list, Some(EndpointList { revision: 5, complete: false, endpoints: Vec::new() }));
}

#[test]
fn states_without_a_version_or_with_another_version_are_rejected() {
    assert!(HandoverState::decode(b"{}").is_err());
    assert!(HandoverState::decode(br#"{"version":1}"#).is_err());
    assert!(HandoverState::decode(br#"{"version":3}"#).is_err());
}

/// Guards against packets with roles that are sent to a build which cannot decode them, and closes the channel.
#[test]
fn the_field_for_roles_is_optional_both_ways() {
    let with_roles = br#"{"version":2,"name":"gw-a","executed":true,"roles":true}"#;
    let hello = Hello::new("gw-a").with_request_ids().with_roles();
    assert_eq!(hello.encode().ok().as_deref(), Some(&with_roles[..]));
    assert_eq!(hello.known_packets(), KnownPackets { request_ids: true, roles: true });
    let older = Hello::decode(br#"{"version":2,"name":"gw-a","executed":true}"#).expect("hello is decoded");
    assert!(older.matches(&hello) && hello.matches(&older));
    assert_eq!(older.known_packets(), KnownPackets { request_ids: true, roles: false });
    let state = state().with_executed_ids(Vec::new()).with_roles();
    let decoded = HandoverState::decode(&state.encode()).expect("state is decoded");
    assert_eq!(decoded.known_packets(), KnownPackets { request_ids: true, roles: true });
    let older = HandoverState::decode(STATE_FULL).expect("state is decoded");
    assert_eq!(older.known_packets(), KnownPackets::default());
}

#[test]
fn the_field_for_ids_of_requests_is_optional_both_ways() {
    let with_ids = br#"{"version":2,"name":"gw-a","executed":true}"#;
    let hello = Hello::new("gw-a").with_request_ids();
    assert_eq!(hello.encode().ok().as_deref(), Some(&with_ids[..]));
    let older = Hello::decode(HELLO).expect("hello is decoded");
    let newer = Hello::decode(with_ids).expect("hello is decoded");
    assert!(older.matches(&newer) && newer.matches(&older));
    assert_eq!((older.knows_request_ids, newer.knows_request_ids), (false, true));
    let state = state().with_executed_ids(vec!["9b1f".to_owned()]);
    let decoded = HandoverState::decode(&state.encode()).expect("state is decoded");
    assert_eq!(decoded.executed_ids.as_deref(), Some(&["9b1f".to_owned()][..]));
    let older = HandoverState::decode(STATE_FULL).expect("state is decoded");
    assert_eq!(older.executed_ids, None);
}
