//! Tests of `session_tokens`.

use super::*;

#[test]
fn what_was_forgotten_still_binds_who_comes_later() {
    let mut sessions = SessionTokenStore::default();
    sessions.start(10.0);
    assert_eq!(
        sessions.required_position(Some("a"), 11.0),
        10.0,
        "a process can't know what was written before"
    );
    sessions.start(20.0);
    sessions.record_write("a".into(), 12.0);
    sessions.record_write("a".into(), 11.0);
    assert_eq!(sessions.required_position(Some("a"), 13.0), 12.0, "marks don't go back");
    sessions.forget_up_to(11.9);
    assert_eq!(
        (sessions.required_position(Some("a"), 13.0), sessions.required_position(Some("b"), 13.0)),
        (12.0, 10.0)
    );
    sessions.forget_up_to(12.5);
    assert_eq!(
        sessions.required_position(Some("b"), 13.0),
        12.0,
        "the floor is what was forgotten, and no more"
    );
    assert_eq!(sessions.bytes, 0);
}

#[test]
fn marks_that_cannot_be_heard_count_as_written_just_now() {
    let mut sessions = SessionTokenStore::default();
    sessions.start(10.0);
    sessions.record_write("a".into(), 11.0);
    sessions.set_peer_unreachable(true, 12.0);
    assert_eq!(sessions.required_position(Some("a"), 13.0), 13.0);
    sessions.set_peer_unreachable(false, 14.0);
    assert_eq!(sessions.required_position(Some("a"), 15.0), 14.0);
    sessions.set_peer_unreachable(false, 20.0);
    assert_eq!(sessions.required_position(None, 21.0), 14.0, "it was not blind again");
}

#[test]
fn while_in_doubt_every_session_may_have_written_just_now() {
    let mut sessions = SessionTokenStore::default();
    sessions.start(10.0);
    sessions.record_write("a".into(), 11.0);
    sessions.distrust_until(12.5);
    assert_eq!([12.0, 12.4, 13.0].map(|now| sessions.required_position(Some("a"), now)), [12.0, 12.4, 12.5]);
    sessions.record_write("a".into(), 12.6);
    assert_eq!(sessions.required_position(Some("a"), 13.0), 12.6);
}

#[test]
fn a_flood_of_sessions_keeps_to_its_bytes_and_forgets_the_oldest() {
    let mut sessions = SessionTokenStore::default();
    let most = BYTES_MOST / (MARK_BYTES + 8) + 100;
    for n in 0..most {
        sessions.record_write(format!("{n:08}"), n as f64);
        assert!(sessions.bytes <= BYTES_MOST);
    }
    let newest = format!("{:08}", most - 1);
    assert_eq!(sessions.required_position(Some(&newest), 1e9), (most - 1) as f64);
    let floor = sessions.required_position(None, 1e9);
    assert!(floor > 0.4 * most as f64 && floor < 0.6 * most as f64, "{floor}");
    let counted: usize = sessions.marks.keys().map(|session| session.len() + MARK_BYTES).sum();
    assert_eq!(counted, sessions.bytes);
}
