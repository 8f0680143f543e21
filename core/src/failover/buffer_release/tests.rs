//! Tests of `buffer_release`.

use super::*;

/// Sends writes while the release admits them and returns their number.
fn send_all_admitted(release: &mut BufferRelease) -> u32 {
    let mut count = 0;
    while release.admits() && count < 100 {
        release.write_sent();
        count += 1;
    }
    count
}

#[test]
fn one_write_is_sent_first_and_each_response_widens_the_window() {
    let mut release = BufferRelease::new(5.0);
    assert_eq!(send_all_admitted(&mut release), 1);
    release.write_served(4.0); // ignored, because the write was sent before the release
    assert_eq!(send_all_admitted(&mut release), 0);
    release.write_served(5.0);
    assert_eq!(send_all_admitted(&mut release), 6);
    release.write_failed(5.1);
    assert_eq!(
        send_all_admitted(&mut release),
        1,
        "a failed write frees its slot and does not widen the window"
    );
    for _ in 0..RESPONSES_UNTIL_COMPLETE {
        release.write_served(5.2);
    }
    assert!(release.is_complete());
    assert!(BufferRelease::completed(5.0).is_complete());
    assert_eq!(send_all_admitted(&mut BufferRelease::after_handover(5.0)), 6);
}

#[test]
fn every_fourth_request_is_a_read_once_a_write_was_served() {
    let count_read_turns = |release: &mut BufferRelease| {
        let mut turns = 0;
        for _ in 0..8 {
            turns += u32::from(release.is_read_turn());
            release.read_sent();
        }
        turns
    };
    let mut release = BufferRelease::new(0.0);
    assert_eq!(count_read_turns(&mut release), 0);
    release.write_served(0.0);
    assert_eq!(count_read_turns(&mut release), 2);
}
