use super::*;

#[test]
fn a_delayed_report_expires_by_the_time_it_was_made() {
    let mut slowness = Slowness::default();
    slowness.update(250, 500, 1_000);
    assert!(slowness.is_slow(1_100));
    assert!(!slowness.is_slow(1_300));
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut slowness = Slowness::default();
    slowness.update(100, 0, 1_000);
    slowness.update(250, 300, 1_100);
    assert!(!slowness.is_slow(1_100));
}

#[test]
fn a_target_that_reports_to_be_fast_gains_nothing() {
    let mut slowness = Slowness::default();
    slowness.update(50, 0, 1_000);
    assert_eq!(slowness.latency_ratio(1_000), 1.0);
}

#[test]
fn an_absurdly_high_report_is_capped() {
    let mut slowness = Slowness::default();
    slowness.update(9_000, 0, 1_000);
    assert_eq!(slowness.latency_ratio(1_000), 4.0);
}

#[test]
fn a_change_is_only_reported_once() {
    let mut slowness = Slowness::default();
    assert!(slowness.is_change(250, 1_000));
    slowness.update(250, 0, 1_000);
    assert!(!slowness.is_change(250, 1_100));
    assert!(slowness.is_change(100, 1_100));
}
