use super::*;

/// How long a box treats a target as full after a refusal.
const FULL_MS: u64 = 100;

/// Simulates boxes that each send a call to one target every few milliseconds; the target accepts `capacity` calls at a
/// time. Boxes with limits hold calls back while the target is full; those without send them, as they have no other
/// target. Returns the share of calls refused and the share of the capacity used, after the first second.
fn simulate(boxes: usize, capacity: u32, has_limits: bool) -> (f64, f64) {
    let mut limits = vec![ConcurrencyLimit::default(); boxes];
    let mut full_until_ms = vec![0; boxes];
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); boxes];
    let (mut sent, mut refused, mut used, mut samples) = (0, 0, 0, 0);
    for now_ms in 0..10_000_u64 {
        for box_index in 0..boxes {
            let open = ends[box_index].len() as u32;
            let ended = ends[box_index].iter().filter(|end| **end <= now_ms).count() as u32;
            ends[box_index].retain(|end| *end > now_ms);
            for answered in 0..ended {
                limits[box_index].record_answer(open - answered - 1);
            }
        }
        let box_index = now_ms as usize % boxes;
        let open = ends[box_index].len() as u32;
        let total: usize = ends.iter().map(Vec::len).sum();
        let is_counted = now_ms >= 1_000;
        samples += u32::from(is_counted);
        used += if is_counted { total as u32 } else { 0 };
        let is_blocked = now_ms < full_until_ms[box_index] || !limits[box_index].has_room(open);
        if has_limits && is_blocked {
            continue;
        }
        sent += u32::from(is_counted);
        if total as u32 >= capacity {
            refused += u32::from(is_counted);
            limits[box_index].record_refusal(open, now_ms);
            full_until_ms[box_index] = now_ms + FULL_MS;
            continue;
        }
        ends[box_index].push(now_ms + 50);
    }
    let used_share = f64::from(used) / f64::from(samples) / f64::from(capacity);
    (f64::from(refused) / f64::from(sent), used_share)
}

#[test]
fn boxes_that_see_only_their_own_calls_share_a_full_target_with_few_refusals() {
    let (without, _) = simulate(4, 24, false);
    let (with, used) = simulate(4, 24, true);
    assert!(without > 0.4, "{without}");
    assert!(with < 0.1, "{with}");
    assert!(used > 0.7, "{used} {with} {without}");
}

#[test]
fn there_is_no_limit_before_a_refusal() {
    let limit = ConcurrencyLimit::default();
    assert!(limit.has_room(200));
    assert_eq!(limit.max_calls(), None);
}

#[test]
fn one_call_is_always_allowed() {
    let mut limit = ConcurrencyLimit::default();
    for round in 0..50 {
        limit.record_refusal(0, round * 200);
    }
    assert!(limit.has_room(0));
    assert!(!limit.has_room(1));
}

#[test]
fn refusals_of_calls_sent_together_decrease_the_limit_once() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..10 {
        limit.record_refusal(20, 1_000);
    }
    assert_eq!(limit.max_calls(), Some(17.0));
}
