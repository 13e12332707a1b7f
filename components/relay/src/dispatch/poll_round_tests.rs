use super::*;
use slotmap::SlotMap;
use std::collections::BTreeSet;

fn slots(count: usize) -> Vec<TargetSlot> {
    let mut arena: SlotMap<TargetSlot, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[test]
fn all_engines_of_a_small_pool_are_polled_in_each_round() {
    let ready = slots(POLLED_MAX);
    let mut round = PollRound::default();
    for _ in 0..3 {
        let mut polled = round.next(&ready, &ready[7..9]);
        polled.sort();
        assert_eq!(polled, ready);
    }
}

#[test]
fn polls_per_round_are_bounded_for_10_000_engines() {
    let ready = slots(10_000);
    let mut round = PollRound::default();
    for _ in 0..10 {
        assert_eq!(round.next(&ready, &ready[..5]).len(), POLLED_MAX);
    }
}

#[test]
fn engines_in_use_are_polled_in_each_round_and_others_in_turn() {
    let ready = slots(1_000);
    let in_use = &ready[500..520];
    let mut round = PollRound::default();
    let mut seen = BTreeSet::new();
    for _ in 0..1_000_usize.div_ceil(POLLED_MAX - in_use.len()) {
        let polled = round.next(&ready, in_use);
        assert!(in_use.iter().all(|slot| polled.contains(slot)));
        seen.extend(polled);
    }
    assert_eq!(seen.len(), 1_000);
}

#[test]
fn engines_in_use_beyond_the_limit_are_polled_in_turn() {
    let ready = slots(1_000);
    let mut round = PollRound::default();
    let mut seen = BTreeSet::new();
    for _ in 0..1_000_usize.div_ceil(POLLED_MAX) {
        let polled = round.next(&ready, &ready);
        assert!(polled.len() <= POLLED_MAX);
        seen.extend(polled);
    }
    assert_eq!(seen.len(), 1_000);
}
