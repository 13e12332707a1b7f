use super::*;

fn sample(ratio: f64) -> CompletionSample {
    CompletionSample {
        guess_tokens: Some(100),
        tokens: (100.0 * ratio) as u32,
        first_token_ms: 500,
        total_ms: 500 + (1_000.0 * ratio) as u64,
    }
}

#[test]
fn guess_far_within_the_time_is_likely_to_finish_and_one_beyond_it_is_not() {
    let estimator = CompletionEstimator::default();
    assert!(estimator.completion_probability(Some(100), 10_000, 6_000) > 0.8);
    assert!(estimator.completion_probability(Some(2_000), 10_000, 6_000) < 0.2);
}

#[test]
fn answer_finishes_for_certain_if_its_maximum_length_fits() {
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
fn probability_follows_answers_longer_than_guessed() {
    let mut estimator = CompletionEstimator::default();
    for _ in 0..REMEMBERED_MAX {
        estimator.record(sample(3.0));
    }
    // 500 ms to the first token and 10 ms per token allow 250 tokens.
    assert_eq!(
        estimator.completion_probability(Some(100), 10_000, 3_000),
        0.0
    );
    assert_eq!(
        estimator.completion_probability(Some(50), 10_000, 3_000),
        1.0
    );
}

#[test]
fn max_wait_leaves_time_for_the_first_token() {
    let mut estimator = CompletionEstimator::default();
    assert_eq!(estimator.max_wait_ms(1_800), 1_300);
    for _ in 0..200 {
        estimator.record(CompletionSample {
            first_token_ms: 900,
            ..sample(1.0)
        });
    }
    let waits_ms = estimator.max_wait_ms(1_800);
    assert!((895..=905).contains(&waits_ms), "{waits_ms}");
    // Engines are slower than the goal, so that only the minimum wait remains.
    assert_eq!(estimator.max_wait_ms(600), 60);
}

#[test]
fn slowest_pace_is_that_of_recent_generations() {
    let mut estimator = CompletionEstimator::default();
    assert_eq!(estimator.slowest_token_ms(), 0.0);
    let slow = CompletionSample {
        guess_tokens: None,
        tokens: 101,
        first_token_ms: 500,
        total_ms: 5_500,
    };
    estimator.record(slow);
    estimator.record(CompletionSample {
        total_ms: 1_500,
        ..slow
    });
    assert_eq!(estimator.slowest_token_ms(), 50.0);
    for _ in 0..REMEMBERED_MAX {
        estimator.record(CompletionSample {
            total_ms: 1_500,
            ..slow
        });
    }
    assert_eq!(estimator.slowest_token_ms(), 10.0);
}

#[test]
fn safe_time_is_twice_that_of_the_slowest_generation_once_enough_are_known() {
    let mut estimator = CompletionEstimator::default();
    let sample = CompletionSample {
        guess_tokens: None,
        tokens: 101,
        first_token_ms: 500,
        total_ms: 1_500,
    };
    (1..SAFE_SAMPLES_MIN).for_each(|_| estimator.record(sample));
    assert_eq!(estimator.safe_duration_ms(100), None);
    estimator.record(sample);
    assert_eq!(estimator.safe_duration_ms(100), Some(3_000));
    assert_eq!(estimator.typical_stream_ms(), Some(1_000));
}
