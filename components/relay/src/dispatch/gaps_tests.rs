use super::*;

#[test]
fn tells_the_mean_and_the_longest_time_once() {
    let mut gaps = PendingGaps::default();
    gaps.record_slowness(250);
    for gap_ms in [30, 40, 110] {
        gaps.record_gap(gap_ms, 1);
    }
    let told = gaps.take();
    assert_eq!((told.events, told.mean_ms, told.longest_ms), (3, 60, 110));
    assert_eq!(told.slowness_percent, 250);
    assert_eq!(gaps.take(), GapsSeen::default());
}

#[test]
fn counts_events_that_came_together_as_so_many() {
    let mut gaps = PendingGaps::default();
    gaps.record_gap(90, 3);
    assert_eq!(gaps.take().mean_ms, 30);
}

#[test]
fn holds_a_stream_that_stood_for_minutes_to_the_longest_time_that_can_be_told() {
    let mut gaps = PendingGaps::default();
    gaps.record_gap(300_000, 1);
    assert_eq!(gaps.take().longest_ms, u16::MAX);
}
