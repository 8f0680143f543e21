//! Recorded frames of a hot restart: the format that a predecessor and a successor of different builds share.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::os::fd::AsFd;

use pipittack_core::api::{FailoverKind, ReplicaSetSnapshot};
use pipittack_core::api::{ServerSnapshot, StateSnapshot};
use rstest::rstest;
use rustix::net::{sendmsg, SendAncillaryBuffer, SendAncillaryMessage, SendFlags};
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

use super::{ask_early, greeted, receive, receive_early, send, Frame, FrameKind, HandoverState, Hello};
use crate::endpoint_list::{EndpointList, ListedEndpoint};

const GREETING: &[u8] = br#"{"version":2,"name":"gw-a"}"#;
const FULL: &[u8] = include_bytes!("../../../../tests/fixtures/handover/state_full.json");
const EMPTY: &[u8] = include_bytes!("../../../../tests/fixtures/handover/state_empty.json");
const WITH_UNKNOWN_FIELDS: &[u8] =
    include_bytes!("../../../../tests/fixtures/handover/state_with_unknown_fields.json");
const EARLY_SERVERS: &[u8] = include_bytes!("../../../../tests/fixtures/handover/early_servers.json");

/// A frame as it was recorded: its header, and what follows that.
struct Recorded {
    kind: FrameKind,
    header: &'static [u8; 9],
    content: &'static [u8],
    has_descriptor: bool,
}

const RECORDED: [Recorded; 9] = [
    Recorded {
        kind: FrameKind::Hello,
        header: b"G\0\0\0\x1b\xf6\x17\xc0\xe6",
        content: GREETING,
        has_descriptor: false,
    },
    Recorded { kind: FrameKind::Listener, header: b"D\0\0\0\0\0\0\0\0", content: b"", has_descriptor: true },
    Recorded {
        kind: FrameKind::PeerChannel,
        header: b"W\0\0\0\0\0\0\0\0",
        content: b"",
        has_descriptor: true,
    },
    Recorded {
        kind: FrameKind::HandoverState,
        header: b"S\0\0\x03\x84A\0\xc8\xb7",
        content: FULL,
        has_descriptor: false,
    },
    Recorded { kind: FrameKind::Ready, header: b"R\0\0\0\0\0\0\0\0", content: b"", has_descriptor: false },
    Recorded {
        kind: FrameKind::ClientLimit,
        header: b"P\0\0\0\x04\xa4\xb8\xe6\x95",
        content: b"\0\0\x03\xe8",
        has_descriptor: false,
    },
    Recorded {
        kind: FrameKind::ServesAlone,
        header: b"A\0\0\0\0\0\0\0\0",
        content: b"",
        has_descriptor: false,
    },
    Recorded {
        kind: FrameKind::Client,
        header: b"C\0\0\0\x01\xa5\x05\xdf\x1b",
        content: b"\x01",
        has_descriptor: true,
    },
    Recorded {
        kind: FrameKind::Client,
        header: b"C\0\0\0\x01\xd2\x02\xef\x8d",
        content: b"\0",
        has_descriptor: true,
    },
];

impl Recorded {
    fn bytes(&self) -> Vec<u8> {
        [self.header, self.content].concat()
    }
}

/// Sends raw bytes, the first of them with a descriptor if there is one.
fn send_raw(stream: &UnixStream, bytes: &[u8], has_descriptor: bool) {
    let descriptors = [stream.as_fd()];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if has_descriptor {
        assert!(control.push(SendAncillaryMessage::ScmRights(&descriptors)));
    }
    let sent = sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL);
    assert_eq!(sent.ok(), Some(bytes.len()));
}

/// The raw bytes of one frame that the code sends.
async fn written(recorded: &Recorded) -> Vec<u8> {
    let (sender, mut receiver) = UnixStream::pair().expect("a pair of sockets");
    let descriptor = recorded.has_descriptor.then(|| sender.as_fd());
    send(&sender, recorded.kind, recorded.content, descriptor).await.expect("it is sent");
    drop(sender);
    let mut bytes = Vec::new();
    receiver.read_to_end(&mut bytes).await.expect("an end");
    bytes
}

