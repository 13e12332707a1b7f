//! What the callers would feel of one more request at an engine: a long pause of its own, and those that the reading of
//! its prompt makes beside. Both count as time of reading, and with it as memory.

use crate::demand::Demand;
use crate::pace::book::PaceBook;
use crate::pace::chance::Feel;
use crate::pace::steps::Load;
use crate::placement::forecast::HORIZONS_TOKENS;
use crate::placement::ledger::{EngineLedger, Stream, Streams};
use crate::placement::length::LengthModel;
use crate::placement::prefill::PrefillRate;
use crate::pool::Pool;
use crate::settings::PoolSettings;
use prelude::TargetId;

/// Time over which the share that an engine spends on reading is taken.
const READING_OVER_MS: u64 = 2_000;

/// What the pauses at engines are worked out from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PauseView<'a> {
    pub book: &'a PaceBook,
    pub streams: &'a Streams,
    pub settings: &'a PoolSettings,
    pub rate: &'a PrefillRate,
    pub tokens_per_ms: f64,
    pub now_ms: u64,
}

/// A request as far as its pauses go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pausing {
    /// The longest pause that its caller bears.
    pub goal_ms: Option<f64>,
    /// Tokens that it will still generate.
    pub rest_tokens: f64,
    /// Tokens of its prompt that are to be read.
    pub prompt_tokens: f64,
}

impl PauseView<'_> {
    /// Whether pauses decide anything.
    pub(crate) fn decides(&self) -> bool {
        self.settings.learns_pace && self.settings.long_pause_ms > 0 && self.book.is_settled()
    }

    /// How events would come at an engine with one stream more, whose prompt is so long.
    pub(crate) fn feel(&self, ledger: &EngineLedger, prompt_tokens: f64) -> Option<Feel> {
        let load = |reading_share| Load {
            streams: ledger.streams.len() as f64 + 1.0,
            reading_share,
        };
        let event_ms = |share| self.book.event_ms(&ledger.pace, load(share), self.now_ms);
        Some(Feel {
            event_ms: event_ms(0.0)?,
            beside_ms: event_ms(1.0)?,
            disturbance: self.book.disturbance(&ledger.pace),
            reading_share: ledger.prefill_spans.share(READING_OVER_MS, self.now_ms),
            reading_ms: prompt_tokens / ledger.prefill.tokens_per_ms(self.rate),
        })
    }

    /// Pauses beyond their goal that are expected if a request goes to an engine.
    pub(crate) fn long_pauses(&self, ledger: &EngineLedger, new: &Pausing) -> f64 {
        let Some(feel) = self.feel(ledger, new.prompt_tokens) else {
            return 0.0;
        };
        let window_ms = new.rest_tokens / self.tokens_per_ms;
        let own = new
            .goal_ms
            .map_or(0.0, |goal_ms| feel.long_pause(goal_ms, window_ms));
        if new.prompt_tokens == 0.0 {
            return own;
        }
        let streams = ledger
            .streams
            .iter()
            .filter_map(|key| self.streams.get(*key));
        let beside = streams.map(|stream| self.long_pause_beside(&feel, stream));
        own + beside.sum::<f64>()
    }

    /// Chance that a stream pauses beyond its goal because a prompt is read beside it.
    fn long_pause_beside(&self, feel: &Feel, stream: &Stream) -> f64 {
        let Some(goal_ms) = stream.attainable_pause_goal_ms() else {
            return 0.0;
        };
        let rest_ms = stream.remaining_tokens() / self.tokens_per_ms;
        let window_ms = feel.reading_ms.min(rest_ms);
        feel.long_pause_beside(f64::from(goal_ms), window_ms)
    }

    /// The cost of the long pauses that are expected if a request goes to an engine, in tokens, so that it can be added to
    /// memory and reading.
    pub(crate) fn pause_tokens(&self, ledger: &EngineLedger, new: &Pausing) -> f64 {
        if !self.decides() {
            return 0.0;
        }
        let settings = self.settings;
        let each =
            f64::from(settings.long_pause_ms) * f64::from(settings.prefill_cost_tokens_per_ms);
        self.long_pauses(ledger, new) * each
    }
}

/// Tokens that an answer is expected to have.
pub(crate) fn expected_tokens(lengths: &LengthModel, demand: &Demand) -> f64 {
    let survivor = lengths.conditional_survival(demand.class, 0.0);
    let mut from = 0.0;
    let mut expected = 0.0;
    for horizon in HORIZONS_TOKENS {
        let to = f64::from(horizon.min(demand.max_tokens));
        expected += (to - from).max(0.0) * survivor.probability((from + to) / 2.0);
        from = to;
    }
    expected.max(1.0)
}

impl Pool {
    pub(crate) fn expected_tokens(&self, demand: &Demand) -> f64 {
        expected_tokens(&self.lengths, demand)
    }

    /// The longest pause that is foretold for a request at an engine.
    pub(crate) fn foretold_ms(
        &self,
        demand: &Demand,
        target: TargetId,
        now_ms: u64,
    ) -> Option<u32> {
        if !self.settings.learns_pace || !self.pace_book.is_settled() {
            return None;
        }
        let ledger = self.engines.get(target)?;
        let view = self.pause_view(now_ms);
        let feel = view.feel(ledger, f64::from(demand.prompt_tokens))?;
        let window_ms = self.expected_tokens(demand) / self.tokens_per_ms;
        Some(feel.foretold_ms(window_ms) as u32)
    }

    pub(crate) fn pause_view(&self, now_ms: u64) -> PauseView<'_> {
        PauseView {
            book: &self.pace_book,
            streams: &self.streams,
            settings: &self.settings,
            rate: &self.prefill_rate,
            tokens_per_ms: self.tokens_per_ms,
            now_ms,
        }
    }
}

#[cfg(test)]
#[path = "felt_tests.rs"]
mod tests;
