//! Pace of the engines of a pool, and the baseline that each engine is compared with.

use crate::pace::disturbance::{Disturbance, DisturbanceStats, GapRatios};
use crate::pace::observation::{EventGaps, PaceObservation};
use crate::pace::relative_pace::{PaceBaseline, RelativePace};
use crate::pace::steps::{Load, StepModel};

/// Interval at which the baseline is computed anew.
const BASELINE_INTERVAL_MS: u64 = 250;
/// Fewer events say little: the first may fall into a prefill, or the last be cut short.
const MIN_EVENTS: u16 = 2;

/// The pace of one engine.
#[derive(Clone, Debug, Default)]
pub struct EnginePace {
    /// Its own pace, without load and disturbances.
    pub relative_pace: RelativePace,
    /// Its disturbances.
    pub disturbances: DisturbanceStats,
    /// Mean error of its predicted times between events, as a share of the observed ones.
    pub error_share: f64,
    /// Its expected disturbances, computed with each report.
    expected_disturbance: Option<Disturbance>,
}

/// The pace of a pool.
#[derive(Clone, Debug, Default)]
pub struct PaceModel {
    steps: StepModel,
    disturbances: DisturbanceStats,
    /// Expected disturbances of an engine without reports.
    expected_disturbance: Option<Disturbance>,
    baseline: PaceBaseline,
    baseline_updated_ms: Option<u64>,
}

impl PaceModel {
    /// Whether the baseline should be computed anew by [`PaceModel::update_baseline`].
    pub fn is_baseline_due(&self, now_ms: u64) -> bool {
        self.baseline_updated_ms
            .is_none_or(|at_ms| now_ms >= at_ms + BASELINE_INTERVAL_MS)
    }

    /// Computes the baseline from the paces of all engines.
    pub fn update_baseline<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a EnginePace> + Clone,
        now_ms: u64,
    ) {
        self.baseline = PaceBaseline::from_paces(engines.map(|engine| &engine.relative_pace));
        self.baseline_updated_ms = Some(now_ms);
    }

    /// Whether there are enough observations to base decisions on.
    pub fn is_trained(&self) -> bool {
        self.steps.is_trained()
    }

    /// Time per event of an engine relative to the baseline: 1 is the baseline, 2 takes twice as long.
    pub fn relative_pace(&self, engine: &EnginePace, now_ms: u64) -> f64 {
        engine.relative_pace.ratio(&self.baseline, now_ms)
    }

    /// Predicted time from one event to the next at an engine that is not disturbed.
    pub fn event_ms(&self, engine: &EnginePace, load: Load, now_ms: u64) -> Option<f64> {
        let baseline_ms = self.steps.event_ms(load)?;
        Some(baseline_ms * self.relative_pace(engine, now_ms))
    }

    /// Expected disturbances of an engine; none if none were observed.
    pub fn disturbance(&self, engine: &EnginePace) -> Option<Disturbance> {
        match engine.disturbances.is_known() {
            true => engine.expected_disturbance,
            false => self.expected_disturbance,
        }
    }

    /// Adds an observation. Returns the mean time from one event to the next that was predicted for it.
    pub fn observe(
        &mut self,
        engine: &mut EnginePace,
        observation: &PaceObservation,
        now_ms: u64,
    ) -> Option<f64> {
        let gaps = &observation.gaps;
        if gaps.slowness_percent > 0 {
            let reported = f64::from(gaps.slowness_percent) / 100.0;
            engine.relative_pace.record_reported(reported, now_ms);
        }
        if gaps.events < MIN_EVENTS || gaps.mean_ms == 0 {
            return None;
        }
        let load = Load {
            streams: f64::from(observation.streams),
            prefill_share: observation.prefill_share,
        };
        let observed_ms = f64::from(gaps.mean_ms);
        let relative_pace = self.relative_pace(engine, now_ms);
        let expected_ms = self.compare_with_prediction(engine, observation, load, now_ms);
        self.steps.observe(load, observed_ms / relative_pace);
        expected_ms
    }

    /// Compares an observation with its prediction, and updates the engine's pace, error and disturbances by it. Returns
    /// the prediction.
    fn compare_with_prediction(
        &mut self,
        engine: &mut EnginePace,
        observation: &PaceObservation,
        load: Load,
        now_ms: u64,
    ) -> Option<f64> {
        if !self.steps.is_trained() {
            return None;
        }
        let observed_ms = f64::from(observation.gaps.mean_ms);
        let baseline_ms = self.steps.event_ms(load)?;
        let expected_ms = baseline_ms * self.relative_pace(engine, now_ms);
        engine
            .relative_pace
            .record_observed(observed_ms / baseline_ms, now_ms);
        let error_share = (expected_ms - observed_ms).abs() / observed_ms;
        engine.error_share += ERROR_WEIGHT * (error_share - engine.error_share);
        let peak_load = Load {
            prefill_share: f64::from(u8::from(observation.overlaps_prefill)),
            ..load
        };
        let longest_ms = self.event_ms(engine, peak_load, now_ms)?;
        let ratios = GapRatios {
            mean: observed_ms / expected_ms,
            longest: f64::from(observation.gaps.longest_ms) / longest_ms,
            span_ms: span_ms(&observation.gaps),
        };
        engine.disturbances.observe(&ratios);
        self.disturbances.observe(&ratios);
        engine.expected_disturbance = engine.disturbances.expected(&self.disturbances);
        self.expected_disturbance = DisturbanceStats::default().expected(&self.disturbances);
        Some(expected_ms)
    }
}

/// Weight of one error in an engine's mean error: a mean over some ten reports.
const ERROR_WEIGHT: f64 = 0.1;

/// Time that a report covers.
pub(crate) fn span_ms(gaps: &EventGaps) -> f64 {
    f64::from(gaps.mean_ms) * f64::from(gaps.events)
}

#[cfg(test)]
#[path = "model_tests.rs"]
mod tests;
