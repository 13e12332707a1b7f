//! How long a request waits where every engine of its pool names a rate limit.

use crate::demand::Demand;
use crate::placement::ledger::EngineState;
use crate::pool::Pool;
use crate::rate::share::USED_SHARE;
use prelude::{Refusal, RefusalReason};

impl Pool {
    /// Refuses a request that no engine can be sent by its deadline, with the time after which one can.
    pub(crate) fn beyond_rates(&self, demand: &Demand, now_ms: u64) -> Option<Refusal> {
        let wait_ms = self.rate_wait_ms(demand.clamped_rank(), now_ms)?;
        (now_ms + wait_ms > demand.deadline_ms).then_some(Refusal {
            reason: RefusalReason::Crowded,
            retry_after_ms: Some(wait_ms),
        })
    }

    /// How long until the engines' limits let a request of a rank through, behind those that wait; none where some engine that
    /// takes work has no limit.
    fn rate_wait_ms(&self, rank: u8, now_ms: u64) -> Option<u64> {
        if self.rate_limited.is_empty() || self.rate_limited.len() < self.engines.live_count() {
            return None;
        }
        let limited = self.rate_limited.iter();
        let ledgers = limited.filter_map(|target| self.engines.get(*target));
        let live = ledgers.filter(|ledger| ledger.state == EngineState::Live);
        let tokens: Vec<_> = live
            .filter_map(|ledger| ledger.rate.tokens(now_ms))
            .collect();
        if tokens.is_empty() || tokens.len() < self.engines.live_count() {
            return None;
        }
        let rate_per_s: f64 = tokens.iter().map(|(rate_per_s, _)| rate_per_s).sum();
        let saved: f64 = tokens.iter().map(|(_, bucket)| bucket.saved()).sum();
        let lacking = (self.queue.len_up_to(rank) + 1) as f64 - saved;
        Some((lacking.max(0.0) / (rate_per_s * USED_SHARE) * 1_000.0) as u64)
    }
}

#[cfg(test)]
#[path = "rate_tests.rs"]
mod tests;
