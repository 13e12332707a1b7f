use super::*;
use rstest::rstest;

fn asked(pause_ms: u64, draw: f64) -> RetryAfterBackoff {
    let mut backoff = RetryAfterBackoff::default();
    backoff.record_pause(pause_ms, draw, 1_000);
    backoff
}

#[test]
fn nothing_is_sent_before_the_pause_is_over() {
    let backoff = asked(3_000, 0.0);
    assert_eq!(backoff.remaining_ms(1_000), Some(3_000));
    assert_eq!(backoff.remaining_ms(3_999), Some(1));
    assert_eq!(backoff.remaining_ms(4_000), None);
}

#[test]
fn a_later_word_prolongs_a_pause_and_never_shortens_it() {
    let mut backoff = asked(3_000, 0.0);
    backoff.record_pause(500, 0.0, 1_200);
    assert_eq!(backoff.remaining_ms(1_200), Some(2_800));
    backoff.record_pause(4_000, 0.0, 2_000);
    assert_eq!(backoff.remaining_ms(2_000), Some(4_000));
}

#[test]
fn one_request_in_a_second_is_sent_after_the_pause_until_one_is_answered() {
    let mut backoff = asked(1_000, 0.0);
    backoff.record_sent(2_000);
    assert_eq!(backoff.remaining_ms(2_001), Some(999));
    assert_eq!(backoff.remaining_ms(3_000), None);
    backoff.record_sent(3_000);
    backoff.record_accepted(3_000);
    assert_eq!(backoff.remaining_ms(3_001), None);
    assert!(!backoff.is_on(3_001));
}

#[test]
fn an_answer_to_a_request_that_was_sent_before_ends_nothing() {
    let mut backoff = asked(1_000, 0.0);
    backoff.record_accepted(900);
    assert!(backoff.is_on(1_500));
    assert_eq!(backoff.remaining_ms(1_500), Some(500));
}

#[test]
fn boxes_that_were_asked_together_come_back_one_after_another() {
    let ends: Vec<u64> = (0..10)
        .map(|at| {
            asked(3_000, f64::from(at) / 10.0)
                .remaining_ms(1_000)
                .unwrap()
        })
        .collect();
    assert!(ends.windows(2).all(|two| two[0] < two[1]), "{ends:?}");
    assert!(ends.iter().all(|ms| (3_000..=3_300).contains(ms)));
}

#[rstest]
#[case::none(0, None)]
#[case::beyond_the_bound(u64::MAX, Some(PAUSE_MAX_MS))]
fn a_pause_is_bounded(#[case] pause_ms: u64, #[case] left_ms: Option<u64>) {
    assert_eq!(asked(pause_ms, 0.0).remaining_ms(1_000), left_ms);
}
