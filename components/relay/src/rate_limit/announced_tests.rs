use super::*;
use policy::AnnouncedRate;

const TARGET: TargetId = TargetId(7);

fn observation(limit_per_s: Option<f64>, at_ms: i64) -> RateObservation {
    RateObservation {
        limit_per_s,
        earliest_ms: at_ms,
        latest_ms: at_ms,
    }
}

/// What a box that started 50 ms ago passes on of an observation that was made `age_ms` before it was told of it.
fn passed_on_by_a_starting_box(limit_per_s: Option<f64>, age_ms: i64) -> TargetRate {
    let told = report(TARGET, observation(limit_per_s, 0), age_ms.cast_unsigned()).unwrap();
    let mut known = AnnouncedRate::default();
    known.observe(reported_observation(&told, Some(NotBefore::at(50)), 50), 50);
    report(TARGET, known.effective().unwrap(), 60).unwrap()
}

// Guards against an old announcement that looks new: ages were clamped by the clocks of boxes that had just started.
#[test]
fn an_announcement_that_a_starting_box_passes_on_does_not_replace_a_newer_one() {
    let now_ms = 100_000;
    for (older, newer) in [(Some(4.0), None), (None, Some(4.0))] {
        let mut known = AnnouncedRate::default();
        known.observe(observation(newer, 97_000), now_ms);
        let passed_on = passed_on_by_a_starting_box(older, 5_000);
        let made_at = NotBefore::at(now_ms);
        known.observe(
            reported_observation(&passed_on, Some(made_at), now_ms),
            now_ms,
        );
        assert_eq!(known.rate_per_s(now_ms), newer);
    }
}

#[test]
fn a_report_that_was_held_up_on_its_way_keeps_its_age() {
    let told = report(TARGET, observation(Some(4.0), 0), 10).unwrap();
    let late = reported_observation(&told, Some(NotBefore::at(1_000)), 9_000);
    assert_eq!((late.earliest_ms, late.latest_ms), (990, 8_990));
}
