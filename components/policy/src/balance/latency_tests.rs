use super::*;

#[test]
fn a_target_at_a_tenth_of_its_speed_is_detected_within_four_answers() {
    let mut latency = TargetLatency::default();
    for at in 0..4 {
        latency.record(600.0, 60.0, at * 300);
    }
    assert!(latency.ratio(1_200) > 2.0);
}

#[test]
fn a_single_long_call_changes_the_ratio_little() {
    let mut latency = TargetLatency::default();
    for at in 0..10 {
        latency.record(60.0, 60.0, at * 100);
    }
    latency.record(3_000.0, 60.0, 1_000);
    assert!(latency.ratio(1_000) < 1.3);
}

#[test]
fn old_observations_decay() {
    let mut latency = TargetLatency::default();
    for at in 0..10 {
        latency.record(240.0, 60.0, at * 100);
    }
    assert!(latency.ratio(1_000) > 2.5);
    assert!(latency.ratio(61_000) < 1.1);
}

#[test]
fn a_baseline_is_known_after_five_answers() {
    let mut latency = RouteLatency::default();
    for _ in 0..4 {
        latency.record(80.0);
    }
    assert_eq!(latency.baseline_ms(), None);
    latency.record(80.0);
    assert_eq!(latency.baseline_ms(), Some(80.0));
}
