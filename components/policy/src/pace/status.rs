//! The pace of an engine as shown to operators.

use crate::pace::impact::PauseProfile;
use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::Pool;
use prelude::{PermitId, TargetId};
use serde::{Deserialize, Serialize};

/// Prompt length assumed for showing why requests avoid an engine.
const PROMPT_TOKENS: f64 = 2_000.0;
/// An engine is shown as avoided if one more prompt is expected to cause this many pauses beyond their goal.
const AVOIDED_LONG_PAUSES: f64 = 0.1;

/// The pace of an engine as its dispatcher knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PaceStatus {
    /// Its own time per event relative to the pool's baseline; 2 takes twice as long.
    pub speed: f64,
    /// Time from one event to the next with one stream more.
    pub event_ms: f64,
    /// The same while a prompt is prefilled.
    pub beside_ms: f64,
    /// Share of the time in which it is disturbed.
    pub disturbed_share: f64,
    /// How many times longer events take while it is disturbed.
    pub disturbed_strength: f64,
    /// Mean duration of a disturbance.
    pub disturbed_ms: f64,
    /// Mean error of its predicted times between events, as a share of the observed ones.
    pub error_share: f64,
    /// Streams with a permit.
    pub streams: u32,
    /// Share of the pool's streams.
    pub streams_share: f64,
    /// Expected number of pauses beyond their goal if one more prompt is placed there.
    pub long_pauses: f64,
    /// Why requests avoid the engine; none if they don't.
    pub spared: Option<String>,
}

/// The longest pause of a stream that ended: predicted at placement, and observed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PausePrediction {
    /// The engine.
    pub target: TargetId,
    /// As predicted.
    pub predicted_ms: u32,
    /// As observed.
    pub observed_ms: u32,
    /// Whether it was longer than its caller's goal.
    pub exceeds_goal: bool,
}

impl Pool {
    /// The longest pause of a stream, predicted and observed; none if there was no prediction or no pause.
    pub fn pause_prediction(&self, permit: PermitId) -> Option<PausePrediction> {
        let stream = self.streams.get(*self.by_permit.get(&permit)?)?;
        let goal_ms = stream.pause_goal_ms;
        (stream.longest_pause_ms > 0).then_some(PausePrediction {
            target: stream.target,
            predicted_ms: stream.predicted_pause_ms?,
            observed_ms: stream.longest_pause_ms,
            exceeds_goal: goal_ms.is_some_and(|goal_ms| stream.longest_pause_ms > goal_ms),
        })
    }

    /// The pace of an engine; none if the engine is unknown.
    pub fn pace_status(&self, target: TargetId, now_ms: u64) -> Option<PaceStatus> {
        let ledger = self.engines.get(target)?;
        let estimator = self.pause_estimator(now_ms);
        let timing = estimator.event_timing(ledger, PROMPT_TOKENS);
        let new = PauseProfile {
            goal_ms: None,
            remaining_tokens: 0.0,
            prompt_tokens: PROMPT_TOKENS,
        };
        let long_pauses = match estimator.is_active() {
            true => estimator.expected_long_pauses(ledger, &new),
            false => 0.0,
        };
        let disturbance = self.pace_model.disturbance(&ledger.pace);
        let all = self.streams.len().max(1) as f64;
        Some(PaceStatus {
            speed: self.pace_model.relative_pace(&ledger.pace, now_ms),
            event_ms: timing.map_or(0.0, |timing| timing.event_ms),
            beside_ms: timing.map_or(0.0, |timing| timing.prefill_event_ms),
            disturbed_share: disturbance.map_or(0.0, |expected| expected.share),
            disturbed_strength: disturbance.map_or(1.0, |expected| expected.slowdown),
            disturbed_ms: disturbance.map_or(0.0, |expected| expected.duration_ms),
            error_share: ledger.pace.error_share,
            streams: ledger.streams.len() as u32,
            streams_share: ledger.streams.len() as f64 / all,
            long_pauses,
            spared: avoided_reason(ledger, long_pauses, now_ms),
        })
    }
}

fn avoided_reason(ledger: &EngineLedger, long_pauses: f64, now_ms: u64) -> Option<String> {
    if ledger.state != EngineState::Live {
        return Some("it accepts no new requests".into());
    }
    if !ledger.within_rate_limits(now_ms) {
        return Some("it is at its cold-start limit or its rate limit".into());
    }
    if ledger.has_memory_backlog(now_ms) {
        return Some("requests are queued there for memory".into());
    }
    let is_avoided = long_pauses >= AVOIDED_LONG_PAUSES;
    is_avoided
        .then(|| format!("one more prefill there would make {long_pauses:.1} pauses too long"))
}

#[cfg(test)]
#[path = "status_tests.rs"]
mod tests;
