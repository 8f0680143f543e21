//! Tests of the receipt of client connections from a predecessor that sends malformed frames.

use rstest::rstest;
use tokio::net::UnixStream;

use super::*;
use crate::net::hot_restart::test_support::send_raw;

/// Frame with a client connection whose startup is complete.
const CLIENT: &[u8] = b"C\0\0\0\x01\xa5\x05\xdf\x1b\x01";

/// Sends frames to a successor, and returns the number of the clients that it takes over and how the handover
/// ends.
async fn receive_clients(frames: &[&[u8]]) -> (usize, Result<(), HandoverError>) {
    let (sender, receiver) = UnixStream::pair().expect("socket pair is created");
    for frame in frames {
        send_raw(&sender, frame, true);
    }
    drop(sender);
    let predecessor = Predecessor {
        protocol: Protocol::Current,
        state: None,
        peer_channel: None,
        stream: Rc::new(receiver),
    };
    let mut clients = 0;
    let end = predecessor.receive_each_client(|_| clients += 1).await;
    (clients, end)
}

#[tokio::test]
async fn a_client_with_a_wrong_checksum_is_lost_and_the_next_one_is_taken_over() {
    let damaged = b"C\0\0\0\x01\xa5\x05\xdf\x1c\x01";
    let (clients, end) = receive_clients(&[CLIENT, damaged, CLIENT]).await;
    assert!(end.is_ok(), "{end:?}");
    assert_eq!(clients, 2);
}

/// Guards against a successor that reads the payload of a frame that it does not know as further frames.
#[rstest]
#[case::unknown_kind(b"X\0\0\0\x0a\0\0\0\0", "unknown frame kind 0x58")]
#[case::too_long(b"C\xff\0\0\x0a\0\0\0\0", "frame payload is too long")]
#[tokio::test]
async fn a_frame_whose_end_is_unknown_ends_the_handover(#[case] header: &[u8], #[case] error: &str) {
    let (clients, end) = receive_clients(&[CLIENT, &[header, CLIENT].concat(), CLIENT]).await;
    assert_eq!(end.map_err(|e| e.to_string()), Err(error.to_owned()));
    assert_eq!(clients, 1);
}
