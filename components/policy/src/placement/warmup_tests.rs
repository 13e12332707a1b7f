use super::*;
use rstest::rstest;

/// Requests that all boxes together send a cold target in each second, if each sends as soon as it
/// may.
fn sent(boxes: usize, rate_per_s: f64, seconds: u64) -> Vec<usize> {
    let jitter = |at: usize| (at as f64 + 0.5) / boxes as f64;
    let mut warmups: Vec<Warmup> = (0..boxes).map(|at| Warmup::new(jitter(at), 0)).collect();
    let mut each_second = vec![0; seconds as usize];
    for now_ms in (0..seconds * 1000).step_by(5) {
        for warmup in &mut warmups {
            if warmup.allows(rate_per_s, boxes, now_ms) {
                warmup.record_send(now_ms);
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
fn all_boxes_together_stay_within_the_cold_rate(#[case] boxes: usize) {
    let each_second = sent(boxes, 25.0, 6);
    assert!(
        each_second.iter().all(|count| *count <= 25),
        "{each_second:?}"
    );
    let mean = each_second.iter().sum::<usize>() as f64 / 6.0;
    assert!(mean > 12.0, "{each_second:?}");
}

#[test]
fn an_idle_box_sends_no_burst() {
    let mut warmup = Warmup::new(0.0, 0);
    warmup.record_send(60_000);
    assert!(!warmup.allows(25.0, 1, 60_001));
}
