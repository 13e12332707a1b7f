use super::*;

fn observed(ratios: &[f64]) -> RelativePace {
    let mut pace = RelativePace::default();
    for ratio in ratios {
        pace.record_observed(*ratio, 0);
    }
    pace
}

#[test]
fn is_not_changed_by_a_disturbance() {
    let pace = observed(&[1.6, 1.6, 4.0, 1.6, 4.0, 1.6]);
    assert_eq!(pace.ratio(&PaceBaseline::default(), 0), 1.6);
}

#[test]
fn is_the_baseline_without_observations_or_with_a_small_deviation() {
    assert_eq!(
        RelativePace::default().ratio(&PaceBaseline::default(), 0),
        1.0
    );
    assert_eq!(
        observed(&[1.1, 0.95, 1.05]).ratio(&PaceBaseline::default(), 0),
        1.0
    );
}

#[test]
fn follows_the_reports_of_an_engine_until_enough_events_are_observed() {
    let mut pace = RelativePace::default();
    pace.record_reported(0.5, 0);
    assert_eq!(pace.ratio(&PaceBaseline::default(), 0), 0.5);
    for _ in 0..MIN_OBSERVATIONS {
        pace.record_observed(1.6, 0);
    }
    assert_eq!(pace.ratio(&PaceBaseline::default(), 0), 1.6);
}

#[test]
fn decays_to_the_baseline_without_observations() {
    let pace = observed(&[2.0; 6]);
    assert_eq!(
        pace.ratio(&PaceBaseline::default(), HALF_LIFE_MS as u64),
        1.5
    );
    assert_eq!(pace.ratio(&PaceBaseline::default(), 600_000), 1.0);
}

#[test]
fn compares_reported_slowness_with_other_engines_and_not_with_100_percent() {
    let reported = |percent: f64| {
        let mut pace = RelativePace::default();
        pace.record_reported(percent / 100.0, 0);
        pace
    };
    let pool = [reported(160.0), reported(160.0), reported(320.0)];
    let baseline = PaceBaseline::from_paces(pool.iter());
    assert_eq!(pool[0].ratio(&baseline, 0), 1.0);
    assert_eq!(pool[2].ratio(&baseline, 0), 2.0);
}

#[test]
fn assumes_an_unknown_engine_to_be_among_the_slower_ones() {
    let pool = [0.6, 1.0, 1.0, 1.6].map(|ratio| observed(&[ratio; 6]));
    let baseline = PaceBaseline::from_paces(pool.iter());
    assert_eq!(RelativePace::default().ratio(&baseline, 0), 1.6);
    let similar = [0.95, 1.0, 1.05, 1.1].map(|ratio| observed(&[ratio; 6]));
    let baseline = PaceBaseline::from_paces(similar.iter());
    assert_eq!(RelativePace::default().ratio(&baseline, 0), 1.0);
}
