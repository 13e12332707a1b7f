use super::*;

/// How often a box reads records within 10 s while the store turns it away; it reads so many times less often than where
/// boxes are few.
fn reads_turned_away(times: u32) -> usize {
    let mut backoff = Backoff::with_long_pauses();
    let mut at = Duration::ZERO;
    let mut reads = 0;
    while at < Duration::from_secs(10) {
        reads += 1;
        at += pause_of_refused(&mut backoff, times);
    }
    reads
}

#[test]
fn the_more_boxes_there_are_the_less_often_each_asks_a_store_that_turns_it_away() {
    assert_eq!(reads_turned_away(1), 7);
    assert!(reads_turned_away(4) <= 5);
    assert!(reads_turned_away(16) <= 3);
}
