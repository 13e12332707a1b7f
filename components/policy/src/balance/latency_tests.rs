use super::*;

#[test]
fn a_target_at_a_tenth_of_its_speed_is_seen_within_a_few_answers() {
    let mut pace = TargetLatency::default();
    for at in 0..4 {
        pace.record(600.0, 60.0, at * 300);
    }
    assert!(pace.ratio(1_200) > 2.0);
}

#[test]
fn one_odd_piece_of_work_says_little() {
    let mut pace = TargetLatency::default();
    for at in 0..10 {
        pace.record(60.0, 60.0, at * 100);
    }
    pace.record(3_000.0, 60.0, 1_000);
    assert!(pace.ratio(1_000) < 1.3);
}

#[test]
fn what_was_seen_long_ago_is_forgotten() {
    let mut pace = TargetLatency::default();
    for at in 0..10 {
        pace.record(240.0, 60.0, at * 100);
    }
    assert!(pace.ratio(1_000) > 2.5);
    assert!(pace.ratio(61_000) < 1.1);
}

#[test]
fn a_usual_time_is_known_after_some_answers() {
    let mut pace = RouteLatency::default();
    for _ in 0..4 {
        pace.record(80.0);
    }
    assert_eq!(pace.baseline_ms(), None);
    pace.record(80.0);
    assert_eq!(pace.baseline_ms(), Some(80.0));
}
