use super::*;
use rstest::rstest;

/// Whether a loop is overloaded after wakes given as (count, delay in ms).
fn is_overloaded_after(meter: &mut LagMeter, wakes: &[(usize, u64)]) -> bool {
    let late = wakes
        .iter()
        .flat_map(|(count, late_ms)| std::iter::repeat_n(*late_ms, *count));
    late.fold(false, |_, late_ms| meter.record_wake(late_ms))
}

#[rstest]
#[case::on_time(&[(40, 2)], false)]
#[case::one_pause_of_seconds(&[(20, 0), (1, 8_000), (3, 0)], false)]
#[case::one_pause_at_start(&[(1, 8_000)], false)]
#[case::short_burst(&[(20, 0), (5, 90)], false)]
#[case::always_late(&[(20, 30)], true)]
#[case::half_of_the_wakes_late(&[(20, 0), (10, 60)], true)]
fn mean_lateness_over_the_window_decides_overload(
    #[case] wakes: &[(usize, u64)],
    #[case] overloaded: bool,
) {
    assert_eq!(
        is_overloaded_after(&mut LagMeter::default(), wakes),
        overloaded
    );
}

#[test]
fn overload_ends_only_below_the_lower_threshold() {
    let mut meter = LagMeter::default();
    assert!(is_overloaded_after(&mut meter, &[(20, 90)]));
    assert!(
        is_overloaded_after(&mut meter, &[(40, 15)]),
        "the loop stays overloaded between the thresholds"
    );
    assert!(!is_overloaded_after(&mut meter, &[(20, 0)]));
    assert!(
        !is_overloaded_after(&mut meter, &[(40, 15)]),
        "the loop stays recovered between the thresholds"
    );
}
