//! Tests of `pipeline_overflow`.

use super::{PipelineOverflow, MAX_MESSAGES_PER_WRITE, MAX_RUNS, SENT_TOO_FAR_AHEAD};
use crate::net::buffers::BufferPool;

/// Returns an encoded message with a body of this length.
fn message(kind: u8, body_bytes: u32) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend((body_bytes + 4).to_be_bytes());
    bytes.resize(bytes.len() + body_bytes as usize, 0);
    bytes
}

/// Returns the overflow after these bytes have arrived in pieces of this size.
fn overflow(bytes: &[u8], piece_bytes: usize) -> PipelineOverflow {
    let pool = BufferPool::default();
    let mut overflow = PipelineOverflow::new(pool.chain(), SENT_TOO_FAR_AHEAD);
    for piece in bytes.chunks(piece_bytes) {
        overflow.received_mut().extend(piece);
        overflow.discard_received();
    }
    overflow
}

/// Returns the kinds of the messages of all responses, and whether they end the connection.
fn responses(overflow: &mut PipelineOverflow) -> (String, bool) {
    let mut kinds = String::new();
    loop {
        let rejections = overflow.next_rejections();
        let mut rest = rejections.bytes();
        while let [kind, a, b, c, d, ..] = *rest {
            kinds.push(char::from(kind));
            rest = &rest[1 + u32::from_be_bytes([a, b, c, d]) as usize..];
        }
        if rejections.ends_connection() || rejections.bytes().is_empty() {
            return (kinds, rejections.ends_connection());
        }
    }
}

#[test]
fn each_request_is_rejected_in_order_however_its_bytes_arrive() {
    let bytes = [message(b'Q', 30), message(b'S', 0), message(b'Q', 200_000), message(b'F', 9)].concat();
    for piece_bytes in [1, 7, 8192, bytes.len()] {
        let mut overflow = overflow(&bytes, piece_bytes);
        assert!(!overflow.is_over());
        assert_eq!(responses(&mut overflow), ("EZZEZEZ".to_owned(), false));
        assert!(overflow.is_over());
    }
}

#[test]
fn an_overflow_is_not_over_within_a_message() {
    let bytes = [message(b'Q', 30), message(b'Q', 90)].concat();
    let mut overflow = overflow(&bytes[..bytes.len() - 1], 64);
    assert_eq!(responses(&mut overflow), ("EZ".to_owned(), false));
    assert!(!overflow.is_over());
    overflow.received_mut().extend(&[0]);
    overflow.discard_received();
    assert_eq!(responses(&mut overflow), ("EZ".to_owned(), false));
    assert!(overflow.is_over());
}

#[test]
fn many_requests_take_little_memory_and_are_answered_in_several_writes() {
    let count = 10 * MAX_MESSAGES_PER_WRITE + 3;
    let mut overflow = overflow(&message(b'Q', 30).repeat(count), 8192);
    assert_eq!((overflow.runs.len(), overflow.next_rejections().count()), (1, MAX_MESSAGES_PER_WRITE));
    assert_eq!(responses(&mut overflow).0.len(), 2 * (count - MAX_MESSAGES_PER_WRITE));
}

#[test]
fn the_connection_ends_behind_what_cannot_be_remembered_or_parsed() {
    let alternating = [message(b'Q', 3), message(b'S', 0)].concat().repeat(MAX_RUNS);
    let (kinds, ends) = responses(&mut overflow(&alternating, 8192));
    assert_eq!((kinds.len(), ends), (MAX_RUNS / 2 * 3 + 1, true));
    let malformed = [message(b'Q', 3), vec![b'Q', 0, 0, 0, 1]].concat();
    assert_eq!(responses(&mut overflow(&malformed, 8192)), ("EZE".to_owned(), true));
    assert_eq!(responses(&mut overflow(&message(b'X', 0), 8192)), (String::new(), true));
}
