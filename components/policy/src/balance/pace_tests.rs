use super::*;

#[test]
fn a_target_at_a_tenth_of_its_speed_is_seen_within_a_few_answers() {
    let mut pace = TargetPace::default();
    for at in 0..4 {
        pace.took(600.0, 60.0, at * 300);
    }
    assert!(pace.share(1_200) > 2.0);
}

#[test]
fn one_odd_piece_of_work_says_little() {
    let mut pace = TargetPace::default();
    for at in 0..10 {
        pace.took(60.0, 60.0, at * 100);
    }
    pace.took(3_000.0, 60.0, 1_000);
    assert!(pace.share(1_000) < 1.3);
}

#[test]
fn what_was_seen_long_ago_is_forgotten() {
    let mut pace = TargetPace::default();
    for at in 0..10 {
        pace.took(240.0, 60.0, at * 100);
    }
    assert!(pace.share(1_000) > 2.5);
    assert!(pace.share(61_000) < 1.1);
}

#[test]
fn a_usual_time_is_known_after_some_answers() {
    let mut pace = RoutePace::default();
    for _ in 0..4 {
        pace.took(80.0);
    }
    assert_eq!(pace.usual_ms(), None);
    pace.took(80.0);
    assert_eq!(pace.usual_ms(), Some(80.0));
}
