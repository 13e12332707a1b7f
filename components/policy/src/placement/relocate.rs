//! A generation goes on at another engine: which one has room for what it holds and will still make.

use crate::pace::impact::{PauseEstimator, PauseProfile};
use crate::placement::forecast::Forecast;
use crate::placement::ledger::{EngineState, RoomView};
use crate::pool::Pool;
use prelude::{DataCentreId, PermitId, TargetId};

/// A copy that arrives at an engine and the next one there each take twice as long; so much memory is such an engine
/// taken to have less: twice what a copy to another data centre counts for, which takes twice as long by itself.
const ARRIVAL_TOKENS: f64 = 24_000.0;

/// Share of an engine's memory that stays free where a generation goes that may as well stay: under load, moving whatever
/// fits costs others more than it gains.
const AMPLE_SHARE: f64 = 0.5;

/// A running generation that is to go on at another engine.
#[derive(Clone, Copy, Debug)]
pub struct Relocation<'a> {
    /// Its permit.
    pub permit: PermitId,
    /// The engine that it leaves.
    pub from: TargetId,
    /// Engines that had no room or no way.
    pub avoid: &'a [TargetId],
    /// Engines to which copies are on their way.
    pub arriving: &'a [TargetId],
    /// The engine serves what it has: the generation goes only where there is ample room.
    pub may_stay: bool,
}

impl Pool {
    /// Finds another engine for a running generation, and moves its permit there, so that its room is taken from
    /// now on. None where no engine can take it; its permit then stays where it is.
    pub fn relocate(&mut self, relocation: &Relocation<'_>, now_ms: u64) -> Option<TargetId> {
        let Relocation {
            permit,
            from,
            avoid,
            arriving,
            may_stay,
        } = *relocation;
        let key = *self.by_permit.get(&permit)?;
        let stream = self.streams.get(key)?;
        let current = stream.target;
        let (prompt_tokens, generated_tokens) = (stream.prompt_tokens, stream.generated_tokens);
        let held = f64::from(stream.prompt_tokens) + f64::from(stream.generated_tokens);
        let generated = f64::from(stream.generated_tokens);
        let goal_ms = stream.goal_left_ms();
        let remaining_tokens = stream.rest_tokens();
        let mut more = Forecast::default();
        more.add(held, stream.survival(&self.lengths, generated));
        let place = self.data_centre_of(from);
        let margin = self.margin_in_use();
        let near_copy = f64::from(self.settings.near_copy_tokens);
        let view = RoomView {
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
            prefill_rate: &self.reading_rate,
            tokens_per_ms: self.tokens_per_ms,
            now_ms,
        };
        let pausing = PauseProfile {
            goal_ms: goal_ms.map(f64::from),
            remaining_tokens,
            prompt_tokens: 0.0,
        };
        let mut best: Option<(f64, TargetId)> = None;
        for slot in self.engines.weighed(place, now_ms) {
            let Some(ledger) = self.engines.at_mut(slot) else {
                continue;
            };
            let id = ledger.info.id;
            let takes = ledger.state == EngineState::Live && ledger.bears_one_more(now_ms);
            if !takes || id == from || avoid.contains(&id) {
                continue;
            }
            let left = ledger.room_left(&view, &more);
            let kept_free = match may_stay {
                true => ledger.info.capacity_tokens as f64 * AMPLE_SHARE,
                false => 0.0,
            };
            if left < kept_free {
                continue;
            }
            let near = f64::from(u8::from(place == Some(ledger.info.data_centre)));
            let busy = arriving.iter().filter(|other| **other == id).count() as f64;
            let paused = pauses.pause_cost_tokens(ledger, &pausing);
            let score = left + near * near_copy - busy * ARRIVAL_TOKENS - paused;
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, id));
            }
        }
        let (_, target) = best?;
        self.engines.remove_stream(current, key, now_ms);
        if let Some(ledger) = self.engines.add_stream(target, key, &more, now_ms) {
            ledger.placed(now_ms);
            if generated_tokens == 0 {
                ledger.reading.sent(key, prompt_tokens, now_ms);
                ledger.spans.set_prefilling(true, now_ms);
            }
        }
        if let Some(stream) = self.streams.get_mut(key) {
            stream.target = target;
        }
        Some(target)
    }

    /// What a generation holds, and whether it goes before others; none where its permit is not known.
    pub fn held_tokens(&self, permit: PermitId) -> Option<u32> {
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
