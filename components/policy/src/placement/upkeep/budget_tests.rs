use super::*;
use prelude::BoxId;

const BAD: TargetId = TargetId(1);
const GOOD: TargetId = TargetId(2);
const OTHER: TargetId = TargetId(3);

fn permit(serial: u64) -> PermitId {
    PermitId {
        entry: BoxId(1),
        life: 0,
        serial,
    }
}

/// Whether an engine that was bad for so long may be left.
fn bad_for(budget: &mut Budget, engine: TargetId, from_ms: u64, for_ms: u64) -> bool {
    let mut is_bad = false;
    for at_ms in (from_ms..=from_ms + for_ms).step_by(250) {
        is_bad = budget.is_bad(engine, at_ms);
    }
    is_bad
}

#[test]
fn an_engine_that_is_bad_for_a_moment_is_not_left() {
    let mut budget = Budget::default();
    assert!(!bad_for(&mut budget, BAD, 0, 750));
    assert!(bad_for(&mut budget, BAD, 1_000, 1_000));
}

#[test]
fn an_engine_that_swings_is_never_bad_for_long() {
    let mut budget = Budget::default();
    for round in 0..20 {
        assert!(!bad_for(&mut budget, BAD, round * 2_000, 750));
    }
}

#[test]
fn one_generation_at_a_time_leaves_an_engine_or_goes_to_one() {
    let mut budget = Budget::default();
    assert!(bad_for(&mut budget, BAD, 0, 1_000));
    budget.begin(permit(1), BAD, GOOD, 1_000);
    assert!(!budget.is_bad(BAD, 1_000));
    assert!(!budget.may_come(GOOD, 1_000));
    assert!(budget.may_come(OTHER, 1_000));
}

#[test]
fn a_pool_bears_one_wish_for_each_eight_engines() {
    let mut budget = Budget::default();
    assert!(budget.bears_one_more(3, 0));
    budget.begin(permit(1), BAD, GOOD, 0);
    assert!(!budget.bears_one_more(15, 0));
    assert!(budget.bears_one_more(16, 0));
    assert!(!budget.bears_one_more(16, 1));
}

#[test]
fn nothing_comes_back_soon_to_an_engine_that_something_left() {
    let mut budget = Budget::default();
    budget.begin(permit(1), BAD, GOOD, 0);
    budget.end(permit(1), true, 500);
    assert!(!budget.may_come(BAD, 9_999));
    assert!(budget.may_come(BAD, 10_000));
}

#[test]
fn nothing_leaves_soon_an_engine_that_something_came_to() {
    let mut budget = Budget::default();
    budget.begin(permit(1), BAD, GOOD, 0);
    budget.end(permit(1), true, 500);
    assert!(!bad_for(&mut budget, GOOD, 0, 4_750));
    assert!(budget.is_bad(GOOD, 5_000));
}

#[test]
fn wishes_that_come_to_nothing_draw_the_time_out_until_the_next() {
    let mut budget = Budget::default();
    let mut now_ms = 0;
    let mut pauses_ms = Vec::new();
    for serial in 0..6 {
        budget.begin(permit(serial), BAD, TargetId(10 + serial), now_ms);
        budget.end(permit(serial), false, now_ms);
        let ended_ms = now_ms;
        while !budget.is_bad(BAD, now_ms) {
            now_ms += 250;
        }
        pauses_ms.push(now_ms - ended_ms);
    }
    assert_eq!(pauses_ms, [2_000, 4_000, 8_000, 16_000, 16_000, 16_000]);
    budget.begin(permit(9), BAD, GOOD, now_ms);
    budget.end(permit(9), true, now_ms);
    assert!(bad_for(&mut budget, BAD, now_ms, 1_000));
}

#[test]
fn a_wish_of_which_nothing_is_heard_ends() {
    let mut budget = Budget::default();
    budget.begin(permit(1), BAD, GOOD, 0);
    assert_eq!(budget.expire(|_| true, 2_499), 0);
    assert_eq!(budget.wished_to(permit(1)), Some(GOOD));
    assert_eq!(budget.expire(|_| true, 2_500), 1);
    assert_eq!(budget.wished_to(permit(1)), None);
}
