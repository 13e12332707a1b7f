use super::*;
use rstest::rstest;

/// Whether a loop is overrun after such wakes.
fn after(meter: &mut LagMeter, wakes: &[(usize, u64)]) -> bool {
    let late = wakes
        .iter()
        .flat_map(|(count, late_ms)| std::iter::repeat_n(*late_ms, *count));
    late.fold(false, |_, late_ms| meter.woke(late_ms))
}

#[rstest]
#[case::calm(&[(40, 2)], false)]
#[case::frozen_for_seconds(&[(20, 0), (1, 8_000), (3, 0)], false)]
#[case::frozen_at_its_start(&[(1, 8_000)], false)]
#[case::a_burst(&[(20, 0), (5, 90)], false)]
#[case::always_late(&[(20, 30)], true)]
#[case::late_half_of_the_time(&[(20, 0), (10, 60)], true)]
fn the_mean_of_two_seconds_decides(#[case] wakes: &[(usize, u64)], #[case] overrun: bool) {
    assert_eq!(after(&mut LagMeter::default(), wakes), overrun);
}

#[test]
fn an_overrun_loop_is_calm_only_well_below() {
    let mut meter = LagMeter::default();
    assert!(after(&mut meter, &[(20, 90)]));
    assert!(
        after(&mut meter, &[(40, 15)]),
        "it stays overrun between the bounds"
    );
    assert!(!after(&mut meter, &[(20, 0)]));
    assert!(
        !after(&mut meter, &[(40, 15)]),
        "it stays calm between the bounds"
    );
}
