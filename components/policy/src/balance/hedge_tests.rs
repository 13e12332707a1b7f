use super::*;
use rstest::rstest;

#[rstest]
#[case::nothing_is_known(300, None, 240)]
#[case::the_second_can_be_in_time(300, Some(60.0), 180)]
#[case::not_before_the_first_is_late(300, Some(75.0), 165)]
#[case::a_short_goal_is_not_spent_on_seconds(100, Some(60.0), 80)]
#[case::short_work_and_a_long_goal(1_000, Some(10.0), 800)]
fn a_second_try_begins_in_time(#[case] goal: u64, #[case] usual: Option<f64>, #[case] ms: u64) {
    assert_eq!(hedge_delay_ms(goal, usual), ms);
}
