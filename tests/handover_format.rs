//! Formats of stored files and of handovers: names and content of the files in the state directory, and the
//! snapshot that a predecessor passes to its successor in a hot restart. The fixtures were recorded at commit
//! 985872a. Processes of another build must be able to read these bytes.

use std::fmt::Debug;
use std::fs;
use std::io::{Read, Write};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

use pipittack::endpoint_list::{EndpointList, ListedEndpoint};
use pipittack::net::admin::{OutOfServiceError, OutOfServiceList, ServiceChange, ServiceState};
use pipittack_core::api::{FailoverKind, ReplicaSetSnapshot, ServerSnapshot, StateSnapshot};
use rstest::rstest;
use serde::de::DeserializeOwned;
use serde::Serialize;

use support::{create_state_dir, start_proxy_with_config, wait_until, Proxy, EXAMPLE_CONFIG, TEST_TIMEOUT};

mod support;

const OUT_OF_SERVICE: &str = include_str!("fixtures/handover/servers_out_of_service.json");
const SNAPSHOT_FULL: &str = include_str!("fixtures/handover/routing_snapshot_full.json");
const SNAPSHOT_EMPTY: &str = include_str!("fixtures/handover/routing_snapshot_empty.json");
const SERVER_FULL: &str = include_str!("fixtures/handover/server_full.json");
const SERVER_EMPTY: &str = include_str!("fixtures/handover/server_empty.json");
const LIST_FULL: &str = include_str!("fixtures/handover/endpoint_list_full.json");

/// Size in bytes of a frame header: kind, length and checksum.
const HEADER_BYTES: usize = 9;
/// Frame with the hello of a successor. Builds since it was recorded send [`HELLO_WITH_ROLES`].
const HELLO: &[u8] = b"G\0\0\0\x19\xc9\x70\x14\xea{\"version\":2,\"name\":\"n0\"}";
/// Frame with the hello of a successor that knows ids of requests and roles on the peer channel. Older predecessors
/// ignore its last fields.
const HELLO_WITH_ROLES: &[u8] =
    b"G\0\0\0\x36\xee\xa4\x72\x66{\"version\":2,\"name\":\"n0\",\"executed\":true,\"roles\":true}";

/// Asserts that the recorded bytes are read as `value`, and that `value` is written as the recorded bytes.
fn assert_recorded<T: Serialize + DeserializeOwned + PartialEq + Debug>(recorded: &str, value: &T) {
    assert_eq!(serde_json::from_str::<T>(recorded).expect("the JSON can be parsed"), *value);
    assert_eq!(serde_json::to_string(value).expect("the value can be serialized"), recorded);
}

fn full_server() -> ServerSnapshot {
    ServerSnapshot {
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
    }
}

fn full_snapshot() -> StateSnapshot {
    let default_server = ServerSnapshot { server: 4_000_000_000, ..ServerSnapshot::default() };
    let session_tokens = vec![("basket-7".to_owned(), 99.0), ("\u{e9}\"".to_owned(), 1e-7)];
    StateSnapshot { session_floor: Some(90.75), session_tokens, servers: vec![full_server(), default_server] }
}

#[test]
fn recorded_snapshot_is_read_and_written_byte_for_byte() {
    assert_recorded(SNAPSHOT_FULL, &full_snapshot());
    assert_recorded(SNAPSHOT_EMPTY, &StateSnapshot::default());
}

#[test]
fn recorded_server_snapshot_is_read_and_written_byte_for_byte() {
    assert_recorded(SERVER_FULL, &full_server());
    assert_recorded(SERVER_EMPTY, &ServerSnapshot::default());
}

