use super::*;
use slotmap::SlotMap;
use std::collections::BTreeSet;

fn slots(count: usize) -> Vec<TargetSlot> {
    let mut arena: SlotMap<TargetSlot, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[test]
fn all_engines_of_a_small_pool_are_asked_at_each_look() {
    let ready = slots(POLLED_MAX);
    let mut round = PollRound::default();
    for _ in 0..3 {
        let mut asked = round.next(&ready, &ready[7..9]);
        asked.sort();
        assert_eq!(asked, ready);
    }
}

#[test]
fn of_10_000_engines_a_bounded_number_is_asked_at_each_look() {
    let ready = slots(10_000);
    let mut round = PollRound::default();
    for _ in 0..10 {
        assert_eq!(round.next(&ready, &ready[..5]).len(), POLLED_MAX);
    }
}

#[test]
fn engines_that_run_something_of_the_box_are_asked_at_each_look_and_the_others_in_turn() {
    let ready = slots(1_000);
    let in_use = &ready[500..520];
    let mut round = PollRound::default();
    let mut seen = BTreeSet::new();
    for _ in 0..1_000_usize.div_ceil(POLLED_MAX - in_use.len()) {
        let asked = round.next(&ready, in_use);
        assert!(in_use.iter().all(|slot| asked.contains(slot)));
        seen.extend(asked);
    }
    assert_eq!(seen.len(), 1_000);
}

#[test]
fn where_many_run_something_of_the_box_they_are_asked_in_turn_too() {
    let ready = slots(1_000);
    let mut round = PollRound::default();
    let mut seen = BTreeSet::new();
    for _ in 0..1_000_usize.div_ceil(POLLED_MAX) {
        let asked = round.next(&ready, &ready);
        assert!(asked.len() <= POLLED_MAX);
        seen.extend(asked);
    }
    assert_eq!(seen.len(), 1_000);
}
