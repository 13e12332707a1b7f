//! Compares pace estimators on recorded times between events: each sample is predicted before it is observed.

use std::collections::HashMap;

use policy::{EnginePace, EventGaps, PaceLoad, PaceModel, PaceObservation};
use prelude::TargetId;

const RECORDING: &str = include_str!("data/gaps.csv");
/// Samples observed before predictions are counted.
const WARMUP: usize = 100;

fn recorded_samples() -> Vec<(u64, PaceObservation)> {
    let lines = RECORDING.lines().skip(1);
    lines.map(|line| parse_sample(line).expect(line)).collect()
}

fn parse_sample(line: &str) -> Option<(u64, PaceObservation)> {
    let fields: Vec<&str> = line.split(',').collect();
    let prefill_share: f64 = fields.get(3)?.parse().ok()?;
    let integer = |at: usize| fields.get(at)?.parse::<u16>().ok();
    let observed = PaceObservation {
        target: TargetId(fields.get(1)?.parse().ok()?),
        gaps: EventGaps {
            events: integer(4)?,
            mean_ms: integer(5)?,
            longest_ms: integer(6)?,
            slowness_percent: integer(7)?,
        },
        streams: fields.get(2)?.parse().ok()?,
        prefill_share,
        overlaps_prefill: prefill_share > 0.0,
        expected_ms: None,
    };
    Some((fields.first()?.parse().ok()?, observed))
}

/// Median and 90th percentile of the relative errors.
fn quantiles(mut errors: Vec<f64>) -> (f64, f64) {
    errors.sort_by(f64::total_cmp);
    (errors[errors.len() / 2], errors[errors.len() * 9 / 10])
}

fn relative_error(expected_ms: f64, observed: &PaceObservation) -> f64 {
    let observed_ms = f64::from(observed.gaps.mean_ms);
    (expected_ms - observed_ms).abs() / observed_ms
}

/// Errors of a moving average of each engine's event interval, whatever its load. It starts from the average of the pool.
fn errors_of_engine_means() -> Vec<f64> {
    let mut engines: HashMap<TargetId, f64> = HashMap::new();
    let mut pool_ms = 30.0;
    let mut errors = Vec::new();
    for (_, observed) in recorded_samples()
        .iter()
        .filter(|(_, observed)| observed.gaps.events >= 2)
    {
        let mean_ms = engines.entry(observed.target).or_insert(pool_ms);
        errors.push(relative_error(*mean_ms, observed));
        let observed_ms = f64::from(observed.gaps.mean_ms);
        *mean_ms += 0.3 * (observed_ms - *mean_ms);
        pool_ms += 0.02 * (observed_ms - pool_ms);
    }
    errors.split_off(WARMUP)
}

/// Errors of [`PaceBook`], which models the speed of an engine separately from its load and from disturbances.
fn errors_of_pace_model(uses_reported_slowness: bool) -> Vec<f64> {
    let mut book = PaceModel::default();
    let mut engines: HashMap<TargetId, EnginePace> = HashMap::new();
    let mut errors = Vec::new();
    for (now_ms, mut observed) in recorded_samples() {
        if !uses_reported_slowness {
            observed.gaps.slowness_percent = 0;
        }
        book.update_baseline(engines.values(), now_ms);
        let engine = engines.entry(observed.target).or_default();
        let load = PaceLoad {
            streams: f64::from(observed.streams),
            prefill_share: observed.prefill_share,
        };
        let expected_ms = book.event_ms(engine, load, now_ms);
        if observed.gaps.events >= 2 {
            errors.push(expected_ms.map_or(1.0, |ms| relative_error(ms, &observed)));
        }
        book.observe(engine, &observed, now_ms);
    }
    errors.split_off(WARMUP)
}

#[test]
fn the_pace_model_predicts_steps_better_than_the_mean_of_each_engine() {
    let mean = quantiles(errors_of_engine_means());
    let model = quantiles(errors_of_pace_model(true));
    println!("error at p50, p90: means {mean:.3?}, model {model:.3?}");
    assert!(model.0 < 0.65 * mean.0, "{model:?} {mean:?}");
    assert!(model.1 < 0.8 * mean.1, "{model:?} {mean:?}");
}

#[test]
fn the_pace_model_predicts_nearly_as_well_without_reported_slowness() {
    let reported = quantiles(errors_of_pace_model(true));
    let unreported = quantiles(errors_of_pace_model(false));
    println!("error at p50, p90: reported {reported:.3?}, unreported {unreported:.3?}");
    assert!(
        unreported.0 < reported.0 + 0.05,
        "{unreported:?} {reported:?}"
    );
}
