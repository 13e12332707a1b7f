use super::*;
use crate::admission::test_demands::demand;

/// Requests of rank 1 whose first tokens take so many times as long as forecast.
fn errors(times: f64) -> ForecastErrors {
    let mut errors = ForecastErrors::default();
    for serial in 0..100 {
        let (demand, at_ms) = (demand(serial, 1, 1), serial * 20);
        errors.record_forecast(&demand, 500.0, at_ms);
        errors.record_first_token(demand.permit, at_ms + (500.0 * times) as u64);
    }
    errors
}

#[test]
fn forecasts_that_were_too_early_are_corrected_by_rank() {
    let errors = errors(1.6);
    let correction = errors.correction_factor(1, 2_500);
    assert!((1.4..1.6).contains(&correction), "{correction}");
    assert_eq!(errors.correction_factor(0, 2_500), 1.0);
    assert_eq!(errors.known_ranks().collect::<Vec<u8>>(), [1]);
}

#[test]
fn a_correction_is_forgotten_where_nothing_confirms_it() {
    let errors = errors(1.6);
    assert!(errors.correction_factor(1, 30_000) < 1.02);
}

#[test]
fn an_engine_that_stands_still_does_not_have_all_refused() {
    assert_eq!(errors(1_000.0).correction_factor(1, 502_000), MOST);
}

#[test]
fn what_was_refused_or_left_corrects_nothing() {
    let mut errors = ForecastErrors::default();
    let gone = demand(1, 1, 1);
    errors.record_forecast(&gone, 100.0, 0);
    errors.forget(gone.permit);
    errors.record_first_token(gone.permit, 60_000);
    assert_eq!(errors.correction_factor(1, 60_000), 1.0);
    assert!(errors.open.is_empty());
}
