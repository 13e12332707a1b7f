use super::*;

#[test]
fn call_waits_until_two_baselines_before_its_goal() {
    assert_eq!(longest_wait_ms(300, Some(60.0)), 180);
    assert_eq!(longest_wait_ms(300, None), 150);
}

#[test]
fn call_that_cannot_meet_its_goal_does_not_wait() {
    assert_eq!(longest_wait_ms(100, Some(60.0)), 0);
}
