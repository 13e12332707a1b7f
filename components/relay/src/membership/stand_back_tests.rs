use super::*;
use rstest::rstest;

#[rstest]
#[case::alone(1, 0)]
#[case::one_of_two(2, 1)]
#[case::one_of_three(3, 1)]
#[case::a_quarter(62, 15)]
fn a_quarter_may_stand_back_and_never_all(#[case] ready: usize, #[case] most: usize) {
    let mut backs = StandBacks::default();
    let ids = 1..=ready as u32;
    let allowed = ids.filter(|id| backs.ask(BoxId(*id), ready, 0)).count();
    assert_eq!(allowed, most);
}

#[test]
fn a_permission_is_asked_for_again_and_runs_out() {
    let mut backs = StandBacks::default();
    assert!(backs.ask(BoxId(1), 3, 0));
    assert!(!backs.ask(BoxId(2), 3, 2_000));
    assert!(backs.ask(BoxId(1), 3, 4_000));
    assert!(!backs.ask(BoxId(2), 3, 7_000));
    assert!(backs.ask(BoxId(2), 3, 10_000));
    assert!(!backs.ask(BoxId(1), 3, 10_000));
}

#[test]
fn who_allowed_others_knows_it_until_that_runs_out() {
    let mut backs = StandBacks::default();
    assert!(backs.ask(BoxId(1), 3, 0));
    assert!(!backs.allows_others(BoxId(1), 0) && backs.allows_others(BoxId(2), 5_999));
    assert!(!backs.allows_others(BoxId(2), 6_000));
}

#[test]
fn it_is_taken_back_where_too_few_are_left() {
    let mut backs = StandBacks::default();
    assert!(backs.ask(BoxId(1), 8, 0) && backs.ask(BoxId(2), 8, 0));
    assert!(!backs.ask(BoxId(2), 4, 2_000));
    assert!(backs.ask(BoxId(1), 4, 2_000));
    assert!(!backs.ask(BoxId(1), 1, 4_000));
}
