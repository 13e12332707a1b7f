use super::*;

/// How long a box believes that a target is full, by its word.
const FULL_MS: u64 = 100;

/// Boxes that each want one more call at one target every few milliseconds; the target takes `room` at once. A box with
/// limits lets calls wait while the target is full; one without sends them, as it has no other target. The shares of
/// calls refused, and of the room used, after the first second.
fn play(boxes: usize, room: u32, limited: bool) -> (f64, f64) {
    let mut limits = vec![ConcurrencyLimit::default(); boxes];
    let mut full_until_ms = vec![0; boxes];
    let mut ends: Vec<Vec<u64>> = vec![Vec::new(); boxes];
    let (mut sent, mut refused, mut used, mut looks) = (0, 0, 0, 0);
    for now_ms in 0..10_000_u64 {
        for at in 0..boxes {
            let open = ends[at].len() as u32;
            let over = ends[at].iter().filter(|end| **end <= now_ms).count() as u32;
            ends[at].retain(|end| *end > now_ms);
            for left in 0..over {
                limits[at].record_answer(open - left - 1);
            }
        }
        let at = now_ms as usize % boxes;
        let open = ends[at].len() as u32;
        let all: usize = ends.iter().map(Vec::len).sum();
        let counts = now_ms >= 1_000;
        looks += u32::from(counts);
        used += if counts { all as u32 } else { 0 };
        let waits = now_ms < full_until_ms[at] || !limits[at].has_room(open);
        if limited && waits {
            continue;
        }
        sent += u32::from(counts);
        if all as u32 >= room {
            refused += u32::from(counts);
            limits[at].record_refusal(open, now_ms);
            full_until_ms[at] = now_ms + FULL_MS;
            continue;
        }
        ends[at].push(now_ms + 50);
    }
    let used_share = f64::from(used) / f64::from(looks) / f64::from(room);
    (f64::from(refused) / f64::from(sent), used_share)
}

#[test]
fn boxes_that_see_only_their_own_calls_share_a_full_target_with_few_refusals() {
    let (without, _) = play(4, 24, false);
    let (with, used) = play(4, 24, true);
    assert!(without > 0.4, "{without}");
    assert!(with < 0.1, "{with}");
    assert!(used > 0.7, "{used} {with} {without}");
}

#[test]
fn nothing_is_bounded_before_a_refusal() {
    let limit = ConcurrencyLimit::default();
    assert!(limit.has_room(200));
    assert_eq!(limit.max_calls(), None);
}

#[test]
fn one_call_always_has_room() {
    let mut limit = ConcurrencyLimit::default();
    for at in 0..50 {
        limit.record_refusal(0, at * 200);
    }
    assert!(limit.has_room(0));
    assert!(!limit.has_room(1));
}

#[test]
fn refusals_of_calls_sent_together_are_one_word() {
    let mut limit = ConcurrencyLimit::default();
    for _ in 0..10 {
        limit.record_refusal(20, 1_000);
    }
    assert_eq!(limit.max_calls(), Some(17.0));
}
