use super::QueryCounter;
use crate::net::buffers::{BufferChain, BufferPool};

/// Returns an encoded message of `length` bytes.
fn message(kind: u8, length: u32) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend((length - 1).to_be_bytes());
    bytes.resize(length as usize, 0);
    bytes
}

/// Removes a message and returns the count of the rest.
fn count_after_removal(counter: &mut QueryCounter, received: &mut BufferChain, bytes: usize) -> usize {
    counter.remove(received, bytes);
    received.split_to(bytes);
    counter.count(received)
}

#[test]
fn the_count_follows_messages_that_arrive_and_are_removed() {
    let mut counter = QueryCounter::default();
    let mut received = BufferPool::default().chain();
    assert_eq!(counter.count(&received), 0);
    received.extend(&[message(b'Q', 20), message(b'S', 5), message(b'Q', 9000)].concat());
    assert_eq!(counter.count(&received), 2);
    received.extend(&message(b'Q', 30)[..29]);
    assert_eq!(counter.count(&received), 2, "the last query is incomplete");
    received.extend(&[0]);
    assert_eq!(counter.count(&received), 3);
    assert_eq!(count_after_removal(&mut counter, &mut received, 20), 2);
    assert_eq!(count_after_removal(&mut counter, &mut received, 5), 2);
    assert_eq!(count_after_removal(&mut counter, &mut received, 9000), 1);
    assert_eq!(count_after_removal(&mut counter, &mut received, 30), 0);
}

#[test]
fn a_message_that_was_not_counted_can_be_removed() {
    let mut counter = QueryCounter::default();
    let mut received = BufferPool::default().chain();
    received.extend(&[message(b'Q', 20), message(b'Q', 25)].concat());
    assert_eq!(count_after_removal(&mut counter, &mut received, 20), 1);
}
