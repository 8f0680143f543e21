//! Tests of `deduplication`.

use rstest::rstest;

use super::*;

const WINDOW: Duration = Duration::from_secs(5);
const NOW: Duration = Duration::from_secs(1000);

fn key(id: &str, idempotency: Idempotency) -> RequestKey<'_> {
    RequestKey { client_request_id: id, group: GroupId(1), idempotency }
}

fn once(id: &str) -> RequestKey<'_> {
    key(id, Idempotency::NonIdempotent)
}

/// Returns a table in which an attempt of request 1 with id `a` has begun.
fn table_with_attempt(idempotency: Idempotency) -> DeduplicationTable {
    let mut table = DeduplicationTable::default();
    assert!(table.begin_attempt(RequestId(1), key("a", idempotency), NOW));
    table
}

#[test]
fn a_request_that_may_have_been_executed_is_not_executed_under_its_id_again() {
    let mut table = table_with_attempt(Idempotency::NonIdempotent);
    assert_eq!(table.permission(once("a"), NOW), RepeatPermission::Denied);
    assert_eq!(table.permission(once("b"), NOW), RepeatPermission::Allowed);
    assert!(!table.begin_attempt(RequestId(2), once("a"), NOW));
    assert!(table.begin_attempt(RequestId(1), once("a"), NOW), "retries are the engine's decision");
}

#[test]
fn an_id_is_free_once_every_attempt_is_known_not_to_have_been_executed() {
    let mut table = table_with_attempt(Idempotency::NonIdempotent);
    assert!(table.begin_attempt(RequestId(1), once("a"), NOW));
    table.attempt_not_executed(RequestId(1), "a");
    assert_eq!(table.permission(once("a"), NOW), RepeatPermission::Denied);
    table.attempt_not_executed(RequestId(2), "a");
    assert_eq!(table.permission(once("a"), NOW), RepeatPermission::Denied, "another request's attempt");
    table.attempt_not_executed(RequestId(1), "a");
    assert_eq!(table.permission(once("a"), NOW), RepeatPermission::Allowed);
}

#[test]
fn idempotent_requests_may_be_repeated_and_are_not_stored() {
    let table = table_with_attempt(Idempotency::Idempotent);
    assert_eq!(table.ids().count(), 0);
    let table = table_with_attempt(Idempotency::NonIdempotent);
    assert_eq!(table.permission(key("a", Idempotency::Idempotent), NOW), RepeatPermission::Allowed);
}

#[rstest]
#[case::every_server(KeyScope::All, 1, true)]
#[case::same_group(KeyScope::Group, 1, true)]
#[case::other_group(KeyScope::Group, 2, false)]
#[case::zone(KeyScope::Zone, 1, false)]
fn a_keyed_request_may_be_repeated_while_servers_remember_its_key(
    #[case] scope: KeyScope,
    #[case] group: u64,
    #[case] is_recognized: bool,
) {
    let idempotency = Idempotency::WithKey { scope, window: WINDOW };
    let table = table_with_attempt(idempotency);
    let repeat = RequestKey { group: GroupId(group), ..key("a", idempotency) };
    let forgotten_at = NOW + WINDOW - MAX_SEND_DELAY;
    let expected = match is_recognized {
        true => RepeatPermission::AllowedUntil(forgotten_at),
        false => RepeatPermission::Denied,
    };
    assert_eq!(table.permission(repeat, NOW + Duration::from_secs(1)), expected);
    assert_eq!(table.permission(repeat, forgotten_at), RepeatPermission::Denied);
}

#[test]
fn repeats_of_a_keyed_request_do_not_extend_its_window() {
    let idempotency = Idempotency::WithKey { scope: KeyScope::All, window: WINDOW };
    let mut table = table_with_attempt(idempotency);
    let later = NOW + Duration::from_secs(4);
    assert!(table.begin_attempt(RequestId(2), key("a", idempotency), later));
    assert!(!table.begin_attempt(RequestId(3), key("a", idempotency), NOW + WINDOW));
}

#[test]
fn a_request_of_the_peer_process_is_never_executed_again() {
    let idempotency = Idempotency::WithKey { scope: KeyScope::All, window: WINDOW };
    let mut table = table_with_attempt(idempotency);
    table.record_peer("a", NOW);
    table.record_peer("b", NOW);
    assert_eq!(table.permission(key("a", idempotency), NOW), RepeatPermission::Denied);
    assert!(!table.begin_attempt(RequestId(1), key("a", idempotency), NOW), "the peer has sent it as well");
    assert_eq!(table.permission(once("b"), NOW), RepeatPermission::Denied);
}

#[test]
fn ids_are_forgotten_after_their_time_and_beyond_the_limits() {
    let mut table = table_with_attempt(Idempotency::NonIdempotent);
    table.expire(NOW + RETENTION - Duration::from_millis(1));
    assert_eq!(table.ids().count(), 1);
    table.expire(NOW + RETENTION);
    assert_eq!((table.ids().count(), table.bytes, table.order.len()), (0, 0, 0));
    for number in 0..2 * MAX_IDS {
        assert!(table.begin_attempt(RequestId(number as u64), once(&format!("{number:x}")), NOW));
    }
    assert!(table.ids().count() <= MAX_IDS && table.bytes <= MAX_BYTES);
    let newest = format!("{:x}", 2 * MAX_IDS - 1);
    assert_eq!(table.permission(once(&newest), NOW), RepeatPermission::Denied);
}

#[test]
fn long_ids_are_recognized_here_and_in_the_peer_process_and_take_little_memory() {
    let long = "x".repeat(1 << 20);
    let mut table = DeduplicationTable::default();
    assert!(table.begin_attempt(RequestId(1), once(&long), NOW));
    assert!(table.bytes < 1024);
    let mut peer = DeduplicationTable::default();
    table.ids().for_each(|id| peer.record_peer(id, NOW));
    for known in [&table, &peer] {
        assert_eq!(known.permission(once(&long), NOW), RepeatPermission::Denied);
        assert_eq!(known.permission(once(&long[1..]), NOW), RepeatPermission::Allowed);
    }
}
