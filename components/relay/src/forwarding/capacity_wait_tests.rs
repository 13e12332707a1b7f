use super::*;

#[test]
fn call_waits_until_two_baselines_before_its_goal() {
    assert_eq!(latest_wait_end_ms(300, Some(60.0), 1_000), 1_180);
    assert_eq!(latest_wait_end_ms(300, None, 1_000), 1_150);
}

#[test]
fn call_that_cannot_meet_its_goal_does_not_wait() {
    assert_eq!(latest_wait_end_ms(100, Some(60.0), 1_000), 1_000);
}
