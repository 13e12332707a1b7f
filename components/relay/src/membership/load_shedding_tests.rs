use super::*;
use rstest::rstest;

#[rstest]
#[case::alone(1, 0)]
#[case::one_of_two(2, 1)]
#[case::one_of_three(3, 1)]
#[case::a_quarter(62, 15)]
fn a_quarter_may_stand_back_and_never_all(#[case] ready: usize, #[case] most: usize) {
    let mut backs = LoadShedding::default();
    let ids = 1..=ready as u32;
    let allowed = ids
        .filter(|id| backs.try_acquire(BoxId(*id), ready, 0))
        .count();
    assert_eq!(allowed, most);
}

#[test]
fn a_permission_is_asked_for_again_and_runs_out() {
    let mut backs = LoadShedding::default();
    assert!(backs.try_acquire(BoxId(1), 3, 0));
    assert!(!backs.try_acquire(BoxId(2), 3, 2_000));
    assert!(backs.try_acquire(BoxId(1), 3, 4_000));
    assert!(!backs.try_acquire(BoxId(2), 3, 7_000));
    assert!(backs.try_acquire(BoxId(2), 3, 10_000));
    assert!(!backs.try_acquire(BoxId(1), 3, 10_000));
}

#[test]
fn who_allowed_others_knows_it_until_that_runs_out() {
    let mut backs = LoadShedding::default();
    assert!(backs.try_acquire(BoxId(1), 3, 0));
    assert!(
        !backs.is_granted_to_others(BoxId(1), 0) && backs.is_granted_to_others(BoxId(2), 5_999)
    );
    assert!(!backs.is_granted_to_others(BoxId(2), 6_000));
}

#[test]
fn it_is_taken_back_where_too_few_are_left() {
    let mut backs = LoadShedding::default();
    assert!(backs.try_acquire(BoxId(1), 8, 0) && backs.try_acquire(BoxId(2), 8, 0));
    assert!(!backs.try_acquire(BoxId(2), 4, 2_000));
    assert!(backs.try_acquire(BoxId(1), 4, 2_000));
    assert!(!backs.try_acquire(BoxId(1), 1, 4_000));
}
