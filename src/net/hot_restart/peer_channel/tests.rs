//! Compatibility of the packet format of the peer channel, which a predecessor and a successor of different
//! builds share: compares the code with packets that were recorded at commit 985872a.

use super::PeerPacket;

const COMMIT: &[u8] = include_bytes!("../../../../tests/fixtures/handover/peer_commit.json");
const WITHDRAWN: &[u8] = br#"{"withdrawn":{"uid":"store-b"}}"#;
const EXECUTED: &[u8] = br#"{"executed":{"id":"9b1f"}}"#;
const ROLE: &[u8] = br#"{"role":{"uid":"store-b","primary":false}}"#;
const CLOSED: &[u8] = br#""over""#;

fn commit() -> PeerPacket {
    PeerPacket::SessionWrite {
        session: "basket \"7\"\n\u{1} \u{e9}".to_owned(),
        commit_ms: 1_767_225_600_123.5,
    }
}

fn withdrawn() -> PeerPacket {
    PeerPacket::ServerWithdrawn { name: "store-b".to_owned() }
}

fn executed() -> PeerPacket {
    PeerPacket::ExecutedId { client_request_id: "9b1f".to_owned() }
}

fn role() -> PeerPacket {
    PeerPacket::RoleReported { name: "store-b".to_owned(), is_primary: false }
}

fn decode(bytes: &[u8]) -> Option<PeerPacket> {
    serde_json::from_slice(bytes).ok()
}

#[test]
fn recorded_peer_packets_are_decoded_and_encoded_byte_for_byte() {
    let recorded_packets = [
        (COMMIT, commit()),
        (WITHDRAWN, withdrawn()),
        (EXECUTED, executed()),
        (ROLE, role()),
        (CLOSED, PeerPacket::Closed),
    ];
    for (recorded, packet) in recorded_packets {
        let encoded = serde_json::to_vec(&packet).expect("packet is serializable");
        assert_eq!(String::from_utf8_lossy(&encoded), String::from_utf8_lossy(recorded));
        assert_eq!(decode(recorded), Some(packet));
    }
}

#[test]
fn unknown_fields_of_a_peer_packet_are_ignored() {
    let commit = PeerPacket::SessionWrite { session: "a".to_owned(), commit_ms: 5.0 };
    assert_eq!(decode(br#"{"wrote":{"later":[1],"commit_ms":5,"session":"a"}}"#), Some(commit));
    assert_eq!(decode(br#"{"withdrawn":{"uid":"store-b","later":null}}"#), Some(withdrawn()));
}

#[test]
fn peer_packets_with_a_missing_field_or_an_unknown_kind_are_rejected() {
    let invalid: [&[u8]; 6] = [
        br#"{"wrote":{"session":"a"}}"#,
        br#"{"wrote":{"commit_ms":5.0}}"#,
        br#"{"withdrawn":{}}"#,
        br#""wrote""#,
        br#"{"later":{}}"#,
        b"",
    ];
    for bytes in invalid {
        assert_eq!(decode(bytes), None, "{}", String::from_utf8_lossy(bytes));
    }
}
