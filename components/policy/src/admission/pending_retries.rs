//! Refused callers that were given a retry time. Their memory and prefill count as taken when
//! further retry times are computed, so that callers find capacity when they retry and do not all
//! retry at once.

use crate::admission::forecast::{MemoryNeed, QueueAhead};
use crate::admission::prefill_simulation::PrefillSimulation;
use crate::demand::Demand;
use std::collections::VecDeque;

/// Maximum number of retries kept; the oldest is dropped.
const MAX_PENDING: usize = 1_000;

/// A refused caller that is expected to retry.
#[derive(Clone, Copy, Debug)]
struct PendingRetry {
    retry_ms: u64,
    /// Whether its account floods, and its rank.
    priority: (bool, u8),
    prompt_tokens: u32,
    need: MemoryNeed,
}

/// The expected retries.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRetries {
    pending: VecDeque<PendingRetry>,
}

impl PendingRetries {
    /// Adds a retry expected at `retry_ms`.
    pub fn record(&mut self, demand: &Demand, need: &MemoryNeed, is_flooding: bool, retry_ms: u64) {
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        let retry = PendingRetry {
            retry_ms,
            priority: (is_flooding, demand.clamped_rank()),
            prompt_tokens: demand.prompt_tokens,
            need: *need,
        };
        self.pending.push_back(retry);
    }

    /// Drops retries whose time has passed, and adds those of the same or a higher priority to
    /// `queue_ahead` and `simulation`. Retries of flooding accounts are added for flooding accounts
    /// alone.
    pub fn add_to(
        &mut self,
        queue_ahead: &mut QueueAhead,
        simulation: &mut PrefillSimulation,
        priority: (bool, u8),
        now_ms: u64,
    ) {
        self.pending.retain(|retry| retry.retry_ms > now_ms);
        for retry in self
            .pending
            .iter()
            .filter(|retry| retry.priority <= priority)
        {
            queue_ahead.add_tokens(&retry.need.time_averaged_tokens);
            simulation.enqueue(retry.prompt_tokens);
        }
    }
}

#[cfg(test)]
#[path = "pending_retries_tests.rs"]
mod tests;
