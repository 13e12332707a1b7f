use super::*;

/// Reports of a second each; every fifth contains a disturbance of 600 ms in which events take 2.5 times as long.
fn disturbed(reports: u32) -> DisturbanceStats {
    let mut stats = DisturbanceStats::default();
    for index in 0..reports {
        let is_disturbed = index % 5 == 0;
        stats.observe(&GapRatios {
            mean: if is_disturbed { 1.9 } else { 1.0 },
            longest: if is_disturbed { 2.5 } else { 1.02 },
            span_ms: 1_000.0,
        });
    }
    stats
}

#[test]
fn estimates_share_slowdown_and_duration() {
    let expected = disturbed(200)
        .expected(&DisturbanceStats::default())
        .unwrap();
    assert!((expected.slowdown - 2.5).abs() < 0.01);
    assert!((expected.share - 0.12).abs() < 0.02, "{expected:?}");
    assert!(
        (200.0..3_000.0).contains(&expected.duration_ms),
        "{expected:?}"
    );
}

#[test]
fn expects_the_disturbances_of_the_pool_at_an_unknown_engine() {
    let pool = disturbed(200);
    let expected = DisturbanceStats::default().expected(&pool).unwrap();
    assert!((expected.slowdown - 2.5).abs() < 0.01);
}

#[test]
fn expects_no_disturbance_if_none_was_observed() {
    let mut undisturbed = DisturbanceStats::default();
    for _ in 0..50 {
        undisturbed.observe(&GapRatios {
            mean: 1.05,
            longest: 1.3,
            span_ms: 1_000.0,
        });
    }
    assert_eq!(undisturbed.expected(&undisturbed), None);
}
