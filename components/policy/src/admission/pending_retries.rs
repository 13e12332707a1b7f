//! Callers that were refused and told when to come back. Their room counts as taken when the next one is told a time, so
//! that those who come back find room and don't come together.

use crate::admission::forecast::{MemoryNeed, QueueAhead};
use crate::admission::prefill_simulation::PrefillSimulation;
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
    need: MemoryNeed,
}

/// Callers that will come back.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRetries {
    callers: VecDeque<Caller>,
}

impl PendingRetries {
    /// Notes when a caller was told to come back.
    pub fn told(&mut self, demand: &Demand, need: &MemoryNeed, floods: bool, back_ms: u64) {
        if self.callers.len() >= KEPT_MOST {
            self.callers.pop_front();
        }
        let caller = Caller {
            back_ms,
            turn: (floods, demand.rank_in_use()),
            prompt_tokens: demand.prompt_tokens,
            need: *need,
        };
        self.callers.push_back(caller);
    }

    /// Adds the callers who have still to come back, of a rank and of more urgent ones, to what goes before a request; those
    /// of accounts that flood only to what goes before their like.
    pub fn add_to(
        &mut self,
        before: &mut QueueAhead,
        run: &mut PrefillSimulation,
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
#[path = "pending_retries_tests.rs"]
mod tests;
