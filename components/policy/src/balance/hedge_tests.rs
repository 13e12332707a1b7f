use super::*;
use rstest::rstest;

#[rstest]
#[case::without_a_baseline(300, None, 240)]
#[case::the_second_attempt_meets_the_goal(300, Some(60.0), 180)]
#[case::not_before_the_first_attempt_is_late(300, Some(75.0), 165)]
#[case::at_most_four_fifths_of_a_short_goal(100, Some(60.0), 80)]
#[case::at_most_four_fifths_of_a_long_goal(1_000, Some(10.0), 800)]
fn the_second_attempt_starts_in_time(
    #[case] goal: u64,
    #[case] baseline: Option<f64>,
    #[case] ms: u64,
) {
    assert_eq!(hedge_delay_ms(goal, baseline), ms);
}
