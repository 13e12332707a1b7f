use super::*;
use rstest::rstest;

#[rstest]
#[case::alone(1, 0)]
#[case::one_of_two(2, 1)]
#[case::one_of_three(3, 1)]
#[case::a_quarter(62, 15)]
fn a_quarter_of_the_boxes_may_shed_load_but_never_all(
    #[case] ready: usize,
    #[case] max_granted: usize,
) {
    let mut shedding = LoadShedding::default();
    let ids = 1..=ready as u32;
    let granted = ids
        .filter(|id| shedding.try_acquire(BoxId(*id), ready, 0))
        .count();
    assert_eq!(granted, max_granted);
}

#[test]
fn permission_can_be_renewed_and_expires() {
    let mut shedding = LoadShedding::default();
    assert!(shedding.try_acquire(BoxId(1), 3, 0));
    assert!(!shedding.try_acquire(BoxId(2), 3, 2_000));
    assert!(shedding.try_acquire(BoxId(1), 3, 4_000));
    assert!(!shedding.try_acquire(BoxId(2), 3, 7_000));
    assert!(shedding.try_acquire(BoxId(2), 3, 10_000));
    assert!(!shedding.try_acquire(BoxId(1), 3, 10_000));
}

#[test]
fn grant_to_another_box_is_known_until_it_expires() {
    let mut shedding = LoadShedding::default();
    assert!(shedding.try_acquire(BoxId(1), 3, 0));
    assert!(
        !shedding.is_granted_to_others(BoxId(1), 0)
            && shedding.is_granted_to_others(BoxId(2), 5_999)
    );
    assert!(!shedding.is_granted_to_others(BoxId(2), 6_000));
}

#[test]
fn renewal_is_refused_when_too_few_boxes_are_left() {
    let mut shedding = LoadShedding::default();
    assert!(shedding.try_acquire(BoxId(1), 8, 0) && shedding.try_acquire(BoxId(2), 8, 0));
    assert!(!shedding.try_acquire(BoxId(2), 4, 2_000));
    assert!(shedding.try_acquire(BoxId(1), 4, 2_000));
    assert!(!shedding.try_acquire(BoxId(1), 1, 4_000));
}
