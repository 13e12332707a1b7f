use super::*;

/// The users' shortest bound for a change to be in force.
const BOUND_MS: u64 = 2_000;
/// What a box in another data centre, its read of the store and a slow moment take.
const READ_MS: u64 = 250;

#[test]
fn the_last_box_in_rank_looks_itself_within_the_shortest_bound() {
    const { assert!(QUIET_MS + TURN_MS * TURNS_MAX + READ_MS < BOUND_MS) };
    const { assert!(ALONE_MS + READ_MS < BOUND_MS) };
    const { assert!(QUIET_MS < ALONE_MS) };
}

#[test]
fn a_box_that_misses_one_word_leaves_it_to_those_that_follow() {
    const { assert!(QUIET_MS as u128 > 2 * CONFIRM_EACH.as_millis()) };
}

#[test]
fn views_that_are_followed_are_told_one_by_one() {
    let mut followed = Followed::default();
    assert!(!followed.any());
    followed.set(View::Targets, true);
    assert_eq!(followed.views().collect::<Vec<_>>(), [View::Targets]);
    followed.set(View::Declarations, true);
    followed.set(View::Targets, false);
    assert_eq!(followed.views().collect::<Vec<_>>(), [View::Declarations]);
}