/// What the code reads from raw bytes.
async fn read(bytes: &[u8], has_descriptor: bool) -> io::Result<Frame> {
    let (sender, receiver) = UnixStream::pair().expect("a pair of sockets");
    send_raw(&sender, bytes, has_descriptor);
    drop(sender);
    receive(&receiver).await?.expect("a frame")
}

fn listing() -> EndpointList {
    let primary = ListedEndpoint {
        name: "store-a".to_owned(),
        address: "10.0.0.1:5432".parse().expect("an address"),
        zone: "eu-1a".to_owned(),
        machine_kind: "m5".to_owned(),
        group: 2,
        state: "Ready".to_owned(),
        relative_capacity: Some(1.5),
        started_unix_ms: 1_767_225_000_000.0,
        role: Some("read-write".to_owned()),
    };
    let plain = ListedEndpoint {
        name: "store-b".to_owned(),
        address: "[::1]:5433".parse().expect("an address"),
        zone: String::new(),
        machine_kind: String::new(),
        group: 0,
        state: "Terminating".to_owned(),
        relative_capacity: None,
        started_unix_ms: 0.0,
        role: None,
    };
    EndpointList { revision: 41, complete: true, endpoints: vec![primary, plain] }
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

fn snapshot() -> HandoverState {
    let names = vec![(7, "store-a".to_owned()), (4_000_000_000, "store-b".to_owned())];
    HandoverState::new(1_767_225_600_123.5, listing(), names, routing_snapshot())
}

/// A snapshot in which all that may be absent is absent.
fn empty_snapshot() -> HandoverState {
    HandoverState { version: 2, ..HandoverState::default() }
}

#[tokio::test]
async fn frames_of_985872a_are_written_byte_for_byte() {
    for recorded in &RECORDED {
        assert_eq!(written(recorded).await, recorded.bytes(), "{:?}", recorded.kind);
    }
}

#[tokio::test]
async fn frames_of_985872a_are_read() {
    for recorded in &RECORDED {
        let frame = read(&recorded.bytes(), recorded.has_descriptor).await.expect("it is read");
        assert_eq!(frame.kind, recorded.kind);
        assert_eq!(frame.payload, recorded.content);
        assert_eq!(frame.fd.is_some(), recorded.has_descriptor);
    }
}

#[tokio::test]
async fn frames_that_need_a_descriptor_are_refused_without_one() {
    for recorded in RECORDED.iter().filter(|recorded| recorded.has_descriptor) {
        assert!(read(&recorded.bytes(), false).await.is_err(), "{:?}", recorded.kind);
    }
}

#[tokio::test]
async fn frames_of_an_unknown_kind_or_with_a_wrong_checksum_are_refused() {
    assert!(read(b"X\0\0\0\0\0\0\0\0", false).await.is_err());
    assert!(read(b"R\0\0\0\0\0\0\0\x01", false).await.is_err());
    assert!(read(b"R\x01\0\0\x01\0\0\0\0", false).await.is_err());
}

#[tokio::test]
async fn client_limit_of_985872a_is_a_big_endian_number() {
    let recorded =
        RECORDED.iter().find(|recorded| recorded.kind == FrameKind::ClientLimit).expect("it is recorded");
    let frame = read(&recorded.bytes(), false).await.expect("it is read");
    assert_eq!(frame.number().ok(), Some(1000));
    assert_eq!(1000u32.to_be_bytes(), recorded.content);
}

#[test]
fn greeting_of_985872a_is_read_and_written_byte_for_byte() {
    let greeting = Hello::new("gw-a");
    assert_eq!(serde_json::to_vec(&greeting).ok().as_deref(), Some(GREETING));
    assert_eq!(serde_json::from_slice::<Hello>(GREETING).ok(), Some(greeting));
}

#[rstest]
#[case::recorded(GREETING, true)]
#[case::unknown_field(br#"{"later":1,"name":"gw-a","version":2}"#, true)]
#[case::another_version(br#"{"version":3,"name":"gw-a"}"#, false)]
#[case::another_name(br#"{"version":2,"name":"gw-b"}"#, false)]
#[case::no_version(br#"{"name":"gw-a"}"#, false)]
#[case::no_name(br#"{"version":2}"#, false)]
#[tokio::test]
async fn greeting_is_accepted_from_the_same_proxy_and_version(
    #[case] content: &[u8],
    #[case] accepted: bool,
) {
    let (sender, receiver) = UnixStream::pair().expect("a pair of sockets");
    send(&sender, FrameKind::Hello, content, None).await.expect("it is sent");
    assert_eq!(greeted(&receiver, &Hello::new("gw-a")).await.is_ok(), accepted);
}

#[test]
fn snapshot_of_985872a_is_read_and_written_byte_for_byte() {
    for (recorded, snapshot) in [(FULL, snapshot()), (EMPTY, empty_snapshot())] {
        assert_eq!(String::from_utf8_lossy(&snapshot.encode()), String::from_utf8_lossy(recorded));
        assert_eq!(HandoverState::decode(recorded).expect("it is read"), snapshot);
    }
}

#[test]
fn unknown_fields_of_a_snapshot_are_ignored() {
    assert_eq!(HandoverState::decode(WITH_UNKNOWN_FIELDS).expect("it is read"), snapshot());
}

#[test]
fn absent_fields_of_a_snapshot_are_defaults() {
    assert_eq!(HandoverState::decode(br#"{"version":2}"#).expect("it is read"), empty_snapshot());
    let list =
        HandoverState::decode(br#"{"version":2,"listing":{"rev":5}}"#).expect("it is read").endpoint_list;
    assert_eq!(list, Some(EndpointList { revision: 5, complete: false, endpoints: Vec::new() }));
}

#[test]
fn snapshots_of_no_or_another_version_are_refused() {
    assert!(HandoverState::decode(b"{}").is_err());
    assert!(HandoverState::decode(br#"{"version":1}"#).is_err());
    assert!(HandoverState::decode(br#"{"version":3}"#).is_err());
}

/// What a build before 0.2 sends first: its listener beside five bytes, then the servers.
fn early_frames() -> (Vec<u8>, Vec<u8>) {
    let listener = b"D\0\0\x03\xe8".to_vec();
    let servers = [b"\0\0\0\xed", EARLY_SERVERS].concat();
    (listener, servers)
}

#[tokio::test]
async fn early_snapshot_is_read() {
    let (sender, receiver) = UnixStream::pair().expect("a pair of sockets");
    let (listener, servers) = early_frames();
    send_raw(&sender, &listener, true);
    send_raw(&sender, &servers, false);
    let (_, inheritance) = ask_early(receiver).await.expect("it is read");
    assert!(inheritance.is_early_build());
    assert_eq!(inheritance.client_limit, Some(1000));
    assert!(inheritance.peer_channel.is_none());
    let state = inheritance.state.expect("a snapshot");
    assert_eq!(state, HandoverState { snapshot: early_routing_snapshot(), ..HandoverState::default() });
}

fn early_routing_snapshot() -> StateSnapshot {
    let at = 1_767_225_600.5;
    let news = ReplicaSetSnapshot { epoch: 4, deposed: false, failover: Some((FailoverKind::Planned, 0.25)) };
    let servers = vec![
        ServerSnapshot { server: 7, last_response: at, primary: true, ..ServerSnapshot::default() },
        ServerSnapshot {
            server: 8,
            position: Some(at),
            last_response: at,
            replica_set: news,
            ..ServerSnapshot::default()
        },
        ServerSnapshot { server: 9, ..ServerSnapshot::default() },
    ];
    StateSnapshot { servers, ..StateSnapshot::default() }
}

#[tokio::test]
async fn early_client_is_read() {
    for (bytes, started) in [(b"C\0\0\0\x01", 1), (b"C\0\0\0\0", 0)] {
        let (sender, receiver) = UnixStream::pair().expect("a pair of sockets");
        send_raw(&sender, bytes, true);
        let (letter, value, _) = receive_early(&receiver).await.expect("it is read").expect("a client");
        assert_eq!((letter, value), (b'C', started));
    }
}
