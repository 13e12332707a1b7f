use super::*;
use rstest::rstest;

fn paused(pause_ms: u64, jitter: f64) -> RetryAfterBackoff {
    let mut backoff = RetryAfterBackoff::default();
    backoff.record_pause(pause_ms, jitter, 1_000);
    backoff
}

#[test]
fn no_request_is_allowed_before_the_pause_ends() {
    let backoff = paused(3_000, 0.0);
    assert_eq!(backoff.remaining_ms(1_000), Some(3_000));
    assert_eq!(backoff.remaining_ms(3_999), Some(1));
    assert_eq!(backoff.remaining_ms(4_000), None);
}

#[test]
fn a_later_pause_extends_and_never_shortens_the_running_one() {
    let mut backoff = paused(3_000, 0.0);
    backoff.record_pause(500, 0.0, 1_200);
    assert_eq!(backoff.remaining_ms(1_200), Some(2_800));
    backoff.record_pause(4_000, 0.0, 2_000);
    assert_eq!(backoff.remaining_ms(2_000), Some(4_000));
}

#[test]
fn one_request_a_second_is_allowed_after_the_pause_until_one_is_accepted() {
    let mut backoff = paused(1_000, 0.0);
    backoff.record_sent(2_000);
    assert_eq!(backoff.remaining_ms(2_001), Some(999));
    assert_eq!(backoff.remaining_ms(3_000), None);
    backoff.record_sent(3_000);
    backoff.record_accepted(3_000);
    assert_eq!(backoff.remaining_ms(3_001), None);
    assert!(!backoff.is_on(3_001));
}

#[test]
fn an_answer_to_a_request_sent_before_the_pause_does_not_end_it() {
    let mut backoff = paused(1_000, 0.0);
    backoff.record_accepted(900);
    assert!(backoff.is_on(1_500));
    assert_eq!(backoff.remaining_ms(1_500), Some(500));
}

#[test]
fn jitter_spreads_the_return_of_boxes_paused_together() {
    let remaining: Vec<u64> = (0..10)
        .map(|at| {
            paused(3_000, f64::from(at) / 10.0)
                .remaining_ms(1_000)
                .unwrap()
        })
        .collect();
    assert!(
        remaining.windows(2).all(|two| two[0] < two[1]),
        "{remaining:?}"
    );
    assert!(remaining.iter().all(|ms| (3_000..=3_300).contains(ms)));
}

#[rstest]
#[case::none(0, None)]
#[case::beyond_the_maximum(u64::MAX, Some(PAUSE_MAX_MS))]
fn a_pause_is_cut_to_the_maximum(#[case] pause_ms: u64, #[case] remaining_ms: Option<u64>) {
    assert_eq!(paused(pause_ms, 0.0).remaining_ms(1_000), remaining_ms);
}