#[rstest]
#[case::planned(FailoverKind::Planned, r#""planned""#)]
#[case::unplanned(FailoverKind::Unplanned, r#""unplanned""#)]
fn recorded_failover_kind_is_read_and_written_byte_for_byte(
    #[case] kind: FailoverKind,
    #[case] recorded: &str,
) {
    assert_recorded(recorded, &kind);
    let replica_set = ReplicaSetSnapshot { epoch: u64::MAX, deposed: false, failover: Some((kind, 0.5)) };
    let recorded = format!(r#"{{"epoch":18446744073709551615,"deposed":false,"change":[{recorded},0.5]}}"#);
    assert_recorded(&recorded, &replica_set);
}

#[test]
fn replica_set_snapshot_without_a_failover_is_read_and_written_byte_for_byte() {
    assert_recorded(r#"{"epoch":0,"deposed":false,"change":null}"#, &ReplicaSetSnapshot::default());
}

#[test]
fn unknown_fields_of_a_snapshot_are_ignored() {
    let snapshot = SNAPSHOT_FULL.replace(r#"{"server""#, r#"{"later":{},"server""#);
    let snapshot = snapshot.replace(r#"{"floor""#, r#"{"later":1,"floor""#);
    let snapshot = snapshot.replace(r#"{"epoch""#, r#"{"later":[],"epoch""#);
    assert_eq!(snapshot.matches("later").count(), 5);
    assert_eq!(
        serde_json::from_str::<StateSnapshot>(&snapshot).expect("the JSON can be parsed"),
        full_snapshot()
    );
}

#[test]
fn absent_fields_of_a_snapshot_are_defaults() {
    assert_eq!(
        serde_json::from_str::<StateSnapshot>("{}").expect("the JSON can be parsed"),
        StateSnapshot::default()
    );
    assert_eq!(
        serde_json::from_str::<ServerSnapshot>("{}").expect("the JSON can be parsed"),
        ServerSnapshot::default()
    );
    let replica_set = serde_json::from_str::<ReplicaSetSnapshot>(r#"{"epoch":0,"deposed":false}"#);
    assert_eq!(replica_set.expect("the JSON can be parsed"), ReplicaSetSnapshot::default());
}

#[rstest]
#[case::no_epoch(r#"{"deposed":false}"#)]
#[case::no_deposed(r#"{"epoch":1}"#)]
#[case::unknown_failover_kind(r#"{"epoch":1,"deposed":false,"change":["later",0.5]}"#)]
fn invalid_replica_set_snapshots_are_rejected(#[case] content: &str) {
    assert!(serde_json::from_str::<ReplicaSetSnapshot>(content).is_err());
}

fn full_list() -> EndpointList {
    let full_endpoint = ListedEndpoint {
        name: "store-a".to_owned(),
        address: "10.0.0.1:5432".parse().expect("the address is valid"),
        zone: "eu-1a".to_owned(),
        machine_kind: "m5".to_owned(),
        group: 2,
        state: "Ready".to_owned(),
        relative_capacity: Some(1.5),
        started_unix_ms: 1_767_225_000_000.0,
        role: Some("read-write".to_owned()),
    };
    EndpointList { revision: 41, complete: true, endpoints: vec![full_endpoint, minimal_endpoint()] }
}

/// Returns an endpoint without optional fields.
fn minimal_endpoint() -> ListedEndpoint {
    ListedEndpoint {
        name: "store-b".to_owned(),
        address: "[::1]:5433".parse().expect("the address is valid"),
        zone: String::new(),
        machine_kind: String::new(),
        group: 0,
        state: "Gone".to_owned(),
        relative_capacity: None,
        started_unix_ms: 0.0,
        role: None,
    }
}

#[test]
fn recorded_endpoint_list_is_read_and_written_byte_for_byte() {
    assert_recorded(LIST_FULL, &full_list());
}

#[test]
fn absent_fields_of_an_endpoint_list_are_defaults_and_unknown_ones_are_ignored() {
    let list = r#"{"rev":5,"later":0,"targets":[{"uid":"store-b","endpoint":"[::1]:5433","state":"Gone","later":0}]}"#;
    let list: EndpointList = serde_json::from_str(list).expect("the JSON can be parsed");
    assert_eq!(list, EndpointList { revision: 5, complete: false, endpoints: vec![minimal_endpoint()] });
}

#[rstest]
#[case::no_revision(r#"{"all":true,"targets":[]}"#)]
#[case::no_name(r#"{"rev":1,"targets":[{"endpoint":"[::1]:5433","state":"Gone"}]}"#)]
#[case::no_address(r#"{"rev":1,"targets":[{"uid":"a","state":"Gone"}]}"#)]
#[case::no_state(r#"{"rev":1,"targets":[{"uid":"a","endpoint":"[::1]:5433"}]}"#)]
fn incomplete_endpoint_lists_are_rejected(#[case] content: &str) {
    assert!(serde_json::from_str::<EndpointList>(content).is_err());
}

/// Writes an out-of-service file into a state directory of its own, and returns the path of the file.
fn write_out_of_service_file(test: &str, content: &str) -> PathBuf {
    let state_dir = create_state_dir(test);
    let file = state_dir.join("pipittack-n0-127.0.0.1:0.json");
    fs::write(&file, content).expect("the file can be written");
    file
}

/// Returns the names of the files in a directory in alphabetical order.
fn file_names(dir: &Path) -> Vec<String> {
    let entries = fs::read_dir(dir).expect("the directory can be read");
    let name = |entry: fs::DirEntry| entry.file_name().into_string().expect("the name is UTF-8");
    let mut names: Vec<_> = entries.map(|entry| name(entry.expect("the entry can be read"))).collect();
    names.sort();
    names
}

/// Returns the changes in the recorded out-of-service file, in the order of the file.
fn recorded_changes() -> [ServiceChange; 2] {
    [out_of_service("store-a"), out_of_service("\u{e9} \"b\"")]
}

fn out_of_service(name: &str) -> ServiceChange {
    ServiceChange { name: name.to_owned(), state: ServiceState::OutOfService }
}

#[test]
fn recorded_out_of_service_file_is_read_and_written_byte_for_byte() {
    let file = write_out_of_service_file("out-of-service", OUT_OF_SERVICE);
    let servers = OutOfServiceList::new(Some(file.clone()));
    assert_eq!(servers.reload().expect("the file can be read"), recorded_changes());
    fs::remove_file(&file).expect("the file can be removed");
    servers.set("store-a", ServiceState::OutOfService).expect("the file can be written");
    assert_eq!(fs::read_to_string(&file).expect("the file can be read"), OUT_OF_SERVICE);
    assert_eq!(
        file_names(file.parent().expect("the file has a parent directory")),
        ["pipittack-n0-127.0.0.1:0.json"]
    );
}

#[test]
fn out_of_service_file_without_servers_has_an_empty_list() {
    let file = write_out_of_service_file("none-out-of-service", r#"{"offline":["store-a"]}"#);
    let servers = OutOfServiceList::new(Some(file.clone()));
    servers.set("store-a", ServiceState::InService).expect("the file can be written");
    assert_eq!(fs::read_to_string(&file).expect("the file can be read"), r#"{"offline":[]}"#);
}

#[test]
fn unknown_fields_of_an_out_of_service_file_are_ignored_and_dropped() {
    let file = write_out_of_service_file("unknown-out-of-service", r#"{"later":{},"offline":["store-a"]}"#);
    let servers = OutOfServiceList::new(Some(file.clone()));
    assert_eq!(servers.reload().expect("the file can be read"), [out_of_service("store-a")]);
    servers.set("store-b", ServiceState::OutOfService).expect("the file can be written");
    assert_eq!(
        fs::read_to_string(&file).expect("the file can be read"),
        r#"{"offline":["store-a","store-b"]}"#
    );
}

#[rstest]
#[case::no_list("no-list", "{}")]
#[case::empty("empty", "")]
fn invalid_out_of_service_files_are_rejected_and_kept(#[case] test: &str, #[case] content: &str) {
    let file = write_out_of_service_file(test, content);
    let servers = OutOfServiceList::new(Some(file.clone()));
    assert!(matches!(servers.reload(), Err(OutOfServiceError::Parse { .. })));
    let set = servers.set("store-a", ServiceState::OutOfService);
    assert!(matches!(set, Err(OutOfServiceError::Parse { .. })));
    assert_eq!(fs::read_to_string(&file).expect("the file can be read"), content);
}

/// A directory at the path of the temporary file makes the write fail, which shows that the write uses this
/// path.
#[test]
fn out_of_service_file_is_written_to_a_temporary_file_first() {
    let file = write_out_of_service_file("new-file", OUT_OF_SERVICE);
    let temporary_file = file.with_file_name(format!("pipittack-n0-127.0.0.1:0.new-{}", std::process::id()));
    fs::create_dir_all(&temporary_file).expect("the directory can be created");
    let servers = OutOfServiceList::new(Some(file.clone()));
    let set = servers.set("store-b", ServiceState::OutOfService);
    assert!(matches!(set, Err(OutOfServiceError::Write { .. })));
    fs::remove_dir(&temporary_file).expect("the directory is empty");
    assert!(servers.set("store-b", ServiceState::OutOfService).is_ok());
}

fn start_proxy_in(state_dir: &Path) -> Proxy {
    start_proxy_with_config(EXAMPLE_CONFIG, &[], Some(state_dir))
}

fn is_socket(path: &Path) -> bool {
    fs::metadata(path).is_ok_and(|file| file.file_type().is_socket())
}

/// Reads a frame. Returns its kind and its content.
fn read_frame(stream: &mut UnixStream) -> (u8, Vec<u8>) {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).expect("the frame has a header");
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
    let mut content = vec![0; length as usize];
    stream.read_exact(&mut content).expect("the frame has its content");
    (header[0], content)
}

fn with_read_timeout(stream: UnixStream) -> UnixStream {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("the read timeout can be set");
    stream
}

#[test]
fn successor_is_served_at_the_recorded_socket() {
    let state_dir = create_state_dir("successor");
    let _proxy = start_proxy_in(&state_dir);
    let socket = state_dir.join("pipittack-n0-127.0.0.1:0.2.sock");
    wait_until("the handover socket exists", || is_socket(&socket));
    assert_eq!(file_names(&state_dir), ["pipittack-n0-127.0.0.1:0.2.sock"]);
    let mut successor =
        with_read_timeout(UnixStream::connect(&socket).expect("the proxy listens at the handover socket"));
    successor.write_all(HELLO).expect("the predecessor keeps the connection open");
    assert_eq!(read_frame(&mut successor), (b'D', Vec::new()));
    assert_eq!(read_frame(&mut successor), (b'W', Vec::new()));
    let (kind, snapshot) = read_frame(&mut successor);
    assert_eq!(kind, b'S');
    assert!(snapshot.starts_with(br#"{"version":2,"zero_unix_ms":"#));
    successor.write_all(b"R\0\0\0\0\0\0\0\0").expect("the predecessor keeps the connection open");
    let (kind, limit) = read_frame(&mut successor);
    assert_eq!((kind, limit.len()), (b'P', 4));
}

/// Accepts the first connection within [`TEST_TIMEOUT`].
fn accept(listener: &UnixListener) -> UnixStream {
    listener.set_nonblocking(true).expect("the listener can be made non-blocking");
    let mut accepted = None;
    wait_until("a successor connects", || {
        accepted = listener.accept().ok();
        accepted.is_some()
    });
    let (stream, _) = accepted.expect("the connection was accepted");
    stream.set_nonblocking(false).expect("the stream can be made blocking");
    stream
}

#[rstest]
#[case::current("2.sock", HELLO_WITH_ROLES)]
#[case::legacy("sock", b"")]
fn predecessor_is_contacted_at_the_recorded_socket(#[case] suffix: &str, #[case] hello: &[u8]) {
    let state_dir = create_state_dir(&format!("hello-{suffix}"));
    let socket = state_dir.join(format!("pipittack-n0-127.0.0.1:0.{suffix}"));
    let _ = fs::remove_file(&socket); // an earlier run with the same process id may have left it
    let predecessor = UnixListener::bind(&socket).expect("the path is free");
    let proxy = std::thread::spawn(move || start_proxy_in(&state_dir));
    let stream = accept(&predecessor);
    let mut bytes = vec![0; hello.len()];
    with_read_timeout(stream).read_exact(&mut bytes).expect("the successor sends its hello");
    assert_eq!(bytes, hello);
    drop(proxy.join().expect("the proxy starts without the predecessor"));
}
