//! Callers that were refused and told when to come back. Their room counts as taken when the next one is told a time, so
//! that those who come back find room and don't come together.

use crate::admission::forward::ForwardRun;
use crate::admission::outlook::{Before, Need};
use crate::demand::Demand;
use std::collections::VecDeque;

/// Callers that are remembered at a time; beyond that the oldest is forgotten.
const KEPT_MOST: usize = 1_000;

/// A caller that will come back.
#[derive(Clone, Copy, Debug)]
struct Caller {
    back_ms: u64,
    /// Whether its account floods, and its rank.
    turn: (bool, u8),
    prompt_tokens: u32,
    need: Need,
}

/// Callers that will come back.
#[derive(Clone, Debug, Default)]
pub(crate) struct Returning {
    callers: VecDeque<Caller>,
}

impl Returning {
    /// Notes when a caller was told to come back.
    pub fn told(&mut self, demand: &Demand, need: &Need, floods: bool, back_ms: u64) {
        if self.callers.len() >= KEPT_MOST {
            self.callers.pop_front();
        }
        let caller = Caller {
            back_ms,
            turn: (floods, demand.clamped_rank()),
            prompt_tokens: demand.prompt_tokens,
            need: *need,
        };
        self.callers.push_back(caller);
    }

    /// Adds the callers who have still to come back, of a rank and of more urgent ones, to what goes before a request; those
    /// of accounts that flood only to what goes before their like.
    pub fn add_to(
        &mut self,
        before: &mut Before,
        run: &mut ForwardRun,
        turn: (bool, u8),
        now_ms: u64,
    ) {
        self.callers.retain(|caller| caller.back_ms > now_ms);
        for caller in self.callers.iter().filter(|caller| caller.turn <= turn) {
            before.hold(&caller.need.held);
            run.read(caller.prompt_tokens);
        }
    }
}

#[cfg(test)]
#[path = "returning_tests.rs"]
mod tests;
