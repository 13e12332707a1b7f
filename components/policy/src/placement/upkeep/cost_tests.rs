use super::*;

const GOAL_MS: f64 = 180.0;
const EVENT_MS: f64 = 30.0;

#[test]
fn a_move_is_taken_to_keep_a_usual_goal_before_any_was_seen() {
    assert_eq!(MovePauses::default().beyond(GOAL_MS, EVENT_MS), 0.0);
    assert_eq!(MovePauses::default().beyond(PRIOR_MS, EVENT_MS), 1.0);
}

#[test]
fn moves_that_stood_still_for_long_make_the_next_look_worse() {
    let mut pauses = MovePauses::default();
    for _ in 0..KEPT * 2 {
        pauses.seen(400);
    }
    assert!(pauses.beyond(GOAL_MS, EVENT_MS) > 0.8);
    for _ in 0..KEPT {
        pauses.seen(20);
    }
    assert_eq!(pauses.beyond(GOAL_MS, EVENT_MS), 0.0);
}
