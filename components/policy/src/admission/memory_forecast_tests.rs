use super::*;
use crate::placement::ledger::{EngineInfo, Streams};
use crate::placement::length::LengthModel;
use crate::settings::PoolSettings;
use prelude::{DataCentreId, TargetId};

/// Returns a forecast with `first_tokens` free at first and `step_tokens` more at each horizon.
fn forecast(first_tokens: f64, step_tokens: f64) -> MemoryForecast {
    let mut forecast = MemoryForecast::default();
    for at in 0..HORIZON_COUNT {
        forecast.free_tokens[at] = first_tokens + step_tokens * at as f64;
        forecast.horizons_ms[at] = 100.0 * at as f64;
    }
    forecast
}

/// Returns a need of constant size.
fn need(tokens: f64) -> MemoryNeed {
    MemoryNeed {
        peak_tokens: tokens,
        mean_tokens: [tokens; HORIZON_COUNT],
        ..MemoryNeed::default()
    }
}

#[test]
fn a_short_request_fits_while_running_streams_grow() {
    let forecast = forecast(1_000.0, -100.0);
    let short = MemoryNeed {
        mean_tokens: [0.0; HORIZON_COUNT],
        ..need(900.0)
    };
    assert_eq!(forecast.wait_ms(&short, |_| 0.0), 0.0);
    assert_eq!(forecast.wait_ms(&need(900.0), |_| 0.0), 800.0);
}

#[test]
fn a_request_that_fits_now_does_not_wait() {
    assert_eq!(forecast(1_000.0, 0.0).wait_ms(&need(1_000.0), |_| 0.0), 0.0);
}

#[test]
fn a_request_waits_for_its_need_beside_that_of_others() {
    let forecast = forecast(0.0, 1_000.0);
    assert_eq!(forecast.wait_ms(&need(1_500.0), |_| 0.0), 150.0);
    assert_eq!(forecast.wait_ms(&need(1_500.0), |_| 1_000.0), 250.0);
}

#[test]
fn a_request_that_never_fits_waits_until_the_last_horizon() {
    assert_eq!(forecast(0.0, 0.0).wait_ms(&need(1.0), |_| 0.0), 800.0);
}

#[test]
fn placements_since_the_refresh_reduce_free_memory() {
    let mut forecast = forecast(1_000.0, 0.0);
    let mut short = Forecast::default();
    short.add(600.0, |horizon| f64::from(u8::from(horizon < 40.0)));
    forecast.record_placement(&short);
    assert_eq!(forecast.free_tokens_at(0), 399.0);
    assert_eq!(forecast.free_tokens_at(HORIZON_COUNT - 1), 1_000.0);
    assert!(forecast.wait_ms(&need(500.0), |_| 0.0) > 0.0);
}

#[test]
fn ignores_free_memory_too_small_for_a_typical_request() {
    let engine = |id, capacity_tokens| {
        EngineLedger::new(EngineInfo {
            id: TargetId(id),
            capacity_tokens,
            data_centre: DataCentreId(0),
            cold_rate_per_s: None,
        })
    };
    let mut engines = [engine(1, 1_000), engine(2, 1_000), engine(3, 4_000)];
    let (streams, lengths) = (Streams::with_key(), LengthModel::default());
    let settings = PoolSettings {
        memory_share: 1.0,
        ..PoolSettings::default()
    };
    let view = ForecastContext {
        streams: &streams,
        lengths: &lengths,
        settings: &settings,
        tokens_per_ms: 0.1,
        margin: 1.0,
        now_ms: 0,
    };
    let mut forecast = MemoryForecast::default();
    assert!(forecast.is_stale(0));
    forecast.refresh(engines.iter_mut(), &view, 2_000.0);
    assert_eq!(forecast.free_tokens_at(0), 4_000.0);
    assert!(!forecast.is_stale(10));
    assert!(forecast.is_stale(20));
}

#[test]
fn short_requests_have_a_low_time_average() {
    let mut short = Forecast::default();
    short.add(1_000.0, |horizon| f64::from(u8::from(horizon < 10.0)));
    let mut long = Forecast::default();
    long.add(1_000.0, |_| 1.0);
    let (short, long) = (time_averaged(&short), time_averaged(&long));
    assert!(short[HORIZON_COUNT - 1] < 20.0, "{short:?}");
    assert!(long[HORIZON_COUNT - 1] > 2_000.0, "{long:?}");
    assert!((1_000.0..1_010.0).contains(&short[0]));
}
