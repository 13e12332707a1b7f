use super::*;
use rstest::rstest;

/// Requests that all boxes together send a cold target in its first seconds, where each sends what it may.
fn sent(boxes: usize, rate_per_s: f64, seconds: u64) -> Vec<usize> {
    let draw = |at: usize| (at as f64 + 0.5) / boxes as f64;
    let mut parts: Vec<Warmup> = (0..boxes).map(|at| Warmup::new(draw(at), 0)).collect();
    let mut each_second = vec![0; seconds as usize];
    for now_ms in (0..seconds * 1000).step_by(5) {
        for part in &mut parts {
            if part.allows(rate_per_s, boxes, now_ms) {
                part.sent(now_ms);
                each_second[(now_ms / 1000) as usize] += 1;
            }
        }
    }
    each_second
}

#[rstest]
#[case(1)]
#[case(8)]
#[case(62)]
#[case(195)]
fn all_boxes_together_stay_within_what_a_cold_target_bears(#[case] boxes: usize) {
    let each_second = sent(boxes, 25.0, 6);
    assert!(
        each_second.iter().all(|count| *count <= 25),
        "{each_second:?}"
    );
    let mean = each_second.iter().sum::<usize>() as f64 / 6.0;
    assert!(mean > 12.0, "{each_second:?}");
}

#[test]
fn a_box_that_waited_for_long_sends_no_burst() {
    let mut part = Warmup::new(0.0, 0);
    part.sent(60_000);
    assert!(!part.allows(25.0, 1, 60_001));
}
