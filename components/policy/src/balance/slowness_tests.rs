use super::*;

#[test]
fn a_late_word_counts_from_when_it_was_said() {
    let mut slowness = Slowness::default();
    slowness.update(250, 500, 1_000);
    assert!(slowness.is_slow(1_100));
    assert!(!slowness.is_slow(1_300));
}

#[test]
fn an_older_word_does_not_replace_a_newer_one() {
    let mut slowness = Slowness::default();
    slowness.update(100, 0, 1_000);
    slowness.update(250, 300, 1_100);
    assert!(!slowness.is_slow(1_100));
}

#[test]
fn a_target_that_says_it_is_fast_gains_nothing() {
    let mut slowness = Slowness::default();
    slowness.update(50, 0, 1_000);
    assert_eq!(slowness.latency_ratio(1_000), 1.0);
}

#[test]
fn an_absurd_word_is_bounded() {
    let mut slowness = Slowness::default();
    slowness.update(9_000, 0, 1_000);
    assert_eq!(slowness.latency_ratio(1_000), 4.0);
}

#[test]
fn a_change_is_news_once() {
    let mut slowness = Slowness::default();
    assert!(slowness.is_change(250, 1_000));
    slowness.update(250, 0, 1_000);
    assert!(!slowness.is_change(250, 1_100));
    assert!(slowness.is_change(100, 1_100));
}
