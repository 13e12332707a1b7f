//! Engines kept free for the prefill of requests that are served first and are likely to arrive. An
//! engine processes prompts one after another, so the prompt of a request that can wait for seconds
//! delays an urgent request that arrives a moment later. A lower-priority request is therefore
//! placed only while enough engines will have finished their prefill backlog within its own prefill
//! time. The number follows from the arrival rate of the last second or two: of more urgent
//! requests, and for an account that requests more than all others together, of the others'
//! requests.
//!
//! No engine is reserved without such arrivals: arrivals have a half-life of one second.

use crate::admission::queue::QueueKey;
use crate::demand::{Demand, RANK_COUNT};
use crate::placement::ledger::{EngineLedger, EngineState};
use crate::pool::Pool;

/// Engines reserved per expected arrival of a more urgent request. The remaining arrivals find an
/// engine that becomes idle meanwhile, and wait for part of one prompt.
const RESERVED_SHARE: f64 = 0.5;
/// Standard deviations added to the mean number of arrivals while an account dominates demand.
/// Callers of other accounts then find an idle engine in 97 of 100 cases.
const RESERVED_DEVIATIONS: f64 = 2.0;

impl Pool {
    /// Returns whether granting the first request of a sub-queue leaves enough engines for the
    /// expected requests that are served before it.
    pub(crate) fn leaves_prefill_reserve(&self, queue_key: QueueKey, now_ms: u64) -> bool {
        let Some(demand) = self.queue.front(queue_key) else {
            return true;
        };
        let prefill_ms = self.prefill_ms(demand);
        let reserved = self.reserved_engines(demand, prefill_ms, now_ms);
        if reserved < 1.0 {
            return true;
        }
        let is_free = |ledger: &&EngineLedger| {
            let remaining_ms = ledger.prefill.remaining_ms(&self.prefill_rate, now_ms);
            ledger.state == EngineState::Live && remaining_ms <= prefill_ms
        };
        // Stops at the first free engine beyond the reserve.
        let mut free_engines = self.engines.iter().filter(is_free);
        free_engines.nth(reserved as usize).is_some()
    }

    /// Returns whether the sub-queue belongs to a flooding account that dominates demand.
    pub(crate) fn has_dominant_demand(&self, queue_key: QueueKey) -> bool {
        let front = self.queue.front(queue_key);
        front.is_some_and(|demand| self.tree.has_dominant_demand(&demand.share))
    }

    /// Returns the number of engines to reserve during a prefill of `prefill_ms`. Arrivals of
    /// flooding accounts are not counted.
    fn reserved_engines(&self, demand: &Demand, prefill_ms: f64, now_ms: u64) -> f64 {
        let arrivals = &self.admission_forecast.arrivals;
        if self.tree.has_dominant_demand(&demand.share) {
            let mean = arrivals.urgent_requests_per_ms(RANK_COUNT as u8, now_ms) * prefill_ms;
            return mean + RESERVED_DEVIATIONS * mean.sqrt();
        }
        if !self.settings.protection {
            return 0.0;
        }
        arrivals.urgent_requests_per_ms(demand.clamped_rank(), now_ms) * prefill_ms * RESERVED_SHARE
    }
}

#[cfg(test)]
#[path = "prefill_reserve_tests.rs"]
mod tests;
