//! Impact of one more request on the pauses at an engine: a long pause of its own, and those that its prefill causes in
//! concurrent streams. Both are counted as prefill time, and thereby as memory.

use crate::demand::Demand;
use crate::pace::model::PaceModel;
use crate::pace::pause_risk::EventTiming;
use crate::pace::steps::Load;
use crate::placement::forecast::HORIZONS_TOKENS;
use crate::placement::ledger::{EngineLedger, Stream, Streams};
use crate::placement::length::LengthModel;
use crate::placement::prefill::PrefillRate;
use crate::pool::Pool;
use crate::settings::PoolSettings;
use prelude::TargetId;

/// Window over which the prefill share of an engine is taken.
const PREFILL_WINDOW_MS: u64 = 2_000;

/// State from which the pauses at engines are estimated.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseEstimator<'a> {
    pub pace: &'a PaceModel,
    pub streams: &'a Streams,
    pub settings: &'a PoolSettings,
    pub prefill_rate: &'a PrefillRate,
    pub tokens_per_ms: f64,
    pub now_ms: u64,
}

/// What a request's pauses depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseProfile {
    /// The longest pause that its caller accepts.
    pub goal_ms: Option<f64>,
    /// Tokens that it will still generate.
    pub remaining_tokens: f64,
    /// Tokens of its prompt that are still to be prefilled.
    pub prompt_tokens: f64,
}

impl PauseEstimator<'_> {
    /// Whether pauses affect placement.
    pub(crate) fn is_active(&self) -> bool {
        self.settings.learns_pace && self.settings.long_pause_ms > 0 && self.pace.is_trained()
    }

    /// Timing of events at an engine with one stream more, whose prompt has `prompt_tokens`.
    pub(crate) fn event_timing(
        &self,
        ledger: &EngineLedger,
        prompt_tokens: f64,
    ) -> Option<EventTiming> {
        let load = |prefill_share| Load {
            streams: ledger.streams.len() as f64 + 1.0,
            prefill_share,
        };
        let event_ms = |probability| {
            self.pace
                .event_ms(&ledger.pace, load(probability), self.now_ms)
        };
        Some(EventTiming {
            event_ms: event_ms(0.0)?,
            prefill_event_ms: event_ms(1.0)?,
            disturbance: self.pace.disturbance(&ledger.pace),
            prefill_share: ledger.prefill_spans.share(PREFILL_WINDOW_MS, self.now_ms),
            prefill_ms: prompt_tokens / ledger.prefill.tokens_per_ms(self.prefill_rate),
        })
    }

    /// Expected number of pauses beyond their goal if a request is placed at an engine.
    pub(crate) fn expected_long_pauses(&self, ledger: &EngineLedger, new: &PauseProfile) -> f64 {
        let Some(timing) = self.event_timing(ledger, new.prompt_tokens) else {
            return 0.0;
        };
        let window_ms = new.remaining_tokens / self.tokens_per_ms;
        let own = new.goal_ms.map_or(0.0, |goal_ms| {
            timing.long_pause_probability(goal_ms, window_ms)
        });
        if new.prompt_tokens == 0.0 {
            return own;
        }
        let streams = ledger
            .streams
            .iter()
            .filter_map(|key| self.streams.get(*key));
        let others =
            streams.map(|stream| self.long_pause_probability_during_prefill(&timing, stream));
        own + others.sum::<f64>()
    }

    /// Probability that a stream pauses beyond its goal while a prompt is prefilled.
    fn long_pause_probability_during_prefill(&self, timing: &EventTiming, stream: &Stream) -> f64 {
        let Some(goal_ms) = stream.attainable_pause_goal_ms() else {
            return 0.0;
        };
        let remaining_ms = stream.remaining_tokens() / self.tokens_per_ms;
        let window_ms = timing.prefill_ms.min(remaining_ms);
        timing.long_pause_probability_during_prefill(f64::from(goal_ms), window_ms)
    }

    /// Cost in tokens of the long pauses that are expected if a request is placed at an engine, to be added to the cost of
    /// memory and prefill.
    pub(crate) fn pause_cost_tokens(&self, ledger: &EngineLedger, new: &PauseProfile) -> f64 {
        if !self.is_active() {
            return 0.0;
        }
        let settings = self.settings;
        let cost_per_pause =
            f64::from(settings.long_pause_ms) * f64::from(settings.prefill_cost_tokens_per_ms);
        self.expected_long_pauses(ledger, new) * cost_per_pause
    }
}

/// Expected number of tokens of an answer.
pub(crate) fn expected_tokens(lengths: &LengthModel, demand: &Demand) -> f64 {
    let conditional_survival = lengths.conditional_survival(demand.class, 0.0);
    let mut from = 0.0;
    let mut expected = 0.0;
    for horizon in HORIZONS_TOKENS {
        let to = f64::from(horizon.min(demand.max_tokens));
        expected += (to - from).max(0.0) * conditional_survival.probability((from + to) / 2.0);
        from = to;
    }
    expected.max(1.0)
}

impl Pool {
    pub(crate) fn expected_tokens(&self, demand: &Demand) -> f64 {
        expected_tokens(&self.lengths, demand)
    }

    /// Predicted longest pause of a request at an engine; none while too little is known of the pool's pace.
    pub(crate) fn predicted_pause_ms(
        &self,
        demand: &Demand,
        target: TargetId,
        now_ms: u64,
    ) -> Option<u32> {
        if !self.settings.learns_pace || !self.pace_model.is_trained() {
            return None;
        }
        let ledger = self.engines.get(target)?;
        let estimator = self.pause_estimator(now_ms);
        let timing = estimator.event_timing(ledger, f64::from(demand.prompt_tokens))?;
        let window_ms = self.expected_tokens(demand) / self.tokens_per_ms;
        Some(timing.predicted_pause_ms(window_ms) as u32)
    }

    pub(crate) fn pause_estimator(&self, now_ms: u64) -> PauseEstimator<'_> {
        PauseEstimator {
            pace: &self.pace_model,
            streams: &self.streams,
            settings: &self.settings,
            prefill_rate: &self.prefill_rate,
            tokens_per_ms: self.tokens_per_ms,
            now_ms,
        }
    }
}

#[cfg(test)]
#[path = "impact_tests.rs"]
mod tests;
