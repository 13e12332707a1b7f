use super::*;

/// Tellings of a second each; every fifth has a disturbance of 600 ms in which events take 2.5 times as long.
fn disturbed(tellings: u32) -> Disturbances {
    let mut seen = Disturbances::default();
    for at in 0..tellings {
        let hit = at % 5 == 0;
        seen.observe(&Excess {
            mean: if hit { 1.9 } else { 1.0 },
            longest: if hit { 2.5 } else { 1.02 },
            over_ms: 1_000.0,
        });
    }
    seen
}

#[test]
fn tells_share_and_strength_apart() {
    let expected = disturbed(200).expected(&Disturbances::default()).unwrap();
    assert!((expected.strength - 2.5).abs() < 0.01);
    assert!((expected.share - 0.12).abs() < 0.02, "{expected:?}");
    assert!(
        (200.0..3_000.0).contains(&expected.spell_ms),
        "{expected:?}"
    );
}

#[test]
fn expects_of_an_engine_that_is_not_known_what_its_pool_shows() {
    let pool = disturbed(200);
    let expected = Disturbances::default().expected(&pool).unwrap();
    assert!((expected.strength - 2.5).abs() < 0.01);
}

#[test]
fn expects_none_where_none_was_seen() {
    let mut calm = Disturbances::default();
    for _ in 0..50 {
        calm.observe(&Excess {
            mean: 1.05,
            longest: 1.3,
            over_ms: 1_000.0,
        });
    }
    assert_eq!(calm.expected(&calm), None);
}
