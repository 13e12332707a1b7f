use super::*;

fn seen(ratio: f64) -> CompletionSample {
    CompletionSample {
        guess_tokens: Some(100),
        tokens: (100.0 * ratio) as u32,
        first_token_ms: 500,
        total_ms: 500 + (1_000.0 * ratio) as u64,
    }
}

#[test]
fn a_guess_that_fits_twice_over_is_likely_to_end_and_one_that_does_not_fit_is_not() {
    let outlook = CompletionEstimator::default();
    assert!(outlook.completion_probability(Some(100), 10_000, 6_000) > 0.8);
    assert!(outlook.completion_probability(Some(2_000), 10_000, 6_000) < 0.2);
}

#[test]
fn the_longest_answer_that_fits_is_sure_to_end() {
    assert_eq!(
        CompletionEstimator::default().completion_probability(None, 100, 6_000),
        1.0
    );
    assert_eq!(
        CompletionEstimator::default().completion_probability(None, 5_000, 6_000),
        0.0
    );
}

#[test]
fn learns_from_answers_that_were_all_longer_than_guessed() {
    let mut outlook = CompletionEstimator::default();
    for _ in 0..REMEMBERED_MAX {
        outlook.record(seen(3.0));
    }
    // 500 ms and 10 ms a token leave room for 250 tokens.
    assert_eq!(
        outlook.completion_probability(Some(100), 10_000, 3_000),
        0.0
    );
    assert_eq!(outlook.completion_probability(Some(50), 10_000, 3_000), 1.0);
}

#[test]
fn a_generation_waits_for_as_long_as_its_first_token_may_still_be_in_time() {
    let mut outlook = CompletionEstimator::default();
    assert_eq!(outlook.max_wait_ms(1_800), 1_300);
    for _ in 0..200 {
        outlook.record(CompletionSample {
            first_token_ms: 900,
            ..seen(1.0)
        });
    }
    let waits_ms = outlook.max_wait_ms(1_800);
    assert!((895..=905).contains(&waits_ms), "{waits_ms}");
    // Engines are slower than the goal: what is not begun nearly at once is refused.
    assert_eq!(outlook.max_wait_ms(600), 60);
}
