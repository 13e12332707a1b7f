use super::*;
use slotmap::SlotMap;

fn keys<const N: usize>() -> [StreamKey; N] {
    let mut arena: SlotMap<StreamKey, ()> = SlotMap::with_key();
    std::array::from_fn(|_| arena.insert(()))
}

fn pool_rate(rate: f64) -> ReadingRate {
    let mut pool = ReadingRate::default();
    pool.observe(rate);
    pool
}

#[test]
fn prompts_are_prefilled_one_at_a_time() {
    let [first, second] = keys();
    let pool = pool_rate(10.0);
    let mut reading = Reading::default();
    reading.sent(first, 1_000, 0);
    reading.sent(second, 2_000, 0);
    assert_eq!(reading.left_ms(&pool, 0), 300.0);
    assert_eq!(reading.left_ms(&pool, 60), 240.0);
}

#[test]
fn the_rate_of_an_engine_converges_within_12_prompts() {
    let all: [StreamKey; 12] = keys();
    let mut pool = pool_rate(10.0);
    let mut reading = Reading::default();
    let mut now_ms = 0;
    for key in all {
        reading.sent(key, 1_000, now_ms);
        now_ms += 200;
        reading.first_token(key, now_ms, &mut pool);
    }
    let rate = reading.rate(&pool);
    assert!((4.5..6.0).contains(&rate), "{rate}");
}

#[test]
fn an_overdue_prompt_is_expected_to_take_as_long_again() {
    let [key] = keys();
    let pool = pool_rate(10.0);
    let mut reading = Reading::default();
    reading.sent(key, 1_000, 0);
    assert_eq!(reading.left_ms(&pool, 100), 0.0);
    assert_eq!(reading.left_ms(&pool, 400), 300.0);
}

#[test]
fn a_removed_prompt_does_not_delay_the_next() {
    let [first, second] = keys();
    let pool = pool_rate(10.0);
    let mut reading = Reading::default();
    reading.sent(first, 1_000, 0);
    reading.sent(second, 500, 0);
    reading.left(first, 50);
    assert_eq!(reading.left_ms(&pool, 50), 50.0);
}

#[test]
fn extreme_observations_are_clamped() {
    let [first, second] = keys();
    let mut pool = pool_rate(10.0);
    let mut reading = Reading::default();
    reading.sent(first, u32::MAX, 0);
    reading.first_token(first, 1, &mut pool);
    assert!(pool.tokens_per_ms() <= 10.0 * RATE_FACTOR_MAX);
    reading.sent(second, 1_000, 1);
    reading.first_token(second, 10_000_000, &mut pool);
    assert!(pool.tokens_per_ms() >= 10.0 / RATE_FACTOR_MAX);
}
