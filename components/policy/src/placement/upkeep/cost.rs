//! What a move costs: the pause that it makes, as moves showed it, and the memory that it holds twice.

use std::collections::VecDeque;

/// Moves that are kept: some of the last seconds of a pool where engines leave.
const KEPT: usize = 32;
/// How long a generation stands still for a move before any was seen.
const PRIOR_MS: f64 = 60.0;
/// Weight of that, in moves.
const PRIOR_WEIGHT: f64 = 4.0;
/// What a move pauses a stream for beside the stop: its request at the other engine, the way of its first event.
const WAY_MS: f64 = 20.0;

/// How long generations stood still for their moves.
#[derive(Clone, Debug, Default)]
pub(crate) struct MovePauses(VecDeque<u32>);

impl MovePauses {
    /// Takes one in.
    pub(crate) fn seen(&mut self, stopped_ms: u32) {
        self.0.push_back(stopped_ms);
        if self.0.len() > KEPT {
            self.0.pop_front();
        }
    }

    /// Chance that a move pauses a stream beyond its goal, where its next event then takes so long.
    pub(crate) fn beyond(&self, goal_ms: f64, event_ms: f64) -> f64 {
        let is_beyond = |stopped_ms: f64| stopped_ms + WAY_MS + event_ms > goal_ms;
        let seen = self.0.iter().filter(|ms| is_beyond(f64::from(**ms)));
        let prior = f64::from(u8::from(is_beyond(PRIOR_MS))) * PRIOR_WEIGHT;
        (seen.count() as f64 + prior) / (self.0.len() as f64 + PRIOR_WEIGHT)
    }
}

#[cfg(test)]
#[path = "cost_tests.rs"]
mod tests;
