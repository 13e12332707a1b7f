use super::*;

#[test]
fn reports_mean_and_longest_gap_once() {
    let mut gaps = PendingGaps::default();
    gaps.record_slowness(250);
    for gap_ms in [30, 40, 110] {
        gaps.record_gap(gap_ms, 1);
    }
    let report = gaps.take();
    assert_eq!(
        (report.events, report.mean_ms, report.longest_ms),
        (3, 60, 110)
    );
    assert_eq!(report.slowness_percent, 250);
    assert_eq!(gaps.take(), GapsSeen::default());
}

#[test]
fn events_that_arrive_together_share_the_gap() {
    let mut gaps = PendingGaps::default();
    gaps.record_gap(90, 3);
    assert_eq!(gaps.take().mean_ms, 30);
}

#[test]
fn gap_of_minutes_saturates_at_the_largest_reported_value() {
    let mut gaps = PendingGaps::default();
    gaps.record_gap(300_000, 1);
    assert_eq!(gaps.take().longest_ms, u16::MAX);
}
