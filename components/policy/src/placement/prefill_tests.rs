use super::*;
use slotmap::SlotMap;

fn keys<const N: usize>() -> [StreamKey; N] {
    let mut arena: SlotMap<StreamKey, ()> = SlotMap::with_key();
    std::array::from_fn(|_| arena.insert(()))
}

fn pool_rate(rate: f64) -> PrefillRate {
    let mut pool = PrefillRate::default();
    pool.observe(rate);
    pool
}

#[test]
fn prompts_are_prefilled_one_at_a_time() {
    let [first, second] = keys();
    let pool = pool_rate(10.0);
    let mut queue = PrefillQueue::default();
    queue.push(first, 1_000, 0);
    queue.push(second, 2_000, 0);
    assert_eq!(queue.remaining_ms(&pool, 0), 300.0);
    assert_eq!(queue.remaining_ms(&pool, 60), 240.0);
}

#[test]
fn the_rate_of_an_engine_converges_within_12_prompts() {
    let all: [StreamKey; 12] = keys();
    let mut pool = pool_rate(10.0);
    let mut queue = PrefillQueue::default();
    let mut now_ms = 0;
    for key in all {
        queue.push(key, 1_000, now_ms);
        now_ms += 200;
        queue.record_first_token(key, now_ms, &mut pool);
    }
    let rate = queue.tokens_per_ms(&pool);
    assert!((4.5..6.0).contains(&rate), "{rate}");
}

#[test]
fn an_overdue_prompt_is_expected_to_take_as_long_again() {
    let [key] = keys();
    let pool = pool_rate(10.0);
    let mut queue = PrefillQueue::default();
    queue.push(key, 1_000, 0);
    assert_eq!(queue.remaining_ms(&pool, 100), 0.0);
    assert_eq!(queue.remaining_ms(&pool, 400), 300.0);
}

#[test]
fn a_removed_prompt_does_not_delay_the_next() {
    let [first, second] = keys();
    let pool = pool_rate(10.0);
    let mut queue = PrefillQueue::default();
    queue.push(first, 1_000, 0);
    queue.push(second, 500, 0);
    queue.remove(first, 50);
    assert_eq!(queue.remaining_ms(&pool, 50), 50.0);
}

#[test]
fn extreme_observations_are_clamped() {
    let [first, second] = keys();
    let mut pool = pool_rate(10.0);
    let mut queue = PrefillQueue::default();
    queue.push(first, u32::MAX, 0);
    queue.record_first_token(first, 1, &mut pool);
    assert!(pool.tokens_per_ms() <= 10.0 * RATE_FACTOR_MAX);
    queue.push(second, 1_000, 1);
    queue.record_first_token(second, 10_000_000, &mut pool);
    assert!(pool.tokens_per_ms() >= 10.0 / RATE_FACTOR_MAX);
}
