use super::*;
use crate::admission::test_demands::demand;

/// Records requests of rank 1 whose first tokens take `factor` times the forecast.
fn errors(factor: f64) -> ForecastErrors {
    let mut errors = ForecastErrors::default();
    for serial in 0..100 {
        let (demand, arrived_ms) = (demand(serial, 1, 1), serial * 20);
        errors.record_forecast(&demand, 500.0, arrived_ms);
        errors.record_first_token(demand.permit, arrived_ms + (500.0 * factor) as u64);
    }
    errors
}

#[test]
fn corrects_optimistic_forecasts_by_rank() {
    let errors = errors(1.6);
    let correction = errors.correction_factor(1, 2_500);
    assert!((1.4..1.6).contains(&correction), "{correction}");
    assert_eq!(errors.correction_factor(0, 2_500), 1.0);
    assert_eq!(errors.known_ranks().collect::<Vec<u8>>(), [1]);
}

#[test]
fn a_correction_fades_without_new_first_tokens() {
    let errors = errors(1.6);
    assert!(errors.correction_factor(1, 30_000) < 1.02);
}

#[test]
fn bounds_the_correction_for_a_stalled_engine() {
    assert_eq!(errors(1_000.0).correction_factor(1, 502_000), MAX_FACTOR);
}

#[test]
fn refused_and_withdrawn_requests_do_not_affect_the_correction() {
    let mut errors = ForecastErrors::default();
    let withdrawn = demand(1, 1, 1);
    errors.record_forecast(&withdrawn, 100.0, 0);
    errors.forget(withdrawn.permit);
    errors.record_first_token(withdrawn.permit, 60_000);
    assert_eq!(errors.correction_factor(1, 60_000), 1.0);
    assert!(errors.pending.is_empty());
}
