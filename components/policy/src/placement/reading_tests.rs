use super::*;
use slotmap::SlotMap;

fn keys<const N: usize>() -> [StreamKey; N] {
    let mut arena: SlotMap<StreamKey, ()> = SlotMap::with_key();
    std::array::from_fn(|_| arena.insert(()))
}

fn learnt(rate: f64) -> ReadingRate {
    let mut pool = ReadingRate::default();
    pool.observe(rate);
    pool
}

#[test]
fn prompts_are_read_one_after_another() {
    let [first, second] = keys();
    let pool = learnt(10.0);
    let mut reading = Reading::default();
    reading.sent(first, 1_000, 0);
    reading.sent(second, 2_000, 0);
    assert_eq!(reading.left_ms(&pool, 0), 300.0);
    assert_eq!(reading.left_ms(&pool, 60), 240.0);
}

#[test]
fn a_rate_is_learnt_within_some_prompts() {
    let all: [StreamKey; 12] = keys();
    let mut pool = learnt(10.0);
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
fn a_prompt_that_is_overdue_looks_the_longer_the_longer_it_is() {
    let [key] = keys();
    let pool = learnt(10.0);
    let mut reading = Reading::default();
    reading.sent(key, 1_000, 0);
    assert_eq!(reading.left_ms(&pool, 100), 0.0);
    assert_eq!(reading.left_ms(&pool, 400), 300.0);
}

#[test]
fn a_prompt_that_leaves_is_not_waited_for() {
    let [first, second] = keys();
    let pool = learnt(10.0);
    let mut reading = Reading::default();
    reading.sent(first, 1_000, 0);
    reading.sent(second, 500, 0);
    reading.left(first, 50);
    assert_eq!(reading.left_ms(&pool, 50), 50.0);
}

#[test]
fn absurd_prompts_are_bounded_in_what_they_teach() {
    let [first, second] = keys();
    let mut pool = learnt(10.0);
    let mut reading = Reading::default();
    reading.sent(first, u32::MAX, 0);
    reading.first_token(first, 1, &mut pool);
    assert!(pool.tokens_per_ms() <= 10.0 * RATE_SPAN);
    reading.sent(second, 1_000, 1);
    reading.first_token(second, 10_000_000, &mut pool);
    assert!(pool.tokens_per_ms() >= 10.0 / RATE_SPAN);
}
