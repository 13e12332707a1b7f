//! Estimators of pace, held against recorded times between events: each telling is predicted before it is taken in.

use std::collections::HashMap;

use policy::{EnginePace, EventGaps, PaceLoad, PaceModel, PaceObservation};
use prelude::TargetId;

const RECORDED: &str = include_str!("data/gaps.csv");
/// Tellings that are taken in before predictions are counted.
const WARMUP: usize = 100;

fn recorded() -> Vec<(u64, PaceObservation)> {
    let lines = RECORDED.lines().skip(1);
    lines.map(|line| telling(line).expect(line)).collect()
}

fn telling(line: &str) -> Option<(u64, PaceObservation)> {
    let words: Vec<&str> = line.split(',').collect();
    let prefill_share: f64 = words.get(3)?.parse().ok()?;
    let short = |at: usize| words.get(at)?.parse::<u16>().ok();
    let observed = PaceObservation {
        target: TargetId(words.get(1)?.parse().ok()?),
        gaps: EventGaps {
            events: short(4)?,
            mean_ms: short(5)?,
            longest_ms: short(6)?,
            slowness_percent: short(7)?,
        },
        streams: words.get(2)?.parse().ok()?,
        prefill_share,
        overlaps_prefill: prefill_share > 0.0,
        expected_ms: None,
    };
    Some((words.first()?.parse().ok()?, observed))
}

/// Median and nine tenths of the errors, as shares of what was seen.
fn quantiles(mut errors: Vec<f64>) -> (f64, f64) {
    errors.sort_by(f64::total_cmp);
    (errors[errors.len() / 2], errors[errors.len() * 9 / 10])
}

fn error(expected_ms: f64, observed: &PaceObservation) -> f64 {
    let seen_ms = f64::from(observed.gaps.mean_ms);
    (expected_ms - seen_ms).abs() / seen_ms
}

/// The mean of an engine's events, whatever the load on it; the pool's before it was seen.
fn errors_of_means() -> Vec<f64> {
    let mut engines: HashMap<TargetId, f64> = HashMap::new();
    let mut pool_ms = 30.0;
    let mut errors = Vec::new();
    for (_, observed) in recorded().iter().filter(|(_, seen)| seen.gaps.events >= 2) {
        let mean_ms = engines.entry(observed.target).or_insert(pool_ms);
        errors.push(error(*mean_ms, observed));
        let seen_ms = f64::from(observed.gaps.mean_ms);
        *mean_ms += 0.3 * (seen_ms - *mean_ms);
        pool_ms += 0.02 * (seen_ms - pool_ms);
    }
    errors.split_off(WARMUP)
}

/// Own speed apart from the load and from disturbances.
fn errors_of_parts(listens: bool) -> Vec<f64> {
    let mut book = PaceModel::default();
    let mut engines: HashMap<TargetId, EnginePace> = HashMap::new();
    let mut errors = Vec::new();
    for (now_ms, mut observed) in recorded() {
        if !listens {
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
            errors.push(expected_ms.map_or(1.0, |ms| error(ms, &observed)));
        }
        book.observe(engine, &observed, now_ms);
    }
    errors.split_off(WARMUP)
}

#[test]
fn predicts_steps_better_by_parts_than_by_the_mean_of_an_engine() {
    let mean = quantiles(errors_of_means());
    let parts = quantiles(errors_of_parts(true));
    println!("error at p50, p90: means {mean:.3?}, parts {parts:.3?}");
    assert!(parts.0 < 0.65 * mean.0, "{parts:?} {mean:?}");
    assert!(parts.1 < 0.8 * mean.1, "{parts:?} {mean:?}");
}

#[test]
fn predicts_nearly_as_well_where_engines_say_nothing_of_themselves() {
    let told = quantiles(errors_of_parts(true));
    let untold = quantiles(errors_of_parts(false));
    println!("error at p50, p90: told {told:.3?}, untold {untold:.3?}");
    assert!(untold.0 < told.0 + 0.05, "{untold:?} {told:?}");
}
