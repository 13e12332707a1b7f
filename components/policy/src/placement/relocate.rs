//! Relocation of a running generation to another engine with room for its current and expected
//! tokens.

use crate::pace::impact::{PauseEstimator, PauseProfile};
use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineState, ForecastContext};
use crate::pool::Pool;
use prelude::{DataCentreId, PermitId, TargetId};

/// Score penalty, in tokens of memory, per copy already in progress to an engine: two concurrent
/// copies to one engine each take twice as long. It is twice the default penalty of a copy to
/// another data centre, which takes twice as long on its own.
const INBOUND_COPY_COST_TOKENS: f64 = 24_000.0;

/// Share of an engine's memory that an optional move must leave free: under load, moving whatever
/// fits costs other generations more than it gains.
const OPTIONAL_MOVE_FREE_SHARE: f64 = 0.5;

/// A request to move a running generation to another engine.
#[derive(Clone, Copy, Debug)]
pub struct Relocation<'a> {
    /// Its permit.
    pub permit: PermitId,
    /// The engine to leave.
    pub from: TargetId,
    /// Engines to avoid because they had no room or could not be reached.
    pub avoid: &'a [TargetId],
    /// Engines that are receiving copies.
    pub inbound: &'a [TargetId],
    /// Whether the generation can stay where it is, so that it moves only if there is ample room.
    pub is_optional: bool,
}

impl Pool {
    /// Finds another engine for a running generation and moves its permit there, which reserves the
    /// memory immediately. Returns `None` and leaves the permit where it is if no engine can take
    /// it.
    pub fn relocate(&mut self, relocation: &Relocation<'_>, now_ms: u64) -> Option<TargetId> {
        let Relocation {
            permit,
            from,
            avoid,
            inbound,
            is_optional,
        } = *relocation;
        let key = *self.by_permit.get(&permit)?;
        let stream = self.streams.get(key)?;
        let current = stream.target;
        let (prompt_tokens, generated_tokens) = (stream.prompt_tokens, stream.generated_tokens);
        let used_tokens = f64::from(stream.prompt_tokens) + f64::from(stream.generated_tokens);
        let generated = f64::from(stream.generated_tokens);
        let goal_ms = stream.attainable_pause_goal_ms();
        let remaining_tokens = stream.remaining_tokens();
        let mut forecast = Forecast::default();
        forecast.add(used_tokens, stream.survival(&self.lengths, generated));
        let data_centre = self.data_centre_of(from);
        let margin = self.margin_in_use();
        let near_bonus = f64::from(self.settings.near_copy_tokens);
        let context = ForecastContext {
            streams: &self.streams,
            lengths: &self.lengths,
            settings: &self.settings,
            tokens_per_ms: self.tokens_per_ms,
            margin,
            now_ms,
        };
        let pauses = PauseEstimator {
            pace: &self.pace_model,
            streams: &self.streams,
            settings: &self.settings,
            prefill_rate: &self.prefill_rate,
            tokens_per_ms: self.tokens_per_ms,
            now_ms,
        };
        let pausing = PauseProfile {
            goal_ms: goal_ms.map(f64::from),
            remaining_tokens,
            prompt_tokens: 0.0,
        };
        let mut best: Option<(f64, TargetId)> = None;
        for slot in self.engines.candidates(data_centre, now_ms) {
            let Some(ledger) = self.engines.slot_mut(slot) else {
                continue;
            };
            let id = ledger.info.id;
            let is_eligible =
                ledger.state == EngineState::Live && ledger.within_rate_limits(now_ms);
            if !is_eligible || id == from || avoid.contains(&id) {
                continue;
            }
            let free = ledger.free_tokens(&context, &forecast);
            let required_free = match is_optional {
                true => ledger.info.capacity_tokens as f64 * OPTIONAL_MOVE_FREE_SHARE,
                false => 0.0,
            };
            if free < required_free {
                continue;
            }
            let near_factor = f64::from(u8::from(data_centre == Some(ledger.info.data_centre)));
            let inbound_copies = inbound.iter().filter(|other| **other == id).count() as f64;
            let pause_cost = pauses.pause_cost_tokens(ledger, &pausing);
            let score = free + near_factor * near_bonus
                - inbound_copies * INBOUND_COPY_COST_TOKENS
                - pause_cost;
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, id));
            }
        }
        let (_, target) = best?;
        self.engines.remove_stream(current, key, now_ms);
        if let Some(ledger) = self.engines.add_stream(target, key, &forecast, now_ms) {
            ledger.record_placement(now_ms);
            if generated_tokens == 0 {
                ledger.prefill.push(key, prompt_tokens, now_ms);
                ledger.prefill_spans.set_prefilling(true, now_ms);
            }
        }
        if let Some(stream) = self.streams.get_mut(key) {
            stream.target = target;
        }
        Some(target)
    }

    /// Memory used by a generation, in tokens; `None` if its permit is unknown.
    pub fn tokens_in_use(&self, permit: PermitId) -> Option<u32> {
        let stream = self.streams.get(*self.by_permit.get(&permit)?)?;
        Some(stream.prompt_tokens + stream.generated_tokens)
    }

    fn data_centre_of(&self, target: TargetId) -> Option<DataCentreId> {
        let ledger = self.engines.get(target)?;
        Some(ledger.info.data_centre)
    }
}

#[cfg(test)]
#[path = "relocate_tests.rs"]
mod tests;
