use super::*;

#[test]
fn grants_no_more_than_its_rate_and_depth() {
    let mut bucket = TokenBucket::new(0.0, 0);
    let mut taken = 0;
    for now_ms in 0..10_000 {
        bucket.refill(3.0, 1.5, now_ms);
        taken += usize::from(bucket.try_take());
    }
    assert!((29..=30).contains(&taken), "{taken}");
    bucket.refill(3.0, 1.5, 60_000);
    assert!(bucket.try_take() && !bucket.try_take());
}

#[test]
fn a_token_taken_on_credit_delays_the_next_one() {
    let mut bucket = TokenBucket::new(0.0, 0);
    bucket.take_on_credit();
    assert_eq!(bucket.wait_ms(1.0, 2.0), 1_000);
    bucket.refill(2.0, 1.0, 900);
    assert!(!bucket.try_take());
    bucket.refill(2.0, 1.0, 1_000);
    assert!(bucket.try_take());
}

#[test]
fn a_clock_that_steps_back_adds_no_tokens_twice() {
    let mut bucket = TokenBucket::new(0.0, 1_000);
    bucket.refill(1.0, 5.0, 2_000);
    bucket.refill(1.0, 5.0, 1_500);
    bucket.refill(1.0, 5.0, 2_000);
    assert!(bucket.try_take() && !bucket.try_take());
}
