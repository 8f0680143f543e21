//! Tests of `buffer_release`.

use super::*;

/// How many writes go out now.
fn burst(release: &mut BufferRelease) -> u32 {
    let mut count = 0;
    while release.admits() && count < 100 {
        release.took_place(true);
        count += 1;
    }
    count
}

#[test]
fn one_write_first_then_more_with_each_answer() {
    let mut release = BufferRelease::new(5.0);
    assert_eq!(burst(&mut release), 1);
    release.ended(4.0, true); // an older one
    assert_eq!(burst(&mut release), 0);
    release.ended(5.0, true);
    assert_eq!(burst(&mut release), 6);
    release.ended(5.1, false);
    assert_eq!(burst(&mut release), 1, "an end without an answer frees its place, no more");
    for _ in 0..DONE {
        release.ended(5.2, true);
    }
    assert!(release.is_done());
    assert!(BufferRelease::to_known(5.0).is_done());
    assert_eq!(burst(&mut BufferRelease::after_handover(5.0)), 6);
}

#[test]
fn reads_have_every_fourth_place_once_it_is_proved() {
    let turns = |release: &mut BufferRelease| {
        let mut turns = 0;
        for _ in 0..8 {
            turns += u32::from(release.is_reads_turn());
            release.took_place(false);
        }
        turns
    };
    let mut release = BufferRelease::new(0.0);
    assert_eq!(turns(&mut release), 0);
    release.ended(0.0, true);
    assert_eq!(turns(&mut release), 2);
}
