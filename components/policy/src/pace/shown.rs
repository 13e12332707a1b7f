//! The pace of an engine as operators see it.

use crate::pace::felt::Pausing;
use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::Pool;
use prelude::{PermitId, TargetId};
use serde::{Deserialize, Serialize};

/// Tokens of the prompt that is assumed where it is shown why an engine is spared.
const PROMPT_TOKENS: f64 = 2_000.0;
/// Pauses beyond their goal, expected of one more prompt, from which an engine is called spared.
const SPARED: f64 = 0.1;

/// How fast an engine makes events, by what its dispatcher knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceShown {
    /// Its own speed; 1 is usual, 2 takes twice as long.
    pub speed: f64,
    /// Time from one event to the next with one stream more.
    pub event_ms: f64,
    /// The same while a prompt is read beside.
    pub beside_ms: f64,
    /// Share of the time in which it is disturbed.
    pub disturbed_share: f64,
    /// How many times longer events take meanwhile.
    pub disturbed_strength: f64,
    /// How long a disturbance lasts.
    pub disturbed_ms: f64,
    /// Mean error of the predicted events, as a share of what was seen.
    pub error_share: f64,
    /// Streams with a permit.
    pub streams: u32,
    /// Share of the pool's streams.
    pub streams_share: f64,
    /// Pauses beyond their goal that one more prompt would make there.
    pub long_pauses: f64,
    /// Why it is spared; none where it is not.
    pub spared: Option<String>,
}

/// A pause of a stream that ended: what was foretold where it was placed, and what was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PauseForetold {
    /// The engine.
    pub target: TargetId,
    /// As foretold.
    pub foretold_ms: u32,
    /// As seen.
    pub seen_ms: u32,
    /// Whether it was beyond its caller's goal.
    pub is_too_long: bool,
}

impl Pool {
    /// The longest pause of a stream, as foretold and as seen; none where nothing was foretold or seen.
    pub fn pause_foretold(&self, permit: PermitId) -> Option<PauseForetold> {
        let stream = self.streams.get(*self.by_permit.get(&permit)?)?;
        let goal_ms = stream.pause_goal_ms;
        (stream.longest_pause_ms > 0).then_some(PauseForetold {
            target: stream.target,
            foretold_ms: stream.predicted_pause_ms?,
            seen_ms: stream.longest_pause_ms,
            is_too_long: goal_ms.is_some_and(|goal_ms| stream.longest_pause_ms > goal_ms),
        })
    }

    /// The pace of an engine; none where it is not known.
    pub fn pace_of(&self, target: TargetId, now_ms: u64) -> Option<PaceShown> {
        let ledger = self.engines.get(target)?;
        let view = self.pause_view(now_ms);
        let feel = view.feel(ledger, PROMPT_TOKENS);
        let new = Pausing {
            goal_ms: None,
            rest_tokens: 0.0,
            prompt_tokens: PROMPT_TOKENS,
        };
        let long_pauses = match view.decides() {
            true => view.long_pauses(ledger, &new),
            false => 0.0,
        };
        let disturbance = self.pace_book.disturbance(&ledger.pace);
        let all = self.streams.len().max(1) as f64;
        Some(PaceShown {
            speed: self.pace_book.speed(&ledger.pace, now_ms),
            event_ms: feel.map_or(0.0, |feel| feel.event_ms),
            beside_ms: feel.map_or(0.0, |feel| feel.beside_ms),
            disturbed_share: disturbance.map_or(0.0, |seen| seen.share),
            disturbed_strength: disturbance.map_or(1.0, |seen| seen.strength),
            disturbed_ms: disturbance.map_or(0.0, |seen| seen.spell_ms),
            error_share: ledger.pace.error_share,
            streams: ledger.streams.len() as u32,
            streams_share: ledger.streams.len() as f64 / all,
            long_pauses,
            spared: spared(ledger, long_pauses, now_ms),
        })
    }
}

fn spared(ledger: &EngineLedger, long_pauses: f64, now_ms: u64) -> Option<String> {
    if ledger.state != EngineState::Live {
        return Some("it takes no new work".into());
    }
    if !ledger.within_rate_limits(now_ms) {
        return Some("it is cold and has what it bears".into());
    }
    if ledger.has_memory_backlog(now_ms) {
        return Some("requests wait there for memory".into());
    }
    let is_spared = long_pauses >= SPARED;
    is_spared.then(|| format!("a prompt read there would make {long_pauses:.1} pauses too long"))
}

#[cfg(test)]
#[path = "shown_tests.rs"]
mod tests;
