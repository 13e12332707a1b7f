//! Waiting time while every engine of a pool has a rate limit.

use crate::demand::Demand;
use crate::placement::ledger::EngineState;
use crate::pool::Pool;
use crate::rate::share::USED_SHARE;
use prelude::{Refusal, RefusalReason};

impl Pool {
    /// Refuses a request if the rate limits leave no send before its deadline, with the time until
    /// they do.
    pub(crate) fn rate_limit_refusal(&self, demand: &Demand, now_ms: u64) -> Option<Refusal> {
        let wait_ms = self.rate_limit_wait_ms(demand.clamped_rank(), now_ms)?;
        (now_ms + wait_ms > demand.deadline_ms).then_some(Refusal {
            reason: RefusalReason::Crowded,
            retry_after_ms: Some(wait_ms),
        })
    }

    /// Returns the time until the rate limits let a request of `rank` through, behind those that
    /// wait, or `None` if an engine that accepts work has no limit.
    fn rate_limit_wait_ms(&self, rank: u8, now_ms: u64) -> Option<u64> {
        if self.rate_limited.is_empty() || self.rate_limited.len() < self.engines.live_count() {
            return None;
        }
        let limited = self.rate_limited.iter();
        let ledgers = limited.filter_map(|target| self.engines.get(*target));
        let live = ledgers.filter(|ledger| ledger.state == EngineState::Live);
        let tokens: Vec<_> = live
            .filter_map(|ledger| ledger.rate.current(now_ms))
            .collect();
        if tokens.is_empty() || tokens.len() < self.engines.live_count() {
            return None;
        }
        let rate_per_s: f64 = tokens.iter().map(|(rate_per_s, _)| rate_per_s).sum();
        let saved: f64 = tokens.iter().map(|(_, bucket)| bucket.tokens()).sum();
        let missing = (self.queue.len_up_to_rank(rank) + 1) as f64 - saved;
        Some((missing.max(0.0) / (rate_per_s * USED_SHARE) * 1_000.0) as u64)
    }
}

#[cfg(test)]
#[path = "rate_limit_tests.rs"]
mod tests;
