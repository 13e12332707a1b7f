//! What a pool knows of pace as a whole, against which each engine is held.

use crate::pace::disturbance::{Disturbance, Disturbances, Excess};
use crate::pace::observation::{EventGaps, PaceObservation};
use crate::pace::relative_pace::{Speed, Usual};
use crate::pace::steps::{Load, StepModel};

/// How often what is usual is worked out anew.
const USUAL_EACH_MS: u64 = 250;
/// Fewer events say little: the first may have been read beside, or the last cut short.
const EVENTS_MIN: u16 = 2;

/// The pace of one engine.
#[derive(Clone, Debug, Default)]
pub struct EnginePace {
    /// Its own speed.
    pub speed: Speed,
    /// Its disturbances.
    pub disturbances: Disturbances,
    /// Mean error of what was predicted of its events, as a share of what was seen.
    pub error_share: f64,
    /// How it is expected to be disturbed, worked out as it is told of.
    expected: Option<Disturbance>,
}

/// The pace of the pool.
#[derive(Clone, Debug, Default)]
pub struct PaceModel {
    steps: StepModel,
    disturbances: Disturbances,
    /// How an engine is disturbed of which nothing was told.
    expected: Option<Disturbance>,
    usual: Usual,
    usual_ms: Option<u64>,
}

impl PaceModel {
    /// Whether what is usual is to be worked out anew by [`PaceModel::update_baseline`].
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.usual_ms
            .is_none_or(|at_ms| now_ms >= at_ms + USUAL_EACH_MS)
    }

    /// Takes over what is usual.
    pub fn update_baseline<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a EnginePace> + Clone,
        now_ms: u64,
    ) {
        self.usual = Usual::of(engines.map(|engine| &engine.speed));
        self.usual_ms = Some(now_ms);
    }

    /// Whether enough was seen to decide by it.
    pub fn is_settled(&self) -> bool {
        self.steps.is_settled()
    }

    /// The speed of an engine; 1 is usual, 2 takes twice as long.
    pub fn speed(&self, engine: &EnginePace, now_ms: u64) -> f64 {
        engine.speed.relative(&self.usual, now_ms)
    }

    /// Time from one event to the next at an engine that is not disturbed.
    pub fn event_ms(&self, engine: &EnginePace, load: Load, now_ms: u64) -> Option<f64> {
        let usual_ms = self.steps.event_ms(load)?;
        Some(usual_ms * self.speed(engine, now_ms))
    }

    /// How an engine is disturbed; none where nothing was.
    pub fn disturbance(&self, engine: &EnginePace) -> Option<Disturbance> {
        match engine.disturbances.is_known() {
            true => engine.expected,
            false => self.expected,
        }
    }

    /// Takes in what was seen. Returns the mean time from one event to the next that was expected.
    pub fn observe(
        &mut self,
        engine: &mut EnginePace,
        observed: &PaceObservation,
        now_ms: u64,
    ) -> Option<f64> {
        let gaps = &observed.gaps;
        if gaps.slowness_percent > 0 {
            let said = f64::from(gaps.slowness_percent) / 100.0;
            engine.speed.said(said, now_ms);
        }
        if gaps.events < EVENTS_MIN || gaps.mean_ms == 0 {
            return None;
        }
        let load = Load {
            streams: f64::from(observed.streams),
            prefill_share: observed.prefill_share,
        };
        let seen_ms = f64::from(gaps.mean_ms);
        let speed = self.speed(engine, now_ms);
        let expected_ms = self.compare(engine, observed, load, now_ms);
        self.steps.observe(load, seen_ms / speed);
        expected_ms
    }

    fn compare(
        &mut self,
        engine: &mut EnginePace,
        observed: &PaceObservation,
        load: Load,
        now_ms: u64,
    ) -> Option<f64> {
        if !self.steps.is_settled() {
            return None;
        }
        let seen_ms = f64::from(observed.gaps.mean_ms);
        let usual_ms = self.steps.event_ms(load)?;
        let expected_ms = usual_ms * self.speed(engine, now_ms);
        engine.speed.seen(seen_ms / usual_ms, now_ms);
        let error_share = (expected_ms - seen_ms).abs() / seen_ms;
        engine.error_share += ERROR_WEIGHT * (error_share - engine.error_share);
        let longest = Load {
            prefill_share: f64::from(u8::from(observed.overlaps_prefill)),
            ..load
        };
        let longest_ms = self.event_ms(engine, longest, now_ms)?;
        let excess = Excess {
            mean: seen_ms / expected_ms,
            longest: f64::from(observed.gaps.longest_ms) / longest_ms,
            over_ms: over_ms(&observed.gaps),
        };
        engine.disturbances.observe(&excess);
        self.disturbances.observe(&excess);
        engine.expected = engine.disturbances.expected(&self.disturbances);
        self.expected = Disturbances::default().expected(&self.disturbances);
        Some(expected_ms)
    }
}

/// Weight of one error in an engine's mean error: some ten tellings.
const ERROR_WEIGHT: f64 = 0.1;

/// Time that a telling covers.
pub(crate) fn over_ms(gaps: &EventGaps) -> f64 {
    f64::from(gaps.mean_ms) * f64::from(gaps.events)
}

#[cfg(test)]
#[path = "model_tests.rs"]
mod tests;
