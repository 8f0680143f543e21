//! Tests of `session_tokens`.

use super::*;

#[test]
fn evicted_tokens_raise_the_session_floor() {
    let mut store = SessionTokenStore::default();
    store.start(10.0);
    assert_eq!(
        store.required_position(Some("a"), 11.0),
        10.0,
        "writes before the start of the process are unknown"
    );
    store.start(20.0);
    store.record_write("a".into(), 12.0);
    store.record_write("a".into(), 11.0);
    assert_eq!(store.required_position(Some("a"), 13.0), 12.0, "tokens never fall");
    store.evict_up_to(11.9);
    assert_eq!(
        (store.required_position(Some("a"), 13.0), store.required_position(Some("b"), 13.0)),
        (12.0, 10.0)
    );
    store.evict_up_to(12.5);
    assert_eq!(store.required_position(Some("b"), 13.0), 12.0, "the floor is the highest evicted token");
    assert_eq!(store.bytes, 0);
}

#[test]
fn while_a_peer_is_unreachable_every_session_may_have_just_written() {
    let mut store = SessionTokenStore::default();
    store.start(10.0);
    store.record_write("a".into(), 11.0);
    store.set_peer_unreachable(true, 12.0);
    assert_eq!(store.required_position(Some("a"), 13.0), 13.0);
    store.set_peer_unreachable(false, 14.0);
    assert_eq!(store.required_position(Some("a"), 15.0), 14.0);
    store.set_peer_unreachable(false, 20.0);
    assert_eq!(
        store.required_position(None, 21.0),
        14.0,
        "the peer was reachable, so the floor does not rise"
    );
}

#[test]
fn a_floor_in_the_future_requires_all_writes_up_to_now() {
    let mut store = SessionTokenStore::default();
    store.start(10.0);
    store.record_write("a".into(), 11.0);
    store.raise_floor_to(12.5);
    assert_eq!([12.0, 12.4, 13.0].map(|now| store.required_position(Some("a"), now)), [12.0, 12.4, 12.5]);
    store.record_write("a".into(), 12.6);
    assert_eq!(store.required_position(Some("a"), 13.0), 12.6);
}

#[test]
fn the_size_of_the_tokens_is_bounded_and_the_oldest_are_evicted() {
    let mut store = SessionTokenStore::default();
    let count = MAX_BYTES / (TOKEN_BYTES + 8) + 100;
    for number in 0..count {
        store.record_write(format!("{number:08}"), number as f64);
        assert!(store.bytes <= MAX_BYTES);
    }
    let newest = format!("{:08}", count - 1);
    assert_eq!(store.required_position(Some(&newest), 1e9), (count - 1) as f64);
    let floor = store.required_position(None, 1e9);
    assert!(floor > 0.4 * count as f64 && floor < 0.6 * count as f64, "{floor}");
    let counted_bytes: usize = store.tokens.keys().map(|session| session.len() + TOKEN_BYTES).sum();
    assert_eq!(counted_bytes, store.bytes);
}
